"""Starts stand-ins and entry hosts as processes on loopback.

Used by the demo, the process tests and the benchmarks. It only ends processes
that it started, by process id.
"""
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("RW_BUILD", os.path.join(ROOT, "build"))

ACCOUNTS = ["bazaar", "pharmacy", "coop", "lodge", "ranger"]

SETTINGS = {
    "town/model/itinerary": {"pool": "gpu", "max_tokens": 4096},
    "town/model/summary": {"pool": "gpu", "batch": True, "priority": 9},
    "town/route/stock": {"pool": "ledger", "path": "/ledger/stock",
                         "idempotent": False, "status_path": "/status",
                         "not_run_status": 503},
    "town/route/permit": {"pool": "ledger", "path": "/ledger/permit",
                          "idempotent": False, "status_path": "/status",
                          "not_run_status": 503},
    "town/route/wallet": {"pool": "ledger", "path": "/ledger/wallet",
                          "idempotent": False, "not_run_status": 503},
    "town/route/status": {"pool": "ledger", "path": "/status",
                          "idempotent": True},
}
SETTINGS.update({"town/account/" + name: {} for name in ACCOUNTS})


# Below the kernel's range of ephemeral ports: an outgoing connection can't
# take a port between the check that it is free and the start of its listener.
PORTS = range(10000, 32000)
ports_lock = threading.Lock()
# Process id -> its sequence of ports: a forked process has its own.
ports_of = {}


def next_port():
    """Returns the next port of this process; each comes once per cycle."""
    with ports_lock:
        pid = os.getpid()
        if pid not in ports_of:
            first = pid * 100 % len(PORTS)
            ports_of[pid] = itertools.cycle(
                itertools.chain(PORTS[first:], PORTS[:first]))
        return next(ports_of[pid])


def free_ports(count):
    """Returns ports that are currently free for both TCP and UDP."""
    sockets, ports = [], []
    while len(ports) < count:
        port = next_port()
        tcp = socket.socket()
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets += [tcp, udp]
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            ports.append(port)
        except OSError:
            pass
    for sock in sockets:
        sock.close()
    return ports


def call(address, method, path, body=None, headers=None, timeout=10):
    """Makes one HTTP call; returns its status, body text and headers."""
    host, port = address.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        conn.request(method, path, body=body, headers=headers or {})
        response = conn.getresponse()
        return (response.status, response.read().decode(),
                dict(response.headers))
    finally:
        conn.close()


def wait_for(what, check, seconds=15):
    """Waits until check() is true; on timeout, fails with the text what."""
    until = time.time() + seconds
    while time.time() < until:
        try:
            if check():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.02)
    raise AssertionError("timed out after %d s: %s" % (seconds, what))


class Process:
    """A started program, which prints a line with its port when it listens."""

    def __init__(self, rig, name, args):
        self.name = name
        self.log = os.path.join(rig.dir, name + ".log")
        self.out = open(self.log, "ab")
        self.popen = subprocess.Popen(args, stdout=subprocess.PIPE,
                                      stderr=self.out)
        line = self.popen.stdout.readline().decode().split()
        if len(line) != 2:
            raise AssertionError("%s did not start: %s"
                                 % (name, open(self.log).read()[-500:]))
        self.address = "127.0.0.1:" + line[1]

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, seconds=30):
        self.signal(signal.SIGTERM)
        self.popen.wait(seconds)

    def close(self):
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()
        self.popen.stdout.close()
        self.out.close()


class Rig:
    """Runs a platform, engines, services and entry hosts."""

    def __init__(self, entries=3, engines=2, services=1, data_centres=3,
                 engine_args=(), service_args=(), entry_conf=None,
                 platform_args=(), settings=None):
        self.tmp = tempfile.TemporaryDirectory(prefix="rw-")
        self.dir = self.tmp.name
        self.processes = []
        self.load_processes = []  # subprocess.Popen of rw-load
        self.entries = {}
        self.engines = []
        self.services = []
        self.data_centres = data_centres
        self.entry_conf = entry_conf or {}
        self.platform = self.start_process(
            "platform", [self.bin("rw-fake-platform"), "--lag", "300"] +
            list(platform_args))
        for n in range(engines):
            self.add_engine(n, engine_args)
        for n in range(services):
            self.add_service(n, service_args)
        for key, value in (settings or SETTINGS).items():
            self.put_setting(key, value)
        ports = free_ports(entries)
        self.seeds = ["127.0.0.1:%d" % port for port in ports[:3]]
        for n in range(entries):
            self.add_entry("e%d" % n, "dc%d" % (n % data_centres), ports[n])

    def bin(self, name):
        return os.path.join(BUILD, name)

    def start_process(self, name, args):
        process = Process(self, name, args)
        self.processes.append(process)
        return process

    def register_host(self, name, role, address, data_centre, pool,
                      state="live"):
        call(self.platform.address, "POST", "/hosts",
             {"name": name, "role": role, "address": address,
              "data_centre": data_centre, "pool": pool, "state": state,
              "reclaimable": True})

    def add_engine(self, n, args=()):
        name = "engine%d" % n
        engine = self.start_process(name, [self.bin("rw-fake-engine")] +
                                    list(args))
        engine.data_centre = "dc%d" % (n % self.data_centres)
        self.engines.append(engine)
        self.register_host(name, "engine", engine.address,
                           engine.data_centre, "gpu")
        return engine

    def add_service(self, n, args=()):
        name = "service%d" % n
        service = self.start_process(name, [self.bin("rw-fake-service")] +
                                     list(args))
        service.data_centre = "dc%d" % (n % self.data_centres)
        self.services.append(service)
        self.register_host(name, "service", service.address,
                           service.data_centre, "ledger")
        return service

    def add_entry(self, name, data_centre, rpc_port, **overrides):
        conf = {"name": name, "data_centre": data_centre, "rpc_port": rpc_port,
                "platform": self.platform.address, "seeds": self.seeds,
                "trace_file": os.path.join(self.dir, "trace.jsonl")}
        conf.update(self.entry_conf)
        conf.update(overrides)
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w") as file:
            json.dump(conf, file)
        entry = self.start_process(name, [self.bin("rw-entryd"), path])
        entry.data_centre = data_centre
        entry.rpc_port = rpc_port
        self.entries[name] = entry
        return entry

    def put_setting(self, key, value, expect=None):
        """Stores a setting as rw-admind does."""
        if not isinstance(value, str):
            value = json.dumps(value)
        stored = json.dumps({"change": "rig", "by": "rig", "at": 0,
                             "value": value, "history": []})
        if expect is None:
            _, text, _ = call(self.platform.address, "GET",
                              "/kv/get?key=settings/" + key)
            expect = json.loads(text)["mod"]
        return call(self.platform.address, "POST", "/kv/cas",
                    {"key": "settings/" + key, "value": stored,
                     "expect": expect})

    def health(self, entry):
        return json.loads(call(entry.address, "GET", "/v1/health")[1])

    def counters(self, entry):
        text = call(entry.address, "GET", "/v1/counters")[1]
        return {name: int(value) for name, value in
                (line.split() for line in text.splitlines())}

    def live(self):
        """Returns the entry hosts that are running."""
        return [e for e in self.entries.values() if e.popen.poll() is None]

    def total(self, name):
        """Returns the sum of a counter over the running entry hosts."""
        return sum(self.counters(e)[name] for e in self.live())

    def wait_ready(self, hosts=None, seconds=15):
        """Waits until all entry hosts are ready.

        Then they know each other and the upstreams, and have their records.
        """
        want = hosts or len(self.live())

        def check():
            for entry in self.live():
                health = self.health(entry)
                if not health["ready"] or health["home"] != "open" or \
                        health["hosts"] < want or \
                        (want > 1 and not health["guardian"]):
                    return False
                if not self.upstreams_known(entry):
                    return False
            return True
        wait_for("%d entry hosts ready" % want, check, seconds)

    def upstreams_known(self, entry):
        """Returns whether an entry host lists all engines and services."""
        text = call(entry.address, "GET", "/v1/upstreams")[1]
        count = len(self.engines) + len(self.services)
        return len(json.loads(text)["upstreams"]) >= count

    def fault(self, process, **switches):
        """Sets fault switches of a stand-in."""
        call(process.address, "POST", "/fault", switches)

    def ledger(self):
        """Returns the calls that the running services have executed."""
        lines = []
        for service in self.services:
            if service.popen.poll() is None:
                text = call(service.address, "GET", "/ledger")[1]
                lines += json.loads(text)["ledger"]
        return lines

    def close(self):
        for process in self.load_processes:
            if process.poll() is None:
                process.kill()
            process.wait()
            process.stdout.close()
        for process in self.processes:
            process.close()
        self.tmp.cleanup()

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.close()


def events(response):
    """Yields (event, id, data) of a streamed response."""
    event, ident, data = None, None, ""
    for raw in response:
        line = raw.decode().rstrip("\n")
        if line.startswith("event: "):
            event = line[7:]
        elif line.startswith("id: "):
            ident = int(line[4:])
        elif line.startswith("data: "):
            data = line[6:]
        elif not line and event:
            yield event, ident, json.loads(data) if data else {}
            event, ident, data = None, None, ""


def open_stream(address, method, path, body=None, headers=None, timeout=30):
    """Begins a streamed call; returns the connection and the response."""
    host, port = address.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
    conn.request(method, path,
                 body=json.dumps(body) if body is not None else None,
                 headers=headers or {})
    return conn, conn.getresponse()
