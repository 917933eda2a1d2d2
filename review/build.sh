#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/_standin"
export GOTOOLCHAIN=local GOFLAGS="${GOFLAGS:-} -buildvcs=false -mod=mod" GOPROXY=off GOWORK=off
exec go build -trimpath -o ../bin/standin .
