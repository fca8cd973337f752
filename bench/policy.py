#!/usr/bin/env python3
"""Compares the policy with plain balancers on traces, each part left out in
turn, and says which aims hold.

Usage: policy.py [--seeds N] [--no-parts] [--no-processes]

The traces of examples/traces and those that make_traces.py --bench writes are
replayed; equal seeds give equal tables. At last the same load runs over real
processes on loopback.
"""

import argparse
import collections
import glob
import os
import subprocess
import sys
import tempfile

import policy_processes

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
COMPARE = os.path.join(ROOT, "build", "bin", "policy_compare")
TRACES = os.path.join(ROOT, "examples", "traces")
PARALLEL = 3
DEPLOYMENTS = ("shelfwise", "vanua")
KINDS = ("drafts", "apart", "shared")
LOADS = ("0.75", "1", "1.5", "2")
SHOPPER = "pipeline.chat-reply.attainment"


def replay_all(paths, options, folder):
    """Runs policy_compare over the traces, a few at a time; prints in order."""
    jobs = []
    for number, path in enumerate(paths):
        burst = ["--burst-from", "8", "--burst-until", "16"]
        jobs.append([COMPARE, path, "--seeds", str(options.seeds),
                     "--csv", os.path.join(folder, f"{number}.csv"),
                     *([] if options.no_parts else ["--parts"]),
                     *(burst if os.path.basename(path).startswith("burst") else [])])
    running = collections.deque()
    for job in jobs:
        if len(running) >= PARALLEL:
            finish(running.popleft())
        running.append(subprocess.Popen(job, stdout=subprocess.PIPE, text=True))
    while running:
        finish(running.popleft())


def finish(process):
    out, _ = process.communicate()
    print(out, end="", flush=True)
    if process.returncode != 0:
        sys.exit(f"policy_compare ended with {process.returncode}")


def read_measures(folder):
    measures = {}
    for path in glob.glob(os.path.join(folder, "*.csv")):
        with open(path) as lines:
            for line in lines:
                trace, variant, name, value = line.strip().split(",")
                measures[trace, variant, name] = float(value)
    return measures


class Aims:
    """Prints each aim with its figure, and whether it holds."""

    def __init__(self, measures):
        self.measures = measures

    def of(self, trace, name, variant="policy"):
        return self.measures.get((trace, variant, name), 0.0)

    def say(self, text, value, holds, unit="%"):
        print(f"  {'holds' if holds else 'FAILS':6} {text}: {value:.2f} {unit}")

    def saturation(self, deployment, kind):
        traces = {load: f"saturation-{kind}-{load}-{deployment}" for load in LOADS}
        peak = max(self.of(trace, "used_s") for trace in traces.values())
        for load, least in (("1.5", 0.95), ("2", 0.90)):
            trace = traces[load]
            share = self.of(trace, "used_s") / peak
            self.say(f"{trace}: useful endpoint time of its peak, at least {least:.0%}",
                     share * 100, share >= least)
            if load == "1.5":
                shopper = self.of(trace, SHOPPER)
                self.say(f"{trace}: shoppers, at least 99 %", shopper * 100, shopper >= 0.99)
            waste = self.of(trace, "waste_share")
            self.say(f"{trace}: waste, under 5 %", waste * 100, waste < 0.05)

    def faults(self, deployment):
        calm = self.of(f"fault-none-{deployment}", SHOPPER)
        for fault in ("straggler", "domain"):
            trace = f"fault-{fault}-{deployment}"
            cost = (calm - self.of(trace, SHOPPER)) * 100
            self.say(f"{trace}: cost to shoppers, under 1 point", cost, cost < 1, "points")

    def catalogue(self, deployment):
        trace = f"catalogue-{deployment}"
        share = self.of(trace, "prefill_s") / self.of(trace, "prefill_s", "least in flight")
        self.say(f"{trace}: prefill of least in flight, at most half", share * 100, share <= 0.5)
        p99 = self.of(trace, "interactive.p99_ms")
        plain = self.of(trace, "interactive.p99_ms", "least in flight")
        self.say(f"{trace}: interactive p99 against {plain:.0f} ms", p99, p99 <= plain, "ms")

    def burst(self, deployment):
        back = self.of(f"burst-3-{deployment}", "recovery_s")
        self.say(f"burst-3-{deployment}: goodput back, within 10 s", back, back <= 10, "s")

    def print(self):
        print("\naims")
        for deployment in DEPLOYMENTS:
            for kind in KINDS:
                self.saturation(deployment, kind)
            self.faults(deployment)
            self.catalogue(deployment)
            self.burst(deployment)


def main():
    parser = argparse.ArgumentParser(description="Compares policies on traces")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--no-parts", action="store_true")
    parser.add_argument("--no-processes", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run([sys.executable, os.path.join(TRACES, "make_traces.py"),
                        "--bench", folder], check=True)
        paths = sorted(glob.glob(os.path.join(TRACES, "*.jsonl")))
        paths += sorted(glob.glob(os.path.join(folder, "*.jsonl")))
        replay_all(paths, options, folder)
        Aims(read_measures(folder)).print()
    if not options.no_processes:
        policy_processes.main()


if __name__ == "__main__":
    main()
