#!/usr/bin/env python3
"""Tests of rw-proxyd: streams at workers that say late, badly or not at all which
process they are, and connections that show no end.

Usage: proxyprocess.py [--jobs N] [TEST...]
"""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from proxy import main  # noqa: E402
from proxyrig import ROUTES, Rig, config  # noqa: E402
from proxyversions import (EVENT_GAP_S, EVENTS, LISTED_S, Stream,  # noqa: E402
                           begin, check, play_rows, replace, started)

FIRST_NET = 130  # after those of proxyversions.py, in the next /16
LONG_ROUTES = {path: dict(ROUTES[path], timeout_ms=9000)
               for path in ("/s/", "/s1/")}
EARLY = 2  # events that a caller has got when something happens
EARLY_S = EARLY * EVENT_GAP_S  # the same, where the caller reads on
ROUTE_S = 1.0  # until a route applies


async def lengthen_routes(rig):
    rig.store.put("op/config", config(2, dict(ROUTES, **LONG_ROUTES)))
    await asyncio.sleep(ROUTE_S)


async def goes_on(row, stream, whole, first_event_s=0, has_room=False):
    """Plays a stream that begins, and goes on elsewhere after a few events."""
    await stream.begin()
    await stream.read(EARLY, first_event_s + EARLY_S)
    await stream.go_on(has_room)
    check(row, stream.parts, whole)


async def name_process(rig, host, worker, in_use):
    """A connection of the host has named the worker's process, and is idle or used
    by another stream. Returns the connections on which it was named."""
    caller, _ = await begin(rig, host, worker)
    await asyncio.sleep(0.2)
    named = [w for w in worker.writers if getattr(w, "reports", False)]
    if in_use:
        await begin(rig, host, worker)
        await asyncio.sleep(0.1)
    caller.close()
    await asyncio.sleep(0.1)
    return named


# Reports of the workers, none of which is replaced: how late they are, in s, and
# how bad.
REPORTS = [(0, None), (0.02, None)]
# The same, late or bad in each report.
BAD_REPORTS = [(0.3, None), (1.0, None), (0, 503), (0, 429), (0, 404),
               (0, "mute"), (0, "close"), (0, "no length"), (0, "garbled")]


async def reports(net, row, by_caller):
    delay_s, fault = row
    async with started(net, ("v1", "v1")) as rig:
        await lengthen_routes(rig)
        first, other = rig.workers_of("llm")
        for worker in (first, other):
            worker.report_delay_s, worker.report_fault = delay_s, fault
        await goes_on(row, Stream(rig, first, by_caller), True, has_room=True)


async def test_process_report_host_resumes(net):
    """Guards against a stream that is broken off as its worker, the listed one,
    has not said yet which process it is when it ends."""
    await play_rows(net, reports, REPORTS, False)


async def test_process_report_caller_resumes(net):
    """The same if the caller takes the stream up at another host."""
    await play_rows(net, reports, REPORTS, True)


async def test_process_report_late_or_bad_host_resumes(net):
    """The same with reports that are late or bad (known red)."""
    await play_rows(net, reports, BAD_REPORTS, False)


async def test_process_report_late_or_bad_caller_resumes(net):
    """The same if the caller takes the stream up at another host (known red)."""
    await play_rows(net, reports, BAD_REPORTS, True)


# The version of the process that is not listed, whether the connection that has
# named the former process shows no end, whether that one is in use.
SILENT = [("v2", False, False), ("v2", False, True), ("v2", True, True)]


async def silent(net, row, by_caller):
    version, is_silent, in_use = row
    async with started(net, ("v1", "v1")) as rig:
        first = rig.workers_of("llm")[0]
        named = await name_process(rig, rig.hosts[0], first, in_use)
        await replace(rig, first, version, silent=named if is_silent else ())
        await goes_on(row, Stream(rig, first, by_caller), False)


async def test_process_named_connection_shows_no_end_host_resumes(net):
    """Guards against a stream of a new process that counts as one of the process
    before it, as a connection to that one has gone silent."""
    await play_rows(net, silent, SILENT, False)


async def test_process_named_connection_shows_no_end_caller_resumes(net):
    """The same if the caller takes the stream up at another host."""
    await play_rows(net, silent, SILENT, True)


# Hosts, the version of the process that is not listed, how late its reports are,
# in s, and how bad. A single version is listed.
UNTOLD = [(2, "v2", 0, None), (2, "v2", 0.3, None), (2, "v2", 1.0, None),
          (2, "v2", 0, 503), (2, "v2", 0, 404), (2, "v2", 0, "close"),
          (3, "v2", 0.3, None), (6, "v2", 0.3, None), (6, "v2", 0, 503)]


async def untold(net, row, kills):
    hosts, version, delay_s, fault = row
    async with started(net, ("v1", "v1"), hosts) as rig:
        first = rig.workers_of("llm")[0]
        await replace(rig, first, version)
        first.report_delay_s, first.report_fault = delay_s, fault
        stream = Stream(rig, first, True)
        await stream.begin()
        await stream.read(EARLY)
        stream.leave()
        if kills:
            rig.hosts[0].kill()
        await stream.go_on()
        check(row, stream.parts, False)


async def test_process_late_report_caller_resumes(net):
    """Guards against a stream of an unlisted process that is taken up at the only
    version that is listed, before its process has said its start."""
    await play_rows(net, untold, UNTOLD, False)


async def test_process_late_report_host_killed_caller_resumes(net):
    """The same after the host that began the stream was killed."""
    await play_rows(net, untold, UNTOLD, True)


# How late the reports are, in s, and how bad, and how late the first events; no
# process is replaced.
FORWARDED = [(0, None, 0), (0, None, 0.1)]
LATE_FORWARDED = [(0.3, None, 0.1), (0.3, None, 0), (1.0, None, 0.1)]
BAD_FORWARDED = [(0, 503, 0.1)]


async def forwarded(net, row):
    delay_s, fault, first_event_s = row
    async with started(net, ("v1", "v1")) as rig:
        await lengthen_routes(rig)
        workers = rig.workers_of("llm")
        first, second = rig.hosts
        for worker in workers:
            worker.cut_links(first.ip, "reset")
        await begin_forwarded(rig, first)
        await asyncio.sleep(9)  # connections that were idle are closed
        for worker in workers:
            worker.report_delay_s, worker.report_fault = delay_s, fault
            worker.first_event_s = first_event_s
        caller = first.caller()
        ident = await caller.send("POST", "/s/x", b"b", remaining_ms=8000)
        await rig.wait_until("the run", lambda: rig.executed_by(ident))
        for worker in workers:
            worker.cut_links(first.ip, None)
        await asyncio.sleep(first_event_s + 0.2)
        second.kill()
        got = await caller.receive()
        check(row, [got], True)


async def begin_forwarded(rig, host):
    """Sends streams until one is forwarded."""
    for _ in range(40):
        caller = host.caller()
        await caller.send("POST", "/s/x", b"b", remaining_ms=8000)
        await asyncio.sleep(0.1)
        caller.close()
        if host.log_events("forward"):
            return
    raise AssertionError("no stream was forwarded")


async def test_process_forwarding_host_goes_on(net):
    """Guards against a forwarded stream that is broken off as the other host had
    no answer yet which process began it."""
    await play_rows(net, forwarded, FORWARDED)


async def test_process_forwarding_host_goes_on_late_report(net):
    """The same with reports that are late."""
    await play_rows(net, forwarded, LATE_FORWARDED)


async def test_process_forwarding_host_goes_on_bad_report(net):
    """The same with reports that are bad (known red)."""
    await play_rows(net, forwarded, BAD_FORWARDED)


# How late the reports of the process that is not listed are, in s, and how late its
# first event.
FORWARDED_UNLISTED = [(0, 0), (0, 0.1), (0.05, 0), (0.3, 0.1)]


async def forwarded_unlisted(net, row, is_listed):
    delay_s, first_event_s = row
    async with started(net, ("v1", "v1")) as rig:
        await lengthen_routes(rig)
        workers = rig.workers_of("llm")
        first, second = rig.hosts
        for worker in workers:
            worker.cut_links(first.ip, "reset")
        await begin_forwarded(rig, first)
        await asyncio.sleep(9)  # connections that were idle are closed
        target, other = workers
        await replace(rig, target, "v2")
        target.report_delay_s, target.first_event_s = delay_s, first_event_s
        other.mode = "full"
        caller = first.caller()
        ident = await caller.send("POST", "/s/x", b"b", remaining_ms=8000)
        await rig.wait_until("the run", lambda: ident in target.executed)
        other.mode = "ok"
        for worker in workers:
            worker.cut_links(first.ip, None)
        await asyncio.sleep(first_event_s + 0.2)
        if is_listed:
            rig.list_worker(target)
            await asyncio.sleep(LISTED_S)
        second.kill()
        got = await caller.receive()
        assert got.event_ids(), (row, got.status)
        check(row, [got], is_listed)


async def test_process_forwarding_host_is_told_no_guess(net):
    """Guards against a forwarded stream that goes on at another version, as the
    other host has told the listed one in place of that of its process."""
    await play_rows(net, forwarded_unlisted, FORWARDED_UNLISTED, False)


async def test_process_forwarding_host_goes_on_once_listed(net):
    """Guards against a forwarded stream that is broken off though its process is
    listed by then."""
    await play_rows(net, forwarded_unlisted, FORWARDED_UNLISTED[:3], True)


# Workers of the version, those that start again at it at the same time, after how
# many s they are listed.
RESTARTED = [(2, (1,), 0), (2, (1,), 0.1), (2, (1,), 0.4), (3, (1, 2), 0.4)]


async def restarted(net, row, by_caller):
    count, replaced, listed_s = row
    async with started(net, ("v1",) * count) as rig:
        workers = rig.workers_of("llm")
        stream = Stream(rig, workers[0], by_caller)
        await stream.begin()
        await stream.read(EARLY)
        stream.leave()
        for i in replaced:
            await workers[i].replace_process(workers[i].ident, False)

        async def list_later():
            await asyncio.sleep(listed_s)
            for i in replaced:
                rig.list_worker(workers[i])
        later = asyncio.create_task(list_later())
        if not listed_s:
            await asyncio.sleep(0.3)
        await stream.go_on()
        await later
        check(row, stream.parts, True)


async def test_process_same_version_late_entry_host_resumes(net):
    """Guards against a stream that is broken off while the only other workers have
    started again at its version and are listed a little later."""
    await play_rows(net, restarted, RESTARTED, False)


async def test_process_same_version_late_entry_caller_resumes(net):
    """The same if the caller takes the stream up at another host."""
    await play_rows(net, restarted, RESTARTED, True)


DRAIN_S = 2.0  # in which requests may reach a worker that is draining

# Workers of the version, how late the report of the second is, in s, how it
# leaves.
LEAVING = [(2, 3.5, "draining"), (2, 3.5, "removed"), (3, 3.5, "draining")]


async def leaving(net, row, by_caller):
    count, delay_s, how = row
    async with started(net, ("v1",) * count) as rig:
        await lengthen_routes(rig)
        workers = rig.workers_of("llm")
        stream = Stream(rig, workers[0], by_caller)
        await stream.begin()
        await stream.read(EARLY)
        stream.leave()
        target = workers[1]
        target.report_delay_s = delay_s
        for worker in workers[2:]:
            worker.mode = "full"
        task = asyncio.create_task(stream.go_on())
        await asyncio.sleep(0.3)
        if how == "draining":
            rig.store.put("servers/" + target.ident, target.entry(
                state="draining"))
        else:
            rig.store.remove("servers/" + target.ident)
        acked = time.monotonic()
        for worker in workers[2:]:
            worker.mode = "ok"
        await task
        late = {i: at - acked - DRAIN_S for i, at in target.received_at.items()
                if at - acked > DRAIN_S}
        assert not late, (row, late, stream.parts[-1].status)


async def test_process_late_report_of_leaving_worker_host_resumes(net):
    """Guards against a request that reaches a worker long after its leaving was
    acknowledged, as it has said late which process it is."""
    await play_rows(net, leaving, LEAVING, False)


async def test_process_late_report_of_leaving_worker_caller_resumes(net):
    """The same if the caller takes the stream up at another host."""
    await play_rows(net, leaving, LEAVING, True)


# Method and path of the requests that follow.
TWICE = [("POST", "/s/x"), ("POST", "/s1/x"), ("HEAD", "/s/x"), ("GET", "/s/x")]


async def twice(net, row):
    method, path = row
    async with started(net, ("v1", "v1")) as rig:
        for worker in rig.workers_of("llm"):
            worker.report_fault, worker.event_count = "twice", 4
        bad = []
        for _ in range(20):
            callers = [rig.hosts[0].caller() for _ in range(4)]
            for caller in callers:
                await caller.send(method, path, b"b", remaining_ms=8000)
            for caller in callers:
                got = await caller.receive()
                whole = got.complete and got.event_ids() == list(range(4))
                if got.status != 200 or b"born" in got.body or (
                        method != "HEAD" and not whole):
                    bad.append((got.status, got.body))
        assert not bad, (row, len(bad), bad[0])


async def test_process_second_report_is_no_answer(net):
    """Guards against a late second report, on a connection in use again, that is
    taken for the response to another request."""
    await play_rows(net, twice, TWICE)


# How long the worker is dark, in s, and the path of the stream that it ran then.
DARK = [(1.0, "/s1/x"), (4.5, "/s1/x"), (4.5, "/s/x")]


async def dark(net, row, by_caller):
    """A worker goes dark, as one without power, and is back under its id: no
    connection from before shows an end."""
    dark_s, path = row
    async with started(net, ("v1", "v1")) as rig:
        await lengthen_routes(rig)
        first = rig.workers_of("llm")[0]
        host = rig.hosts[0]
        first.event_count = 200
        caller, _ = await begin(rig, host, first)
        await asyncio.sleep(0.2)
        await begin(rig, host, first, path)
        caller.close()
        await asyncio.sleep(0.1)
        for each in rig.hosts:
            first.cut_links(each.ip, "hang")
        await asyncio.sleep(dark_s)
        first.version = "v2"
        await first.replace_process(first.ident, False, list(first.writers))
        for each in rig.hosts:
            first.cut_links(each.ip, None)
        first.event_count = EVENTS
        await goes_on(row, Stream(rig, first, by_caller), False)


async def test_process_worker_back_from_the_dark_host_resumes(net):
    """Guards against a stream of a worker that is back under its id and counts as
    one of the process before, to which a connection shows no end."""
    await play_rows(net, dark, DARK, False)


async def test_process_worker_back_from_the_dark_caller_resumes(net):
    """The same if the caller takes the stream up at another host."""
    await play_rows(net, dark, DARK, True)


# The version of the process in the place of the worker to which a stream migrates,
# how late its reports are, in s, whether it is listed before the stream goes on,
# the path.
MOVED = [("v2", 0, False, "/s1/x"), ("v2", 0, True, "/s1/x"),
         ("v2", 0, False, "/s/x"), ("v1", 0, False, "/s1/x"),
         ("v2", 0.2, False, "/s1/x"), ("v1", 0, True, "/s1/x")]
MOVE_S = 0.3  # from the call to the source's answer


async def moved(net, row):
    version, delay_s, listed, path = row
    async with started(net, ("v1", "v1")) as rig:
        await lengthen_routes(rig)
        source, target = rig.workers_of("llm")
        for worker in (source, target):
            worker.move_delay_s = MOVE_S
        caller, _ = await begin(rig, rig.hosts[0], source, path)
        rig.store.put("servers/" + source.ident, source.entry(
            state="draining", spot_instance=True, leaves_ms=1000))
        await rig.wait_until("the move", lambda: source.moving)
        target.report_delay_s = delay_s
        await replace(rig, target, version, listed)
        got = await caller.receive()
        check(row, [got], True)


async def test_process_target_of_migration_replaced(net):
    """Guards against a stream that goes on at a process of another version, or is
    broken off, as the worker that it migrates to was replaced meanwhile."""
    await play_rows(net, moved, MOVED)


# When the last bytes of the former process come, which the link has held up: after
# the next one has taken a request, in s; when that one writes its first event; how
# late its reports are.
HELD_UP = [(0.05, 0.2, 0), (0.05, 0.2, 0.4), (0.1, 0.0, 0.3), (None, 0.2, 0)]


async def held_up(net, row, by_caller):
    """A worker's process ends while the link holds up what it has sent; a new
    connection overtakes that."""
    after_s, first_event_s, delay_s = row
    async with started(net, ("v1", "v1")) as rig:
        first = rig.workers_of("llm")[0]
        await name_process(rig, rig.hosts[0], first, True)
        held = list(first.writers)
        first.first_event_s, first.report_delay_s = first_event_s, delay_s
        await replace(rig, first, "v2", silent=held)
        stream = Stream(rig, first, by_caller)
        await stream.begin()
        if after_s is not None:
            await asyncio.sleep(after_s)
            for writer in held:
                writer.silent = False
                writer.write(b"")
                writer.close()
        await stream.read(EARLY, first_event_s + EARLY_S)
        await stream.go_on()
        check(row, stream.parts, False)


async def test_process_bytes_held_up_host_resumes(net):
    """Guards against a stream of a new process that counts as one of the process
    before it, as bytes of that one arrive late."""
    await play_rows(net, held_up, HELD_UP, False)


async def test_process_bytes_held_up_caller_resumes(net):
    """The same if the caller takes the stream up at another host."""
    await play_rows(net, held_up, HELD_UP, True)


# How late the reports of the former process are, in s, and for how long the entry
# of the next one is there before that one serves.
EARLY_ENTRY = [(0, 0.5), (0.5, 0.0)]
LATE_EARLY_ENTRY = [(0.5, 0.5)]


async def early_entry(net, row, by_caller):
    delay_s, ahead_s = row
    async with started(net, ("v1", "v1", "v2")) as rig:
        first = rig.workers_of("llm")[0]
        first.report_delay_s = delay_s
        if ahead_s:
            rig.store.put("servers/" + first.ident, first.entry(
                version="v2", born=first.born + 1))
            await asyncio.sleep(ahead_s)
        stream = Stream(rig, first, by_caller)
        await stream.begin()
        await stream.read(EARLY, EARLY_S)
        first.report_delay_s = 0
        await replace(rig, first, "v2", True)
        await stream.go_on(has_room=True, lives_on=True)
        check(row, stream.parts, False)


async def test_process_listed_before_it_serves_host_resumes(net):
    """Guards against a stream that counts as one of the listed process, which did
    not serve yet when it began."""
    await play_rows(net, early_entry, EARLY_ENTRY, False)


async def test_process_listed_before_it_serves_caller_resumes(net):
    """The same if the caller takes the stream up at another host."""
    await play_rows(net, early_entry, EARLY_ENTRY, True)


async def test_process_listed_before_it_serves_late_report(net):
    """The same if the report of the former process is late (known red)."""
    await play_rows(net, early_entry, LATE_EARLY_ENTRY, False)


# Versions of workers; the second one's process is replaced at "v2" and never listed.
# After how many s the next stream begins there (None: none does).
NEVER_LISTED = [(("v1", "v1"), None), (("v1", "v1"), 0.3)]
ENTRY_S = 2.5     # that a stream waits for an entry
ENTRY_SLACK_S = 1.0


async def never_listed(net, row, by_caller):
    versions, gap_s = row
    async with started(net, versions) as rig:
        await lengthen_routes(rig)
        first, other = rig.workers_of("llm")
        host = rig.hosts[1 if by_caller else 0]
        stream = Stream(rig, first, by_caller)
        await stream.begin()
        await stream.read(EARLY)
        await replace(rig, other, "v2")

        async def begin_streams():
            while gap_s:
                new = host.caller()
                await new.send("POST", "/s/x", b"b", remaining_ms=8000)
                await asyncio.sleep(gap_s)
        task = asyncio.create_task(begin_streams())
        await asyncio.sleep(0.5)
        began = time.monotonic()
        stream.leave()
        first.end_process()
        await stream.go_on(has_room=True, lives_on=True)
        waited = time.monotonic() - began
        task.cancel()
        check(row, stream.parts, False)
        assert waited < ENTRY_S + ENTRY_SLACK_S, (
            row, waited, stream.parts[-1].status)


async def test_process_never_listed_host_resumes(net):
    """Guards against a stream that waits for an entry until its deadline, as a
    process that is not listed goes on answering."""
    await play_rows(net, never_listed, NEVER_LISTED, False)


async def test_process_never_listed_caller_resumes(net):
    """The same if the caller takes the stream up at another host."""
    await play_rows(net, never_listed, NEVER_LISTED, True)


async def test_process_report_of_next_process_after_pause(net):
    """Guards against a stream that counts as one of the next process, which its
    host has asked once it goes on, as its own connection shows no end."""
    async with started(net, ("v1", "v2"), hosts=1) as rig:
        await lengthen_routes(rig)
        first = rig.workers_of("llm")[0]
        first.first_event_s = 0.2
        host = rig.hosts[0]
        caller, ident = await begin(rig, host, first)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(0.3)  # the first events are on their way
        first.version = "v2"
        await first.replace_process(first.ident, False, list(first.writers))
        await asyncio.sleep(0.05)
        host.signal(signal.SIGCONT)
        await asyncio.sleep(0.3)
        rig.list_worker(first)
        got = await caller.receive()
        check(None, [got], False)


# Streams at a time, the path, how late the reports are, in s, and how bad;
# connections to the worker that its streams need.
CONNECTIONS = [(1, "/s/x", 0, None, 1), (5, "/s/x", 0, None, 5),
               (1, "/s1/x", 0, None, 1), (1, "/s/x", 0.02, None, 1),
               # Late, it is asked once more, as the first stream runs.
               (1, "/s/x", 1.0, None, 3),
               # An answer that names no process ends its connection; one is
               # asked for twice in the 2 s of a stream.
               (1, "/s/x", 0, 503, 7)]


async def connections(net, row):
    count, path, delay_s, fault, most = row
    async with started(net, ("v1",), hosts=1) as rig:
        worker, host = rig.workers_of("llm")[0], rig.hosts[0]
        worker.report_delay_s, worker.report_fault = delay_s, fault
        callers = [host.caller() for _ in range(count)]
        for _ in range(3):
            for caller in callers:
                await caller.send("POST", path, b"b", remaining_ms=8000)
            for caller in callers:
                check(row, [await caller.receive()], True)
        assert worker.connections <= most, (row, worker.connections)


async def test_process_question_opens_no_connection(net):
    """Guards against a connection that is opened only to ask a worker which process
    it is, as a stream occupies the only one."""
    await play_rows(net, connections, CONNECTIONS)


if __name__ == "__main__":
    sys.exit(main("proxyprocess", globals(), FIRST_NET))
