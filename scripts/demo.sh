#!/usr/bin/env bash
# Starts the stand-ins, two entries and the agents as separate processes on loopback, sends streamed
# requests with a shared prefix through both entries and a reservation repeated under one key, and
# ends with status 0 only if every answer is right.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --workspace
bin=${CARGO_TARGET_DIR:-target}/debug
base=${DEMO_PORT_BASE:-17100}
source scripts/fleet.sh

start_platform 2 3 3
services=()
for i in 0 1 2; do
  start_engine "$i"
  start_service "$i"
  services+=(--service "$(url $((400 + i)))")
done
start_entry 0
start_entry 1
publish_usual
"$bin/dogwoodway-standin" demo --entry "$(url 10)" --entry "$(url 11)" "${services[@]}" \
  --key "$key" --model "$model"
