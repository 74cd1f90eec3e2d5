#!/usr/bin/env python3
"""The main job, shown: exits with 0 only if everything held."""
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


def stream(rig):
    """A stream whose home is killed in the middle."""
    where = locate(rig.entries["e0"])
    home = rig.entries[where["home"].split("~")[0]]
    ident = where["home"] + "-demo"
    step("stream a completion, id %s" % ident)
    _, answer = open_stream(
        home.address, "POST", "/v1/completions",
        {"model": "itinerary", "prompt": "two days in the north park",
         "max_tokens": TOKENS, "stream": True},
        dict(ACCOUNT, **{"x-request-id": ident}))
    pieces = []
    for event, _, data in events(answer):
        if event == "piece":
            pieces.append(data["text"])
        if len(pieces) == 15:
            break
    step("15 pieces are here: kill -9 its home, %s" % home.name)
    home.kill()
    end = None
    for address in where["addresses"][1:]:
        _, answer = open_stream(
            address, "GET", "/v1/requests/" + ident, None,
            {"accept": "text/event-stream",
             "last-event-id": str(len(pieces) - 1)})
        for event, _, data in events(answer):
            if event == "piece":
                pieces.append(data["text"])
            elif event == "end":
                end = data
        if end:
            break
    step("the guardian sent the rest: %d pieces, the end says %d"
         % (len(pieces), end["count"] if end else -1))
    want = json.loads(call(rig.engines[0].address, "POST",
                           "/v1/completions",
                           {"prompt": "two days in the north park",
                            "max_tokens": TOKENS})[1])
    return end and "".join(pieces) == want["choices"][0]["text"]


def post_twice(rig):
    """One stock entry, sent twice with one id at two hosts."""
    live = rig.live()
    headers = dict(ACCOUNT, **{"x-request-id":
                               locate(live[0])["home"] + "-post"})
    for entry in live[:2]:
        status, text, _ = call(entry.address, "POST", "/v1/call/stock",
                               {"shop": "12", "sold": 3}, headers)
        step("post a stock entry at %s: %d %s" % (entry.name, status, text))
    lines = rig.ledger()
    step("the ledger has %d line" % len(lines))
    return len(lines) == 1


def change_setting(rig):
    """A setting changed by rwctl, in force on all hosts."""
    path = os.path.join(rig.dir, "admin.json")
    with open(path, "w") as file:
        json.dump({"platform": rig.platform.address,
                   "entries": [e.address for e in rig.live()]}, file)
    admin = rig.start("admin", [rig.bin("rw-admind"), path])
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
    wait_for("the setting on all hosts", in_force, 5)
    step("it is in force on %d hosts after %.1f s" % (
        len(rig.live()), time.time() - begun))
    return code == 0


def main():
    with Rig(entries=4, engines=3, services=1,
             engine_args=("--decode", "20")) as rig:
        step("start: platform, 3 engines, 1 service, 4 entry hosts")
        rig.wait_ready()
        held = [stream(rig), post_twice(rig), change_setting(rig)]
        step("stop")
    print("demo: " + ("all of it held" if all(held) else "FAILED"))
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
