#!/usr/bin/env python3
"""Tests of rw-proxyd: responses without a length, whose end is proved by the
process that sent them.

Usage: proxyends.py [--jobs N] [TEST...]
"""
import asyncio
import contextlib
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from proxyrig import LOG_FLUSH_S, Rig, config  # noqa: E402
from proxy import (CONFIG_BOUND_S, ENDED_PROCESSES, NOT_EXECUTED,  # noqa: E402
                   REPLACEMENTS, end_process, main)
from standin import response  # noqa: E402

FIRST_NET = 161  # after those of proxy.py


def answers(worker, path, answer, limit=None):
    """Makes a worker answer GET requests for a path by `answer`, a coroutine
    that gets its writer; the first `limit` ones, or all."""
    plain = worker.handle_request
    left = [limit]

    async def handle_request(head, body, reader, writer):
        if head[0].startswith("GET " + path + " ") and left[0] != 0:
            if left[0]:
                left[0] -= 1
            return await answer(writer)
        return await plain(head, body, reader, writer)
    worker.handle_request = handle_request


def answers_with(status, body=b"", headers=(), after_s=0):
    async def answer(writer):
        await asyncio.sleep(after_s)
        writer.write(response(status, body, headers))
        return True
    return answer


def answers_raw(text):
    async def answer(writer):
        writer.write(text)
        return False
    return answer


REFUSED = ["Redwingpitch-Not-Executed: 1"]
# How the next process, under the same id, answers for its report.
REPORTS = [
    answers_with(503, b"", REFUSED), answers_with(429, b"", REFUSED),
    answers_with(404), answers_with(400, b"", REFUSED),
    answers_with(200, b"{"), answers_with(200, b'{"state":"starting"}'),
    answers_with(200, b'{"born":"2"}'), answers_with(200, b'{"born":2.0}'),
    answers_with(200, b'{"born":0}'),
    answers_with(200, b'{"born":2,"x":"' + b"x" * (1 << 20) + b'"}'),
    answers_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"born\""),
    answers_raw(b"HTTP/1.1 200 OK\r\n\r\n{\"born\""),
]


async def test_end_replaced_engine_does_not_say_its_start(net):
    """An engine that is replaced under its id is not proved by its id when the
    next process does not say its start: the start that was listed is known."""
    def replace(worker, report):
        async def end():
            await worker.replace_process(worker.ident, False)
            answers(worker, "/-/report", report)
        return end()
    await gather_rows([
        end_process(net + 200 * more, ENDED_PROCESSES[1],
                    lambda worker, report=report: replace(worker, report))
        for more, report in enumerate(REPORTS)])


async def gather_rows(rows):
    """Runs all rows, and names those that fail."""
    results = await asyncio.gather(*rows, return_exceptions=True)
    failed = [(number, str(result)[:150] or repr(result))
              for number, result in enumerate(results) if result]
    assert not failed, "%d of %d rows:\n%s" % (
        len(failed), len(results), "\n".join(map(str, failed)))


async def test_end_service_replaced_under_its_id(net):
    """A call without a length at a service whose process is replaced under the
    same id is not whole."""
    def replace(worker, keeps_socket, listed):
        async def end():
            await worker.replace_process(worker.ident, keeps_socket)
            if listed:
                worker.restarted(worker)
        return end()
    await gather_rows([
        end_process(net + 200 * more, row,
                    lambda worker, change=change: replace(worker, *change))
        for more, (row, change) in enumerate(
            (row, change[1:]) for row in ENDED_PROCESSES[2:4]
            for change in REPLACEMENTS[2:])])


async def test_end_other_service_rejects_the_check(net):
    """A process of another service that has taken the address, and rejects the
    health check before it looks at the expected instance (400 without an id,
    503 when full), does not prove the end."""
    def replace(worker, status):
        async def end():
            await worker.replace_process("w-next", False)
            answers(worker, "/health", answers_with(status, b"", REFUSED))
        return end()
    await gather_rows([
        end_process(net + 200 * more, row,
                    lambda worker, status=status: replace(worker, status))
        for more, (row, status) in enumerate(
            (row, status) for row in ENDED_PROCESSES[2:4]
            for status in (400, 503, 429))])


async def test_end_start_listed_after_the_request(net):
    """Without a start in the entry when the request was sent, a process that
    says one afterwards, and is listed with it, does not prove the end."""
    def replace(worker, keeps_socket):
        async def end():
            await worker.replace_process(worker.ident, keeps_socket)
            worker.restarted(worker)
            await asyncio.sleep(0)
        return end()
    await gather_rows([
        end_process(net + 200 * more, ENDED_PROCESSES[1],
                    lambda worker, keeps=keeps: replace(worker, keeps), born=0)
        for more, keeps in enumerate((False, True))])


async def test_end_process_ends_in_steps(net):
    """A process that closes its streams in order and ends 10 ms later, while it
    still answers, does not prove that they are whole."""
    def end(worker, after_s):
        async def steps():
            for writer in list(worker.writers):
                writer.close()
            await asyncio.sleep(after_s)
            worker.end_process()
        return steps()
    await gather_rows([
        end_process(net + 200 * more, row,
                    lambda worker, after=after: end(worker, after))
        for more, (row, after) in enumerate(
            (row, after) for row in (ENDED_PROCESSES[1], ENDED_PROCESSES[3])
            for after in (0.003, 0.01))])


@contextlib.asynccontextmanager
async def engine_with(net, connections):
    """A host and its only engine, whose streams have no length from now on; each
    of so many connections has carried a stream that had one."""
    async with Rig(net, llm=1) as rig:
        host, worker = rig.hosts[0], rig.workers_of("llm")[0]
        got = await asyncio.gather(*[
            host.request("POST", "/s1/x", b"b") for _ in range(connections)])
        assert all(g.complete for g in got)
        worker.unframed, worker.event_gap_s = "paced", 0.1
        yield rig, host, worker


async def play_rows(net, play, rows):
    await gather_rows([play(net + 200 * more, *row)
                       for more, row in enumerate(rows)])


async def dies_slowly(net, kept, gap_s):
    async with engine_with(net, kept) as (rig, host, worker):
        plain, streams, dead = worker.handle_request, [], set()

        async def handle_request(head, body, reader, writer):
            if writer in dead:
                await asyncio.sleep(3600)
            if head[0].startswith("POST "):
                streams.append(writer)
            return await plain(head, body, reader, writer)
        worker.handle_request = handle_request
        caller = host.caller()
        await caller.send("POST", "/s1/x", b"b")
        await rig.wait_until("the run", lambda: streams)
        await asyncio.sleep(0.05)
        dead.update(worker.writers)
        worker.server.close()
        worker.born += 1
        await worker.start()
        streams[0].close()
        for number, writer in enumerate(dead - {streams[0]}, 1):
            asyncio.get_running_loop().call_later(gap_s * number,
                                                  writer.close)
        got = await caller.receive()
        assert not got.complete, (kept, gap_s, got.body)


# Connections to the engine, and between the ends of two of them, in s.
DIES_SLOWLY = [(2, 0.03), (2, 0.06), (4, 0.03)]
DIES_VERY_SLOWLY = [(4, 0.06), (5, 0.1), (9, 0.06)]


async def test_end_process_dies_slowly(net):
    """The connections of a process that dies, which are closed some time after the
    end of a stream, do not prove that it is whole."""
    await play_rows(net, dies_slowly, DIES_SLOWLY)


async def test_end_process_dies_very_slowly(net):
    """The same if the last one is closed 0.2 s after the end or later, when those
    that are open count as proof where the process is not known."""
    await play_rows(net, dies_slowly, DIES_VERY_SLOWLY)


async def test_end_whole_response_of_busy_service(net):
    """A whole response without a length is delivered though the worker's health
    check waits for a slot, as any request does."""
    async def row(net, path, wait_s):
        async with Rig(net) as rig:
            for worker in rig.workers_of("api"):
                worker.unframed = "paced"
                answers(worker, "/health", answers_with(
                    200, b"", ["Redwingpitch-Instance-Id: " + worker.ident],
                    wait_s))
            await asyncio.sleep(0.3)
            statuses, runs = [], []
            for _ in range(4):
                got = await rig.hosts[0].request("POST", path, b"b")
                statuses.append(got.status)
                runs.append(len(rig.executed_by(got.ident)))
            await asyncio.sleep(LOG_FLUSH_S)
            blocked = [line for line in rig.hosts[0].log_events("poison")]
            assert set(statuses) == {200} and set(runs) == {1}, (
                statuses, runs, blocked)
    await gather_rows([
        row(net + 200 * more, path, wait_s)
        for more, (path, wait_s) in enumerate(
            [("/i/x", 0.5), ("/i/x", 1.3), ("/o/x", 1.3), ("/o2/x", 1.3)])])


async def test_end_whole_stream_though_connections_close(net):
    """A whole stream is delivered though the worker closes its kept connections
    just when it is asked on them."""
    async def row(net, kept):
        async with Rig(net, llm=1) as rig:
            host, worker = rig.hosts[0], rig.workers_of("llm")[0]
            got = await asyncio.gather(*[
                host.request("POST", "/s1/x", b"b") for _ in range(kept)])
            assert all(g.complete for g in got)
            worker.unframed = "paced"

            async def close(writer):
                return False
            answers(worker, "/-/report", close, kept - 1)
            got = await host.request("POST", "/s1/x", b"b")
            assert got.complete, got.body
    await gather_rows([row(net + 200 * more, kept)
                       for more, kept in enumerate((2, 3, 4, 6))])


async def test_end_whole_stream_at_connection_limit(net):
    """A whole stream is delivered though the worker, at its connection limit,
    resets new connections for 100 ms after its end."""
    async with Rig(net, llm=1) as rig:
        host, worker = rig.hosts[0], rig.workers_of("llm")[0]
        worker.unframed = "paced"
        caller = host.caller()
        ident = await caller.send("POST", "/s1/x", b"b")
        await rig.wait_until("the run", lambda: rig.executed_by(ident))
        worker.cut_links(host.ip, "new")
        asyncio.get_running_loop().call_later(
            0.35, worker.cut_links, host.ip, None)
        got = await caller.receive()
        assert got.complete, got.body


async def check_reset(net, kept, open_s):
    async with engine_with(net, kept + 1) as (rig, host, worker):
        caller = host.caller()
        ident = await caller.send("POST", "/s1/x", b"b")
        await rig.wait_until("the run", lambda: rig.executed_by(ident))
        await asyncio.sleep(0.05)

        async def close(writer):
            return False
        answers(worker, "/-/report", close)
        older = [w for w in worker.writers if w is not worker.last]
        worker.last.close()
        await asyncio.sleep(open_s)
        worker.server.close()
        for writer in older:
            writer.close()
        got = await caller.receive()
        assert not got.complete, got.body


# Connections besides that of the stream, and for how long they are open after its
# end, in s.
CHECK_RESET = [(2, 0.03), (4, 0.03), (4, 0.06)]


async def test_end_check_reset_while_connections_end(net):
    """Guards against a stream that counts as whole in the middle: its process ends,
    its other connections some ms after the stream's, and the check whether it
    still runs is reset in between."""
    await play_rows(net, check_reset, CHECK_RESET)


async def test_end_check_in_progress(net):
    """The host survives what comes while a worker is asked, and no request that
    has run is answered as one that has not."""
    async def row(net, path, event):
        async with Rig(net, hosts=2) as rig:
            host = rig.hosts[0]
            for worker in rig.workers:
                worker.unframed, worker.event_gap_s = "paced", 0.02
                for asked in ("/-/report", "/health"):
                    answers(worker, asked, answers_with(
                        200, b'{"born":1}',
                        ["Redwingpitch-Instance-Id: " + worker.ident], 0.8))
            await asyncio.sleep(CONFIG_BOUND_S)
            caller = host.caller()
            ident = await caller.send(
                "POST", path, b"b",
                remaining_ms=600 if event == "deadline" else 3000)
            await rig.wait_until("the run", lambda: rig.executed_by(ident))
            await asyncio.sleep(0.4)
            worker = [w for w in rig.workers if ident in w.executed][0]
            if event == "disconnect":
                caller.close()
            elif event == "sigterm":
                host.signal(signal.SIGTERM)
            elif event == "config":
                rig.store.put("op/config", config(2, {
                    "/z/": {"kind": "idempotent", "service": "api"}}))
            elif event == "removed":
                rig.store.remove("servers/" + worker.ident)
            elif event == "replaced":
                rig.store.put("servers/" + worker.ident, worker.entry(born=7))
            elif event == "moved":
                rig.store.put("servers/" + worker.ident,
                              worker.entry(address=rig.ip(199) + ":8000"))
            elif event == "bad":
                rig.store.put("servers/" + worker.ident, "{")
            elif event == "dies":
                worker.end_process()
            if event != "disconnect":
                got = await caller.receive()
                assert got.status not in NOT_EXECUTED, (event, got.status)
                if event in ("config", "sigterm", "removed", "bad"):
                    assert got.status == 200 and got.complete, (
                        event, got.status, got.body)
                if got.complete and got.status == 200 and "/s" in path:
                    assert got.event_ids() == list(range(10)), got.body
                limit = {"/s/x": 3, "/i/x": 2}.get(path, 1)
                assert len(rig.executed_by(ident)) <= limit
            await asyncio.sleep(1.2)
            if event == "sigterm":
                await rig.wait_until(
                    "the end", lambda: host.process.poll() is not None, 10)
                assert host.process.returncode == 0, host.process.returncode
            else:
                assert host.process.poll() is None, (event, host.log)
            with open(host.log) as file:
                assert "Sanitizer" not in file.read(), host.log
    rows = [(path, event)
            for path in ("/s/x", "/s1/x", "/i/x", "/o/x", "/o2/x")
            for event in ("disconnect", "sigterm", "config", "removed",
                          "replaced", "moved", "bad", "dies", "deadline")]
    for first in range(0, len(rows), 9):
        await gather_rows([row(net + 200 * (first + more), *pair)
                           for more, pair
                           in enumerate(rows[first:first + 9])])


async def test_end_late_extra_answer_to_check(net):
    """An extra answer to the question who a worker is, which comes late on a
    kept connection, is not taken for that of the next request there."""
    async with Rig(net) as rig:
        host, asked = rig.hosts[0], set()
        extra = response(503, b"", REFUSED)
        for worker in rig.workers_of("api"):
            async def answer(writer):
                writer.write(extra)
                asked.add(writer)
                return True

            async def once_more(head, body, reader, writer,
                                plain=worker.handle_request):
                if writer in asked:
                    asked.discard(writer)
                    writer.write(extra)
                    await asyncio.sleep(0.02)
                return await plain(head, body, reader, writer)
            worker.handle_request = once_more
            answers(worker, "/health", answer)
            worker.unframed = "paced"
        for _ in range(6):
            got = await host.request("POST", "/i/x", b"b")
            assert got.status in (200, 502), got.status
            got = await host.request("POST", "/o2/x", b"b")
            runs = rig.executed_by(got.ident)
            assert len(runs) == 1 and got.status not in NOT_EXECUTED, (
                got.status, runs)


async def test_end_worker_replaced_before_move(net):
    """A stream whose worker is replaced while its host is paused, just before
    the stream is to be moved, is not whole."""
    async def row(net, ident, pause_s):
        async with Rig(net) as rig:
            host = rig.hosts[0]
            for worker in rig.workers_of("llm"):
                worker.event_count, worker.event_gap_s = 200, 0.03
                worker.unframed = "paced"
            caller = host.caller()
            run = await caller.send("POST", "/s1/x", b"b", remaining_ms=8000)
            await rig.wait_until("the run", lambda: rig.executed_by(run))
            source = [w for w in rig.workers_of("llm")
                      if run in w.executed][0]
            await asyncio.sleep(0.2)
            rig.store.put("servers/" + source.ident, source.entry(
                state="draining", spot_instance=True, leaves_ms=1100))
            await asyncio.sleep(0.1)
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            source.running.clear()
            await source.replace_process(ident or source.ident, False)
            await asyncio.sleep(0.1)
            host.signal(signal.SIGCONT)
            got = await caller.receive()
            assert not got.complete, got.body
    await gather_rows([
        row(net + 200 * more, ident, pause_s)
        for more, (ident, pause_s) in enumerate(
            (ident, pause_s) for ident in (None, "w-next")
            for pause_s in (0.1, 0.3, 0.6))])


async def test_end_whole_response_of_paused_host(net):
    """A whole response without a length is delivered though its host is paused
    for more than a second while it asks the worker."""
    async def row(net, path, pool, pause_s):
        async with Rig(net) as rig:
            host = rig.hosts[0]
            for worker in rig.workers_of(pool):
                worker.unframed = "paced"
                for asked in ("/-/report", "/health"):
                    answers(worker, asked, answers_with(
                        200, b'{"born":1}',
                        ["Redwingpitch-Instance-Id: " + worker.ident], 0.2))
            caller = host.caller()
            ident = await caller.send("POST", path, b"b")
            await rig.wait_until("the run", lambda: rig.executed_by(ident))
            await asyncio.sleep(0.3 if pool == "llm" else 0.12)
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            host.signal(signal.SIGCONT)
            got = await caller.receive()
            assert got.status == 200 and got.complete, (path, got.status)
            assert len(rig.executed_by(ident)) == 1
    await gather_rows([
        row(net + 200 * more, *how) for more, how in enumerate(
            [("/s1/x", "llm", 0.6), ("/s1/x", "llm", 1.3),
             ("/o/x", "api", 0.6), ("/o/x", "api", 1.3)])])


async def test_end_entry_with_malformed_start(net):
    """An entry whose start is no whole number names no worker, or at least
    proves no end of the process that is replaced under its id."""
    async def row(net, born):
        async def end(worker):
            await worker.replace_process(worker.ident, False)
            answers(worker, "/-/report", answers_with(200, b'{"born":2}'))

        async with Rig(net, llm=1) as rig:
            host, worker = rig.hosts[0], rig.workers_of("llm")[0]
            worker.unframed, worker.event_gap_s = "paced", 0.1
            rig.store.put("servers/" + worker.ident, worker.entry(born=born))
            await asyncio.sleep(CONFIG_BOUND_S)
            worker.born = 1
            caller = host.caller()
            ident = await caller.send("POST", "/s1/x", b"b", remaining_ms=800)
            await asyncio.sleep(0.15)
            if rig.executed_by(ident):
                await end(worker)
            got = await caller.receive()
            assert got.status != 200 or not got.complete, got.body
    await gather_rows([row(net + 200 * more, born) for more, born in
                       enumerate(("1", 1.0, None, -1, True, [1]))])


async def test_end_whole_stream_though_another_is_listed(net):
    """A process that says the start that the request was sent to has proved the
    end, also if another one is listed with its id meanwhile."""
    async with Rig(net) as rig:
        host = rig.hosts[0]
        for worker in rig.workers_of("llm"):
            worker.unframed, worker.event_gap_s = "paced", 0.05
        caller = host.caller()
        ident = await caller.send("POST", "/s1/x", b"b")
        await rig.wait_until("the run", lambda: rig.executed_by(ident))
        worker = [w for w in rig.workers_of("llm") if ident in w.executed][0]
        rig.store.put("servers/" + worker.ident,
                      worker.entry(born=9, address=rig.ip(199) + ":8000"))
        got = await caller.receive()
        assert got.complete, got.body


# Ways in which connections that had carried a response are gone when a
# response without a length ends, though its process runs on.
LOST_CONNECTIONS = [
    ("own", 1),          # the only one carried this response itself
    ("worker_closes", 2),  # the worker closes an unused one meanwhile
    ("host_closes", 2),  # the host does, by the worker's Keep-Alive timeout
    ("unframed", 2),     # another response without a length has used it up
]


async def test_end_whole_response_though_kept_connections_end(net):
    """A whole response without a length is delivered, by one run and with no
    evidence against it, though all connections that had carried a response
    before have ended: their end is not that of the process."""
    async def row(net, path, pool, how, kept, fields):
        async with Rig(net, llm=1, api=1) as rig:
            host, worker = rig.hosts[0], rig.workers_of(pool)[0]
            vars(worker).update(fields)
            rig.list_worker(worker)
            await asyncio.sleep(CONFIG_BOUND_S)
            plain, busy, short = worker.handle_request, set(), [
                how == "host_closes"]

            async def handle_request(head, body, reader, writer):
                busy.add(writer)
                write = writer.write

                def write_short(text):
                    write(text.replace(b"200 OK\r\n", b"200 OK\r\n"
                                       b"Keep-Alive: timeout=1\r\n", 1))
                try:
                    if short[0]:
                        writer.write = write_short
                    return await plain(head, body, reader, writer)
                finally:
                    writer.write = write
                    busy.discard(writer)
            worker.handle_request = handle_request
            got = await asyncio.gather(*[
                host.request("POST", path, b"b%d" % n) for n in range(kept)])
            assert all(g.status == 200 and g.complete for g in got), got
            short[0] = False
            worker.unframed = "paced"
            worker.event_gap_s = 1.6 if pool == "api" else 0.16
            caller = host.caller()
            ident = await caller.send("POST", path, b"whole")
            await rig.wait_until("the run", lambda: rig.executed_by(ident))
            if how == "unframed":
                other = host.caller()
                await other.send("POST", path, b"other")
            await asyncio.sleep(0.3)
            if how == "worker_closes":
                for writer in set(worker.writers) - busy:
                    writer.close()
            got = await caller.receive()
            await asyncio.sleep(LOG_FLUSH_S)
            ends = [(e.get("outcome"), e.get("checks"))
                    for e in host.log_events("end")]
            assert (got.status, got.complete) == (200, True), (
                path, how, got.status, got.complete, ends)
            assert len(rig.executed_by(ident)) == 1, (path, how, ends)
            assert not [e for e in ends if e[0] == "other_process"], (
                path, how, ends)
    cases = [(path, pool, how, kept, fields)
             for path, pool, fields in (
                 ("/o/x", "api", {}), ("/i/x", "api", {}),
                 ("/s1/x", "llm", {"born": 0}), ("/s1/x", "llm", {}))
             for how, kept in LOST_CONNECTIONS]
    await gather_rows([row(net + 200 * more, *case)
                       for more, case in enumerate(cases)])


async def test_end_whole_stream_on_kept_connection(net):
    """A whole stream that came on a kept connection, the only one, is delivered
    though the worker, an engine, at first rejects the question who it is, or
    resets new connections: it is asked again."""
    async def row(net, how):
        async with Rig(net, llm=1) as rig:
            host, worker = rig.hosts[0], rig.workers_of("llm")[0]
            got = await host.request("POST", "/s1/x", b"first")
            assert got.complete
            worker.unframed = "paced"
            if how == "rejects":
                answers(worker, "/-/report", answers_with(503, b"", REFUSED), 1)
            caller = host.caller()
            ident = await caller.send("POST", "/s1/x", b"whole")
            await rig.wait_until("the run", lambda: rig.executed_by(ident))
            if how == "resets":
                worker.cut_links(host.ip, "new")
                asyncio.get_running_loop().call_later(
                    0.35, worker.cut_links, host.ip, None)
            got = await caller.receive()
            await asyncio.sleep(LOG_FLUSH_S)
            assert got.complete, [
                (e.get("outcome"), e.get("checks"))
                for e in host.log_events("end")]
    await gather_rows([row(net + 200 * more, how) for more, how
                       in enumerate(("rejects", "resets"))])


async def test_end_service_replaced_beside_kept_connection(net):
    """A call without a length at a service whose process is replaced under the
    same id is not whole if a kept connection ended with it, though that
    connection was used before."""
    async def row(net, path, keeps_socket):
        async with Rig(net, api=1) as rig:
            host, worker = rig.hosts[0], rig.workers_of("api")[0]
            got = await asyncio.gather(*[
                host.request("POST", path, b"b%d" % n) for n in range(2)])
            assert all(g.status == 200 for g in got) and len(
                worker.writers) == 2, (got, len(worker.writers))
            worker.unframed, worker.event_gap_s = "paced", 1
            caller = host.caller()
            ident = await caller.send("POST", path, b"cut")
            await rig.wait_until("the run", lambda: rig.executed_by(ident))
            await asyncio.sleep(0.3)
            await worker.replace_process(worker.ident, keeps_socket)
            worker.event_gap_s = 0.1
            got = await caller.receive()
            assert got.status != 200 or got.body.endswith(b" ran cut"), (
                path, got.status, got.body)
    await gather_rows([row(net + 200 * more, *case) for more, case in enumerate(
        (path, keeps) for path in ("/o/x", "/i/x")
        for keeps in (False, True))])


async def test_end_whole_response_of_service_without_room(net):
    """A whole response without a length is delivered though its worker, without
    a kept connection, rejects health checks for a while, or leaves."""
    async def row(net, path, how):
        async with Rig(net, api=1) as rig:
            host, worker = rig.hosts[0], rig.workers_of("api")[0]
            worker.unframed = "paced"
            named = ["Redwingpitch-Instance-Id: " + worker.ident]
            if how == "leaves":
                answers(worker, "/health", answers_with(503, b"", named))
            else:
                answers(worker, "/health", answers_with(503, b"", REFUSED), how)
            got = await host.request("POST", path, b"b")
            await asyncio.sleep(LOG_FLUSH_S)
            assert got.status == 200, (path, how, got.status, [
                (e.get("outcome"), e.get("checks"), e.get("took_ms"))
                for e in host.log_events("end")])
    await gather_rows([row(net + 200 * more, *case) for more, case in enumerate(
        (path, how) for path in ("/o/x", "/i/x")
        for how in ("leaves", 2, 4, 8))])


if __name__ == "__main__":
    sys.exit(main("proxyends", globals(), FIRST_NET))
