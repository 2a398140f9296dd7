#!/usr/bin/env bash
# Measures how long it takes until a configuration is in force at 9 entries: the time of the
# apply command, which returns once all entries have it, and the number of those entries.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${PORT:-18700}
source scripts/lib.sh
plan_addresses 3 9
for i in 0 1 2; do start_control "$i" "fd-$i"; done
for i in $(seq 0 8); do start_entry "$i" "fd-$((i % 3))"; done
nine() { [ "$(cli status | grep -c '^entry ')" = 9 ]; }
await nine
for i in $(seq 21); do
  began=$(date +%s%N)
  count=$(cli config apply examples/configuration.json --operation-id "f-$i" | tr ',' '\n' | grep -c entry)
  echo "$((($(date +%s%N) - began) / 1000000)) $count"
done | sort -n >"$dir/times"
awk '{t[NR]=$1; if (min=="" || $2<min) min=$2} END {print "n=" NR ", median " t[int((NR+1)/2)] " ms, longest " t[NR] " ms, in force at " min " entries at least"}' "$dir/times"
