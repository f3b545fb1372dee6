#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md. Prints JSON: first what grows in one process's memory, then
# one line for each fleet size with what an idle entry and an idle agent use, then one line for each
# request rate. Needs the `ss` command. Runs for some minutes and ends by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --workspace
bin=${CARGO_TARGET_DIR:-target}/release
seconds=${SECONDS_EACH:-20}

"$bin/dogwoodway-standin" slopes
for agents in ${AGENT_COUNTS:-6 12 24 48}; do
  (
    base=${SLOPES_PORT_BASE:-20100}
    source scripts/fleet.sh
    start_platform 1 "$agents" 0
    start engine-shared "$bin/dogwoodway-standin" --listen "$(addr 200)" engine --model "$model"
    for ((i = 0; i < agents; i++)); do start_agent engine "$i" 300 $((200 - i)); done
    start_entry 0
    publish_usual >/dev/null
    sleep 5
    for name in entry-0 agent-engine-0; do
      pid=$(pgrep -f "^$bin/dogwoodway .*$dir/$name.yaml" | head -1)
      echo "{\"agents\": $agents, \"role\": \"$name\", \"usage\":"
      "$bin/dogwoodway-standin" usage --pid "$pid" --seconds "$seconds"
      echo "}"
    done
  )
done
