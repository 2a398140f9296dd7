#!/usr/bin/env python3
"""Shows from the logs of a run what the start of a job waits for.

usage: starts.py LOG [FROM [UNTIL]]

LOG holds the JSON lines of control replicas, and of entries if those are wanted; text in
front of the JSON is ignored. FROM and UNTIL limit the jobs by the time of their submission,
in seconds since the first line (or by the number in front of the lines, if they have one).
Prints for each queue the number of jobs, and the 50th, 95th and 100th percentile of:

  entry      a submission at an entry, until the leader has answered it
  commit of job  a submission at the leader, until it is committed
  submit     from the answer to the submission to the first placement, which may be earlier
  first      from the same to the first "stage started"
  ...        each part that "stage started" lines name
  done       from the placement of a stage to the first end of one of its runs
"""
import collections
import json
import re
import sys


def lines(path):
    for line in open(path, errors="replace"):
        i = line.find("{")
        if i < 0:
            continue
        try:
            entry = json.loads(line[i:])
        except ValueError:
            continue
        m = re.match(r"\s*(-?\d+\.\d+)\s", line)
        if m:
            entry["at"] = float(m[1])
        yield entry


def percentile(values, p):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * p / 100))]


def show(title, parts):
    print(title)
    for name, values in parts.items():
        if values:
            print("  %-16s %6d  %8.0f %8.0f %8.0f" % (name, len(values), *(percentile(values, p) for p in (50, 95, 100))))


def main():
    path = sys.argv[1]
    since = float(sys.argv[2]) if len(sys.argv) > 2 else float("-inf")
    until = float(sys.argv[3]) if len(sys.argv) > 3 else float("inf")
    jobs, entries, parts = {}, [], collections.defaultdict(lambda: collections.defaultdict(list))
    placed, started, ended = {}, {}, {}
    for e in lines(path):
        at, msg = e.get("at", 0), e.get("msg")
        if msg == "work request answered" and e.get("call") == "submit":
            if since <= at - e["took_ms"] / 1000 < until:
                entries.append(e["took_ms"])
        elif msg == "job submitted" and "job" in e:
            if since <= at < until and e["job"] not in jobs:
                jobs[e["job"]] = (at, e["queue"])
                if "took_ms" in e:
                    parts[e["queue"]]["commit of job"].append(e["took_ms"])
        elif msg in ("runs placed", "stage started"):
            stage = (e["job"], e.get("occurrence", 0), e["step"])
            first = placed if msg == "runs placed" else started
            first.setdefault(stage, (at, {k: v for k, v in e.items() if k.endswith("_ms")}))
        elif msg == "runs ended":
            for m in re.finditer(r"([0-9a-f]+)\.(\d+)\.(\d+)\.\d+#\d+@\S+=done", e["runs"]):
                ended.setdefault((m[1], int(m[2]), int(m[3])), at)
    for stage, (at, _) in placed.items():
        if stage[0] not in jobs:
            continue
        submitted, queue = jobs[stage[0]]
        if stage[2] == 0:
            parts[queue]["submit"].append((at - submitted) * 1000)
        if stage in ended:
            parts[queue]["done"].append((ended[stage] - at) * 1000)
    for stage, (at, times) in started.items():
        if stage[0] not in jobs:
            continue
        submitted, queue = jobs[stage[0]]
        if stage[2] == 0:
            parts[queue]["first"].append((at - submitted) * 1000)
        for k, v in times.items():
            parts[queue][k].append(v)
    show("entries: submissions, ms at 50, 95, 100 of 100", {"entry": entries})
    for queue in sorted(parts):
        show("queue %s: %d jobs" % (queue, sum(1 for j in jobs.values() if j[1] == queue)), parts[queue])


main()
