#!/usr/bin/env python3
"""Demonstrates the main guarantees; exits with 0 only if all hold."""
import json
import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))
from rig import (Rig, call, events, open_stream, wait_for)  # noqa: E402

ACCOUNT = {"x-account": "coop"}
TOKENS = 60


def step(text):
    print("* " + text)
    sys.stdout.flush()


def locate(entry):
    text = call(entry.address, "GET", "/v1/locate", headers=ACCOUNT)[1]
    return json.loads(text)


def kill_primary_in_stream(rig):
    """Kills the primary of a stream; the standby must complete it."""
    location = locate(rig.entries["e0"])
    primary = rig.entries[location["home"].split("~")[0]]
    ident = location["home"] + "-demo"
    step("stream a completion, id %s" % ident)
    _, response = open_stream(
        primary.address, "POST", "/v1/completions",
        {"model": "itinerary", "prompt": "two days in the north park",
         "max_tokens": TOKENS, "stream": True},
        dict(ACCOUNT, **{"x-request-id": ident}))
    chunks = []
    for event, _, data in events(response):
        if event == "piece":
            chunks.append(data["text"])
        if len(chunks) == 15:
            break
    step("15 chunks received: kill -9 its primary, %s" % primary.name)
    primary.kill()
    end = None
    for address in location["addresses"][1:]:
        _, response = open_stream(
            address, "GET", "/v1/requests/" + ident, None,
            {"accept": "text/event-stream",
             "last-event-id": str(len(chunks) - 1)})
        for event, _, data in events(response):
            if event == "piece":
                chunks.append(data["text"])
            elif event == "end":
                end = data
        if end:
            break
    step("the standby sent the rest: %d chunks in all, the end event counts %d"
         % (len(chunks), end["count"] if end else -1))
    expected = json.loads(call(rig.engines[0].address, "POST",
                               "/v1/completions",
                               {"prompt": "two days in the north park",
                                "max_tokens": TOKENS})[1])
    return end and "".join(chunks) == expected["choices"][0]["text"]


def post_twice(rig):
    """Posts a stock entry with one id to two hosts; it must run once."""
    live = rig.live()
    headers = dict(ACCOUNT, **{"x-request-id":
                               locate(live[0])["home"] + "-post"})
    for entry in live[:2]:
        status, text, _ = call(entry.address, "POST", "/v1/call/stock",
                               {"shop": "12", "sold": 3}, headers)
        step("post a stock entry to %s: %d %s" % (entry.name, status, text))
    lines = rig.ledger()
    step("the ledger has %d line" % len(lines))
    return len(lines) == 1


def change_setting(rig):
    """Changes a setting with rwctl; it must be in force on all hosts."""
    path = os.path.join(rig.dir, "admin.json")
    with open(path, "w") as file:
        json.dump({"platform": rig.platform.address,
                   "entries": [e.address for e in rig.live()]}, file)
    admin = rig.start_process("admin", [rig.bin("rw-admind"), path])
    value = os.path.join(rig.dir, "coop.json")
    with open(value, "w") as file:
        file.write('{"weight": 2} // more for the closing time\n')
    begun = time.time()
    code = os.system("%s --admin %s set town/account/coop %s" % (
        rig.bin("rwctl"), admin.address, value))
    revision = json.loads(call(admin.address, "GET", "/v1/settings/town/"
                               "account/coop")[1])["revision"]

    def in_force():
        for entry in rig.live():
            text = call(entry.address, "GET", "/v1/settings")[1]
            if json.loads(text)["revision"] < revision:
                return False
        return True
    wait_for("the setting is in force on all hosts", in_force, 5)
    step("it is in force on %d hosts after %.1f s" % (
        len(rig.live()), time.time() - begun))
    return code == 0


def main():
    with Rig(entries=4, engines=3, services=1,
             engine_args=("--decode", "20")) as rig:
        step("start: platform, 3 engines, 1 service, 4 entry hosts")
        rig.wait_ready()
        passed = [kill_primary_in_stream(rig), post_twice(rig),
                  change_setting(rig)]
        step("stop")
    print("demo: " + ("all checks passed" if all(passed) else "FAILED"))
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
