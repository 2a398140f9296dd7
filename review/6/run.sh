#!/bin/sh
# Plays the case of this folder; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out. Build first: the
# build command of deploy/system.toml and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/sycamoredeck" ] && [ -x "$root/target/review-2/standin2" ] || exit 2
exec timeout -k 5 118 "$root/target/review-2/standin2" attempts-of-route "$root" "$here/record.txt"
