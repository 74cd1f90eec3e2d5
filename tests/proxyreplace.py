#!/usr/bin/env python3
"""Soak of rw-proxyd: workers' processes are replaced under their ids, at versions
drawn anew, while callers read and take up streams.

Usage: proxyreplace.py [--seed N] [--seconds S] [--listed S] [--late S] [--bad S]
                       [--silent P] [--early P] [--paused S] [--cut S] [--hosts N]
                       [--net N]
"""
import argparse
import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from proxy import CONFIG_BOUND_S, NET  # noqa: E402
from proxyrig import ROUTES, Rig, config  # noqa: E402

EVENTS, EVENT_GAP_S = 40, 0.04
COUNTERS = ["process_probes", "unlisted_processes", "streams"]
VERSIONS = ["v1", "v2", "v3"]


class Soak:
    def __init__(self, rig, options):
        self.rig = rig
        self.options = options
        self.random = random.Random(options.seed)
        self.until = time.monotonic() + options.seconds
        self.streams = []  # (id, parts)
        self.replaced = 0

    async def replace(self):
        while time.monotonic() < self.until:
            await asyncio.sleep(self.random.uniform(0.2, 0.6))
            worker = self.random.choice(self.rig.workers_of("llm"))
            worker.version = self.random.choice(VERSIONS)
            worker.report_delay_s = self.random.uniform(0, self.options.late)
            worker.report_fault = (503 if self.random.random()
                                   < self.options.bad else None)
            if self.random.random() < self.options.early:
                self.rig.store.put("servers/" + worker.ident, worker.entry(
                    born=worker.born + 1))
                await asyncio.sleep(self.random.uniform(0, 0.2))
            silent = [w for w in worker.writers
                      if self.random.random() < self.options.silent]
            await worker.replace_process(worker.ident, False, silent)
            self.replaced += 1
            asyncio.get_running_loop().call_later(
                self.random.uniform(0, self.options.listed),
                self.rig.list_worker, worker)

    async def pause(self):
        """Suspends hosts now and then, as long as the soak lasts."""
        while self.options.paused and time.monotonic() < self.until:
            await asyncio.sleep(self.random.uniform(0.5, 1.5))
            host = self.random.choice(self.rig.hosts)
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.1, self.options.paused))
            host.signal(signal.SIGCONT)

    async def cut(self):
        """Cuts the links between hosts and workers now and then."""
        while self.options.cut and time.monotonic() < self.until:
            await asyncio.sleep(self.random.uniform(0.5, 1.5))
            host = self.random.choice(self.rig.hosts)
            how = self.random.choice(["reset", "hang", "one way", "new"])
            for worker in self.rig.workers_of("llm"):
                worker.cut_links(host.ip, how)
            await asyncio.sleep(self.random.uniform(0.1, self.options.cut))
            for worker in self.rig.workers_of("llm"):
                worker.cut_links(host.ip, None)

    async def call(self):
        while time.monotonic() < self.until:
            path = self.random.choice(["/s/x", "/s/x", "/s1/x"])
            host = self.random.choice(self.rig.hosts)
            caller = host.caller()
            leaves = path == "/s/x" and self.random.random() < 0.4
            ident = await caller.send("POST", path, b"b", remaining_ms=6000)
            parts = [await caller.receive(
                events=self.random.randrange(1, 30) if leaves else None)]
            caller.close()
            self.rig.callers.remove(caller)
            if leaves and parts[0].event_ids():
                host = self.random.choice(self.rig.hosts)
                parts.append(await host.request(
                    "POST", path, b"b", remaining_ms=5000, headers=[
                        "Last-Event-Id: %d" % parts[0].event_ids()[-1],
                        "Resumes: " + ident]))
            self.streams.append((ident, path, parts))


def judge(streams):
    """Returns the streams that break the rule ORDER, and counts."""
    bad = []
    counts = {}
    for ident, path, parts in streams:
        versions = set().union(*[got.versions() for got in parts])
        ids = [i for got in parts for i in got.event_ids()]
        if len(versions) > 1 or ids != list(range(len(ids))):
            bad.append((ident, path, sorted(versions), ids))
        last = parts[-1]
        kind = (path, "taken up" if len(parts) > 1 else "read")
        end = ("whole" if last.complete and len(ids) == EVENTS else
               "status %d" % last.status if last.status != 200 else
               "broken off")
        counts[kind + (end,)] = counts.get(kind + (end,), 0) + 1
    return bad, counts


async def stop(rig):
    """Prints what the hosts have counted, and stops them in order."""
    for host in rig.hosts:
        text = (await host.get(host.metrics, "/-/metrics")).body.decode()
        rows = [line.replace("\n", "") for line in text.split("\n")
                if any(word in line for word in COUNTERS)
                and not line.startswith("#")]
        with open("/proc/%d/status" % host.process.pid) as file:
            rss = [line for line in file if line.startswith("VmRSS")][0]
        print("  ", host.name, "; ".join(rows), rss.split()[1], "kB")
    for host in rig.hosts:
        host.signal(signal.SIGTERM)
    for host in rig.hosts:
        for _ in range(200):
            if host.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        print("   %s exit %s" % (host.name, host.process.poll()))


async def play(options):
    async with Rig(options.net, hosts=options.hosts, llm=6, api=0) as rig:
        await rig.wait_membership()
        rig.store.put("op/config", config(2, dict(
            (path, dict(route, timeout_ms=6000))
            for path, route in ROUTES.items())))
        for number, worker in enumerate(rig.workers_of("llm")):
            worker.version = VERSIONS[number % 3]
            worker.event_count, worker.event_gap_s = EVENTS, EVENT_GAP_S
            worker.slots = 40
            rig.list_worker(worker)
        await asyncio.sleep(CONFIG_BOUND_S)
        soak = Soak(rig, options)
        await asyncio.gather(soak.replace(), soak.pause(), soak.cut(),
                             *[soak.call() for _ in range(options.callers)])
        bad, counts = judge(soak.streams)
        print("%d streams, %d replaced, %d break ORDER" % (
            len(soak.streams), soak.replaced, len(bad)))
        for kind, count in sorted(counts.items()):
            print("  %-8s %-9s %-12s %d" % (kind + (count,)))
        for row in bad[:5]:
            print("  ", row[0], row[1], row[2], row[3][:3], len(row[3]))
        await stop(rig)
        if bad or options.keep:
            print("logs in " + rig.folder)
            await asyncio.sleep(0.5)
        return bool(bad)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--listed", type=float, default=0.3)
    parser.add_argument("--late", type=float, default=0)
    parser.add_argument("--bad", type=float, default=0)
    parser.add_argument("--silent", type=float, default=0)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--net", type=int, default=NET + 190)
    parser.add_argument("--early", type=float, default=0)
    parser.add_argument("--paused", type=float, default=0)
    parser.add_argument("--cut", type=float, default=0)
    parser.add_argument("--keep", action="store_true")
    sys.exit(asyncio.run(play(parser.parse_args())))
