#!/usr/bin/env bash
# Runs day files on a site with the seeds 1 to SEEDS, and prints the value and
# the broken rules of each run:
#   scripts/play-days.sh BENCH SITE SEEDS DAY...
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2 seeds=$3
shift 3
for day in "$@"; do
  name=$(basename "$day" .toml)
  for seed in $(seq 1 "$seeds"); do
    # A run that breaks a rule exits with an error, which the line below shows.
    table=$("$bench" run "$site" "$day" --seed "$seed" --jobs 1 --why "day of a single kind: $name" 2>&1 || true)
    printf "%s %s seed %s: %s\n" "$(basename "$site" .toml)" "$name" "$seed" "$(grep -E "^$name |error|refused:" <<<"$table" | head -2 | tr '\n' ' ')"
  done
done
