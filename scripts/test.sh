#!/usr/bin/env bash
# Runs every test of the product once, with fixed seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go test -count=1 -timeout 5m "$@" ./...
