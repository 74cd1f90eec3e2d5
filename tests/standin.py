"""Fake platform for the tests of rw-proxyd: store, cloud, workers, callers.

The store listens on one port per host, so that a fault can be injected for a
single host. Everything runs on one asyncio loop.
"""
import asyncio
import base64
import json
import socket
import struct
import time
import urllib.parse

SLOW_S = 0.7  # that a call takes in the mode "slow"
POLL_S = 0.01  # polling interval of wait_until()
SEND_PERIOD_S = 0.02  # between two writes on a slow link


def reset(transport):
    """Closes a connection with an RST. abort() alone closes it as the kernel does
    for a process that dies: with a FIN, unless bytes that arrived are unread."""
    sock = transport.get_extra_info("socket")
    if sock.fileno() >= 0:  # else it is closed already
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    transport.abort()


async def read_head(reader):
    """Reads a request or status line and the headers.

    Returns the line and a dict with lower-case header names, or None when the
    connection has ended."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_byte(reader):
    """Returns b"" at the end of the connection, also if it is reset."""
    try:
        return await reader.read(1)
    except ConnectionError:
        return b""


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def response(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    lines += headers
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's key-value store with watches, transactions and leases.

    `faults` maps a host to the fault injected for its calls; the key None
    stands for all hosts. "unavailable" answers 503, "rate limited" 429,
    "reset" resets the connection, "silent" never answers."""

    def __init__(self):
        self.items = {}     # key -> [value, revision, created, lease]
        self.revision = 1
        self.events = []    # (revision, key, value or None, lease)
        self.compacted_revision = 0  # watches from before it get 410
        self.leases = {}    # id -> [expiry, ttl, revision at its grant]
        self.era = 1        # rises when an older copy is restored; 0: not said
        self.next_lease = 100
        self.faults = {}
        self.lost_responses = set()  # call kinds executed without response
        self.expiry_paused = False  # leases do not expire
        self.stale_revision = None  # stale reads show the items up to it
        self.watch_delay_s = 0  # before each response to a watch
        self.unanswered_watches = 0  # so many more get no response
        self.bytes_per_s = {}  # of a response to a host; None: to all
        self.last_silent = {}  # host -> last time its fault was silent
        self.calls = []     # (host, method, path)
        self.changed = asyncio.Event()

    async def start(self, address, hosts):
        self.servers = [
            await asyncio.start_server(
                lambda r, w, host=host: self.serve(host, r, w),
                address, 9000 + i)
            for i, host in enumerate(hosts)]
        self.expiry_task = asyncio.create_task(self.expire_leases())

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            for host, fault in self.faults.items():
                if fault == "silent":
                    self.last_silent[host] = time.monotonic()
            if self.expiry_paused:
                for lease in self.leases.values():
                    lease[0] = time.monotonic() + lease[1]
            for ident in [i for i, (end, _, _) in self.leases.items()
                          if end < time.monotonic()]:
                self.revoke_lease(ident)

    def revoke_lease(self, ident):
        self.leases.pop(ident, None)
        for key in [k for k, item in self.items.items() if item[3] == ident]:
            self.remove(key)

    def put(self, key, value, lease=0):
        if isinstance(value, (dict, list)):
            value = json.dumps(value)
        if isinstance(value, str):
            value = value.encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = [value, self.revision, created, lease]
        self.events.append((self.revision, key, value, lease))
        self.notify_watches()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append((self.revision, key, None, 0))
            self.notify_watches()

    def restore(self, revision):
        """Restores the copy of a revision: what was done since is lost, and
        its revisions are given out again."""
        self.events = [e for e in self.events if e[0] <= revision]
        self.items = {}
        for number, key, value, lease in self.events:
            created = self.items[key][2] if key in self.items else number
            self.items.pop(key, None)
            if value is not None:
                self.items[key] = [value, number, created, lease]
        self.leases = {ident: lease for ident, lease in self.leases.items()
                       if lease[2] <= revision}
        self.begin_era(revision)

    def copy(self):
        """Returns a copy; of each lease it has the time that is left."""
        now = time.monotonic()
        return {"items": {k: list(v) for k, v in self.items.items()},
                "events": list(self.events), "revision": self.revision,
                "next_lease": self.next_lease,
                "compacted": self.compacted_revision,
                "leases": {ident: (end - now, ttl, revision) for ident, (
                    end, ttl, revision) in self.leases.items()}}

    def restore_copy(self, copy):
        """Restores a copy as it was: leases run on for the time that was left,
        and their ids are given out again, too."""
        now = time.monotonic()
        self.items = {k: list(v) for k, v in copy["items"].items()}
        self.events = list(copy["events"])
        self.next_lease = copy["next_lease"]
        self.compacted_revision = copy["compacted"]
        self.leases = {ident: [now + left, ttl, revision] for ident, (
            left, ttl, revision) in copy["leases"].items()}
        self.begin_era(copy["revision"])

    def begin_era(self, revision):
        self.revision = revision
        self.era += 1
        self.notify_watches()

    def compact(self):
        self.compacted_revision = self.revision

    def notify_watches(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, host, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                self.calls.append((host, method, path))
                if not await self.apply_fault(host, writer):
                    return
                began = time.monotonic()
                status, value = await self.call(method, path, query, body)
                if max(self.last_silent.get(host, 0),
                       self.last_silent.get(None, 0)) > began:
                    # A silent fault began during the call.
                    await asyncio.sleep(3600)
                if self.fault_for(host):
                    return
                kind = path.split("/")[2]
                if kind in self.lost_responses and method != "GET":
                    await asyncio.sleep(3600)
                await self.send(host, writer, response(
                    status, json.dumps(value).encode(),
                    ["Store-Era: %d" % self.era] if self.era else ()))
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def send(self, host, writer, data):
        """Writes a response, at the rate of a slow link if one is set."""
        rate = self.bytes_per_s.get(host) or self.bytes_per_s.get(None, 0)
        step = int(rate * SEND_PERIOD_S) or len(data)
        for start in range(0, len(data), step):
            if start > 0:
                await asyncio.sleep(SEND_PERIOD_S)
            writer.write(data[start:start + step])
            await writer.drain()

    def fault_for(self, host):
        return self.faults.get(host) or self.faults.get(None)

    async def apply_fault(self, host, writer):
        """Applies the fault that is set for a host.

        Returns False if there is one: the connection then ends."""
        fault = self.fault_for(host)
        if fault == "unavailable":
            writer.write(response(503, b"{}"))
        elif fault == "rate limited":
            writer.write(response(429, b"{}"))
        elif fault == "silent":
            await asyncio.sleep(3600)
        elif fault == "reset":
            reset(writer.transport)
        return fault is None

    def encode_entry(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": lease}

    async def call(self, method, path, query, body):
        prefix = query.get("path_prefix", "")
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and
                          k > query.get("after_revision", ""))
            if query.get("stale_read") and self.stale_revision:
                return 200, self.stale_range(keys)
            return 200, {"entries": [self.encode_entry(k) for k in keys[:2]],
                         "has_more": len(keys) > 2, "at": self.revision}
        if path == "/-/kv-watch":
            if self.unanswered_watches > 0:
                self.unanswered_watches -= 1
                await asyncio.sleep(3600)
            await asyncio.sleep(self.watch_delay_s)
            return await self.watch(prefix, int(query["after_revision"]),
                                    int(query["wait_timeout_ms"]) / 1000)
        if path == "/-/kv-txn":
            return self.txn(json.loads(body))
        if path == "/-/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = [time.monotonic() + ttl / 1000,
                                            ttl / 1000, self.revision]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        ident = int(path.rsplit("/", 1)[1])
        if ident not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.revoke_lease(ident)
        else:
            ttl = self.leases[ident][1]
            self.leases[ident][0] = time.monotonic() + ttl
        return 200, {"ttl_ms": 0}

    def stale_range(self, keys):
        """Returns the items as they were at stale_revision."""
        rows = []
        for key in keys:
            old = [e for e in self.events
                   if e[1] == key and e[0] <= self.stale_revision]
            if old and old[-1][2] is not None:
                revision, _, value, lease = old[-1]
                rows.append({"key": key, "revision": revision,
                             "lease": lease, "created": revision,
                             "value": base64.b64encode(value).decode()})
        return {"entries": rows, "has_more": False,
                "at": self.stale_revision}

    async def watch(self, prefix, after, wait):
        deadline = time.monotonic() + wait
        while True:
            if after < self.compacted_revision or after > self.revision:
                return 410, {}
            events = [e for e in self.events
                      if e[0] > after and e[1].startswith(prefix)]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass
        rows = [{"key": k, "revision": r, "compacted": True} if v is None else
                {"key": k, "revision": r, "lease": lease,
                 "value": base64.b64encode(v).decode()}
                for r, k, v, lease in events]
        return 200, {"events": rows, "at": self.revision}

    def txn(self, body):
        for row in body["expect"]:
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                return 412, {"entries": []}
        for row in body["write"]:
            if row["lease"] and row["lease"] not in self.leases:
                return 404, {}
        for row in body["write"]:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}


class Cloud:
    """The platform's usage and scaling calls; records all accepted ones."""

    def __init__(self):
        self.usage = []   # (time, leader, token, window, counts)
        self.orders = []  # (time, leader, token, service, zone, spot, count)
        self.unavailable_zones = set()  # orders there get 409
        self.no_spot_zones = set()  # orders of reclaimable workers do
        self.lose_responses = False  # calls are executed without a response

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 8999)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = json.loads(await read_body(reader, head[1]))
                leader = head[1]["redwingpitch-duty-holder"]
                token = int(head[1]["redwingpitch-fencing-token"])
                status = 200
                if head[0].startswith("POST /usage"):
                    self.usage.append((time.monotonic(), leader, token,
                                       body["window_number"],
                                       body["counts"]))
                elif body["zone"] in self.unavailable_zones or (
                        body.get("spot_instance") and
                        body["zone"] in self.no_spot_zones):
                    status = 409
                else:
                    self.orders.append((time.monotonic(), leader, token,
                                        body["service"], body["zone"],
                                        body.get("spot_instance", False),
                                        body["desired_count"]))
                if self.lose_responses:
                    return
                writer.write(response(status, b"{}"))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Link:
    """The worker's end of a connection from a host, whose links may be cut:

    reset      connections are reset, new ones too
    hang       nothing arrives any more, either way
    one way    requests arrive, responses don't
    new        connections that exist live on, new ones are reset

    What is held up arrives when the link is back."""

    def __init__(self, worker, writer):
        self.worker = worker
        self.writer = writer
        self.host = writer.get_extra_info("peername")[0]
        self.is_counted = False  # in the worker's connections
        self.held = b""
        self.transport = writer.transport
        self.silent = False  # for good, while new connections work
        self.again = b""  # comes before the next response

    def cut(self):
        return "hang" if self.silent else self.worker.cuts.get(self.host)

    def write(self, data):
        if self.cut() in ("hang", "one way"):
            self.held += data
        else:
            self.writer.write(self.held + data)
            self.held = b""

    async def drain(self):
        await self.writer.drain()

    async def arrival(self):
        """Waits until what the host sends arrives."""
        while self.cut() == "hang":
            await asyncio.sleep(POLL_S)

    def update(self):
        """The cut of the host's links has changed."""
        if self.cut() == "reset":
            reset(self.transport)
        else:
            self.write(b"")

    def close(self):
        self.writer.close()


class Worker:
    """One worker. `mode` selects how it responds:

    ok         a signed 200, or a stream for paths that start with /s
    full       503 with Redwingpitch-Not-Executed
    ambiguous  503 without it: the host cannot tell whether it executed
    error      500
    cut        executes the request and resets the connection
    hang       executes the request and never responds
    slow       responds after 0.7 s
    unsigned   200 without a response signature
    extra      two responses to one request
    break      resets a stream in the middle of its fourth event
    no move    stops a stream that is to migrate, but copies no KV cache
    no room    the same, but names the KV cache that it keeps itself
    """

    handles = 0     # given out
    kv_copies = {}  # "address/handle" -> addresses that can use it, once

    def __init__(self, ident, service, address, zone="z1", slots=8):
        self.ident = ident
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.mode = "ok"
        self.version = "v1"  # of its software; its events name it
        self.fails_every = 0  # of so many runs one ends in a 500; 0: none
        self.delay_s = 0      # before each response
        # Streams have no length, and end with their connection: after all
        # events ("all"), inside an event ("event") or before the first one
        # ("none"), or when they end or are stopped ("paced").
        self.unframed = None
        # Bytes without end: in the "head", the "body" of a response, or an
        # "event" of a stream.
        self.floods = None
        self.flood_ends = []  # how long each one lasted, in s
        self.padding = 0  # bytes in each event, and in other responses
        self.says_leaving = False  # in all its answers
        self.retry_after = None  # of its 503 in the mode "full"
        self.limits = ()  # values of Server-Limit in all its answers
        self.brittle = None  # value of Server-Brittle in all its answers: it
        # crashes when it rejects more requests in a second for want of room
        self.room = None     # calls that it takes at a time
        self.rejected_at = []  # for want of room
        self.deadly_part = None  # hex id of a prompt part that crashes it
        self.deadly_paths = ()   # of requests that crash it
        self.resets_when_killed = False  # its connections
        self.restart_s = 0.5     # from a crash until it is back
        self.restarted = None    # called with it when it is back
        self.born = 1            # of its process; 0: it does not say
        self.crashed_at = []
        self.deadly_at = []      # arrivals of requests that crash it
        self.deadly_arrivals = []  # the same, (time, path, id)
        self.crashed_by = []     # (time, path) of each crash
        self.event_count = 10   # in a stream
        self.event_gap_s = 0.02  # time between two events
        self.probed_at = []     # arrivals of health checks
        self.reported_at = []   # arrivals of calls for its report
        self.first_event_s = 0  # from a request for a stream to its first event
        self.report_delay_s = 0
        # Of its report: "close" (said in its head), "no length", "mute",
        # "garbled", "twice" (before the next response), a status, or None.
        self.report_fault = None
        self.received = []      # headers of all requests
        self.executed = []      # ids of the requests that it executed
        self.received_at = {}   # id -> time of arrival
        self.misdirected = set()  # ids of requests for another worker
        self.disconnected = []  # ids whose connection ended early
        self.move_delay_s = 0   # before it moves a stream
        self.move_answer_s = 0  # from the stop of a stream to the answer
        self.moving = None      # address that it moved one to, or is to
        self.stopped = set()    # ids of streams stopped to migrate
        self.running = set()
        self.calls = set()      # that run, in the mode "slow"
        self.writers = set()
        self.connections = 0    # that carried a request or a call for its report
        self.last = None        # link of the last request that it executed
        self.cuts = {}          # host's IP address -> how its links are cut

    def cut_links(self, address, how):
        """Cuts the links of a host, see Link; None: they are back."""
        self.cuts[address] = how
        for writer in list(self.writers):
            if writer.host == address:
                writer.update()

    def entry(self, **changes):
        return dict({"service": self.service, "address": self.address,
                     "zone": self.zone, "version": self.version,
                     "slots": self.slots,
                     "state": "ready", "cold_remaining_ms": 0,
                     "sequence_number": 1, "born": self.born}, **changes)

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def flood(self, own, writer):
        began = time.monotonic()
        start = "HTTP/1.1 200 OK\r\n" + "\r\n".join(own) + "\r\n"
        if self.floods == "head":
            start += "X-Padding: "
        elif self.floods == "body":
            start += "\r\n"
        else:
            start += "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: "
        writer.write(start.encode())
        try:
            while True:
                writer.write(b"x" * 65536)
                await writer.drain()
        except ConnectionError:
            self.flood_ends.append(time.monotonic() - began)

    async def crash(self):
        """Is gone with all its connections, see kill(), and back after a
        while."""
        self.crashed_at.append(time.monotonic())
        self.kill()
        await asyncio.sleep(self.restart_s)
        self.born += 1
        await self.start()
        if self.restarted:
            self.restarted(self)

    def end_process(self):
        """Closes every connection in order, as the kernel does when a process
        dies that has read all that it was sent."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def replace_process(self, ident, keeps_socket, silent=()):
        """Ends the process as end_process() does; the next one, with an id, is
        there already, on the same listening socket if that is kept. The
        connections that are silent show no end."""
        for writer in silent:
            writer.silent = True
            self.writers.discard(writer)
        ended = list(self.writers)
        self.ident = ident
        self.born += 1
        self.running = set()  # what its report lists
        if not keeps_socket:
            self.server.close()
            await self.start()
        for writer in ended:
            writer.close()

    def kill(self):
        """Simulates a crash: every connection is reset, or closed by the kernel,
        see reset()."""
        self.server.close()
        for writer in list(self.writers):
            if self.resets_when_killed:
                reset(writer.transport)
            else:
                writer.transport.abort()

    async def serve(self, reader, writer):
        writer = Link(self, writer)
        if writer.cut() in ("reset", "new"):
            reset(writer.transport)
            return
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                await writer.arrival()
                if not await self.handle_request(head, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle_request(self, head, body, reader, writer):
        """Responds to one request; returns False to end the connection."""
        headers = head[1]
        if head[0].startswith("POST /-/kv-move"):
            self.moving = json.loads(body)["target"]
            await asyncio.sleep(self.move_delay_s)
            return await self.handle_move(json.loads(body), writer)
        if head[0].startswith("GET /health "):
            return self.check(writer)
        self.connections += not writer.is_counted
        writer.is_counted = True
        if head[0].startswith("GET /-/report "):
            return await self.report(writer)
        if writer.again:
            writer.write(writer.again)
            writer.again = b""
        ident = headers["redwingpitch-attempt-id"]
        self.received.append(headers)
        self.received_at[ident] = time.monotonic()
        said = ["Server-Leaving: 1"] if self.says_leaving else []
        said += ["Server-Limit: " + value for value in self.limits]
        if self.brittle is not None:
            said.append("Server-Brittle: %s" % self.brittle)
        expected = headers.get("redwingpitch-expected-instance")
        if expected not in (None, self.ident):
            self.misdirected.add(ident)
            writer.write(response(421, b"", said))
            return True
        if "kv-from" in headers and self.address not in Worker.kv_copies.get(
                headers["kv-from"], ()):
            writer.write(response(503, b"", ["Redwingpitch-Not-Executed: 1"]))
            return True
        if self.mode == "full":
            if self.retry_after is not None:
                said.append("Retry-After: " + self.retry_after)
            writer.write(response(503, b"", said + [
                "Redwingpitch-Not-Executed: 1"]))
            return True
        if self.mode == "ambiguous":
            writer.write(response(503))
            return True
        if self.room is not None and len(self.calls) >= self.room:
            return await self.reject(said, writer)
        self.executed.append(ident)
        self.last = writer
        if "kv-from" in headers:
            del Worker.kv_copies[headers["kv-from"]]
            self.stopped.discard(ident)
        own = ["Redwingpitch-Attempt-Id: " + ident,
               "Redwingpitch-Response-Signature: sig-" + self.ident,
               "Redwingpitch-Server-Load: %d,0,%d" % (
                   sum(writer.cut() is None for writer in self.writers),
                   self.slots)] + said
        parts = [part.partition(":")[0] for part in
                 headers.get("redwingpitch-prompt-prefix", "").split(",")]
        path = head[0].split(" ")[1]
        if self.deadly_part in parts[:-1] or path in self.deadly_paths:
            self.deadly_at.append(time.monotonic())
            self.deadly_arrivals.append((time.monotonic(), path, ident))
            writer.write(b"HTTP/1.1 200 OK\r\n")
            await asyncio.sleep(0.05)
            # Another one may have crashed it meanwhile.
            if self.server.is_serving():
                self.crashed_by.append((time.monotonic(), path))
                await self.crash()
            return False
        if self.floods:
            await self.flood(own, writer)
            return False
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.mode == "error" or (self.fails_every and len(
                self.executed) % self.fails_every == 0):
            writer.write(response(500, b"broken", own))
            return True
        if self.mode == "cut":
            reset(writer.transport)
            return False
        if self.mode == "hang":
            if not await read_byte(reader):
                self.disconnected.append(ident)
            return False
        if self.mode == "slow":
            self.calls.add(ident)
            await asyncio.sleep(SLOW_S)
            self.calls.discard(ident)
        if self.mode == "unsigned":
            writer.write(response(200, b"x", own[:1]))
            return True
        if self.mode == "extra":
            writer.write(response(200, b"first", own) * 2)
            return True
        if head[0].split(" ")[1].startswith("/s"):
            return await self.send_stream(ident, headers, own, reader, writer)
        text = (b"%s ran %s" % (self.ident.encode(), body)
                + b"." * self.padding)
        if self.unframed != "paced":
            writer.write(response(200, text, own))
            return True
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(own)
                      + "\r\n\r\n").encode() + text[:4])
        await asyncio.sleep(self.event_gap_s)
        writer.write(text[4:])
        return False

    def check(self, writer):
        """Answers a health check."""
        self.probed_at.append(time.monotonic())
        said = ["Server-Limit: " + value for value in self.limits]
        said += ["Server-Leaving: 1"] * self.says_leaving
        rejects = self.mode == "full" and self.retry_after is not None
        if rejects:
            said.append("Retry-After: " + self.retry_after)
        writer.write(response(503 if self.says_leaving or rejects else 200, b"",
                              ["Redwingpitch-Instance-Id: " + self.ident]
                              + said))
        return True

    async def report(self, writer):
        """Says what the process is doing; only engines do."""
        self.reported_at.append(time.monotonic())
        writer.reports = True
        await asyncio.sleep(self.report_delay_s)
        fault = self.report_fault
        if isinstance(fault, int):
            writer.write(response(fault, b"{}"))
            return True
        if self.service != "llm":
            writer.write(response(400, b"", ["Redwingpitch-Not-Executed: 1"]))
            return True
        value = {"stage": "colocated", "state": "ready",
                 "runs": [[ident, 0, 0, 5] for ident in self.running]}
        if self.born and fault != "mute":
            value["born"] = self.born
        text = json.dumps(value).encode()
        if fault == "no length":
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + text)
            return False
        writer.write(response(
            200, b"x" + text if fault == "garbled" else text,
            ["Connection: close"] if fault == "close" else ()))
        if fault == "twice":
            writer.again = response(200, text)
        return fault != "close"

    async def reject(self, said, writer):
        """Rejects a request for want of room; a brittle worker may crash."""
        now = time.monotonic()
        self.rejected_at = [at for at in self.rejected_at if at > now - 1]
        self.rejected_at.append(now)
        if self.brittle is not None and len(self.rejected_at) > self.brittle:
            if self.server.is_serving():
                self.rejected_at, self.calls = [], set()
                await self.crash()
            return False
        writer.write(response(503, b"", said + [
            "Redwingpitch-Not-Executed: 1",
            "Redwingpitch-Server-Load: %d,0,%d" % (len(self.calls),
                                                   self.slots)]))
        return True

    async def handle_move(self, body, writer):
        """Stops a stream and hands its KV cache to the target worker."""
        ident = body["identifier"]
        if ident not in self.running:
            writer.write(response(404, b"{}"))
            return True
        self.stopped.add(ident)
        await asyncio.sleep(self.move_answer_s)
        if self.mode == "no move":
            writer.write(response(503, b"{}"))
            return True
        Worker.handles += 1
        handle = "m-%d" % Worker.handles
        copied = self.mode != "no room"
        Worker.kv_copies[self.address + "/" + handle] = {
            self.address, body["target"] if copied else self.address}
        writer.write(response(200 if copied else 503, json.dumps(
            {"copy_handle": handle, "created": 0}).encode()))
        return True

    def send_unframed(self, first, own, writer):
        events = [b"id: %d\ndata: event %d\n\n" % (number, number)
                  for number in range(first, self.event_count)]
        text = {"all": b"".join(events), "none": b"",
                "event": b"".join(events[:3]) + events[3][:7]}[self.unframed]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(own) + "\r\n"
                      "Content-Type: text/event-stream\r\n\r\n").encode()
                     + text)
        return False

    async def send_stream(self, ident, headers, own, reader, writer):
        first = int(headers.get("last-event-id", -1)) + 1
        version = self.version  # of this process, until it ends
        framed = self.unframed != "paced"
        if self.unframed and framed:
            return self.send_unframed(first, own, writer)
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(own) + "\r\n"
                      "Content-Type: text/event-stream\r\n"
                      + "Transfer-Encoding: chunked\r\n" * framed
                      + "\r\n").encode())
        self.running.add(ident)
        await asyncio.sleep(self.first_event_s)
        for number in range(first, self.event_count):
            if ident in self.stopped:
                self.running.discard(ident)
                return False
            if self.mode == "break" and number == first + 3:
                # In the middle of an event.
                writer.write(b"8\r\nid: %d\nda\r\n" % number)
                await writer.drain()
                reset(writer.transport)
                return False
            text = b"id: %d\n%sdata: event %d of %s\n\n" % (
                number, b"data: " + b"." * self.padding + b"\n"
                if self.padding else b"", number, version.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(text), text) if framed
                         else text)
            try:
                await asyncio.wait_for(read_byte(reader), self.event_gap_s)
                self.disconnected.append(ident)
                return False
            except asyncio.TimeoutError:
                pass
        self.running.discard(ident)
        if framed:
            writer.write(b"0\r\n\r\n")
        return framed


class Response:
    """The response that a caller received."""

    def __init__(self):
        self.status = 0      # 0: the connection ended without a response
        self.headers = {}
        self.body = b""
        self.complete = False

    def versions(self):
        """Returns the versions of the workers that wrote the events."""
        return {line.rsplit(b" ", 1)[1].decode()
                for line in self.body.split(b"\n")
                if line.startswith(b"data: event ")}

    def event_ids(self):
        return [int(line[4:]) for line in self.body.split(b"\n")
                if line.startswith(b"id: ")]


class Caller:
    """A caller with one keep-alive connection."""

    count = 0

    def __init__(self, address):
        self.address = address
        self.reader = None

    async def connect(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port))

    async def send(self, method, path, body=b"", key="k1", headers=(),
                   remaining_ms=3000, cut=0):
        """Sends a request but for its last bytes, and returns its id."""
        if self.reader is None:
            await self.connect()
        Caller.count += 1
        ident = "c%06x" % Caller.count
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: a.example",
                 "Redwingpitch-Attempt-Id: " + ident,
                 "Redwingpitch-Deadline-Remaining: %d" % remaining_ms]
        if key:
            lines.append("Authorization: Bearer " + key)
        if body:
            lines.append("Content-Length: %d" % len(body))
        lines += headers
        text = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        self.writer.write(text[:len(text) - cut])
        await self.writer.drain()
        return ident

    async def receive(self, events=None):
        """Receives a response, or the first events of a stream, after which
        the connection is closed."""
        got = Response()

        def is_enough():
            # Two events may come in one chunk.
            return events is not None and len(got.event_ids()) >= events
        head = await read_head(self.reader)
        if head is None:
            return got
        got.status = int(head[0].split(" ")[1])
        got.headers = head[1]
        try:
            if got.headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int(await self.reader.readline(), 16)
                    got.body += await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                    if size == 0 or is_enough():
                        break
            else:
                got.body = await self.reader.readexactly(
                    int(got.headers.get("content-length", 0)))
            got.complete = not is_enough()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        if got.headers.get("connection") == "close" or not got.complete:
            self.writer.close()
            self.reader = None
        return got

    async def request(self, *args, **kwargs):
        ident = await self.send(*args, **kwargs)
        got = await self.receive()
        got.ident = ident
        return got

    def close(self):
        if self.reader is not None:
            self.writer.close()
            self.reader = None


async def wait_until(what, check, seconds=8):
    """Polls until check() is true; fails with `what` after the timeout."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError("timed out after %s s: %s" % (seconds, what))
