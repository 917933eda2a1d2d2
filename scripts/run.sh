#!/usr/bin/env bash
# Builds the programs, starts three entry instances with stand-ins for the
# platform and the backend servers, sends requests of every kind, and runs until
# interrupted. "scripts/run.sh -once" exits after the requests.
set -euo pipefail
# Runs each program in its own process group, so that Ctrl-C reaches only this
# script, which then stops the programs in order.
set -m
cd "$(dirname "$0")/.."

mkdir -p bin
go build -o bin ./cmd/...
rm -rf run
mkdir -p run

pids=()
stop() {
  trap - EXIT INT TERM
  # Stop the entry instances first, so that they shut down gracefully while the
  # platform still accepts their last records.
  kill "${entries[@]}" 2>/dev/null || true
  wait "${entries[@]}" 2>/dev/null || true
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  echo "stopped; logs are in run/"
}
entries=()
trap stop EXIT
trap 'exit 0' INT TERM

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"run/$name.log" 2>&1 &
  pids+=($!)
}

public_key=$(bin/medlarslip-config keygen -out run/anna.key)
bin/medlarslip-config shared-key -out run/shared.key

start platform bin/standin-platform -listen 127.0.0.1:8001 -instances examples/demo/instances.json
start engine-1 bin/standin-backend -listen 127.0.0.1:9001 -versions small-1,small-2
start engine-2 bin/standin-backend -listen 127.0.0.1:9002 -versions small-1,small-2
start engine-3 bin/standin-backend -listen 127.0.0.1:9003 -versions large-1
start ledger-1 bin/standin-backend -listen 127.0.0.1:9101 -role service

start_entry() { # INSTANCE DOMAIN NUMBER
  sed -e "s/INSTANCE/$1/; s/DOMAIN/$2/; s/NN/$3/; s|PUBLIC-KEY|$public_key|" examples/demo/entry.yaml >"run/$1.yaml"
  bin/medlarslip-entry -settings "run/$1.yaml" >"run/$1.log" 2>&1 &
  entries+=($!)
}
start_entry entry-a1 wdh-a 01
start_entry entry-a2 wdh-a 02
start_entry entry-b1 wdh-b 03

bin/medlarslip-config publish -log 127.0.0.1:8001 -operators "anna=$public_key" -operator anna \
  -key run/anna.key -reason "first configuration" -document examples/demo/document.yaml

sed -e "s|PUBLIC-KEY|$public_key|" examples/demo/console.yaml >run/console.yaml
bin/medlarslip-console -settings run/console.yaml -check
start console bin/medlarslip-console -settings run/console.yaml

bin/medlarslip-demo -entry 127.0.0.1:8101 -metrics 127.0.0.1:8301,127.0.0.1:8302,127.0.0.1:8303 -key demo-key

if [ "${1:-}" != "-once" ]; then
  echo
  echo "The system stays up; end it with Ctrl-C. Try:"
  echo "  curl -s http://127.0.0.1:8101/v1/entries"
  echo "  curl -s http://127.0.0.1:8101/v1/chat/completions -H 'Authorization: Bearer demo-key' -d '{\"model\":\"draft\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'"
  echo "The operators' console; the link works once, the next one is in run/console.log:"
  for _ in $(seq 50); do
    grep -q "sign in" run/console.log && break
    sleep 0.1
  done
  grep "sign in" run/console.log | sed 's/^/  /'
  wait
fi
