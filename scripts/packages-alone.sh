#!/usr/bin/env bash
# Prints the packages whose tests run alone, one a line. Fails if one does not exist.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go list ./test/clientlimits
