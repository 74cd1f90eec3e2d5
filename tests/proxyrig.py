"""Starts rw-proxyd processes against the fake platform of standin.py.

Only processes started here are killed, by their ids.
"""
import asyncio
import json
import os
import signal
import subprocess
import tempfile
import time

from standin import Caller, Cloud, Store, Worker, wait_until

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("RW_BUILD", os.path.join(ROOT, "build"))
# An older build, for tests of a rolling upgrade. RW_OLD_HOSTS makes all tests run
# beside it: the hosts with even numbers are of that build, or the odd ones.
OLD_BUILD = os.environ.get("RW_OLD_BUILD", BUILD)
OLD_HOSTS = {"even": 0, "odd": 1}.get(os.environ.get("RW_OLD_HOSTS"))
ZONES = ["z1", "z2"]
LOG_FLUSH_S = 0.4  # until a host has written its last log lines
LOOKUP_HOSTS_MAX = 64  # in a look-up answer

# Routes: /s is a stream that may be resumed at another worker, /s1 a stream
# with a single attempt, /i an idempotent call, /o a non-idempotent call with
# one attempt, /o2 one with two, /p a public call that needs no key.
ROUTES = {
    "/s/": {"kind": "streaming", "service": "llm", "max_attempts": 3,
            "stream_resumption": True, "target_latency_ms": 500},
    "/s1/": {"kind": "streaming", "service": "llm", "max_attempts": 1},
    "/i/": {"kind": "idempotent", "service": "api", "max_attempts": 2},
    "/o/": {"kind": "non_idempotent", "service": "api", "max_attempts": 1},
    "/o2/": {"kind": "non_idempotent", "service": "api", "max_attempts": 2},
    "/p/": {"kind": "idempotent", "service": "api", "public": True},
}


def config(version, routes=ROUTES, keys=("k1",), rate=0, **limits):
    """Returns a configuration as operators write it to op/config."""
    return {
        "version": version,
        "routes": [dict({"name": "r" + prefix, "host": "a.example",
                         "path_prefix": prefix, "timeout_ms": 3000,
                         "target_latency_ms": 300, "priority": 0,
                         "max_attempts": 1, "public": False}, **route)
                   for prefix, route in routes.items()],
        "services": [
            {"name": "llm", "connection_limit": 100,
             "health_check_path": "/health", "inference_engine": {
                "slots": 8, "kv_cache_tokens": 100000, "stride": 5},
             "scaling": {"minimum": 1, "maximum": 4, "boot_time_s": 1.0,
                         "spot_price": 0.2,
                         "zone_prices": {"z1": 1.0, "z2": 0.8}}},
            {"name": "api", "connection_limit": 100,
             "health_check_path": "/health"}],
        "limits": dict({"max_header_bytes": 8192, "max_body_bytes": 100000,
                        "header_timeout_ms": 1000,
                        "idle_timeout_ms": 5000}, **limits),
        "tenants": [{"name": "t1", "api_keys": list(keys), "unit": "tokens",
                     "uncached_tokens": 100, "rate_per_s": rate,
                     "burst": rate}],
    }


class Host:
    """One rw-proxyd process."""

    def __init__(self, rig, number):
        self.rig = rig
        self.name = "h%d" % number
        self.number = number
        self.ip = rig.ip(number + 1)
        self.front = self.ip + ":8221"
        self.ready = self.ip + ":8224"
        self.lookup = self.ip + ":8220"
        self.metrics = self.ip + ":7601"
        self.process = None
        self.build = BUILD
        self.settings = os.path.join(rig.folder, self.name + ".json")
        self.log = os.path.join(rig.folder, self.name + ".log")

    def write_settings(self, **changes):
        values = {
            "name": self.name, "data_centre": ZONES[self.number % 2],
            "address": self.ip, "front": self.front, "ready": self.ready,
            "lookup": self.lookup, "internal_ports": ["7600", "7615"],
            "seeds": [self.rig.ip(1) + ":8229"],
            "store": "%s:%d" % (self.rig.ip(200), 9000 + self.number),
            "cloud": self.rig.ip(200) + ":8999",
            "duties": ["usage", "scaling"], "first_start": True,
            "grace_s": 8, "usage_window_s": 2, "usage_delay_s": 8,
            "quota_tolerance": 20000, "lease_ms": 3000, "log_rate": 5000,
        }
        values.update(changes)
        with open(self.settings, "w") as file:
            json.dump(values, file)

    def start(self, **changes):
        self.write_settings(**changes)
        self.process = subprocess.Popen(
            [os.path.join(self.build, "rw-proxyd"), self.settings],
            stdout=open(self.log, "ab"), stderr=subprocess.STDOUT)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def log_events(self, event):
        """Returns the log lines of one event, each as a dict of fields."""
        with open(self.log) as file:
            rows = [line.strip() for line in file]
        return [dict(word.partition("=")[::2] for word in row.split(" "))
                for row in rows if " ev=%s " % event in row]

    def alive_in_log(self):
        """Returns the addresses of the other hosts that this process takes for
        alive, by its log."""
        outcomes = {}
        with open(self.log) as file:
            rows = [line.strip().split(" ") for line in file]
        for row in rows:
            if "ev=started" in row:
                outcomes = {}
            elif "ev=host" in row:
                fields = dict(word.partition("=")[::2] for word in row)
                if "address" in fields and "peer" in fields:
                    outcomes[fields["peer"]] = (fields["address"],
                                                fields["outcome"])
        return {address for address, outcome in outcomes.values()
                if outcome == "alive"}

    def caller(self):
        caller = Caller(self.front)
        self.rig.callers.append(caller)
        return caller

    async def request(self, *args, **kwargs):
        """Sends one request on a new connection."""
        caller = self.caller()
        try:
            return await caller.request(*args, **kwargs)
        finally:
            caller.close()

    async def get(self, address, path):
        caller = Caller(address)
        try:
            return await caller.request("GET", path, key=None)
        finally:
            caller.close()


class Rig:
    """The fake platform and the hosts of one test."""

    net = 0  # selects the loopback /24; each test has its own

    def __init__(self, net, hosts=1, llm=2, api=2, build=BUILD):
        self.net = net
        self.folder = tempfile.mkdtemp(prefix="rw-proxy-")
        self.store = Store()
        self.cloud = Cloud()
        self.hosts = [Host(self, i) for i in range(hosts)]
        for host in self.hosts:
            host.build = OLD_BUILD if host.number % 2 == OLD_HOSTS else build
        self.workers = [
            Worker("w-llm-%d" % i, "llm", self.ip(100 + i) + ":8000",
                   ZONES[i % 2]) for i in range(llm)]
        self.workers += [
            Worker("w-api-%d" % i, "api", self.ip(150 + i) + ":8000",
                   ZONES[i % 2]) for i in range(api)]
        # In each test, some workers that crash reset their connections.
        for worker in self.workers:
            worker.resets_when_killed = worker.zone == ZONES[1]
        self.callers = []

    def ip(self, last):
        return "127.%d.%d.%d" % (64 + self.net // 200, 1 + self.net % 200,
                                 last)

    def workers_of(self, service):
        return [w for w in self.workers if w.service == service]

    def list_worker(self, worker):
        self.store.put("servers/" + worker.ident, worker.entry())

    def executed_by(self, ident):
        """Returns the workers that executed a request, one per execution."""
        return [w.ident for w in self.workers
                for i in w.executed if i == ident]

    def began_at(self, ident):
        """Returns the wall clock time, in s, at which a worker began to execute
        a request; the last one if several did."""
        return time.time() - time.monotonic() + max(
            w.received_at[ident] for w in self.workers if ident in w.executed)

    async def __aenter__(self):
        await self.store.start(self.ip(200), [h.name for h in self.hosts])
        await self.cloud.start(self.ip(200))
        for worker in self.workers:
            worker.restarted = self.list_worker
            await worker.start()
            self.store.put("servers/" + worker.ident, worker.entry())
        self.store.put("op/config", config(1))
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await self.wait_ready(host)
        return self

    async def wait_ready(self, host, seconds=8):
        async def ready():
            try:
                return (await host.get(host.ready, "/-/readiness")).status
            except OSError:
                return 0
        for _ in range(int(seconds / 0.02)):
            if await ready() == 200:
                return
            await asyncio.sleep(0.02)
        raise AssertionError("%s is not ready; log in %s" %
                             (host.name, host.log))

    async def wait_membership(self, seconds=8):
        """Waits until every host's look-up answer lists all hosts. Where it has
        no room for all, it is full, and the host's log names all others."""
        listed = min(len(self.hosts), LOOKUP_HOSTS_MAX)
        for host in self.hosts:
            others = {h.front for h in self.hosts} - {host.front}

            async def known(host=host, others=others):
                got = await host.get(host.lookup, "/-/resolution?zone=z1")
                return got.status == 200 and len(
                    json.loads(got.body)["addresses"]) == listed and (
                        len(self.hosts) <= LOOKUP_HOSTS_MAX or
                        host.alive_in_log() >= others)
            for _ in range(int(seconds / 0.05)):
                if await known():
                    break
                await asyncio.sleep(0.05)
            else:
                raise AssertionError(host.name + " does not know all hosts")

    async def __aexit__(self, kind, value, trace):
        try:
            if kind:
                print("logs in " + self.folder)
                await asyncio.sleep(LOG_FLUSH_S)
        finally:  # also if the test is cancelled meanwhile
            for host in self.hosts:
                if host.process and host.process.poll() is None:
                    host.process.send_signal(signal.SIGCONT)
                    host.kill()
            for caller in self.callers:
                caller.close()

    async def wait_until(self, what, check, seconds=8):
        await wait_until(what, check, seconds)
