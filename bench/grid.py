#!/usr/bin/env python3
"""Plays a grid of days and seeds and compares two revisions of the code.

    bench/grid.py play --player CMD --site FILE --days D1,D2 --seeds 1,2
                       --out RESULT.json --why TEXT [--jobs N]
    bench/grid.py compare BEFORE.json AFTER.json

`play` runs each day with each seed once, without counting processor time, so
that only decisions differ. `compare` prints the differences of the same day
and seed, their mean and twice the standard error of that mean: a difference
within it is no gain.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import shlex
import statistics
import subprocess
import sys
import tempfile


def play_one(options, day, seed):
    """Plays one day; returns its figures."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = shlex.split(options.player) + [
            "run", options.site, day, "--seed", str(seed), "--no-cpu",
            "--jobs", "1", "--report", str(report), "--why", options.why]
        run = subprocess.run(command, capture_output=True, text=True,
                             check=False)
        if not report.exists():
            sys.exit(f"{day} with seed {seed} gave no report:\n"
                     f"{run.stdout[-2000:]}{run.stderr[-2000:]}")
        told = json.loads(report.read_text())
    return {"day": day, "seed": seed, "worth": told["G"],
            "parts": {name: value for name, _, value in told["parts"]},
            "prices": {name: price for name, _, price in told["prices"]},
            "kinds": {kind["name"]: kind["worth"]
                      for kind in told["classes"]},
            "refused": told["refused"], "failed": told["failed"],
            "broken": sorted(told["breaks"]), "short": told["short"]}


def play(options):
    tasks = [(day, seed) for seed in options.seeds.split(",")
             for day in options.days.split(",")]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        runs = list(pool.map(lambda task: play_one(options, *task), tasks))
    pathlib.Path(options.out).write_text(json.dumps(runs, indent=1))
    show(runs)


def show(runs):
    for day in sorted({run["day"] for run in runs}):
        of_day = [run for run in runs if run["day"] == day]
        worths = [run["worth"] for run in of_day]
        kinds = {kind: statistics.mean(run["kinds"][kind] for run in of_day)
                 for kind in of_day[0]["kinds"]}
        prices = statistics.mean(sum(run["prices"].values())
                                 for run in of_day)
        print(f"{day:12} {statistics.mean(worths):6.3f}  "
              f"[{min(worths):.3f} {max(worths):.3f}]  "
              f"prices {prices:.3f}  "
              + " ".join(f"{kind} {worth:.2f}"
                         for kind, worth in kinds.items()))
    print(f"{'mean':12} {statistics.mean(run['worth'] for run in runs):6.3f}")
    for run in runs:
        if run["broken"] or run["short"]:
            print(f"{run['day']} seed {run['seed']}: broken {run['broken']}, "
                  f"short of {run['short']}")


def spread(differences):
    """Twice the standard error of the mean."""
    if len(differences) < 2:
        return math.inf
    return 2 * statistics.stdev(differences) / math.sqrt(len(differences))


def compare(options):
    before = {(run["day"], run["seed"]): run
              for run in json.loads(pathlib.Path(options.before).read_text())}
    after = {(run["day"], run["seed"]): run
             for run in json.loads(pathlib.Path(options.after).read_text())}
    both = sorted(before.keys() & after.keys())
    if not both:
        sys.exit("the two results have no day and seed in common")
    for day in sorted({day for day, _ in both}) + ["all"]:
        pairs = [(before[key], after[key]) for key in both
                 if day in ("all", key[0])]
        differences = [b["worth"] - a["worth"] for a, b in pairs]
        kinds = {kind: statistics.mean(b["kinds"][kind] - a["kinds"][kind]
                                       for a, b in pairs)
                 for kind in pairs[0][0]["kinds"]}
        print(f"{day:12} {statistics.mean(differences):+.3f} "
              f"+- {spread(differences):.3f} ({len(pairs)})  "
              + " ".join(f"{kind} {worth:+.2f}"
                         for kind, worth in kinds.items()))
    prices = {name: statistics.mean(after[key]["prices"][name]
                                    - before[key]["prices"][name]
                                    for key in both)
              for name in before[both[0]]["prices"]}
    for name, price in sorted(prices.items(), key=lambda item: item[1]):
        if abs(price) >= 0.0005:
            print(f"  price {price:+.4f} {name}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    commands = parser.add_subparsers(dest="command", required=True)
    playing = commands.add_parser("play")
    playing.add_argument("--player", required=True)
    playing.add_argument("--site", required=True)
    playing.add_argument("--days", required=True)
    playing.add_argument("--seeds", required=True)
    playing.add_argument("--out", required=True)
    playing.add_argument("--why", required=True)
    playing.add_argument("--jobs", type=int, default=4)
    comparing = commands.add_parser("compare")
    comparing.add_argument("before")
    comparing.add_argument("after")
    options = parser.parse_args()
    (play if options.command == "play" else compare)(options)


if __name__ == "__main__":
    main()
