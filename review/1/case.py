"""A stream whose answer has no length is moved away from a worker that leaves.
The worker stops the run and closes the stream's connection without its end."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import small  # noqa: E402
from proxyrig import ROUTES, config  # noqa: E402
from standin import Worker  # noqa: E402

STREAMS = 280
WORKERS = 7  # one that leaves is a share of 0.143
SPOILT = 20  # one in so many answers of the worker has no length
EVENTS = 50
GAP_S = 0.1
ROUTE = {"/s/": dict(ROUTES["/s/"], max_attempts=2, timeout_ms=15000,
                     target_latency_ms=1000),
         "/s1/": dict(ROUTES["/s1/"], timeout_ms=15000,
                      target_latency_ms=1000)}


class Recording(Worker):
    """A worker that records what it runs. With spoils, one in SPOILT of its
    answers has no length and ends with its connection."""

    def __init__(self, record, *args):
        super().__init__(*args)
        self.record = record
        self.spoils = False
        self.answers = 0
        self.event_count, self.event_gap_s = EVENTS, GAP_S

    async def handle_request(self, head, body, reader, writer):
        headers = head[1]
        ident = headers.get("redwingpitch-attempt-id")
        if head[0].startswith("POST /-/kv-move"):
            self.record("%s is asked to move a run: %s" %
                        (self.ident, body.decode()))
        elif ident:
            self.record("%s reaches %s, Last-Event-Id %s, Kv-From %s" % (
                ident, self.ident, headers.get("last-event-id", "-"),
                headers.get("kv-from", "-")))
        return await super().handle_request(head, body, reader, writer)

    async def send_stream(self, ident, headers, own, reader, writer):
        self.answers += 1
        if not self.spoils or self.answers % SPOILT:
            return await super().send_stream(ident, headers, own, reader,
                                             writer)
        first = int(headers.get("last-event-id", -1)) + 1
        self.record("%s answers %s without a length" % (self.ident, ident))
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(own) + "\r\n"
                      "Content-Type: text/event-stream\r\n\r\n").encode())
        self.running.add(ident)
        for number in range(first, self.event_count):
            if ident in self.stopped:
                self.record("%s stops %s before event %d, and closes its "
                            "stream" % (self.ident, ident, number))
                break
            writer.write(b"id: %d\ndata: event %d of %s\n\n" % (
                number, number, self.version.encode()))
            try:
                await asyncio.wait_for(reader.read(1), self.event_gap_s)
                break
            except asyncio.TimeoutError:
                pass
        self.running.discard(ident)
        return False


async def stream(host, path, record):
    caller = host.caller()
    ident = await caller.send("POST", path, b"prompt", remaining_ms=15000)
    record("%s is sent to %s, %s" % (ident, host.name, path))
    got = await caller.receive()
    record("%s is answered: status %d, complete %s, %d events of %d" % (
        ident, got.status, got.complete, len(got.event_ids()), EVENTS))
    caller.close()
    return got


async def run(record):
    async with small.Deployment(hosts=3, llm=0, api=1) as rig:
        workers = [Recording(record, "w-llm-%d" % i, "llm",
                             rig.ip(100 + i) + ":8000", ["z1", "z2"][i % 2],
                             64)
                   for i in range(WORKERS)]
        rig.workers += workers
        rig.store.put("op/config", config(2, ROUTE))
        for worker in workers:
            await worker.start()
            rig.list_worker(worker)
        await rig.wait_membership()
        await asyncio.sleep(2.5)
        leaving = workers[0]
        leaving.spoils = small.trouble()
        streams = []
        for number in range(STREAMS):
            streams.append(asyncio.create_task(stream(
                rig.hosts[number % 3], ("/s/x", "/s1/x")[number % 2],
                record)))
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.3)
        record("%s reports draining" % leaving.ident)
        rig.store.put("servers/" + leaving.ident,
                      leaving.entry(state="draining"))
        answers = await asyncio.gather(*streams)
        # A stream that ends as complete has all its events.
        return all(got.event_ids() == list(range(EVENTS))
                   for got in answers if got.status == 200 and got.complete)


small.main(FOLDER, run)
