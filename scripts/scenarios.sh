#!/usr/bin/env bash
# Measures calls under load and faults at a reduced scale: 16 backend servers of 8 slots and
# 50 ms per request (a capacity of 2,560 requests per second) behind 3 entries. Prints one
# line per load.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${PORT:-18600}
source scripts/lib.sh
seconds=${SECONDS_EACH:-6}
plan_addresses 3 3
for i in 0 1 2; do
  start_control "$i" "fd-$i"
  start_entry "$i" "fd-$i"
done
servers() { # NAME SERVICE PORT COUNT [FLAGS]
  local name=$1 service=$2 port=$3 count=$4
  shift 4
  start "$name" "$bin/standin" server --id "$name" --service "$service" --entries "$entries" --failure-domain fd-0 \
    --listen "127.0.0.1:$port" --count "$count" --service-time 50ms --leave-time 0s "$@"
}
load() { # LABEL ACCOUNT SERVICE RATE [FLAGS]
  local label=$1 account=$2 service=$3 rate=$4
  shift 4
  "$bin/standin" caller --entries "$entries" --client-account "$account" --service "$service" --rate "$rate" \
    --duration "${seconds}s" --timeout 500ms --connections 2 "$@" >"$dir/$label.json"
  python3 - "$dir/$label.json" "$label" <<'P'
import json, sys
r = json.load(open(sys.argv[1]))
attempts = r["Attempts"] / max(r["Completed"] + r["Unknown"], 1)
print("%-26s sent/s=%5d done/s=%5d p50=%4dms p99=%4dms p99.9=%4dms notrun=%5.1f%% (p99 %dms) unknown=%d attempts/call=%.2f returns=%d" % (
    sys.argv[2], r["Sent"] / r["Seconds"], r["CompletedPerSecond"], r["P50Us"] / 1000, r["P99Us"] / 1000, r["P999Us"] / 1000,
    100 * r["NotRun"] / max(r["Sent"], 1), r["NotRunP99Us"] / 1000, r["Unknown"], attempts, r["Returns"]))
P
}
usable() { [ "$(cli backend list | grep -c ' true ')" = "$1" ]; }
await cli config apply examples/configuration.json --operation-id scenarios
if [ "${ONLY:-}" != slow ]; then
servers night nightsummary $((base + 100)) 16
await usable 16
sleep 2
echo "burst, capacity 2,560/s"
for rate in 1280 2300 3330 5120; do load "burst-$rate" hvildaras nightsummary $rate; done
echo "burst at twice the capacity, callers retry after the indicated delay"
load return-5120 hvildaras nightsummary 5120 --follow-retry-after --max-returns 3
echo "load of another account at 10 times its slots, in addition to half the capacity"
servers label labelcalc $((base + 200)) 4
await usable 20
sleep 2
load alone hvildaras nightsummary 1280
load flood etiketa labelcalc 6400 &
flood=$!
load beside-flood hvildaras nightsummary 1280
wait $flood
echo "one in ten backend servers ten times slower, at half the capacity"
kill "$pid_night"
fi
servers fast nightsummary $((base + 300)) 14
servers slow nightsummary $((base + 400)) 2 --slow 10
slow_known() { [ "$(cli backend list | grep -cE '^(fast|slow).* true ')" = 16 ]; }
await slow_known
sleep 3
load slow-tenth hvildaras nightsummary 1200
load slow-tenth-later hvildaras nightsummary 1200
