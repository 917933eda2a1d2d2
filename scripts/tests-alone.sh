#!/usr/bin/env bash
# Prints the tests that run alone although the rest of their package does not, one a line:
# package and name. Fails if one does not exist. With -pattern, prints one pattern that
# matches their names instead, for the flag -skip of go test.
set -euo pipefail
cd "$(dirname "$0")/.."

# Hundreds of clients use one process. With other load they would exceed their time limits.
# ThreadSanitizer can fail in TestStoreCallsOfStarts where other tests share its process.
tests="TestClientsThatHoldMemoryAreRefused
TestClientsWithinTheLimitsAreServed
TestStoreCallsOfStarts"

# tests-alone.sh without arguments checks that the tests exist.
if [ "${1:-}" = -pattern ]; then
  echo "^($(paste -sd'|' - <<<"$tests"))\$"
  exit
fi

package=./platform
listed=$(go test -list . "$package")
for test in $tests; do
  grep -qx "$test" <<<"$listed" || { echo "$package has no $test" >&2; exit 1; }
  echo "$package $test"
done
