#!/usr/bin/env bash
# Writes variants of a site file with changed model quality, costs, prompt lengths
# and slots, to test deployments for which nothing was tuned:
#   scripts/variant-sites.sh SITE DIRECTORY
# Each variant has its own folder in DIRECTORY, with copies of the site's other
# files.
set -euo pipefail
site=$1 directory=$2
variant() {
  local folder=$directory/$1
  mkdir -p "$folder"
  cp "$(dirname "$site")"/*.json "${site%.toml}".days "$folder"
  sed -E "$2" "$site" >"$folder/$(basename "$site")"
  if cmp -s "$site" "$folder/$(basename "$site")"; then
    echo "$1: nothing in $site to change" >&2
    return 1
  fi
}
variant strong-middle '/name = "m1"/ s/quality = [0-9.]+, cost = [0-9.]+/quality = 0.97, cost = 0.05/'
variant weak-small '/name = "m0"/ s/quality = [0-9.]+/quality = 0.3/'
variant cheap-large '/name = "m2"/ s/cost = [0-9.]+/cost = 0.06/'
variant long-prompts 's/prompt_tokens = \{ mean = 6610.0/prompt_tokens = { mean = 9900.0/'
variant half-slots 's/slots = 64/slots = 32/; s/batch = 64/batch = 32/'
