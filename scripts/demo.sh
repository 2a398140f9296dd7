#!/usr/bin/env bash
# Runs the whole system on this machine for about half a minute: 3 control and 3 entry
# processes, and backend servers and workers for two client accounts. Sends calls and jobs,
# kills the control leader, an entry and a worker, and reports the outcome.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${DEMO_PORT:-17400}
source scripts/lib.sh

domains=(hall-grandi hall-keldur hall-vellir)
plan_addresses 3 3

say "starting 3 control, 3 entry, 12 backend servers, 8 workers"
for i in 0 1 2; do
  start_control "$i" "${domains[i]}"
  start_entry "$i" "${domains[i]}"
done
for i in 0 1 2 3 4 5; do
  start "night_$i" "$bin/standin" server --id "night-$i" --service nightsummary --entries "$entries" \
    --failure-domain "${domains[i % 3]}" --listen "127.0.0.1:$((base + 40 + i))" --delay 1ms \
    --service-time 4ms --journal "$dir/night-$i.journal" --leave-time 0s
  start "label_$i" "$bin/standin" server --id "label-$i" --service labelcalc --entries "$entries" \
    --failure-domain "zg-dubrava" --listen "127.0.0.1:$((base + 50 + i))" --delay 500us \
    --service-time 3ms --journal "$dir/label-$i.journal" --leave-time 0s
done
for i in 0 1 2 3 4 5 6 7; do
  start "worker_$i" "$bin/standin" worker --id "worker-$i" --rack "rack-$((i / 2))" --failure-domain "${domains[i % 3]}" \
    --entries "$entries" --milli-processors 32000 --memory-bytes 125000000000 --unit-time 100ms \
    --journal "$dir/worker-$i.journal"
done
# Succeeds once a leader is elected and an entry is ready.
await cli status
say "applying examples/configuration.json"
cli config apply examples/configuration.json --operation-id demo-1
all_connected() { [ "$(cli worker list | grep -c true)" = 8 ]; }
await all_connected

say "submitting 40 batch jobs and 2 standing tasks"
jobs=()
for i in $(seq 20); do
  jobs+=("$(cli job submit hvildaras weekly-report units=80 --key "report-$i")")
  jobs+=("$(cli job submit etiketa catalogue-audit units=80 --key "audit-$i")")
done
keeper=$(cli job submit hvildaras sync-keeper --key keeper-1)
watch=$(cli job submit etiketa regulation-watch --key watch-1)

say "sending calls for 15 s, killing (-9) the control leader, an entry and a worker meanwhile"
start calls_night "$bin/standin" caller --entries "$entries" --client-account hvildaras --service nightsummary \
  --rate 300 --duration 15s --prefix night --journal "$dir/calls-night.journal" --output text
start calls_label "$bin/standin" caller --entries "$entries" --client-account etiketa --service labelcalc \
  --rate 300 --duration 15s --prefix label --journal "$dir/calls-label.journal" --output text
start calls_once "$bin/standin" caller --entries "$entries" --client-account etiketa --service labelcalc \
  --rate 50 --duration 15s --idempotent 0 --prefix once --journal "$dir/calls-once.journal" --output text
sleep 4
leader=$(cli status | awk '/^leader/ {sub(",", "", $2); print $2}')
echo "killing $leader"
kill -9 "$(eval "echo \$pid_control_${leader#control-}")"
sleep 3
echo "killing entry-1"
kill -9 "$pid_entry_1"
sleep 2
lost=$(cli job get "$keeper" | awk '/^worker/ {print $2}')
echo "killing $lost, which runs the standing task"
kill -9 "$(eval "echo \$pid_worker_${lost#worker-}")"
wait "$pid_calls_night" "$pid_calls_label" "$pid_calls_once"

say "waiting for the batch jobs"
finished=0
for job in "${jobs[@]}"; do cli job wait "$job" >/dev/null && finished=$((finished + 1)); done
keeper_runs() { [ "$(cli job get "$keeper" | awk '/^state/ {print $2}')" = running ]; }
await keeper_runs

say "report"
cat "$dir/calls_night.out" "$dir/calls_label.out"
echo "not idempotent: $(cat "$dir/calls_once.out")"
echo "jobs: finished $finished of ${#jobs[@]}, lost $((${#jobs[@]} - finished))"
echo "standing tasks: $(cli job get "$keeper" | awk '/^state/ {s=$2} /^attempt/ {print "sync-keeper " s " in attempt " $2}')," \
  "$(cli job get "$watch" | awk '/^state/ {s=$2} /^attempt/ {print "regulation-watch " s " in attempt " $2}')"
echo "audit of the journals of backend servers, workers and callers:"
"$bin/standin" audit "$dir"/*.journal
