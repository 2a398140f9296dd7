#!/usr/bin/env bash
# Plays the days of a deployment with each scheduling feature disabled in turn, in copies of
# this repository, and prints what each feature contributes.
#
#   scripts/ablate.sh BENCH SITE FOLDER [FEATURE...]
#
# FOLDER receives one copy per feature, with its journal and tables. The table with all
# features enabled is FOLDER/all-on-SITE.json; it is created first if it doesn't exist.
# Gains are paired by day: the result with the feature disabled minus that with all enabled.
# JOBS is the number of days played in parallel, 6 by default.
set -euo pipefail
bench=$1 site=$2 folder=$3
shift 3
name=$(basename "$site" .toml)
features=("$@")
if [ $# -eq 0 ]; then
  features=(AlikeTogether Halts KeepClear LearnedKept Moves Reserve RoomByUse SwingForeseen)
fi
cd "$(dirname "$0")/.."
mkdir -p "$folder"

copy() { # NAME: copies the files of the repository without the journal
  rm -rf "$folder/$1"
  mkdir -p "$folder/$1/journal"
  git ls-files -co --exclude-standard | grep -v '^journal/' | tar cf - -T - | tar xf - -C "$folder/$1"
  (cd "$folder/$1" && git init -q && git add -A && git -c user.name=ablation -c user.email=ablation@localhost commit -qm copy)
}

play() { # COPY OPTIONS...
  (cd "$folder/$1" && shift && ./scripts/playset.py "$bench" "$site" --jobs "${JOBS:-6}" "$@")
}

if [ ! -f "$folder/all-on-$name.json" ]; then
  copy all-on
  play all-on --why "ablation: all features enabled" --save "$folder/all-on-$name.json" >"$folder/all-on-$name.txt"
fi
for feature in "${features[@]}"; do
  copy "off-$feature"
  sed -i "s/\"LogFormat\"/\"SwitchedOff\": \"$feature\",\n  \"LogFormat\"/" "$folder/off-$feature/deploy/control.json"
  play "off-$feature" --why "ablation: $feature disabled" --save "$folder/off-$feature-$name.json" \
    --against "$folder/all-on-$name.json" >"$folder/off-$feature-$name.txt"
  echo "$name without $feature: $(tail -n 1 "$folder/off-$feature-$name.txt")"
done
