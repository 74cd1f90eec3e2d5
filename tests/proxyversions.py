#!/usr/bin/env python3
"""Tests of rw-proxyd: streams keep their software version while workers' processes
are replaced under the ids that they had.

Usage: proxyversions.py [--jobs N] [TEST...]
"""
import asyncio
import contextlib
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from proxyrig import ROUTES, Rig, config  # noqa: E402
from proxy import CONFIG_BOUND_S, main  # noqa: E402
from standin import Worker, response  # noqa: E402

FIRST_NET = 186  # after those of proxyends.py
EVENTS, EVENT_GAP_S = 40, 0.05
TRIES = 60  # until a stream begins at a certain worker
SETTLE_S = 0.1  # until a host has read that connections have ended
LISTED_S = 1.0  # until all hosts have a worker's entry


async def replace(rig, worker, version, listed=False, silent=()):
    """Another process serves the worker's address and id from now on. Those of the
    former one's connections that are silent show no end."""
    worker.version = version
    await worker.replace_process(worker.ident, False, silent)
    if listed:
        rig.list_worker(worker)
    await asyncio.sleep(SETTLE_S)


async def begin(rig, host, worker, path="/s/x"):
    """Begins a stream at a worker; returns the caller and the stream's id."""
    for _ in range(TRIES):
        caller = host.caller()
        ident = await caller.send("POST", path, b"b", remaining_ms=8000)
        await rig.wait_until("the run", lambda: rig.executed_by(ident))
        if ident in worker.executed:
            return caller, ident
        caller.close()
    raise AssertionError("no stream began at " + worker.ident)


class Stream:
    """A stream that begins at a worker and goes on elsewhere: its caller takes it up
    at another host, or its host resumes it."""

    def __init__(self, rig, worker, by_caller):
        self.rig, self.worker, self.by_caller = rig, worker, by_caller
        self.parts = []  # responses to its callers

    async def begin(self):
        self.caller, self.ident = await begin(self.rig, self.rig.hosts[0],
                                              self.worker)

    async def read(self, events, wait_s=0):
        """Its caller gets some events, or wait_s pass if the host resumes it."""
        if self.by_caller:
            self.parts.append(await self.caller.receive(events=events))
        else:
            await asyncio.sleep(wait_s)

    def leave(self):
        """Its caller leaves, if it is to take the stream up."""
        if self.by_caller:
            self.caller.close()

    async def go_on(self, has_room=False, lives_on=False):
        """Receives the rest. The worker then has no room for the stream unless
        has_room, or its process ends unless it lives_on."""
        self.leave()
        if not self.by_caller:
            if not lives_on:
                self.worker.end_process()
            self.parts.append(await self.caller.receive())
            return
        if not has_room:
            self.worker.mode = "full"
        self.parts.append(await self.rig.hosts[1].request(
            "POST", "/s/x", b"b", remaining_ms=8000, headers=[
                "Last-Event-Id: %d" % self.parts[0].event_ids()[-1],
                "Resumes: " + self.ident]))


def check(row, parts, whole):
    versions = set().union(*[got.versions() for got in parts])
    ids = [i for got in parts for i in got.event_ids()]
    assert len(versions) == 1, (row, versions, [got.body for got in parts])
    assert ids == list(range(len(ids))), (row, ids)
    if whole:
        assert parts[-1].complete and len(ids) == EVENTS, (
            row, [(got.status, got.body) for got in parts])


@contextlib.asynccontextmanager
async def started(net, versions, hosts=2):
    """Two hosts and workers of these versions."""
    async with Rig(net, hosts=hosts, llm=len(versions)) as rig:
        await rig.wait_membership()
        for worker, version in zip(rig.workers_of("llm"), versions):
            worker.version = version
            worker.event_count, worker.event_gap_s = EVENTS, EVENT_GAP_S
            rig.list_worker(worker)
        await asyncio.sleep(CONFIG_BOUND_S)
        yield rig


# Versions that are listed, workers whose process is replaced, its version,
# whether hosts have used connections to it, whether it is listed at once,
# whether the stream must go on.
RESUMED = [
    (("v1", "v1"), (1,), "v2", False, False, False),
    (("v1", "v1"), (1,), "v2", True, False, False),
    (("v1", "v1", "v1"), (1,), "v2", False, False, True),
    (("v1", "v1", "v1"), (1,), "v2", True, False, True),
    (("v1", "v1", "v1", "v3"), (1,), "v2", False, False, True),
    (("v1", "v1", "v1", "v3"), (1,), "v3", True, False, True),
    (("v1", "v1", "v3"), (1,), "v3", False, False, False),
    (("v1", "v1", "v1", "v3"), (1,), "v3", False, True, True),
    (("v1", "v1", "v3", "v3"), (1,), "v1", False, False, False),
    (("v1", "v3", "v3", "v3"), (1,), "v1", False, True, True),
]


async def play_rows(net, play, rows, *settings):
    """Plays all rows at once; fails with those that failed."""
    ends = await asyncio.gather(*[play(net + 200 * more, row, *settings)
                                  for more, row in enumerate(rows)],
                                return_exceptions=True)
    failures = [end for end in ends if end is not None]
    assert not failures, "%d of %d rows: %s" % (
        len(failures), len(rows), "; ".join(map(repr, failures)))


async def resumed(net, row, by_caller):
    versions, replaced, version, used, listed, whole = row
    async with started(net, versions) as rig:
        workers = rig.workers_of("llm")
        if used:
            for host in rig.hosts:
                for i in replaced:
                    caller, _ = await begin(rig, host, workers[i])
                    await caller.receive()
        stream = Stream(rig, workers[0], by_caller)
        await stream.begin()
        await stream.read(3)
        stream.leave()
        for i in replaced:
            await replace(rig, workers[i], version, listed)
        if listed:
            await asyncio.sleep(LISTED_S)
        await stream.go_on()
        check(row, stream.parts, whole)


async def test_version_worker_replaced_before_host_resumes(net):
    """Guards against a stream that its host resumes at a process of another
    version, which is not listed yet."""
    await play_rows(net, resumed, RESUMED, False)


async def test_version_worker_replaced_before_caller_resumes(net):
    """Guards against a stream that is taken up at a process of another version,
    which is not listed yet."""
    await play_rows(net, resumed, RESUMED, True)


# Versions that are listed, that of the process at which the stream begins in
# place of the first one, whether the host has used connections to it, after how
# many s the process is listed (None: never), whether the stream must go on.
BEGUN = [
    (("v1", "v1"), "v2", False, None, False),
    (("v1", "v1"), "v2", True, None, False),
    (("v1", "v1", "v2"), "v2", False, None, False),
    (("v1", "v1", "v2"), "v2", False, 0.1, True),
    (("v1", "v1", "v2"), "v2", True, 0.1, True),
    (("v1", "v1", "v1"), "v1", False, 0.1, True),
    (("v1", "v3", "v3"), "v3", False, 0.1, True),
]


async def begun(net, row, by_caller):
    versions, version, used, listed_s, whole = row
    async with started(net, versions) as rig:
        first = rig.workers_of("llm")[0]
        if used:
            caller, _ = await begin(rig, rig.hosts[0], first)
            await caller.receive()  # its connection is kept
        await replace(rig, first, version)
        stream = Stream(rig, first, by_caller)
        await stream.begin()
        await stream.read(2)
        if listed_s:
            await asyncio.sleep(listed_s)
            rig.list_worker(first)
            await asyncio.sleep(LISTED_S)
        await stream.go_on()
        check(row, stream.parts, whole)


async def test_version_stream_begun_at_unlisted_process_host_resumes(net):
    """Guards against a stream that goes on at the version that was listed for the
    worker's id when its process had another one."""
    await play_rows(net, begun, BEGUN, False)


async def test_version_stream_begun_at_unlisted_process_caller_resumes(net):
    """The same if the caller takes the stream up at another host."""
    await play_rows(net, begun, BEGUN, True)


# Whether the worker that a stream is moved to has room for it (and then refuses
# connections), the path, whether the stream must go on. The next process at the
# first worker has given out the same handle.
MOVED = [
    (False, "/s/x", True),
    (False, "/s1/x", False),
    (True, "/s/x", True),
    (True, "/s1/x", False),
]


async def moved(net, row):
    has_room, path, whole = row
    async with started(net, ("v1",) * 3, hosts=1) as rig:
        caller = rig.hosts[0].caller()
        ident = await caller.send("POST", path, b"b", remaining_ms=8000)
        await rig.wait_until("the run", lambda: rig.executed_by(ident))
        source = [w for w in rig.workers if ident in w.executed][0]

        async def handle_move(body, writer):
            """The process ends with its answer."""
            source.moving = body["target"]
            source.stopped.add(ident)
            await asyncio.sleep(2 * EVENT_GAP_S)
            if has_room:
                [w for w in rig.workers if w.address == source.moving
                 ][0].kill()
            source.writers.discard(writer)
            await replace(rig, source, "v2")
            Worker.kv_copies[source.address + "/m-1"] = {source.address}
            writer.write(response(200 if has_room else 503, json.dumps(
                {"copy_handle": "m-1", "created": 0}).encode(),
                ["Connection: close"]))
            return False
        source.handle_move = handle_move
        rig.store.put("servers/" + source.ident, source.entry(
            state="draining", spot_instance=True, leaves_ms=1200))
        got = await caller.receive()
        assert source.moving, row
        check(row, [got], whole)
        assert whole or not got.complete, row


async def test_version_source_of_move_replaced(net):
    """Guards against a stream that goes on from the KV cache of another one, at a
    process that gave out the same handle as the former one under its id."""
    await play_rows(net, moved, MOVED)


# Of a service without an engine: versions that are listed, that of the next process
# of the second worker, to which the host has used connections.
SERVICE = [
    (("v1", "v1"), "v2"),
    (("v1", "v1", "v3"), "v2"),
]


async def service_resumed(net, row, by_caller):
    versions, version = row
    settings = config(2, ROUTES)
    del settings["services"][0]["inference_engine"]
    async with started(net, versions) as rig:
        rig.store.put("op/config", settings)
        await asyncio.sleep(LISTED_S)
        first, other = rig.workers_of("llm")[:2]
        for host in rig.hosts:
            caller, _ = await begin(rig, host, other)
            await caller.receive()
        stream = Stream(rig, first, by_caller)
        await stream.begin()
        await stream.read(3)
        stream.leave()
        await replace(rig, other, version)
        await stream.go_on()
        check(row, stream.parts, False)


async def test_version_service_replaced_host_resumes(net):
    """Guards against a stream of a service without an engine that goes on at a
    process of another version, although connections to the worker have ended."""
    await play_rows(net, service_resumed, SERVICE, False)


async def test_version_service_replaced_caller_resumes(net):
    """The same if the caller takes the stream up at another host."""
    await play_rows(net, service_resumed, SERVICE, True)


if __name__ == "__main__":
    sys.exit(main("proxyversions", globals(), FIRST_NET))
