#!/usr/bin/env python3
"""Plays a set of days of one deployment and prints mean worth, its standard
error, and where worth was lost: by class of work, part of the score and price.

The days repeat exactly while the code is the same (no processor time is
charged), so two versions of the code can be compared day by day: with
--against FILE the table of an earlier run, saved by --save, is compared.

    scripts/playset.py BENCH SITE --why "..." [--days quiet-1,trouble-1]
        [--mixes 101,102] [--jobs 6] [--save FILE] [--against FILE]

BENCH is the program that plays days, SITE the deployment's file. Without
--days and --mixes all standard days of the file and the mixes of DEV_SEEDS
are played; --held-out plays the mixes of HELD_OUT_SEEDS alone.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import re
import subprocess
import sys
import tempfile
import tomllib

# Drawn once, before the first change of policy was measured. Mixes are days
# with several troubles of the deployment at once.
DEV_SEEDS = [401, 402, 403, 404, 405, 406, 407, 408]
HELD_OUT_SEEDS = [911, 912, 913, 914, 915, 916]
DISTURBED = re.compile(r"over their target, or paced down, for (\d+) s in all, (\d+) s")


def play(bench, site, day, seed, why):
    """Plays one day and returns its report, with what only the text tells."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench, "run", site, day, "--no-cpu", "--report", report.name, "--why", why]
        if seed is not None:
            command += ["--seed", str(seed)]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        text = done.stdout + done.stderr
        try:
            result = json.loads(pathlib.Path(report.name).read_text())
        except ValueError:
            sys.exit(f"{day} {seed}: no report:\n{text[-2000:]}")
    disturbed = DISTURBED.search(text)
    result["disturbed_s"] = int(disturbed.group(2)) if disturbed else 0
    return result


def worth(result):
    """Credit of all parts as weighed, less prices."""
    return result["G"]


def error_of_mean(values):
    if len(values) < 2:
        return 0.0
    mean = sum(values) / len(values)
    return math.sqrt(sum((v - mean) ** 2 for v in values) / (len(values) - 1) / len(values))


def describe(name, result):
    classes = " ".join(f"{c['name']}={c['worth']:.3f}" for c in result["classes"])
    parts = " ".join(f"{p[0]}={p[2]:.3f}" for p in result["parts"])
    prices = sum(p[2] for p in result["prices"])
    dearest = sorted(result["prices"], key=lambda p: -p[2])[:3]
    dear = ", ".join(f"{p[0]} {p[2]:.3f}" for p in dearest if p[2] > 0.003)
    broken = f" BROKEN {result['breaks']}" if result["breaks"] else ""
    return f"{name:16} {worth(result):.3f}  {classes}  {parts}  prices={prices:.3f} ({dear}) others {result['disturbed_s']} s{broken}"


def summary(title, values):
    print(f"{title:16} {sum(values) / len(values):.4f} +- {error_of_mean(values):.4f} (n={len(values)})")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--why", required=True)
    parser.add_argument("--days")
    parser.add_argument("--mixes")
    parser.add_argument("--held-out", action="store_true")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--save")
    parser.add_argument("--against")
    options = parser.parse_args()

    standard = [d["name"] for d in tomllib.loads(pathlib.Path(options.site).read_text())["day"]]
    days = standard if options.days is None else [d for d in options.days.split(",") if d]
    seeds = DEV_SEEDS if options.mixes is None else [int(s) for s in options.mixes.split(",") if s]
    if options.held_out:
        days, seeds = [], HELD_OUT_SEEDS
    plays = [(d, None) for d in days] + [("mix", s) for s in seeds]

    subprocess.run([options.bench, "build"], check=True, capture_output=True)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda p: play(options.bench, options.site, p[0], p[1], options.why), plays))

    table = {}
    for (day, seed), result in zip(plays, results):
        name = day if seed is None else f"{day}-{seed}"
        table[name] = worth(result)
        print(describe(name, result))
    quiet = [v for k, v in table.items() if k.startswith("quiet")]
    trouble = [v for k, v in table.items() if not k.startswith(("quiet", "mix"))]
    mixes = [v for k, v in table.items() if k.startswith("mix")]
    for title, values in (("quiet", quiet), ("with trouble", trouble), ("mixes", mixes), ("all", list(table.values()))):
        if values:
            summary(title, values)
    if options.save:
        pathlib.Path(options.save).write_text(json.dumps(table, indent=1))
    if options.against:
        earlier = json.loads(pathlib.Path(options.against).read_text())
        summary("gain, paired", [table[k] - earlier[k] for k in table if k in earlier])


if __name__ == "__main__":
    main()
