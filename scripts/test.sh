#!/usr/bin/env bash
# Runs all tests of the main module once, with fixed seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go test -count=1 -timeout 5m "$@" ./...
