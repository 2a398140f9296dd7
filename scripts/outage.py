#!/usr/bin/env python3
"""Prints the duration of each phase of a leader change, from logs of control processes.

Reads JSON log lines from files or standard input; text before the first brace is ignored.
For each new leader it prints:

  silent    from the last decision of the previous leader to the first sign of its
            successor: the start of a process or a candidacy
  elect     from there to the election of the leader
  adopt     from there to the start of scheduling, while the state is restored
  place     from there to the first placement, which waits for answers of agents
  settled   from the start of scheduling to the last agent that became reachable again
"""
import datetime
import fileinput
import json

DECISIONS = {"runs placed", "runs ended"}
SIGNS = {"started", "role changed"}


def read(lines):
    """Returns the events sorted by time, as (seconds, instance, message, event)."""
    events = []
    for line in lines:
        start = line.find("{")
        try:
            event = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            continue
        if not isinstance(event, dict) or "msg" not in event or "time" not in event:
            continue
        text = event["time"].rstrip("Z")
        whole, _, fraction = text.partition(".")
        at = datetime.datetime.fromisoformat(whole).replace(tzinfo=datetime.timezone.utc).timestamp()
        events.append((at + float("0." + (fraction or "0")), event.get("instance", ""), event["msg"], event))
    return sorted(events, key=lambda e: e[0])


def split(events, index):
    """Returns the phases of the leader change that ends with events[index]."""
    began, leader, _, _ = events[index]
    before = [e for e in events[:index] if e[2] in DECISIONS]
    last = before[-1][0] if before else None
    elected = max((e[0] for e in events[:index] if e[1] == leader and e[3].get("to") == "leader"), default=began)
    signs = [e[0] for e in events[:index] if e[2] in SIGNS and (last is None or e[0] > last) and e[0] <= elected]
    sign = signs[0] if signs else elected
    later = events[index + 1:]
    placed = next((e[0] for e in later if e[2] == "runs placed" and e[1] == leader), None)
    end = next((e[0] for e in later if e[2] == "driving begins"), float("inf"))
    reachable = [e[0] for e in later if e[2] == "agent heard again" and e[1] == leader and e[0] < end]
    return {
        "silent": None if last is None else sign - last,
        "elect": elected - sign,
        "adopt": began - elected,
        "place": None if placed is None else placed - began,
        "settled": max(reachable) - began if reachable else None,
    }


def main():
    events = read(fileinput.input())
    names = ["silent", "elect", "adopt", "place", "settled"]
    print("%-26s %5s %6s " % ("leader", "term", "agents") + " ".join("%8s" % n for n in names) + "  (ms)")
    for index, (_, leader, message, event) in enumerate(events):
        if message != "driving begins":
            continue
        phases = split(events, index)
        cells = " ".join("%8s" % ("" if phases[n] is None else round(1000 * phases[n])) for n in names)
        print("%-26s %5s %6s %s" % (leader, event.get("term"), event.get("agents"), cells))


main()
