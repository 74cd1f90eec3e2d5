"""Shared parts of the cases 6 to 10: processes of the deploy file with the
settings of a small deployment, stand-ins of tests/, and the record."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
os.environ["RW_BUILD"] = os.path.join(ROOT, "target")
sys.path.insert(0, os.path.join(ROOT, "tests"))

import proxyrig  # noqa: E402
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2  # heartbeat_interval_ms of the site
# Bounds and limits of sites/rmdc-thies.toml that the template passes on.
SETTINGS = {
    "memory_mb": 260, "descriptors": 4100, "cores": 0.25, "grace_s": 8,
    "drain_ms": 2000, "retry_ratio": 0.2, "retry_extra": 52,
    "quota_tolerance": 140000, "lease_ms": 3000, "usage_window_s": 5,
    "usage_delay_s": 10,
}


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        self.rows = []

    def add(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.rows.append((at, "%8.3f %s" % (at - self.began, text)))

    def write(self):
        with open(self.path, "w") as file:
            for _, text in sorted(self.rows, key=lambda row: row[0]):
                file.write(text + "\n")


class Worker(standin.Worker):
    """A worker that notes when and from which host each request arrived."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.arrivals = []  # (time, id, address of the host)

    async def handle_request(self, head, body, reader, writer):
        ident = head[1].get("redwingpitch-attempt-id")
        if ident:
            peer = writer.transport.get_extra_info("peername")
            self.arrivals.append((time.monotonic(), ident, peer[0]))
        return await super().handle_request(head, body, reader, writer)


class Store(standin.Store):
    """The store; a range returns up to 500 items, as the pages say."""

    async def call(self, method, path, query, body):
        if path == "/-/kv-range" and not query.get("stale_read"):
            prefix = query.get("path_prefix", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and
                          k > query.get("after_revision", ""))
            return 200, {"entries": [self.encode_entry(k)
                                     for k in keys[:500]],
                         "has_more": len(keys) > 500, "at": self.revision}
        return await super().call(method, path, query, body)


class Rig(proxyrig.Rig):
    """The platform, its workers and the system's processes."""

    def __init__(self, hosts, llm, api):
        proxyrig.Worker = Worker
        proxyrig.Store = Store
        super().__init__(random.randrange(20000), hosts=hosts, llm=llm,
                         api=api)
        for host in self.hosts:
            start = host.start
            host.start = lambda start=start, **kw: start(
                **dict(SETTINGS, **kw))

    def ip(self, last):
        return "127.%d.%d.%d" % (100 + self.net // 200, 1 + self.net % 200,
                                 last)


def run(case, folder):
    """Runs a case; it returns a list of breaks of the rule."""
    record = Record(folder)
    code = 2
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 110))
        for line in broken:
            record.add("BROKEN " + line)
        code = 1 if broken else 0
        print("broken: %s" % broken[0] if broken else "held")
    except Exception as error:  # noqa: BLE001
        record.add("could not run: %r" % error)
        print("could not run: %r" % error)
    record.add("exit %d trouble=%d" % (code, TROUBLE))
    record.write()
    sys.exit(code)
