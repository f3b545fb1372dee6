#!/usr/bin/env bash
# Measures what the claim of a non-repeatable request costs: appends per second, latency with and
# without a claim in one run, and memory per remembered key. Ends by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release -j 4 --workspace
cargo build --quiet --release -j 4 --package dogwoodway_standin --example claim_cost
bin=${CARGO_TARGET_DIR:-target}/release
base=${CLAIM_COST_PORT_BASE:-19100}
source scripts/fleet.sh

start_platform 1 0 3
metrics=()
for i in 0 1 2; do
  start "service-$i" "$bin/dogwoodway-standin" --listen "$(addr $((400 + i)))" service
  cat >"$dir/agent-$i.yaml" <<YAML
listen: "$(addr $((500 + i)))"
metrics_listen: "$(addr $((600 + i)))"
zone: ${zones[i]}
name: service-$i
kind: service
backend_url: $(url $((400 + i)))
log_url: $(url 1)
labels: {pool: service}
YAML
  start "agent-$i" "$bin/dogwoodway" agent --settings "$dir/agent-$i.yaml"
  metrics+=(--metrics "$(url $((600 + i)))/metrics")
done
start_entry 0
publish_usual
sleep 2
"$bin/examples/claim_cost" --entry "$(url 10)" --key "$key" "${metrics[@]}" \
  --rate "${RATE:-20}" --rate "$((${RATE:-20} * 10))" --seconds "${SECONDS_EACH:-10}"
