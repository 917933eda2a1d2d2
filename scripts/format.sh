#!/usr/bin/env bash
# Formats all Go code the way that CI checks it.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go tool -modfile=tools/go.mod gofumpt -w -extra .
