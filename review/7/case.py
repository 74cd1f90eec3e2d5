"""ONE: a former leader acts again, with its old fencing token, after a drill of
the store."""
import asyncio
import copy
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "common-2"))
import kit  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
REFUSED_S = 7.0  # at most: for_s of "nodes leader busy"
AWAY_S = 1.0     # the store is away for a moment
STABLE_S = 3.0   # stable_window_ms: calls before that don't count


def store_copy(store):
    """Copies the store; of a lease, what is left of it."""
    now = time.monotonic()
    return {
        "items": copy.deepcopy(store.items), "revision": store.revision,
        "events": list(store.events),
        "leases": {ident: [end - now, ttl, revision] for
                   ident, (end, ttl, revision) in store.leases.items()},
    }


def store_restore(store, saved):
    """The store is back from a copy; its leases go on."""
    now = time.monotonic()
    store.items = saved["items"]
    store.events = saved["events"]
    store.revision = saved["revision"]
    store.leases = {ident: [now + left, ttl, revision] for
                    ident, (left, ttl, revision) in saved["leases"].items()}
    store.era += 1
    store.notify_watches()


async def case(record):
    broken = []
    async with kit.Rig(hosts=3, llm=2, api=2) as rig:
        await rig.wait_membership()
        stop = asyncio.Event()

        async def calls(host):
            caller = host.caller()
            while not stop.is_set():
                ident = await caller.send("POST", "/o/x", b"entry")
                got = await caller.receive()
                record.add("%s at %s: %d" % (ident, host.name, got.status))
                await asyncio.sleep(0.1)

        def duty_calls():
            return sorted(
                [(at, leader, token, "usage", "window %d" % window)
                 for at, leader, token, window, _ in rig.cloud.usage] +
                [(at, leader, token, "%s in %s" % (service, zone),
                  "%d spot=%d" % (count, spot)) for
                 at, leader, token, service, zone, spot, count in
                 rig.cloud.orders])

        tasks = [asyncio.create_task(calls(host)) for host in rig.hosts]
        await kit.standin.wait_until("there is a leader", lambda: duty_calls(),
                                     15)
        await asyncio.sleep(1)
        _, first, token, _, _ = duty_calls()[-1]
        record.add("the leader is %s, fencing token %d" % (first, token))
        began = time.monotonic()
        if kit.TROUBLE:
            rig.store.faults[first] = "unavailable"
            record.add("the store turns %s away" % first)
            await asyncio.sleep(0.2)
            saved = store_copy(rig.store)
            record.add("the store is copied")
            await kit.standin.wait_until(
                "another host acts",
                lambda: duty_calls()[-1][1] != first, REFUSED_S - AWAY_S)
            _, second, token, _, _ = duty_calls()[-1]
            record.add("the leader is %s, fencing token %d" % (second, token))
            rig.store.faults[None] = "reset"
            record.add("the store is away")
            await asyncio.sleep(AWAY_S)
            store_restore(rig.store, saved)
            rig.store.faults.clear()
            record.add("the store is back from the copy, era %d, and serves "
                       "all machines" % rig.store.era)
            record.add("%s was turned away for %.1f s" % (
                first, time.monotonic() - began))
        back = time.monotonic()
        await asyncio.sleep(STABLE_S + 14)
        stop.set()
        await asyncio.gather(*tasks, return_exceptions=True)
        highest = {}
        for at, leader, token, subject, what in duty_calls():
            record.add("%s calls the platform, token %d: %s %s" % (
                leader, token, subject, what), at)
            if token < highest.get(subject, 0) and at > back + STABLE_S:
                broken.append(
                    "%.1f s after the store was back %s called with token %d "
                    "for %s, which had seen %d" % (
                        at - back, leader, token, subject, highest[subject]))
            highest[subject] = max(token, highest.get(subject, 0))
    return broken


kit.run(case, FOLDER)
