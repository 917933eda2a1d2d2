#!/usr/bin/env bash
# Runs all tests of the main module once, with fixed seeds. SKIP is a pattern of tests to skip.
set -euo pipefail
cd "$(dirname "$0")/.."

# These start hundreds of clients against processes of their own. They run one at a time,
# after the others, so that neither slows down the other.
packages_alone=$(scripts/packages-alone.sh)
tests_alone=$(scripts/tests-alone.sh)
pattern_alone=$(scripts/tests-alone.sh -pattern)

failed=0
# The time limit is against tests that hang: on a busy machine peers took 580 s.
go list ./... | grep -vxF "$packages_alone" | xargs go test -count=1 -timeout 20m -skip "$pattern_alone${SKIP:+|$SKIP}" "$@" || failed=1
while read -r package test; do
  go test -count=1 -timeout 10m -run "^$test\$" ${SKIP:+-skip "$SKIP"} "$@" "$package" </dev/null || failed=1
done <<<"$tests_alone"
for package in $packages_alone; do
  go test -count=1 -timeout 10m ${SKIP:+-skip "$SKIP"} "$@" "$package" || failed=1
done
exit "$failed"
