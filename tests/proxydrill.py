#!/usr/bin/env python3
"""Tests of rw-proxyd: the store comes back from an older copy, beside other
faults.

Usage: proxydrill.py [--jobs N] [TEST...]
"""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from proxyrig import LOG_FLUSH_S, Rig, config  # noqa: E402
from proxy import (STREAMS_WRITTEN_S, begin_streams,  # noqa: E402
                   check_resumed, list_versions, main, restart_all,
                   start_senders, take_up_streams, wrong_usage)
from proxyends import gather_rows  # noqa: E402

FIRST_NET = 170  # after those of proxyrollout.py
WINDOW_S = 2
AWAY_S = 0.5    # the store, before it is back
SETTLED_S = 3   # the platform's stable_window_ms
RESUMED_S = 8   # until a leader acts again, once the hosts run
KEY_BACK_S = 12  # a host's key


class Drill:
    """Three hosts with callers, a leader, and a store that is restored; or it
    loses nothing, for comparison."""

    def __init__(self, rig, restores=True):
        self.rig = rig
        self.restores = restores
        self.starts = []  # (sent, began) of each request, wall clock
        self.restored_at = []
        self.started_at = 0  # the last host that was started again
        self.stopping = asyncio.Event()

    def calls(self):
        """Returns the calls to the platform as (time, host, token)."""
        cloud = self.rig.cloud
        return sorted(row[:3] for row in cloud.usage + cloud.orders)

    def resumed_s(self, since=0):
        """Returns how long after the last restore, or a later time, a leader
        acted again."""
        back = max(self.restored_at[-1], since)
        return min((at - back for at, _, _ in self.calls() if at > back),
                   default=float("inf"))

    def check_resumed(self, name):
        print("%s: acts after %.1f s" % (name, self.resumed_s()))
        assert self.resumed_s(self.started_at) < RESUMED_S, name

    def leader(self):
        name = self.calls()[-1][1]
        return next(h for h in self.rig.hosts if h.name == name)

    async def send(self, host):
        while not self.stopping.is_set():
            at = time.time()
            try:
                got = await host.request("GET", "/i/x")
                if got.status == 200:
                    self.starts.append((at, self.rig.began_at(got.ident)))
            except OSError:
                pass
            await asyncio.sleep(0.02)

    async def until_reported(self):
        """Waits for the next report; returns a copy of the store of before."""
        cloud, store = self.rig.cloud, self.rig.store
        seen, copy = len(cloud.usage), store.copy()
        windows = sorted(k for k in store.items if "/usage/" in k)
        while len(cloud.usage) == seen:
            await asyncio.sleep(0.01)
            if windows == sorted(k for k in store.items if "/usage/" in k):
                copy = store.copy()
        return copy

    async def until_other_acts(self, host):
        await self.rig.wait_until(
            "another host acts", lambda: self.leader() is not host, 10)

    async def restore(self, copy):
        """The store is away, and back from the copy."""
        store = self.rig.store
        if not self.restores:
            self.restored_at.append(time.monotonic())
            return
        store.faults[None] = "reset"
        await asyncio.sleep(AWAY_S)
        store.restore_copy(copy)
        store.faults.pop(None)
        for worker in self.rig.workers:
            if "servers/" + worker.ident not in store.items:
                self.rig.list_worker(worker)
        self.restored_at.append(time.monotonic())

    async def start(self, host):
        await asyncio.to_thread(host.start, first_start=False)
        self.started_at = time.monotonic()

    async def kill(self, host):
        await asyncio.to_thread(host.kill)

    async def restart(self, host):
        host.signal(signal.SIGTERM)
        await asyncio.to_thread(host.process.wait)
        await self.start(host)


async def alone(drill):
    await drill.restore(await drill.until_reported())


async def twice(drill):
    await alone(drill)
    await asyncio.sleep(1)
    await alone(drill)


async def while_leader_is(drill, begin, end):
    """Another host leads while the leader can't; the copy is of before."""
    leader = drill.leader()
    begin(leader)
    await asyncio.sleep(0.2)
    copy = drill.rig.store.copy()
    await drill.until_other_acts(leader)
    await drill.restore(copy)
    end(leader)


def while_store_is(fault):
    async def run(drill):
        faults = drill.rig.store.faults
        await while_leader_is(
            drill, lambda host: faults.update({host.name: fault}),
            lambda host: faults.pop(host.name))
    run.__name__ = "while_store_is_" + fault
    return run


async def while_leader_paused(drill):
    await while_leader_is(drill, lambda host: host.signal(signal.SIGSTOP),
                          lambda host: host.signal(signal.SIGCONT))


async def leader_killed(drill):
    copy = await drill.until_reported()
    leader = drill.leader()
    await drill.kill(leader)
    await drill.restore(copy)
    await asyncio.sleep(1)
    await drill.start(leader)


async def leader_restarted(drill):
    copy = await drill.until_reported()
    await asyncio.gather(drill.restart(drill.leader()), drill.restore(copy))


async def all_killed(drill, down_s=0):
    copy = await drill.until_reported()
    await asyncio.sleep(0.2)
    await asyncio.gather(*(drill.kill(host) for host in drill.rig.hosts))
    await drill.restore(copy)
    await asyncio.sleep(down_s)
    await asyncio.gather(*(drill.start(host) for host in drill.rig.hosts))


async def all_killed_for_seconds(drill):
    await all_killed(drill, 3)


async def restarted_in_turn(drill):
    copy = await drill.until_reported()
    restore = asyncio.create_task(drill.restore(copy))
    for host in drill.rig.hosts:
        await drill.restart(host)
        await drill.rig.wait_ready(host)
        await asyncio.sleep(1)
    await restore


async def all_paused(drill):
    copy = await drill.until_reported()
    for host in drill.rig.hosts:
        host.signal(signal.SIGSTOP)
    await asyncio.sleep(2)
    await drill.restore(copy)
    for host in drill.rig.hosts:
        host.signal(signal.SIGCONT)


# What happens beside the drill, and whether the counts of all windows outlive
# it: each of these windows is owed its report.
CASES = [
    (alone, True), (twice, True),
    (while_store_is("unavailable"), True),
    (while_store_is("silent"), True),
    (while_leader_paused, True), (leader_killed, True),
    (leader_restarted, True), (all_killed, False),
    (all_killed_for_seconds, False), (restarted_in_turn, True),
    (all_paused, True),
]


async def drilled(net, beside, restores=True):
    """Runs one case until the windows of then are reported."""
    async with Rig(net, hosts=3) as rig:
        await rig.wait_membership()
        drill = Drill(rig, restores)
        await rig.wait_until("a report", lambda: rig.cloud.usage, 15)
        senders = [asyncio.create_task(drill.send(host))
                   for host in rig.hosts]
        first = int(time.time() // WINDOW_S) + 1
        await asyncio.sleep(2.5 * WINDOW_S)
        await beside(drill)
        await asyncio.sleep(3 * WINDOW_S)
        drill.stopping.set()
        await asyncio.gather(*senders)
        last = int(time.time() // WINDOW_S) - 1
        await rig.wait_until(
            "the last window's report",
            lambda: any(row[3] >= last for row in rig.cloud.usage), 15)
        await asyncio.sleep(LOG_FLUSH_S)
        return drill, first, last


async def test_drill_usage_reported_once(net):
    """A window whose report the restored store has forgotten is reported again
    with other counts by a leader that knows nothing of the report."""
    async def row(net, beside):
        drill, _, _ = await drilled(net, beside)
        counts = {}
        for _, host, _, window, got in drill.rig.cloud.usage:
            assert counts.setdefault(window, got) == got, (
                beside.__name__, host, window, counts[window], got)
    await gather_rows([row(net + 200 * more, beside)
                       for more, (beside, _) in enumerate(CASES)])


async def test_drill_usage_reported_whole(net):
    """A window whose counts a host still has goes without a report after the
    store was restored, or its report lacks counts."""
    async def row(net, beside):
        drill, first, last = await drilled(net, beside)
        got = {row[3]: row[4].get("t1", 0) for row in drill.rig.cloud.usage}
        wrong = wrong_usage(got, drill.starts, first, last)
        assert not wrong, (beside.__name__, wrong)
    await gather_rows([row(net + 200 * more, beside) for more, beside in
                       enumerate(beside for beside, owed in CASES if owed)])


async def test_drill_one_leader(net):
    """A leader of before the store was restored acts on with its old token, or
    nobody leads afterwards."""
    async def row(net, beside):
        drill, _, _ = await drilled(net, beside)
        drill.check_resumed(beside.__name__)
        calls = [call for call in drill.calls()
                 if call[0] < drill.restored_at[0] or
                 call[0] > drill.restored_at[-1] + SETTLED_S]
        holders = {}
        for _, host, token in calls:
            assert holders.setdefault(token, host) == host, (
                beside.__name__, token)
        highest = {}
        for row in sorted(drill.rig.cloud.usage + drill.rig.cloud.orders):
            subject = "usage" if len(row) == 5 else row[3:5]
            late = row[0] > drill.restored_at[-1] + SETTLED_S
            assert not late or row[2] >= highest.get(subject, 0), (
                beside.__name__, row, highest)
            highest[subject] = max(row[2], highest.get(subject, 0))
    await gather_rows([row(net + 200 * more, beside)
                       for more, (beside, _) in enumerate(CASES)])


async def test_drill_none(net):
    """The store loses nothing, and a window goes without a report, or duties
    rest for long, as a leader takes an ordinary restart for a restored store."""
    async def row(net, beside, owed):
        drill, first, last = await drilled(net, beside, restores=False)
        drill.check_resumed(beside.__name__)
        got = {row[3]: row[4].get("t1", 0) for row in drill.rig.cloud.usage}
        missing = [w for w in range(first, last + 1) if w not in got]
        wrong = wrong_usage(got, drill.starts, first, last) if owed else []
        assert not missing and not wrong, (beside.__name__, missing, wrong)
    await gather_rows([row(net + 200 * more, *case)
                       for more, case in enumerate(CASES)])


async def test_drill_host_key_returns(net):
    """A host whose key the restored store lacks isn't found by hosts that start
    later: its key is only renewed after minutes."""
    async with Rig(net, hosts=3) as rig:
        await rig.wait_membership()
        key = "rw/host/h2"
        await rig.wait_until("the key", lambda: key in rig.store.items)
        copy = rig.store.copy()
        del copy["items"][key]
        await Drill(rig).restore(copy)
        await rig.wait_until("the key is back", lambda: key in rig.store.items,
                             KEY_BACK_S)
        assert rig.store.items[key][3] in rig.store.leases


async def test_drill_streams_go_on(net):
    """Streams whose records the restored store lacks are refused when all hosts
    are killed afterwards: they are not recorded again."""
    async with Rig(net, hosts=3, llm=4) as rig:
        await rig.wait_membership()
        await list_versions(rig, ("v1", "v1", "v2", "v2"))
        copy = rig.store.copy()
        streams = await begin_streams(rig, 24)
        await asyncio.sleep(STREAMS_WRITTEN_S)
        await Drill(rig).restore(copy)
        await asyncio.sleep(STREAMS_WRITTEN_S)
        await restart_all(rig)
        results = []
        await take_up_streams(rig, streams, results)
        check_resumed(results, 0.9)


RATE, BURST, UNITS = 20000, 200000, 3000  # of an account; of a request
TOLERANCE = 20000
QUOTA_WINDOW_S = 8


async def spend_burst(net, restores):
    """An account spends its burst, all hosts are killed, and start with a store
    that says that nothing was spent; returns when requests were served, and
    when the hosts were killed."""
    async with Rig(net, hosts=6) as rig:
        await rig.wait_membership()
        limited = config(2, rate=RATE)
        limited["tenants"][0]["burst"] = BURST
        rig.store.put("op/config", limited)
        await rig.wait_until("the list of accounts",
                             lambda: "rw/limits" in rig.store.items, 20)
        copy = rig.store.copy()
        served = []
        senders = start_senders(rig, time.monotonic() + 6, "2000,1000", served)
        await asyncio.sleep(2)
        assert UNITS * len(served) > RATE * 2 + BURST
        drill, killed_at = Drill(rig, restores), time.monotonic()
        await asyncio.gather(*(drill.kill(host) for host in rig.hosts))
        await drill.restore(copy)
        await asyncio.gather(*(drill.start(host) for host in rig.hosts))
        await asyncio.gather(*senders)
        assert any(at > drill.restored_at[-1] + 1 for at in served)
        return served, killed_at


async def test_drill_quota_when_all_restart(net):
    """An account's burst is granted once more when all hosts start with a store
    that says that nothing was spent."""
    served, killed_at = await spend_burst(net, True)
    units = UNITS * len([at for at in served if at > killed_at])
    took = max(served) - killed_at
    assert units <= RATE * took * 1.1 + TOLERANCE, (units, took)


async def test_drill_none_quota_when_all_restart(net):
    """An account whose burst is ten seconds of its rate is granted more than its
    limit when all hosts restart."""
    served, _ = await spend_burst(net, False)
    units = UNITS * len(served)
    most = (RATE * QUOTA_WINDOW_S + BURST) * 1.1 + TOLERANCE
    assert units <= most, (units, most)


if __name__ == "__main__":
    sys.exit(main("proxydrill", globals(), FIRST_NET))
