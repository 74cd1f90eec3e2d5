"""Checks a history of rw-load against what the upstreams executed."""
import collections
import json


def read(path):
    with open(path) as file:
        return [json.loads(line) for line in file if line.strip()]


def check(lines, ledger, once, lossless=True):
    """Returns the rules that the history breaks, as texts.

    once: kinds that may not be run twice. lossless: every accepted request
    must be answered whole; otherwise an unknown is allowed.
    """
    runs = collections.Counter(line["id"] for line in ledger)
    broken = []
    ends = {}
    kinds = {}
    for line in lines:
        if not line["id"]:
            continue  # a caller that found no entry host
        kinds[line["id"]] = line["kind"]
        if line["event"] in ("end", "not_run", "unknown", "given_up",
                             "wrong"):
            ends.setdefault(line["id"], []).append(line["event"])
    accepted = {line["id"] for line in lines if line["event"] == "accepted"}
    for ident, count in runs.items():
        if count > 1 and kinds.get(ident) in once:
            broken.append("%s ran %d times" % (ident, count))
    for ident, told in ends.items():
        if len(told) != 1:
            broken.append("%s has %d ends: %s" % (ident, len(told), told))
        if "wrong" in told:
            broken.append("%s got a wrong answer" % ident)
        if kinds[ident] in once:
            if "not_run" in told and runs[ident] > 0:
                broken.append("%s ran but was called not run" % ident)
            if "end" in told and runs[ident] != 1:
                broken.append("%s was answered but ran %d times"
                              % (ident, runs[ident]))
    for ident in accepted:
        told = ends.get(ident, ["nothing"])
        if told[0] == "end" or (not lossless and told[0] == "unknown"):
            continue
        broken.append("%s was accepted, but its caller got %s"
                      % (ident, told[0]))
    return broken
