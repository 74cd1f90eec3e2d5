#!/usr/bin/env python3
"""Replays loads with rw-sim: the decisions of rw-proxyd, and the plain ways
beside them in the same run.

Usage: loads.py [--seeds N]
"""
import argparse
import csv
import os
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("RW_BUILD", os.path.join(ROOT, "build"))
SCENARIOS = os.path.join(ROOT, "examples", "scenarios")
NEAR = 0.03  # worth by which a mean of few seeds differs by chance

# (scenario, the plain way, by how much what rw-proxyd does is worth more).
# A decision must gain where the load is that it answers, and lose nothing
# elsewhere.
CASES = [
    ("burst", "no-shed", 0.05),
    ("abuse", "no-shed", 0.05),
    ("calm", "no-shed", -NEAR),
    ("hot-account", "no-shed", -NEAR),
    ("burst", "untold", 0.05),
    ("many-hosts", "untold", 0.02),
    ("calm", "untold", -NEAR),
    ("shift", "untold", -NEAR),
    ("many-hosts", "no-sessions", 0.02),
    ("calm", "no-sessions", -NEAR),
    ("hot-session", "no-sessions", -NEAR),
    ("reclaim", "no-sessions", -NEAR),
] + [(scenario, plain, 0.0)
     for scenario in ("burst", "abuse", "calm", "hot-account", "hot-session",
                      "many-hosts", "reclaim", "shift", "slow-and-grey")
     for plain in ("least", "random")]
# Of prompts' tokens, so many times those of the choice without sessions are
# found kept.
KEPT_TIMES = 1.3


def play(scenario, seeds, folder):
    table = os.path.join(folder, scenario + ".csv")
    subprocess.run([os.path.join(BUILD, "rw-sim"), "-q", "-n", str(seeds),
                    "--csv", table,
                    os.path.join(SCENARIOS, scenario + ".json")], check=True)
    with open(table) as file:
        return {row[1]: {"worth": float(row[2]), "kept": float(row[7])}
                for row in csv.reader(file)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args()
    failed = 0
    with tempfile.TemporaryDirectory() as folder:
        scenarios = sorted({case[0] for case in CASES})
        got = {name: play(name, options.seeds, folder) for name in scenarios}
    for scenario, plain, least in CASES:
        gain = (got[scenario]["all"]["worth"] -
                got[scenario][plain]["worth"])
        ok = gain >= least
        failed += not ok
        print("%s %s against %s: %+.3f, at least %+.3f" %
              ("ok" if ok else "FAILED", scenario, plain, gain, least))
    for scenario in scenarios:
        kept = got[scenario]["all"]["kept"]
        plain = got[scenario]["no-sessions"]["kept"]
        ok = kept >= KEPT_TIMES * plain
        failed += not ok
        print("%s %s: %.3f of prompts kept, %.3f without sessions" %
              ("ok" if ok else "FAILED", scenario, kept, plain))
    print("loads: %d failed" % failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
