#!/usr/bin/env bash
# Builds the programs, starts a stand-in for the users' platform and two entry
# instances in front of it on loopback addresses, sends a request of each kind,
# and runs until interrupted. "scripts/run-platform.sh -once" exits after the
# requests.
set -euo pipefail
set -m
cd "$(dirname "$0")/.."

mkdir -p bin
go build -o bin ./cmd/medlarslip-platform ./cmd/standin-metastore ./cmd/standin-clients
rm -rf run
mkdir -p run

pids=()
stop() {
  trap - EXIT INT TERM
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  echo "stopped; logs are in run/"
}
trap stop EXIT
trap 'exit 0' INT TERM

bin/standin-metastore -listen 127.0.0.1:8301 >run/metastore.log 2>&1 &
pids+=($!)

for n in 1 2; do
  ip=127.0.8.$n
  cat >"run/platform-$n.yaml" <<SETTINGS
nodeName: "entry-$n"
zone: "a"
ip: "$ip"
listen: {front: "$ip:8227", ready: "$ip:8220", directory: "$ip:8224"}
internalPorts: [7340, 7355]
limits: {memoryMb: 134, linkMbps: 1000}
bounds: {graceS: 8, strictRevoke: true, revokeMs: 5000, retryBudgetRatio: 0.9, budgetWindowS: 10, budgetSlack: 56, exposeShare: 0.15, coldOvershoot: 1.5, coldSlack: 5}
platform: {address: "127.0.0.1:8301"}
SETTINGS
  bin/medlarslip-platform -settings "run/platform-$n.yaml" -check
  bin/medlarslip-platform -settings "run/platform-$n.yaml" -metrics-port 9464 >"run/entry-$n.log" 2>&1 &
  pids+=($!)
done

for _ in $(seq 100); do
  curl -fs http://127.0.8.1:8220/api/readiness >/dev/null && curl -fs http://127.0.8.2:8220/api/readiness >/dev/null && break
  sleep 0.1
done

echo "== addresses that a client is told"
curl -s "http://127.0.8.1:8224/api/resolve?name=records.example&region=r&zone=a"
send() { # PATH ARGUMENTS...
  local path=$1
  shift
  echo "== $path"
  curl -s -i -H "Host: records.example" -H "Authorization: Bearer demo-key" -H "X-Medlarslip-Request-Id: demo-$RANDOM" \
    -H "X-Medlarslip-Deadline-Ms: 4000" "$@" "http://127.0.8.1:8227/$path"
  echo
}
send bookings/1 -d "cylinder 7"
send lookups/1
send drafts/1 -H "Accept: text/event-stream" -H "X-Medlarslip-Model: *" -d "leak test notes"
echo "== what became of 50 requests a second for 3 s"
bin/standin-clients -directory 127.0.8.1:8224 -rate 50 -length 3s
echo "== what entry-1 decided"
grep -h '"request_ended"' run/entry-1.log | head -3 || true

if [ "${1:-}" = "-once" ]; then
  exit 0
fi
echo "running; press Ctrl-C to stop"
wait
