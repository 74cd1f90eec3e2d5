"""A stream that may not be resumed is moved away from a worker that leaves.
The worker that it is moved to can't be reached from the hosts."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import small  # noqa: E402
from proxyrig import ROUTES, config  # noqa: E402
from standin import Worker  # noqa: E402

STREAMS = 18
WORKERS = 7  # one that leaves, or is cut off, is a share of 0.143
ROUTE = {"/s1/": dict(ROUTES["/s1/"], max_attempts=2, timeout_ms=15000,
                     target_latency_ms=1000)}


class Recording(Worker):
    """A worker that records the requests that it runs, and how."""

    def __init__(self, record, *args):
        super().__init__(*args)
        self.record = record
        self.fresh = []  # ids of the requests that it ran from their start
        self.event_count, self.event_gap_s = 100, 0.05

    async def handle_request(self, head, body, reader, writer):
        headers = head[1]
        ident = headers.get("redwingpitch-attempt-id")
        before = len(self.executed)
        if head[0].startswith("POST /-/kv-move"):
            self.record("%s is asked to move a run: %s" %
                        (self.ident, body.decode()))
        elif ident:
            self.record("%s reaches %s, Last-Event-Id %s, Kv-From %s" % (
                ident, self.ident, headers.get("last-event-id", "-"),
                headers.get("kv-from", "-")))
            if "kv-from" not in headers:
                self.fresh.append(ident)
        kept = await super().handle_request(head, body, reader, writer)
        if ident and len(self.executed) == before:
            self.record("%s is rejected by %s" % (ident, self.ident))
            if "kv-from" not in headers:
                self.fresh.remove(ident)
        return kept


async def stream(host, record):
    caller = host.caller()
    ident = await caller.send("POST", "/s1/x", b"prompt", remaining_ms=15000)
    record("%s is sent to %s" % (ident, host.name))
    got = await caller.receive()
    record("%s is answered: status %d, complete %s, %d events" % (
        ident, got.status, got.complete, len(got.event_ids())))
    caller.close()
    return ident, got


async def run(record):
    async with small.Deployment(hosts=3, llm=0, api=1) as rig:
        workers = [Recording(record, "w-llm-%d" % i, "llm",
                             rig.ip(100 + i) + ":8000",
                             ["z1", "z2"][i % 2]) for i in range(WORKERS)]
        leaving, added = workers[0], workers[-1]
        rig.workers += workers
        rig.store.put("op/config", config(2, ROUTE))
        for worker in workers[:-1]:
            await worker.start()
            rig.list_worker(worker)
        await rig.wait_membership()
        await asyncio.sleep(2.5)
        host = rig.hosts[0]
        streams = []
        for _ in range(STREAMS):
            streams.append(asyncio.create_task(stream(host, record)))
            await asyncio.sleep(0.03)
        await asyncio.sleep(0.4)
        # A worker is added. With the disruption it can't be reached from the
        # hosts for 5 s: connections to it are refused.
        if small.trouble():
            record("%s is cut off from the hosts" % added.ident)
        else:
            await added.start()
        rig.list_worker(added)
        record("%s is listed" % added.ident)
        await asyncio.sleep(0.5)
        record("%s reports draining" % leaving.ident)
        rig.store.put("servers/" + leaving.ident,
                      leaving.entry(state="draining"))
        if small.trouble():
            await asyncio.sleep(4.4)
            await added.start()
            record("%s can be reached again" % added.ident)
        done = await asyncio.gather(*streams)
        held = True
        for ident, _ in done:
            runs = [w.ident for w in workers for i in w.fresh if i == ident]
            record("%s was run by %s" % (ident, ", ".join(runs)))
            held &= len(runs) <= 1
        return held


small.main(FOLDER, run)
