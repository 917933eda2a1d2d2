#!/usr/bin/env bash
# Prints the directory of a Go toolchain of the version in go.mod. The toolchain comes through
# the Go module proxy, with an older Go from Debian's packages where no Go is installed.
set -euo pipefail
cd "$(dirname "$0")/.."
version=$(sed -n 's/^go //p' go.mod)
if ! command -v go >/dev/null; then
  log=$(mktemp)
  if ! { apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends golang-go gcc libc6-dev; } >"$log" 2>&1; then
    cat "$log" >&2
    echo "Go is missing and can't be installed; install Go $version by hand" >&2
    exit 1
  fi
fi
# An older Go can't read go.mod, so the module is fetched from outside of this one.
outside=$(mktemp -d)
cd "$outside"
dir=$(GOFLAGS='' go mod download -json "golang.org/toolchain@v0.0.1-go$version.$(go env GOHOSTOS)-$(go env GOHOSTARCH)" | sed -n 's/^\t"Dir": "\(.*\)",$/\1/p')
rmdir "$outside"
# An older Go extracts the module without execute permissions.
chmod -R u+w,a+x "$dir/bin" "$dir/pkg/tool"
echo "$dir/bin"
