#!/usr/bin/env bash
# Writes COUNT day files that each combine two random day files written by
# kind-days.sh:
#   scripts/pair-days.sh DIRECTORY-OF-KINDS DIRECTORY COUNT SEED
set -euo pipefail
kinds=$1 directory=$2 count=$3 seed=$4
mkdir -p "$directory"
list=$(ls "$kinds"/*.toml)
# Draws two different lines of the list for each pair.
pairs=$(awk -v seed="$seed" -v count="$count" '
  { line[NR] = $0 }
  END {
    srand(seed)
    while (drawn < count) {
      a = int(rand() * NR) + 1; b = int(rand() * NR) + 1
      if (a != b) { print line[a], line[b]; drawn++ }
    }
  }' <<<"$list")
while read -r first second; do
  name=$(basename "$first" .toml)-and-$(basename "$second" .toml)
  {
    printf '[[day]]\nname = "%s"\nslot = "trouble"\n' "$name"
    for part in plan faults; do
      printf '%s = [\n' "$part"
      grep -h -A1 "^$part = " "$first" "$second" | grep '^  {' || true
      printf ']\n'
    done
  } >"$directory/$name.toml"
done <<<"$pairs"
