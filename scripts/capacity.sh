#!/usr/bin/env bash
# Measures the processor time and memory that the control leader and the entries use for
# different numbers of workers that report once a second and run no tasks.
# Usage: scripts/capacity.sh [WORKERS...]
set -euo pipefail
cd "$(dirname "$0")/.."
base=${PORT:-18500}
source scripts/lib.sh
counts=("$@")
[ ${#counts[@]} -gt 0 ] || counts=(0 250 500 1000)
plan_addresses 3 3
for i in 0 1 2; do
  start_control "$i" "fd-$i" --worker-lease 10s
  start_entry "$i" "fd-$i"
done
await cli config apply examples/configuration.json --operation-id capacity
ticks() { local t=0; for p in "$@"; do t=$((t + $(awk '{print $14+$15}' "/proc/$p/stat"))); done; echo $t; }
kib() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
connected() { [ "$(cli worker list | grep -c true)" = "$1" ]; }
seconds=10
have=0
for n in "${counts[@]}"; do
  if [ "$n" -gt "$have" ]; then
    start "workers_$n" "$bin/standin" worker --id "w$n" --count $((n - have)) --entries "$entries" --report-interval 1s
    have=$n
    await connected "$n"
    sleep 3
  fi
  leader=$(cli status | awk '/^leader/ {sub(",", "", $2); print $2}')
  eval "leader_pid=\$pid_control_${leader#control-}"
  followers=()
  for i in 0 1 2; do eval "p=\$pid_control_$i"; [ "$p" = "$leader_pid" ] || followers+=("$p"); done
  l=$(ticks "$leader_pid") f=$(ticks "${followers[@]}") e=$(ticks "$pid_entry_0" "$pid_entry_1" "$pid_entry_2")
  sleep $seconds
  l=$(($(ticks "$leader_pid") - l)) f=$(($(ticks "${followers[@]}") - f)) e=$(($(ticks "$pid_entry_0" "$pid_entry_1" "$pid_entry_2") - e))
  # A tick is 10 ms; over 10 s one tick is 0.1% of a core.
  printf 'workers=%d leader=%d.%d%% of a core, %d KiB; follower=%d.%d%%; entry=%d.%d%%, %d KiB\n' "$n" \
    $((l / 10)) $((l % 10)) "$(kib "$leader_pid")" $((f / 20)) $((f / 2 % 10)) $((e / 30)) $((e / 3 % 10)) "$(kib "$pid_entry_0")"
done
