#!/usr/bin/env python3
"""Splits each change of the control leader into its parts, from logs.

Reads log lines of control processes in JSON, one a line, whatever stands before the
first brace, from files or standard input, and prints for each time that driving begins:

  silent    from the last decision of the leader before to the first sign of the next one:
            a process that starts, or stands for election
  elect     from there to a leader
  adopt     from there to driving: the state is read and the agents are known
  place     from there to the first run placed; the agents have to answer first
  settled   from driving to the last agent that was silent for it and is heard again
"""
import datetime
import fileinput
import json

DECISIONS = {"runs placed", "runs ended"}
SIGNS = {"started", "role changed"}


def read(lines):
    """Returns the events in their order, as (seconds, instance, message, event)."""
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
    """Returns the parts of the change after which driving begins at events[index]."""
    began, leader, _, _ = events[index]
    before = [e for e in events[:index] if e[2] in DECISIONS]
    last = before[-1][0] if before else None
    elected = max((e[0] for e in events[:index] if e[1] == leader and e[3].get("to") == "leader"), default=began)
    signs = [e[0] for e in events[:index] if e[2] in SIGNS and (last is None or e[0] > last) and e[0] <= elected]
    sign = signs[0] if signs else elected
    later = events[index + 1:]
    placed = next((e[0] for e in later if e[2] == "runs placed" and e[1] == leader), None)
    end = next((e[0] for e in later if e[2] == "driving begins"), float("inf"))
    heard = [e[0] for e in later if e[2] == "agent heard again" and e[1] == leader and e[0] < end]
    return {
        "silent": None if last is None else sign - last,
        "elect": elected - sign,
        "adopt": began - elected,
        "place": None if placed is None else placed - began,
        "settled": max(heard) - began if heard else None,
    }


def main():
    events = read(fileinput.input())
    names = ["silent", "elect", "adopt", "place", "settled"]
    print("%-26s %5s %6s " % ("leader", "term", "agents") + " ".join("%8s" % n for n in names) + "  (ms)")
    for index, (_, leader, message, event) in enumerate(events):
        if message != "driving begins":
            continue
        parts = split(events, index)
        cells = " ".join("%8s" % ("" if parts[n] is None else round(1000 * parts[n])) for n in names)
        print("%-26s %5s %6s %s" % (leader, event.get("term"), event.get("agents"), cells))


main()
