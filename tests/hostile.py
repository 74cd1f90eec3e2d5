#!/usr/bin/env python3
"""Tests of rw-proxyd and rw-entryd against clients that make them hold bytes.

In each case a crowd of clients or workers makes one process hold as many bytes
as it will. The process must stay alive, its peak memory (VmHWM) must stay under
its memory limit and its open descriptors under theirs, and it must answer an
ordinary request afterwards. Nothing here depends on the machine's speed.

Usage: hostile.py [--list] [CASE...]
"""
import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from proxyrig import Rig, config  # noqa: E402
import rig as entryrig  # noqa: E402

NET = int(os.environ.get("RW_NET", 0)) + 190
MEMORY_MB = 64
DESCRIPTORS = 2048
BODY_MAX = 1 << 20
BODY_LARGEST = 4 << 20  # that a configuration may allow
SEND_S = 20  # a client that can't send more by then holds what it has sent
HOLD_S = 1.5  # all connections stay open after the last byte is sent
HEAD = (b"POST %s HTTP/1.1\r\nHost: a.example\r\n"
        b"Redwingpitch-Attempt-Id: x%06x\r\nAuthorization: Bearer k1\r\n"
        b"Redwingpitch-Deadline-Remaining: 30000\r\n%s\r\n")


def sized(size):
    return b"Content-Length: %d\r\n" % size


CHUNKED = b"Transfer-Encoding: chunked\r\n"


def chunks(total, size):
    """A chunked body of total bytes, without its last chunk."""
    return (b"%x\r\n" % size + b"x" * size + b"\r\n") * (total // size)


# Each returns what client n sends, as a sequence of pieces.
def announced_over(path, n):
    yield HEAD % (path, n, sized(100 << 20))
    for _ in range(64):
        yield b"x" * 65536


def sent_over(path, n):
    yield HEAD % (path, n, CHUNKED)
    yield chunks(4 * BODY_MAX, 65536)


def length_short(path, n):
    yield HEAD % (path, n, sized(BODY_MAX))
    yield b"x" * (BODY_MAX - 1)


def chunks_large_short(path, n):
    yield HEAD % (path, n, CHUNKED)
    yield chunks(BODY_MAX, 16384)[:-3]


def chunks_small_short(path, n):
    yield HEAD % (path, n, CHUNKED)
    yield chunks(BODY_MAX - 16, 8)


def extensions(path, n):
    yield HEAD % (path, n, CHUNKED)
    yield chunks(BODY_MAX // 2, 65536) + b"1;"
    for _ in range(32):
        yield b"a" * 65536


def trailers(path, n):
    yield HEAD % (path, n, CHUNKED)
    yield chunks(BODY_MAX // 2, 65536) + b"0\r\n"
    for _ in range(32):
        yield b"a: " + b"b" * 65536 + b"\r\n"


def heads(path, n):
    text = (HEAD % (path, n, b"X-Fill: %s\r\n" % (b"y" * 7000)))[:-2]
    for at in range(0, len(text), 256):
        yield text[at:at + 256]


def pipelined(path, n):
    body = b"x" * 100000
    yield b"".join(HEAD % (path, n * 100 + i, sized(len(body))) + body
                   for i in range(20))


def whole_body(path, n):
    yield HEAD % (path, n, sized(BODY_MAX))
    yield b"x" * BODY_MAX


def entry_bodies(path, n):
    body = b'{"q": "' + b"x" * (BODY_MAX - 16) + b'"}'
    yield HEAD % (path, n, b"X-Account: coop\r\nX-Request-Id: h%d\r\n" % n
                  + sized(len(body)))
    yield body


def plain_get(path, n):
    yield HEAD % (path, n, sized(1)) + b"x"


def pads(padding, events=20):
    """Makes workers send large responses, and streams of large events."""
    def prepare(worker):
        worker.padding, worker.event_count = padding, events
        worker.event_gap_s = 0.01
    return prepare


def hangs(worker):
    worker.mode = "hang"


def one_byte_short(worker):
    """Makes a worker stop before the last byte of its large responses."""
    plain = worker.handle_request

    async def handle_request(head, body, reader, writer):
        if not head[0].startswith("POST /o/"):
            return await plain(head, body, reader, writer)
        ident = head[1]["redwingpitch-attempt-id"]
        writer.write(("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n"
                      "Redwingpitch-Attempt-Id: %s\r\n"
                      "Redwingpitch-Response-Signature: s\r\n\r\n" % (
                          BODY_LARGEST, ident)).encode()
                     + b"." * (BODY_LARGEST - 1))
        await reader.read(1)
        return False
    worker.handle_request = handle_request


# Case: clients, what each sends, its path, what workers do, whether the clients
# read. Where `meanwhile` holds, an ordinary request is answered beside them.
def case(clients, sends, path=b"/o/x", workers=None, reads=True,
         meanwhile=True):
    return dict(clients=clients, sends=sends, path=path, workers=workers,
                reads=reads, meanwhile=meanwhile)


PROXY_CASES = {
    "announced_over": case(150, announced_over),
    "sent_over": case(150, sent_over),
    "length_short": case(150, length_short),
    "chunks_large_short": case(150, chunks_large_short),
    "chunks_small_short": case(150, chunks_small_short),
    "extensions": case(150, extensions),
    "trailers": case(150, trailers),
    "heads": case(400, heads),
    "pipelined": case(400, pipelined, workers=hangs, meanwhile=False),
    "bodies_in_flight": case(150, whole_body, workers=hangs, meanwhile=False),
    "responses_short": case(40, plain_get, workers=one_byte_short,
                            meanwhile=False),
    "responses_not_read": case(80, plain_get, workers=pads(BODY_LARGEST),
                               reads=False, meanwhile=False),
    "streams_not_read": case(80, plain_get, path=b"/s/x",
                             workers=pads(256 << 10, 40), reads=False,
                             meanwhile=False),
}
ENTRY_PATH = b"/v1/call/permit"
ENTRY_CASES = {
    "entry_" + name: case(PROXY_CASES[name]["clients"],
                          PROXY_CASES[name]["sends"], ENTRY_PATH)
    for name in ("announced_over", "sent_over", "length_short",
                 "chunks_large_short", "chunks_small_short", "extensions",
                 "trailers", "heads")
}
# The service is stopped meanwhile.
ENTRY_CASES["entry_bodies_in_flight"] = case(
    150, entry_bodies, b"/v1/call/stock", workers=signal.SIGSTOP,
    meanwhile=False)


class Crowd:
    """Clients that send what a case says, and keep their connections open."""

    def __init__(self, address, row):
        host, port = address.split(":")
        self.address, self.row = (host, int(port)), row
        self.socks, self.tasks = [], []

    async def send(self, n):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        if not self.row["reads"]:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socks.append(sock)
        try:
            await loop.sock_connect(sock, self.address)
            if self.row["reads"]:
                self.tasks.append(asyncio.create_task(self.drop(sock)))
            for piece in self.row["sends"](self.row["path"], n):
                await asyncio.wait_for(loop.sock_sendall(sock, piece), SEND_S)
        except (OSError, asyncio.TimeoutError):
            pass  # refused or closed, as the process may

    async def drop(self, sock):
        """Reads and drops what arrives."""
        try:
            while await asyncio.get_running_loop().sock_recv(sock, 65536):
                pass
        except OSError:
            pass

    async def send_all(self):
        await asyncio.gather(*[self.send(n)
                               for n in range(self.row["clients"])])
        await asyncio.sleep(HOLD_S)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for sock in self.socks:
            sock.close()


class Watch:
    """The bounds of one process."""

    def __init__(self, process):
        self.process, self.descriptors = process, 0

    def look(self):
        assert self.process.poll() is None, "the process has ended"
        self.descriptors = max(self.descriptors, len(
            os.listdir("/proc/%d/fd" % self.process.pid)))

    def peak_mb(self):
        with open("/proc/%d/status" % self.process.pid) as file:
            return [int(line.split()[1]) for line in file
                    if line.startswith("VmHWM:")][0] / 1024

    def check(self):
        self.look()
        assert self.peak_mb() < MEMORY_MB, "peak %.1f MB" % self.peak_mb()
        assert self.descriptors < DESCRIPTORS, self.descriptors


def roomy(body_max):
    """A configuration under which neither workers nor time limit the crowd."""
    value = config(2, max_body_bytes=body_max, header_timeout_ms=20000,
                   idle_timeout_ms=30000)
    for service in value["services"]:
        service["connection_limit"] = 2000
        if "inference_engine" in service:
            service["inference_engine"]["slots"] = 1000
    for route in value["routes"]:
        route["timeout_ms"] = 30000
    value["tenants"][0]["unit"] = "requests"
    return value


async def configure(rig, host, body_max):
    rig.store.put("op/config", roomy(body_max))

    async def applied():
        got = await host.request("POST", "/i/x", b"x" * 200000)
        return got.status == 200
    for _ in range(100):
        if await applied():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("the configuration is not applied")


class HostileRig(Rig):
    """One rw-proxyd with the limits of these tests."""

    def __init__(self):
        super().__init__(NET, llm=1, api=2)
        host = self.hosts[0]
        start = host.start
        host.start = lambda: start(memory_mb=MEMORY_MB,
                                   descriptors=DESCRIPTORS)


async def ordinary(host, when):
    got = await host.request("POST", "/p/x", b"ordinary", key=None)
    assert got.status == 200 and got.complete and b"ordinary" in got.body, (
        when, got.status)


async def proxy_case(row):
    async with HostileRig() as rig:
        host = rig.hosts[0]
        watch = Watch(host.process)
        await configure(rig, host, BODY_MAX)
        if row["workers"]:
            for worker in rig.workers:
                row["workers"](worker)
        crowd = Crowd(host.front, row)
        await crowd.send_all()
        watch.look()
        if row["meanwhile"]:
            await ordinary(host, "meanwhile")
        await crowd.close()
        for worker in rig.workers:
            worker.mode, worker.padding = "ok", 0
        await asyncio.sleep(HOLD_S)
        await ordinary(host, "afterwards")
        print("peak %.1f MB, %d descriptors" % (watch.peak_mb(),
                                                watch.descriptors))
        watch.check()


async def proxy_largest():
    """A request of the largest size is served when there is no such load."""
    async with HostileRig() as rig:
        host = rig.hosts[0]
        watch = Watch(host.process)
        await configure(rig, host, BODY_LARGEST)
        got = await host.request("POST", "/o/x", b"x" * BODY_LARGEST,
                                 remaining_ms=10000)
        assert got.status == 200 and got.complete, got.status
        watch.check()


def entry_conf():
    """The memory limit, if this build's rw-entryd knows it."""
    path = os.path.join(entryrig.ROOT, "schema", "settings.json")
    with open(path) as file:
        text = "\n".join(line for line in file.read().split("\n")
                         if not line.lstrip().startswith("//"))
    known = "memory_mb" in json.loads(text)["entry"]["fields"]
    return {"memory_mb": MEMORY_MB} if known else {}


def entry_case(row):
    with entryrig.Rig(entries=1, engines=0, services=1, data_centres=1,
                      entry_conf=entry_conf()) as rig:
        rig.wait_ready()
        entry = rig.live()[0]
        watch = Watch(entry.popen)

        def ordinary_entry():
            status = entryrig.call(entry.address, "POST", "/v1/call/status",
                                   {}, {"x-account": "coop"})[0]
            assert status == 200, status

        async def run():
            crowd = Crowd(entry.address, row)
            if row["workers"]:
                rig.services[0].signal(row["workers"])
            await crowd.send_all()
            watch.look()
            if row["meanwhile"]:
                await asyncio.to_thread(ordinary_entry)
            await crowd.close()
        asyncio.run(run())
        rig.services[0].signal(signal.SIGCONT)
        ordinary_entry()
        print("peak %.1f MB, %d descriptors" % (watch.peak_mb(),
                                                watch.descriptors))
        watch.check()


# What is sent of a body before its connection ends. Each part is valid JSON, so
# that nothing but the framing tells that it is not whole.
PARTS = [
    sized(100) + b"\r\n{\"q\": 1}",
    sized(1 << 19) + b"\r\n{\"q\": 1}" + b" " * 300000,
    CHUNKED + b"\r\n8\r\n{\"q\": 1}\r\n",
    CHUNKED + b"\r\n8\r\n{\"q\": 1}\r\n0\r\n",
    CHUNKED + b"\r\n9\r\n{\"q\": 1}",
]


async def end_within_body(address, first, part, resets):
    """Sends a part of a body; its connection is closed or reset while the rest
    is still to be written."""
    host, port = address.split(":")
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    await asyncio.get_running_loop().sock_sendall(sock, first + part)
    await asyncio.sleep(0.1)
    if resets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    sock.close()


async def end_all(address, first):
    await asyncio.gather(*[
        end_within_body(address, first % (b"part%d%d" % (n, resets)), part,
                        resets)
        for n, part in enumerate(PARTS) for resets in (False, True)])
    await asyncio.sleep(HOLD_S)


async def proxy_partial_body():
    """A part of a body, whose connection ends, is never sent to a worker."""
    async with HostileRig() as rig:
        host = rig.hosts[0]
        await configure(rig, host, BODY_MAX)
        before = [len(w.received) for w in rig.workers]
        await end_all(host.front, HEAD.replace(b"x%06x", b"%%s")[:-4] % (
            b"/o/x"))
        assert [len(w.received) for w in rig.workers] == before
        await ordinary(host, "afterwards")


def entry_partial_body():
    """The same for rw-entryd and its services."""
    with entryrig.Rig(entries=1, engines=0, services=1, data_centres=1) as rig:
        rig.wait_ready()
        entry = rig.live()[0]
        asyncio.run(end_all(entry.address, (
            b"POST /v1/call/stock HTTP/1.1\r\nHost: a\r\nX-Account: coop\r\n"
            b"X-Request-Id: %s\r\n")))
        assert rig.ledger() == [], rig.ledger()
        status = entryrig.call(entry.address, "POST", "/v1/call/stock",
                               {"q": 1}, {"x-account": "coop"})[0]
        assert status == 200 and len(rig.ledger()) == 1, (
            status, rig.ledger())


def run_case(name):
    if name == "largest":
        asyncio.run(proxy_largest())
    elif name == "partial_body":
        asyncio.run(proxy_partial_body())
    elif name == "entry_partial_body":
        entry_partial_body()
    elif name in PROXY_CASES:
        asyncio.run(proxy_case(PROXY_CASES[name]))
    else:
        entry_case(ENTRY_CASES[name])


def main():
    names = list(PROXY_CASES) + ["largest", "partial_body"] + list(ENTRY_CASES)
    names.append("entry_partial_body")
    chosen = sys.argv[1:] or names
    if chosen == ["--list"]:
        print("\n".join(names))
        return 0
    if len(chosen) > 1:  # each in a process of its own
        failed = sum(subprocess.run([sys.executable, __file__, name],
                                    check=False).returncode != 0
                     for name in chosen)
        print("hostile: %d passed, %d failed" % (len(chosen) - failed, failed))
        return 1 if failed else 0
    try:
        run_case(chosen[0])
    except AssertionError as error:
        print("FAILED %s: %s" % (chosen[0], error))
        return 1
    print("ok " + chosen[0])
    return 0


if __name__ == "__main__":
    sys.exit(main())
