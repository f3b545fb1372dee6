#!/usr/bin/env bash
# Runs a scenario over the real path: for each load and placement, a fresh fleet of separate
# processes on loopback. Prints one table; writes JSON reports and a plot to OUT_DIR.
#
#   scripts/load.sh SCENARIO OUT_DIR "PLACEMENTS" "LOADS"
#
# Placements: probe (the product's), and random, round-robin, least-loaded, rendezvous, index.
set -euo pipefail
cd "$(dirname "$0")/.."
scenario=$1
out=$2
placements=${3:-probe}
loads=${4:-0.9}
cargo build --quiet --release --workspace --features baselines
bin=${CARGO_TARGET_DIR:-target}/release
base=${LOAD_PORT_BASE:-18100}
. scripts/fleet.sh
eval "$("$bin/dogwoodway-standin" fleet-sizes --scenario "$scenario")"
mkdir -p "$out"

stop_fleet() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
start_fleet() {
  local i
  start_platform "$entries" "$engines" 0
  for ((i = 0; i < engines; i++)); do start_engine "$i" "${engine_args[@]}"; done
  for ((i = 0; i < entries; i++)); do start_entry "$i"; done
}
publish_load() {
  local i hash
  : >"$dir/load.yaml"
  for ((i = 0; i < teams; i++)); do
    hash=$(echo "sk-team-$i" | "$bin/dogwoodway" hash-key --pepper demo-pepper)
    echo "- !team {name: team-$i, keys: [$hash], tokens_per_minute: 1000000000, max_in_flight: 100000}" >>"$dir/load.yaml"
  done
  cat >>"$dir/load.yaml" <<YAML
- !class {name: urgent, priority: 9, repeatable: true, answer_within_ms: 5000}
- !class {name: patient, priority: 2, repeatable: true, answer_within_ms: 15000}
- !selector {name: chat, model: $model, labels: {pool: engine}}
YAML
  for _ in $(seq 50); do
    if "$bin/dogwoodway" get --log-url "$(url 1)" >/dev/null 2>&1; then break; fi
    sleep 0.1
  done
  "$bin/dogwoodway" publish --log-url "$(url 1)" --author load -f "$dir/load.yaml" >/dev/null
}

targets=(--log "$(url 1)")
for ((i = 0; i < entries; i++)); do targets+=(--entry "$(url $((10 + i)))"); done
for ((i = 0; i < engines; i++)); do targets+=(--engine "$(url $((200 + i)))"); done
reports=()
for load in $loads; do
  for placement in $placements; do
    export DOGWOODWAY_PLACEMENT=$placement
    start_fleet
    publish_load
    report="$out/$(basename "$scenario" .yaml)-$placement-$load.json"
    "$bin/dogwoodway-standin" load --scenario "$scenario" --load "$load" --name "$placement" \
      "${targets[@]}" --out "$report" >/dev/null
    reports+=("$report")
    stop_fleet
  done
done
"$bin/dogwoodway-standin" compare "${reports[@]}" --plot "$out/$(basename "$scenario" .yaml).svg"
