#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md and prints them as JSON, one object after the other:
#   - what grows in one process's memory and what pure functions cost;
#   - what an idle entry and an idle agent use before 6 to 48 agents;
#   - what an entry and an agent use at 25 to 200 requests a second of one token each;
#   - what they use at 50 requests a second of 1 to 41 tokens each.
# Needs the `ss` command. Runs for some minutes and ends by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --workspace
bin=${CARGO_TARGET_DIR:-target}/release
base=${SLOPES_PORT_BASE:-20100}
seconds=${SECONDS_EACH:-15}

usage() { # LABEL NAME
  local pid
  pid=$(pgrep -f "^$bin/dogwoodway .*$dir/$2.yaml" | head -1)
  "$bin/dogwoodway-standin" usage --pid "$pid" --seconds "$seconds" >"$dir/usage-$2.json"
  echo "{$1, \"role\": \"$2\", \"usage\": $(cat "$dir/usage-$2.json")}"
}

idle() { # AGENTS
  source scripts/fleet.sh
  start_platform 1 "$1" 0
  start engine-shared "$bin/dogwoodway-standin" --listen "$(addr 200)" engine --model "$model"
  for ((i = 0; i < $1; i++)); do start_agent engine "$i" 300 $((200 - i)); done
  start_entry 0
  publish_usual >/dev/null
  sleep 5
  usage "\"idle_agents\": $1" entry-0 &
  usage "\"idle_agents\": $1" agent-engine-0
  wait $!
}

busy() { # TOKENS LOAD
  source scripts/fleet.sh
  start_platform 1 1 0
  start_engine 0 --prefill-us 1 --decode-us 1000 --max-batch 512 --cache-pieces 1000
  start_entry 0
  key=sk-team-0
  publish_usual >/dev/null
  sleep 3
  "$bin/dogwoodway-standin" load --scenario "scenarios/capacity-$1.yaml" --load "$2" --name probe \
    --log "$(url 1)" --entry "$(url 10)" --engine "$(url 200)" --out "$dir/load.json" >/dev/null &
  local load=$!
  sleep 5
  usage "\"tokens\": $1, \"load\": $2" entry-0 &
  usage "\"tokens\": $1, \"load\": $2" agent-engine-0
  wait $! "$load"
}

"$bin/dogwoodway-standin" slopes
for agents in ${AGENT_COUNTS:-6 12 24 48}; do (idle "$agents"); done
for load in 0.25 0.5 1.0 2.0; do (busy 1 "$load"); done
for tokens in 11 21 41; do (busy "$tokens" 0.5); done
