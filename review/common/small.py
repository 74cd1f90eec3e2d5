"""Starts a small deployment on loopback for the scripts of the cases.

The hosts are target/rw-proxyd processes, started as deploy/system.toml says,
with settings made from the fields of deploy/proxy.json and the bounds of the
site rmdc-thies. The platform, the workers and the callers are the project's
stand-ins (tests/standin.py).
"""
import asyncio
import os
import random
import socket
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
os.environ["RW_BUILD"] = os.path.join(ROOT, "target")
os.environ.pop("RW_OLD_BUILD", None)
os.environ.pop("RW_OLD_HOSTS", None)
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "tests"))
import proxyrig  # noqa: E402

# The bounds of rmdc-thies that are settings of a process.
SETTINGS = {"memory_mb": 260, "descriptors": 4100, "cores": 0.25,
            "grace_s": 8, "drain_ms": 2000, "retry_ratio": 0.2,
            "retry_extra": 52, "quota_tolerance": 140000, "lease_ms": 3000,
            "usage_window_s": 5, "usage_delay_s": 10,
            "duties": ["usage_reporting", "autoscaling"]}
BROKEN, HELD, NOT_RUN = 1, 0, 2


def trouble():
    """Whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def net_is_free(net):
    """Whether the addresses of a rig are free on its ports."""
    rig = proxyrig.Rig(net, hosts=0, llm=0, api=0)
    os.rmdir(rig.folder)
    wanted = [(rig.ip(200), 8999), (rig.ip(200), 9000), (rig.ip(1), 8221),
              (rig.ip(1), 7600), (rig.ip(100), 8000), (rig.ip(150), 8000)]
    for address in wanted:
        with socket.socket() as sock:
            try:
                sock.bind(address)
            except OSError:
                return False
    return True


def free_net():
    for _ in range(50):
        net = random.randrange(400, 9000)
        if net_is_free(net):
            return net
    raise RuntimeError("no free addresses")


class Deployment(proxyrig.Rig):
    def __init__(self, **counts):
        super().__init__(free_net(), **counts)
        self.store.era = 0  # the pages name none
        for host in self.hosts:
            write = host.write_settings
            host.write_settings = (
                lambda write=write, **changes:
                write(**dict(SETTINGS, **changes)))

    def ip(self, last):
        return "127.%d.%d.%d" % (64 + self.net // 200, 1 + self.net % 200,
                                 last)


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write("%7.3f s  %s\n" % (time.monotonic() - self.began,
                                           text))
        self.file.flush()


def main(folder, run):
    """Runs a case; run(record) returns whether the rule held."""
    record = Record(folder)
    record("trouble: %s" % ("yes" if trouble() else "no"))

    async def bounded():
        return await asyncio.wait_for(run(record), 110)
    try:
        held = asyncio.run(bounded())
    except BaseException as error:  # the case could not run
        record("could not run: %r" % error)
        sys.exit(NOT_RUN)
    record("the rule %s" % ("held" if held else "was broken"))
    sys.exit(HELD if held else BROKEN)
