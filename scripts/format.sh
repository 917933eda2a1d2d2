#!/usr/bin/env bash
# Formats all Go code with the formatter and options that CI checks.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go tool -modfile=tools/go.mod gofumpt -w -extra .
