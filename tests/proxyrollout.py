#!/usr/bin/env python3
"""Tests of rw-proxyd: roll-outs of software versions, with three hosts and workers
of two versions.

Usage: proxyrollout.py [--jobs N] [TEST...]
"""
import asyncio
import contextlib
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from proxyrig import Rig  # noqa: E402
from proxy import main  # noqa: E402
from standin import Worker  # noqa: E402

FIRST_NET = 150  # after those of proxyprocess.py
HOSTS = 3
CALLERS = 4        # of each host, one request at a time
CALL_GAP_S = 0.02  # between two requests of a caller
DURATION_S = 8
SHARE, TOLERANCE = 0.1, 50  # the settings' defaults
ROLLBACK_S = 5.0   # rollback_timeout_ms
BAD_RESPONSES = 50  # after which it runs
ORDER, STATUS = "op/rollout/api", "status/rollout/api"


class Load:
    """Requests of callers at all hosts, until it is stopped."""

    def __init__(self, rig):
        self.rig = rig
        self.statuses = []
        self.running = True
        self.tasks = [asyncio.create_task(self.call(host, number))
                      for host in rig.hosts for number in range(CALLERS)]

    async def call(self, host, number):
        path = ("/i/x", "/o2/x")[number % 2]
        while self.running:
            try:
                got = await host.request("POST", path, b"b")
                self.statuses.append(got.status)
            except (OSError, asyncio.IncompleteReadError):
                self.statuses.append(0)
            await asyncio.sleep(CALL_GAP_S)

    async def stop(self):
        self.running = False
        await asyncio.gather(*self.tasks)


class Rollout:
    """A service of two old workers, and two that are of the target."""

    def __init__(self, rig):
        self.rig = rig
        self.old = rig.workers_of("api")
        self.new = []
        self.states = []

    async def start_new(self, version="v2", **changes):
        for number in range(2):
            worker = Worker("w-new-%s-%d" % (version, number), "api",
                            self.rig.ip(170 + len(self.new)) + ":8000")
            worker.version = version
            vars(worker).update(changes)
            await worker.start()
            self.new.append(worker)
            self.rig.workers.append(worker)
            self.rig.list_worker(worker)

    def order(self, target="v2", duration_s=DURATION_S):
        self.ran = {w.ident: len(w.executed) for w in self.rig.workers}
        self.began = time.monotonic()
        self.rig.store.put(ORDER, {"service": "api", "target": target,
                                   "duration_s": duration_s})

    def status(self):
        item = self.rig.store.items.get(STATUS)
        status = json.loads(item[0]) if item else {}
        if status and status not in self.states:
            self.states.append(status)
        return status

    async def wait_state(self, state, seconds, target="v2"):
        await self.rig.wait_until(
            state, lambda: self.status() == {"state": state, "target": target},
            seconds)
        return time.monotonic() - self.began

    def count(self, workers):
        """Returns how many requests the workers have run since the order."""
        return sum(len(w.executed) - self.ran.get(w.ident, 0) for w in workers)

    def check_exposure(self):
        exposed = self.count(self.new)
        total = exposed + self.count(self.old)
        assert exposed <= SHARE * total + TOLERANCE, (exposed, total)


@contextlib.asynccontextmanager
async def started(net, **changes):
    """Three hosts under load, and a roll-out that is not ordered yet."""
    async with Rig(net, hosts=HOSTS) as rig:
        await rig.wait_membership()
        # A host becomes the leader before the order.
        await rig.wait_until("a leader", lambda: "rw/holder" in rig.store.items)
        load = Load(rig)
        try:
            yield rig, Rollout(rig), load
        finally:
            await load.stop()


async def test_rollout_good_version_completed(net):
    """Guards against a sound version that is not completed by the deadline, gets
    more than its share while it is tested, or costs callers a response; and
    against old workers that still get requests afterwards."""
    async with started(net) as (rig, rollout, load):
        rollout.order()
        await rollout.wait_state("in_progress", 2)
        await rollout.start_new()
        await asyncio.sleep(DURATION_S / 2)
        assert rollout.count(rollout.new) > 0
        rollout.check_exposure()
        await rollout.wait_state("completed", DURATION_S)
        assert time.monotonic() - rollout.began <= DURATION_S
        for worker in rollout.old:
            worker.kill()
        await asyncio.sleep(1)
        assert set(load.statuses) == {200}, set(load.statuses)
        assert [s["state"] for s in rollout.states] == [
            "in_progress", "completed"]


async def play_bad(net, **changes):
    """A bad version is rolled back, and gets nothing afterwards."""
    async with started(net) as (rig, rollout, load):
        rollout.order()
        await rollout.wait_state("in_progress", 2)
        await rollout.start_new(**changes)
        await rollout.wait_state("rolled_back", DURATION_S)
        rollout.check_exposure()
        await asyncio.sleep(0.5)
        count = rollout.count(rollout.new)
        await asyncio.sleep(1.5)
        assert rollout.count(rollout.new) == count
        # A new leader and restarted hosts keep to the verdict.
        for host in rig.hosts:
            host.kill()
        for host in rig.hosts:
            host.start()
        for host in rig.hosts:
            await rig.wait_ready(host)
        await asyncio.sleep(5)
        assert rollout.count(rollout.new) == count
        assert rollout.status()["state"] == "rolled_back"


async def test_rollout_failing_version_rolled_back(net):
    """Guards against a version that keeps its share although its responses
    fail, and that gets requests again after a restart of all hosts."""
    await play_bad(net, fails_every=2)


async def test_rollout_slow_version_rolled_back(net):
    """The same of a version whose responses take several times as long."""
    await play_bad(net, delay_s=0.15)


async def test_rollout_short_duration(net):
    """Guards against a sound version that is not completed in time as its
    roll-out is shorter than a few messages take."""
    async with started(net) as (rig, rollout, load):
        await rollout.start_new("v1")
        rollout.order(duration_s=2)
        await rollout.start_new()
        took = await rollout.wait_state("completed", 3)
        assert took <= 2, took


async def test_rollout_order_withdrawn(net):
    """Guards against a target that is still sent requests when its order is
    withdrawn, and a status that stays in progress."""
    async with started(net) as (rig, rollout, load):
        rollout.order()
        await rollout.wait_state("in_progress", 2)
        await rollout.start_new()
        rig.store.remove(ORDER)
        await rollout.wait_state("rolled_back", 3)
        await asyncio.sleep(0.5)
        count = rollout.count(rollout.new)
        await asyncio.sleep(1)
        assert rollout.count(rollout.new) == count


BAD_ORDERS = [
    # value, target in the status
    ("no JSON", ""),
    ({"service": "api", "target": "v2"}, "v2"),
    ({"service": "api", "target": "v2", "duration_s": 0}, "v2"),
    ({"service": "api", "target": "v2", "duration_s": -5}, "v2"),
    ({"service": "api", "target": "v2", "duration_s": 1e300}, "v2"),
    ({"service": "api", "target": "v2", "duration_s": "long"}, "v2"),
    ({"service": "api", "duration_s": 5}, ""),
    ({"service": "llm", "target": "v2", "duration_s": 5}, "v2"),
    (["v2"], ""),
]


async def test_rollout_unusable_orders(net):
    """Guards against an order that can't be carried out and stays without a
    status or a log line, or that changes how requests are served."""
    async with started(net) as (rig, rollout, load):
        for value, target in BAD_ORDERS:
            rollout.began = time.monotonic()
            rig.store.put(STATUS, {"state": "none"})
            rig.store.put(ORDER, value)
            await rollout.wait_state("rolled_back", 5, target)
        await asyncio.sleep(0.5)
        for host in rig.hosts:
            bad = [row for row in host.log_events("rollout")
                   if row.get("outcome") == "not_usable"]
            assert len(bad) == len(BAD_ORDERS), bad
        assert set(load.statuses) == {200}, set(load.statuses)


async def test_rollout_order_replaced(net):
    """Guards against a target of a former order that gets requests as if it were
    a proven version while the next one is rolled out, and against a status that
    names the former target."""
    async with started(net) as (rig, rollout, load):
        rollout.order("v2", 30)
        await rollout.wait_state("in_progress", 2)
        await rollout.start_new("v2")
        await asyncio.sleep(1)
        former = list(rollout.new)
        rollout.order("v3")
        await rollout.wait_state("in_progress", 2, "v3")
        await rollout.start_new("v3")
        await asyncio.sleep(0.5)
        count = rollout.count(former)
        await rollout.wait_state("completed", DURATION_S, "v3")
        assert rollout.count(former) == count
        assert set(load.statuses) == {200}, set(load.statuses)


async def test_rollout_nobody_serves_target(net):
    """Guards against a roll-out without workers that is called completed, stays
    in progress for ever, or costs a response."""
    async with started(net) as (rig, rollout, load):
        rollout.order("v9", 3)
        await rollout.wait_state("in_progress", 2, "v9")
        await rollout.wait_state("rolled_back", 5, "v9")
        assert set(load.statuses) == {200}, set(load.statuses)


async def test_rollout_old_workers_crash(net):
    """Guards against a target that gets more than its share when all old
    workers are lost while it is tested."""
    async with started(net) as (rig, rollout, load):
        rollout.order(duration_s=20)
        await rollout.wait_state("in_progress", 2)
        await rollout.start_new()
        await asyncio.sleep(2)
        for worker in rollout.old:
            worker.kill()
            rig.store.remove("servers/" + worker.ident)
        count = len(load.statuses)
        await asyncio.sleep(3)
        exposed = rollout.count(rollout.new)
        assert exposed <= SHARE * len(load.statuses) + TOLERANCE, (
            exposed, len(load.statuses))
        # The others are refused, and have not run.
        assert set(load.statuses[count:]) <= {200, 502, 503}


async def test_rollout_leader_killed(net):
    """Guards against a roll-out that ends with its leader, or starts again."""
    async with started(net) as (rig, rollout, load):
        rollout.order(duration_s=14)
        await rollout.wait_state("in_progress", 2)
        await rollout.start_new()
        await asyncio.sleep(1)
        name = json.loads(rig.store.items["rw/holder"][0])["host"]
        leader = next(host for host in rig.hosts if host.name == name)
        leader.kill()
        took = await rollout.wait_state("completed", 14)
        assert took <= 14, took


async def test_rollout_store_restored(net):
    """Guards against a verdict that reverts when the store comes back with the
    contents that it had while the target was tested."""
    async with started(net) as (rig, rollout, load):
        rollout.order(duration_s=20)
        await rollout.wait_state("in_progress", 2)
        revision = rig.store.revision
        await rollout.start_new(fails_every=2)
        await rollout.wait_state("rolled_back", 10)
        rig.store.restore(revision)
        for worker in rig.workers:
            rig.list_worker(worker)
        await asyncio.sleep(0.5)
        count = rollout.count(rollout.new)
        await rollout.wait_state("rolled_back", 10)
        await asyncio.sleep(2)
        assert rollout.status()["state"] == "rolled_back"
        assert rollout.count(rollout.new) == count


async def test_rollout_without_order(net):
    """Guards against messages, calls to the store or another routing where
    nothing is ordered."""
    async with started(net) as (rig, rollout, load):
        rollout.ran = {}
        await rollout.start_new()
        await asyncio.sleep(3)
        assert rollout.count(rollout.new) > 0
        assert not [key for key in rig.store.items if "rollout" in key]
        for host in rig.hosts:
            assert host.log_events("rollout") == []


if __name__ == "__main__":
    sys.exit(main("proxyrollout", globals(), FIRST_NET))
