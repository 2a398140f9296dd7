# Functions to run the system on this machine. Sourced by other scripts; all started
# processes are stopped when the script exits.
bin=$PWD/bin
dir=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop_all EXIT

# start NAME COMMAND...: starts a process and stores its pid in pid_NAME.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  eval "pid_$name=$!"
  pids+=($!)
}

say() { printf '\n== %s\n' "$*"; }
cli() { "$bin/sycamoredeck" "$@" --entry "$entries" --timeout 20s; }

# plan_addresses CONTROLS ENTRIES: sets members, controls and entries.
plan_addresses() {
  members="" controls="" entries=""
  for i in $(seq 0 $(($1 - 1))); do
    members+="${members:+,}control-$i=127.0.0.1:$((base + i))"
    controls+="${controls:+,}127.0.0.1:$((base + i))"
  done
  for i in $(seq 0 $(($2 - 1))); do entries+="${entries:+,}127.0.0.1:$((base + 10 + i))"; done
}

# start_control I DOMAIN [FLAGS...], start_entry I DOMAIN [FLAGS...]
start_control() {
  local i=$1 domain=$2
  shift 2
  start "control_$i" "$bin/sycamoredeck" control --instance-id "control-$i" --failure-domain "$domain" \
    --listen-address "127.0.0.1:$((base + i))" --data-folder "$dir/data-$i" --founding-members "$members" \
    --admin-address "127.0.0.1:$((base + 20 + i))" "$@"
}
start_entry() {
  local i=$1 domain=$2
  shift 2
  start "entry_$i" "$bin/sycamoredeck" entry --instance-id "entry-$i" --failure-domain "$domain" \
    --listen-address "127.0.0.1:$((base + 10 + i))" --control-addresses "$controls" \
    --admin-address "127.0.0.1:$((base + 30 + i))" "$@"
}

# await COMMAND...: retries a command until it succeeds, for at most 30 s.
await() {
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  echo "timed out waiting for: $*" >&2
  return 1
}
