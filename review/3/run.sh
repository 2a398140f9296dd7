#!/usr/bin/env bash
# Plays the case once, and writes record.txt beside this file. TROUBLE=0 plays it without the
# disruption. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
for program in target/sycamoredeck review/target/standin; do
  if [ ! -x "$root/$program" ]; then
    echo "couldn't run: $program isn't built"
    exit 2
  fi
done
exec "$root/review/target/standin" left-runner "$root" "$here/record.txt"
