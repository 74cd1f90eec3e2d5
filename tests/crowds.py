#!/usr/bin/env python3
"""Tests of rw-proxyd, rw-entryd and rw-admind against crowds of connections.

Each case holds as many connections, or bytes behind them, as a process lets it.
What the process holds, its resident memory and what the kernel has received for
it and it has not read, must stay under its memory limit, its open descriptors
under theirs, and it must answer an ordinary request meanwhile and afterwards.
Nothing here depends on the machine's speed.

Usage: crowds.py [--list] [CASE...]
"""
import asyncio
import functools
import json
import os
import signal
import socket
import struct
import sys
import threading

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import hostile  # noqa: E402
from hostile import (BODY_MAX, CHUNKED, ENTRY_PATH, HEAD, MEMORY_MB,  # noqa: E402
                     chunks, sized)
import rig as entryrig  # noqa: E402
from proxyrig import Rig  # noqa: E402

NET = int(os.environ.get("RW_NET", 0)) + 191
DESCRIPTORS = 1024
CROWD_S = 4     # after which the whole crowd has sent what it can
HOLD_S = 1.5    # until the connections of a crowd that has gone are closed
SAMPLE_S = 0.02  # between two looks at what a process holds
ESTABLISHED, CLOSE_WAIT = "01", "08"  # in /proc/net/tcp


# Each returns what client n sends, as a sequence of pieces; a number is a pause
# in s.
def behind_request(path, n):
    yield HEAD % (path, n, b"X-Account: coop\r\n" + sized(2)) + b"{}"
    yield 0.5  # the request is in flight
    yield b"x" * (4 << 20)


def behind_second_request(path, n):
    """The same on a connection whose window has grown with a large body."""
    yield HEAD % (b"/none", n, sized(BODY_MAX)) + b"x" * BODY_MAX
    yield 0.5
    yield from behind_request(path, n)


def slow_body(path, n):
    yield HEAD % (path, n, sized(1000))
    for _ in range(999):
        yield b"x"
        yield 1


def slow_head(path, n):
    for at in HEAD % (path, n, b"X-Fill: %s\r\n" % (b"y" * 1000)):
        yield bytes([at])
        yield 0.1


def small_short(path, n):
    yield HEAD % (path, n, sized(15900))
    yield b"x" * 15899


def small_chunks_short(path, n):
    yield HEAD % (path, n, CHUNKED)
    yield chunks(8000, 8)


def whole_body(path, n):
    yield HEAD % (path, n, sized(BODY_MAX)) + b"x" * BODY_MAX


def small_request(path, n):
    yield HEAD % (path, n, sized(1)) + b"x"


def nothing(path, n):
    yield b""


def long_record(path, n):
    """A message between hosts of 16 MB, of which 4 MB are sent."""
    yield struct.pack(">I", 0x80000000 | 16 << 20) + b"x" * (4 << 20)


def long_body(path, n):
    yield HEAD % (path, n, sized(BODY_MAX))
    yield b"x" * (BODY_MAX - 1)


def holds(worker):
    """Makes a worker hold requests under /o/ until their connection ends."""
    plain = worker.handle_request

    async def handle_request(head, body, reader, writer):
        if not head[0].startswith("POST /o/"):
            return await plain(head, body, reader, writer)
        await reader.read(1)
        return False
    worker.handle_request = handle_request


def pads(worker):
    """Makes a worker send large responses to requests under /o/."""
    plain = worker.handle_request

    async def handle_request(head, body, reader, writer):
        worker.padding = BODY_MAX if head[0].startswith("POST /o/") else 0
        return await plain(head, body, reader, writer)
    worker.handle_request = handle_request


def case(target, clients, sends, path=None, at="front", service=None,
         stopped=False, returns=False, changes=False, reads=True, hosts=1):
    """at: the listener; service: signal to the service while the crowd is there,
    or what changes the workers; stopped: the process does not run while the
    crowd sends; returns: who is cut off connects again; changes: new versions
    of the configuration are sent meanwhile; reads: the crowd reads responses;
    hosts: more than one, of which the first has lost its links to the workers,
    and forwards what the crowd sends."""
    return dict(target=target, clients=clients, sends=sends, path=path, at=at,
                service=service, stopped=stopped, returns=returns,
                changes=changes, reads=reads, hosts=hosts)


CASES = {
    "behind_request": case("proxy", 300, behind_request, b"/o/x",
                           service=holds),
    "behind_second_request": case("proxy", 300, behind_second_request, b"/o/x",
                                  service=holds),
    "slow_bodies": case("proxy", 900, slow_body, b"/o/x"),
    "slow_heads": case("proxy", 900, slow_head, b"/o/x"),
    "small_short": case("proxy", 800, small_short, b"/o/x"),
    "small_chunks_short": case("proxy", 800, small_chunks_short, b"/o/x"),
    "idle": case("proxy", 1600, nothing),
    "idle_returns": case("proxy", 1600, nothing, returns=True),
    "not_running": case("proxy", 400, long_body, b"/o/x", stopped=True),
    "output_not_read": case("proxy", 300, small_request, b"/o/x",
                            service=pads, reads=False),
    "forwarded_bodies": case("proxy", 150, whole_body, b"/o/x", service=holds,
                             hosts=2),
    "forwarded_behind_request": case("proxy", 200, behind_second_request,
                                     b"/o/x", service=holds, hosts=2),
    "forwarded_slow_bodies": case("proxy", 900, slow_body, b"/o/x", hosts=2),
    "forwarded_idle": case("proxy", 1600, nothing, at="forwarded"),
    "ready_idle": case("proxy", 1600, nothing, at="ready"),
    "lookup_idle": case("proxy", 1600, nothing, at="lookup"),
    "metrics_idle": case("proxy", 1600, nothing, at="metrics"),
    "rpc_idle": case("proxy", 1600, nothing, at="rpc"),
    "rpc_long_records": case("proxy", 60, long_record, at="rpc"),
    "idle_everywhere": case("proxy", 2400, nothing, at="all"),
    "slow_bodies_changes": case("proxy", 900, slow_body, b"/o/x",
                                changes=True),
    "long_bodies_changes": case("proxy", 150, long_body, b"/o/x",
                                changes=True),
    "entry_behind_request": case("entry", 300, behind_request,
                                 b"/v1/call/stock", service=signal.SIGSTOP),
    "entry_behind_second_request": case(
        "entry", 300, behind_second_request, b"/v1/call/stock",
        service=signal.SIGSTOP),
    "entry_slow_bodies": case("entry", 900, slow_body, ENTRY_PATH),
    "entry_idle": case("entry", 1600, nothing),
    "entry_not_running": case("entry", 400, long_body, ENTRY_PATH,
                              stopped=True),
    "admin_long_bodies": case("admin", 150, long_body,
                              b"/v1/settings/town/account/coop"),
    "admin_slow_bodies": case("admin", 900, slow_body,
                              b"/v1/settings/town/account/coop"),
    "admin_idle": case("admin", 1600, nothing),
}


class Crowd:
    """Clients that send what a case says and keep their connections open."""

    def __init__(self, addresses, row):
        self.addresses = [address.split(":") for address in addresses]
        self.row, self.tasks, self.connected = row, [], 0
        self.go = asyncio.Event()

    async def send(self, sock, n):
        loop = asyncio.get_running_loop()
        host, port = self.addresses[n % len(self.addresses)]
        await loop.sock_connect(sock, (host, int(port)))
        self.connected += 1
        await self.go.wait()
        if self.row["reads"]:
            ends = asyncio.create_task(self.drop(sock))
            self.tasks.append(ends)
        else:
            ends = asyncio.Event().wait()
        for piece in self.row["sends"](self.row["path"], n):
            if isinstance(piece, bytes):
                await loop.sock_sendall(sock, piece)
            else:
                await asyncio.sleep(piece)
        await ends

    async def drop(self, sock):
        """Reads until the connection ends."""
        try:
            while await asyncio.get_running_loop().sock_recv(sock, 65536):
                pass
        except OSError:
            pass

    async def client(self, n):
        while True:
            with socket.socket() as sock:
                sock.setblocking(False)
                if not self.row["reads"]:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                try:
                    await self.send(sock, n)
                except OSError:
                    pass  # refused or closed, as the process may
                if not self.row["returns"]:
                    await asyncio.Event().wait()  # keeps the socket

    async def start(self):
        self.tasks = [asyncio.create_task(self.client(n))
                      for n in range(self.row["clients"])]
        if not self.row["stopped"]:
            self.go.set()
            await asyncio.sleep(CROWD_S)
            return
        while self.connected < self.row["clients"]:
            await asyncio.sleep(0.05)
        await asyncio.sleep(HOLD_S)  # until all are accepted

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Watch(threading.Thread):
    """Samples what a process holds, in a thread, until check() is called."""

    def __init__(self, process, addresses):
        super().__init__(daemon=True)
        self.process = process
        # As /proc/net/tcp writes them; connections in the queue of a listener
        # have no descriptor.
        self.listeners = {
            "%08X:%04X" % (int.from_bytes(socket.inet_aton(host), "little"),
                           int(port))
            for host, port in (address.split(":") for address in addresses)}
        self.over = threading.Event()
        self.held = self.unread = self.descriptors = 0

    def unread_bytes(self):
        """Returns what the kernel has received for the process."""
        folder = "/proc/%d/fd" % self.process.pid
        links = []
        for name in os.listdir(folder):
            try:
                links.append(os.readlink(os.path.join(folder, name)))
            except OSError:
                pass  # closed meanwhile
        self.descriptors = max(self.descriptors, len(links))
        own = {link[8:-1] for link in links if link.startswith("socket:")}
        total = 0
        with open("/proc/net/tcp") as file:
            for line in list(file)[1:]:
                words = line.split()
                if words[3] in (ESTABLISHED, CLOSE_WAIT) and (
                        words[9] in own or words[1] in self.listeners):
                    total += int(words[4].split(":")[1], 16)
        return total

    def resident_bytes(self):
        with open("/proc/%d/status" % self.process.pid) as file:
            return [int(line.split()[1]) for line in file
                    if line.startswith("VmRSS:")][0] * 1024

    def look(self):
        unread = self.unread_bytes()
        self.unread = max(self.unread, unread)
        self.held = max(self.held, unread + self.resident_bytes())

    def run(self):
        while not self.over.wait(SAMPLE_S) and self.process.poll() is None:
            self.look()

    def check(self):
        self.over.set()
        self.join()
        assert self.process.poll() is None, "the process has ended"
        peak = hostile.Watch(self.process).peak_mb()
        print("held %.1f MB, unread %.1f MB, peak of resident memory %.1f MB, "
              "%d descriptors" % (self.held / 2**20, self.unread / 2**20, peak,
                                  self.descriptors))
        assert max(peak, self.held / 2**20) < MEMORY_MB, "memory"
        assert self.descriptors < DESCRIPTORS, "descriptors"


def known(kind, **values):
    """Returns those values that this build's settings know."""
    path = os.path.join(entryrig.ROOT, "schema", "settings.json")
    with open(path) as file:
        text = "\n".join(line for line in file.read().split("\n")
                         if not line.lstrip().startswith("//"))
    fields = json.loads(text)[kind]["fields"]
    return {name: value for name, value in values.items() if name in fields}


LIMITS = {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS}


class ProxyTarget(Rig):
    def __init__(self, row):
        super().__init__(NET, hosts=row["hosts"], llm=1, api=2)
        self.row, self.host = row, self.hosts[0]
        for host in self.hosts:
            host.start = functools.partial(host.start, **LIMITS)
            host.forwarded = host.ip + ":7602"
            host.rpc = host.ip + ":7600"

    async def __aenter__(self):
        await super().__aenter__()
        await hostile.configure(self, self.host, BODY_MAX)
        self.process = self.host.process
        self.watched = [(host.process, [host.front, host.forwarded, host.rpc])
                        for host in self.hosts]
        if len(self.hosts) > 1:
            await self.wait_membership()
            for worker in self.workers:
                worker.cut_links(self.host.ip, "reset")
            await self.wait_forwarded()
        all_of = ("front", "forwarded", "ready", "lookup", "metrics", "rpc")
        self.addresses = [getattr(self.host, name) for name in (
            all_of if self.row["at"] == "all" else [self.row["at"]])]
        return self

    async def wait_forwarded(self):
        """Waits until the first host knows that its links are cut."""
        for _ in range(100):
            got = await self.host.request("POST", "/p/x", b"first", key=None)
            if got.status == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError("the host forwards nothing")

    async def change(self):
        """Sends a version of the configuration each 0.1 s."""
        value = hostile.roomy(BODY_MAX)
        while True:
            value["version"] += 1
            self.store.put("op/config", value)
            await asyncio.sleep(0.1)

    def begin(self):
        if self.row["service"]:
            for worker in self.workers:
                self.row["service"](worker)

    def end(self):
        pass

    async def ordinary(self, when):
        await hostile.ordinary(self.host, when)
        got = await self.host.get(self.host.ready, "/-/readiness")
        assert got.status == 200, (when, "ready", got.status)
        got = await self.host.get(self.host.lookup, "/-/resolution?zone=z1")
        assert got.status == 200, (when, "lookup", got.status)
        got = await self.host.get(self.host.metrics, "/")
        assert got.status == 200, (when, "metrics", got.status)
        # Of no host, so that it is answered but not served.
        got = await self.host.get(self.host.forwarded, "/none")
        assert got.status == 400, (when, "forwarded", got.status)


class EntryTarget(entryrig.Rig):
    def __init__(self, row):
        super().__init__(entries=1, engines=0, services=1, data_centres=1,
                         entry_conf=known("entry", **LIMITS))
        self.row = row

    async def __aenter__(self):
        await asyncio.to_thread(self.wait_ready)
        self.process = self.live()[0].popen
        self.address = self.live()[0].address
        self.addresses = [self.address]
        self.watched = [(self.process, self.addresses)]
        return self

    async def __aexit__(self, *unused):
        self.close()

    def begin(self):
        if self.row["service"]:
            self.services[0].signal(self.row["service"])

    def end(self):
        self.services[0].signal(signal.SIGCONT)

    async def ordinary(self, when):
        # The service is needed for a call, and may be stopped meanwhile.
        needs_service = when == "afterwards" or not self.row["service"]
        method, path = (("POST", "/v1/call/status") if needs_service
                        else ("GET", "/v1/health"))
        status = (await asyncio.to_thread(
            entryrig.call, self.address, method, path,
            {} if method == "POST" else None, {"x-account": "coop"}))[0]
        assert status == 200, (when, status)


class AdminTarget(entryrig.Rig):
    def __init__(self, row):
        super().__init__(entries=0, engines=0, services=0, data_centres=1)
        path = os.path.join(self.dir, "admin.json")
        with open(path, "w") as file:
            json.dump(dict(known("admin", **LIMITS),
                           platform=self.platform.address), file)
        admin = self.start_process("admin", [self.bin("rw-admind"), path])
        self.process, self.address = admin.popen, admin.address
        self.addresses = [self.address]
        self.watched = [(self.process, self.addresses)]

    async def __aenter__(self):
        return self

    async def __aexit__(self, *unused):
        self.close()

    def begin(self):
        pass

    def end(self):
        pass

    async def ordinary(self, when):
        status = (await asyncio.to_thread(
            entryrig.call, self.address, "GET", "/v1/settings"))[0]
        assert status == 200, (when, status)


TARGETS = {"proxy": ProxyTarget, "entry": EntryTarget, "admin": AdminTarget}


async def run_case(row):
    async with TARGETS[row["target"]](row) as target:
        crowd = Crowd(target.addresses, row)
        watches = [Watch(*watched) for watched in target.watched]
        for watch in watches:
            watch.start()
        changes = asyncio.create_task(
            target.change() if row["changes"] else asyncio.sleep(0))
        try:
            target.begin()
            await crowd.start()
            if row["stopped"]:
                target.process.send_signal(signal.SIGSTOP)
                crowd.go.set()
                await asyncio.sleep(CROWD_S)
                target.process.send_signal(signal.SIGCONT)
            await target.ordinary("meanwhile")
            await crowd.close()
            target.end()
            await asyncio.sleep(HOLD_S)
            await target.ordinary("afterwards")
        finally:
            changes.cancel()
            await crowd.close()
            for watch in watches:
                watch.check()


def main():
    names = list(CASES)
    chosen = sys.argv[1:] or names
    if chosen == ["--list"]:
        print("\n".join(names))
        return 0
    failed = 0
    for name in chosen:
        try:
            asyncio.run(run_case(CASES[name]))
            print("ok " + name)
        except (AssertionError, OSError) as error:
            print("FAILED %s: %s" % (name, error))
            failed += 1
    print("crowds: %d passed, %d failed" % (len(chosen) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
