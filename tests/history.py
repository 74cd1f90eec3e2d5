"""Checks a history of rw-load against what the upstreams executed."""
import collections
import json


def read(path):
    """Returns the events of a history file, which has one a line."""
    with open(path) as file:
        return [json.loads(line) for line in file if line.strip()]


def check(lines, ledger, non_idempotent, lossless=True):
    """Returns the violations of the guarantees as texts.

    non_idempotent: kinds of requests that must not run twice. lossless: every
    accepted request must be answered completely; otherwise its outcome may
    also be unknown.
    """
    runs = collections.Counter(line["id"] for line in ledger)
    violations = []
    outcomes_by_id = {}
    kinds = {}
    for line in lines:
        if not line["id"]:
            continue  # the caller found no entry host
        kinds[line["id"]] = line["kind"]
        if line["event"] in ("end", "not_run", "unknown", "given_up",
                             "wrong"):
            outcomes_by_id.setdefault(line["id"], []).append(line["event"])
    accepted = {line["id"] for line in lines if line["event"] == "accepted"}
    for ident, count in runs.items():
        if count > 1 and kinds.get(ident) in non_idempotent:
            violations.append("%s ran %d times" % (ident, count))
    for ident, outcomes in outcomes_by_id.items():
        if len(outcomes) != 1:
            violations.append("%s has %d outcomes: %s"
                              % (ident, len(outcomes), outcomes))
        if "wrong" in outcomes:
            violations.append("%s got a wrong answer" % ident)
        if kinds[ident] in non_idempotent:
            if "not_run" in outcomes and runs[ident] > 0:
                violations.append("%s ran, but was reported as not run"
                                  % ident)
            if "end" in outcomes and runs[ident] != 1:
                violations.append("%s was answered, but ran %d times"
                                  % (ident, runs[ident]))
    for ident in accepted:
        outcomes = outcomes_by_id.get(ident, ["nothing"])
        if outcomes[0] == "end" or \
                (not lossless and outcomes[0] == "unknown"):
            continue
        violations.append("%s was accepted, but its caller received %s"
                          % (ident, outcomes[0]))
    return violations
