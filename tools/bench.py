#!/usr/bin/env python3
"""Runs the benchmarks and prints their tables.

Timings are compared as ratios within one run. Usage: bench.py [NAME...]
"""
import json
import os
import re
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))
from procs import load  # noqa: E402
from rig import Rig, call, open_stream, wait_for  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    """Returns the processor time that a process has used, in s."""
    with open("/proc/%d/stat" % process.popen.pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_kib(process):
    """Returns the resident memory of a process, in KiB."""
    with open("/proc/%d/status" % process.popen.pid) as file:
        return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1))


def run_load(rig, *args):
    """Runs rw-load and returns its figures."""
    out = subprocess.run([rig.bin("rw-load"), *args],
                         stdout=subprocess.PIPE, timeout=120, check=True)
    figures = {}
    for line in out.stdout.decode().splitlines():
        words = line.split()
        if "=" in words[-1]:
            figures[words[0]] = {w.split("=")[0]: float(w.split("=")[1])
                                 for w in words[1:]}
        else:
            figures.update(zip(words[::2], map(float, words[1::2])))
    return figures


def bench_overhead():
    """Time to the first token, compared with calling the engine directly.

    Measured with and without a standby that holds each request.
    """
    print("== overhead: first token, 60 requests/s for 5 s, 3 times each")
    # A prompt long enough that the engine's prefill takes measurable time.
    args = ["-r", "60", "-s", "5", "-t", "8", "-P", "2000", "--prefixes",
            "100000"]
    rows = {"direct": [], "guard": [], "no guard": []}
    with Rig(engines=4, engine_args=("--slots", "64")) as rig, \
            Rig(engines=4, engine_args=("--slots", "64"),
                entry_conf={"guard": False}) as unguarded:
        rig.wait_ready()
        wait_for("ready", lambda: all(
            unguarded.health(e)["home"] == "open" and
            unguarded.health(e)["ready"] and
            unguarded.upstreams_known(e) for e in unguarded.live()))
        for n in range(3):
            seed = ["--seed", str(n + 1)]
            rows["direct"].append(run_load(
                rig, "-d", ",".join(e.address for e in rig.engines),
                *args, *seed))
            for name, which in (("guard", rig), ("no guard", unguarded)):
                rows[name].append(run_load(
                    which, "-e", ",".join(e.address for e in which.live()),
                    *args, *seed))
    print("%-9s %8s %8s %8s" % ("", "p50 ms", "p99 ms", "to direct"))
    for name, runs in rows.items():
        p50 = sorted(run["first_ms"]["p50"] for run in runs)[1]
        p99 = sorted(run["first_ms"]["p99"] for run in runs)[1]
        base = sorted(run["first_ms"]["p50"] for run in rows["direct"])[1]
        print("%-9s %8.2f %8.2f %8.2f" % (name, p50, p99, p50 / base))


def bench_rate():
    """Requests per second and core of rw-entryd."""
    print("== rate: stock postings, 50 callers, 3 entry hosts")
    with Rig(services=2) as rig:
        rig.wait_ready()
        before = sum(cpu_seconds(e) for e in rig.live())
        figures = run_load(rig, "-e", ",".join(e.address for e in rig.live()),
                           "-c", "50", "-s", "5", "-m", "stock")
        used = sum(cpu_seconds(e) for e in rig.live()) - before
        print("%.0f/s, %.0f per core and second, p50 %.2f p99 %.2f ms" % (
            figures["per_second"], figures["whole"] / used,
            figures["total_ms"]["p50"], figures["total_ms"]["p99"]))


def bench_memory():
    """Resident memory of a primary with 500 concurrent streams."""
    print("== memory: 500 streams at one primary")
    with Rig(engines=8, engine_args=("--slots", "128", "--decode",
                                     "50")) as rig:
        rig.wait_ready()
        primary = rig.entries["e0"]
        before = resident_kib(primary)
        conns = []
        for n in range(500):
            conns.append(open_stream(
                primary.address, "POST", "/v1/completions",
                {"model": "itinerary", "prompt": "x" * 500,
                 "max_tokens": 400, "stream": True},
                {"x-account": "coop"}))
        time.sleep(3)
        health = rig.health(primary)
        print("%d open, resident %.1f MB (%.1f MB before), its standby "
              "%.1f MB" % (health["open_requests"],
                           resident_kib(primary) / 1024, before / 1024,
                           max(resident_kib(e) for e in rig.live()) / 1024))
        for conn, _ in conns:
            conn.close()


def bench_control():
    """Cost of the control traffic of an idle entry host, by cluster size."""
    print("== control: idle entry hosts, 10 s each")
    print("%5s %8s %9s %9s %9s %9s" % ("hosts", "core %", "B/s out",
                                       "B/s in", "MB", "calls/s"))
    for hosts in (4, 8, 16, 32, 64):
        with Rig(entries=hosts, engines=2, services=1, data_centres=4) as rig:
            rig.wait_ready(seconds=60)
            time.sleep(8)
            sample = rig.live()[:8]
            cpu = [cpu_seconds(e) for e in sample]
            out = [rig.counters(e) for e in sample]
            time.sleep(10)
            cpu = [cpu_seconds(e) - c for e, c in zip(sample, cpu)]
            after = [rig.counters(e) for e in sample]

            def mean(name):
                return sum(a[name] - b[name] for a, b in
                           zip(after, out)) / len(sample) / 10
            print("%5d %8.2f %9.0f %9.0f %9.1f %9.2f" % (
                hosts, sum(cpu) / len(sample) * 10, mean("rpc_bytes_out"),
                mean("rpc_bytes_in"),
                sum(resident_kib(e) for e in sample) / len(sample) / 1024,
                mean("platform_calls") * hosts))
            sys.stdout.flush()


def bench_members():
    """Membership alone with a virtual clock, up to the target of 860 hosts."""
    print("== members: decide/ alone")
    for hosts in (32, 128, 512, 860):
        subprocess.run([os.path.join(ROOT, "build/tests/sim-member"),
                        "--hosts", str(hosts), "--loss", "1", "--seconds",
                        "60"], check=False)


def bench_policies():
    """Routing, admission and retries compared with baseline policies."""
    for name in ("route", "load", "retry"):
        print("== %s: decide/ with simulated engines, seed 1" % name)
        sys.stdout.flush()
        subprocess.run([os.path.join(ROOT, "build/tests/sim-route"), name],
                       check=False)


def bench_settings():
    """Time until a change of a setting is in force on all hosts."""
    print("== settings: time until all hosts have a change, 5 changes")
    for hosts in (4, 8, 16, 32):
        with Rig(entries=hosts, engines=1, services=1, data_centres=4) as rig:
            rig.wait_ready(seconds=60)
            took = []
            for n in range(5):
                text = rig.put_setting("town/account/coop",
                                       {"weight": n + 1})[1]
                revision = json.loads(text)["mod"]
                begun = time.time()
                wait_for("in force", lambda: all(
                    rig.health(e)["revision"] >= revision
                    for e in rig.live()), 17)
                took.append(time.time() - begun)
            print("%3d hosts: %.2f s at most, %.2f s mean" % (
                hosts, max(took), sum(took) / len(took)))
            sys.stdout.flush()


def main():
    names = sys.argv[1:] or [name[6:] for name in globals()
                             if name.startswith("bench_")]
    for name in names:
        globals()["bench_" + name]()
        sys.stdout.flush()


if __name__ == "__main__":
    main()
