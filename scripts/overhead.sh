#!/usr/bin/env bash
# Measures the overhead of an entry: the throughput of one entry process on two cores, and
# its latency compared with direct calls to the backend server in the same run.
# Usage: scripts/overhead.sh [ROUNDS]
set -euo pipefail
cd "$(dirname "$0")/.."
base=${PORT:-18400}
source scripts/lib.sh
rounds=${1:-3}
plan_addresses 1 1
start_control 0 hall-grandi
GOMAXPROCS=2 GOGC=${ENTRY_GOGC:-100} start_entry 0 hall-grandi
start server "$bin/standin" server --id s0 --service nightsummary --entries "$entries" --failure-domain hall-grandi \
  --listen "127.0.0.1:$((base + 40))" --service-time 0 --slots 512 --connections 2048 --leave-time 0s
await cli config apply examples/configuration.json --operation-id overhead
await cli call hvildaras nightsummary x --idempotent
load() { # RATE SECONDS [FLAGS]: prints completed/s, p50 and p99 in microseconds
  local rate=$1 seconds=$2
  shift 2
  "$bin/standin" caller --entries "$entries" --client-account hvildaras --service nightsummary --rate "$rate" \
    --duration "${seconds}s" --connections 4 --timeout 2s "$@" >"$dir/load.json"
  python3 -c 'import json,sys; r=json.load(open(sys.argv[1])); print("%d sent/s=%d done/s=%d p50=%dus p99=%dus p999=%dus notrun=%d" % (int(sys.argv[2]), r["Sent"]/r["Seconds"], r["CompletedPerSecond"], r["P50Us"], r["P99Us"], r["P999Us"], r["NotRun"]))' "$dir/load.json" "$rate"
}
cpu() { awk '{print $14+$15}' "/proc/$pid_entry_0/stat"; }
for round in $(seq "$rounds"); do
  echo "round $round"
  for rate in ${RATES:-1000 5000 10000}; do
    echo "  direct      $(load $rate 4 --direct "127.0.0.1:$((base + 40))")"
    before=$(cpu)
    echo "  via entry   $(load $rate 4) entry-cpu-us/call=$(( ($(cpu) - before) * 10000 / (rate * 4) ))"
  done
  for rate in ${LIMITS:-20000 25000 30000}; do echo "  via entry   $(load $rate 4)"; done
done
