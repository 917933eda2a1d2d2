#!/usr/bin/env bash
# Prints the packages whose tests run in virtual time (testing/synctest), one a line.
set -euo pipefail
cd "$(dirname "$0")/.."
imported='{{if eq . "testing/synctest"}}{{println $.ImportPath}}{{end}}'
go list -f "{{range .TestImports}}$imported{{end}}{{range .XTestImports}}$imported{{end}}" ./... | sort -u
