#!/usr/bin/env bash
# Measures the time from the start of entries to their first served request, for one entry and for a
# herd that restarts at once, with the log up and down. Prints a line for each case.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --workspace
bin=${CARGO_TARGET_DIR:-target}/release
base=${COLD_START_PORT_BASE:-19100}
herd=${HERD:-20}
source scripts/fleet.sh

ask() { # ENTRY
  curl -sf -o /dev/null -m 5 "$(url $((10 + $1)))/v1/chat/completions" \
    -H "authorization: Bearer $key" -H 'content-type: application/json' \
    -d "{\"model\": \"$model\", \"max_tokens\": 1, \"messages\": [{\"role\": \"user\", \"content\": \"hello\"}]}"
}

first_served() { # ENTRY: prints the milliseconds until it serves, at most 30 s
  local began tries
  began=$(date +%s%N)
  for ((tries = 0; tries < 1500; tries++)); do
    if ask "$1"; then break; fi
    sleep 0.02
  done
  if ((tries == 1500)); then echo "entry $1 did not serve" >&2; fi
  echo $((($(date +%s%N) - began) / 1000000))
}

measure() { # NAME ENTRIES
  local i
  first=${#pids[@]}
  for ((i = 0; i < $2; i++)); do start_entry "$i"; done
  waits=()
  for ((i = 0; i < $2; i++)); do
    first_served "$i" >"$dir/served-$i" &
    waits+=($!)
  done
  wait "${waits[@]}"
  for ((i = 0; i < $2; i++)); do cat "$dir/served-$i"; done | sort -n |
    awk -v name="$1" '{ms[NR] = $1} END {
      print name ": " NR " entries, first request served after " ms[int((NR + 1) / 2)] \
        " ms at the median, " ms[NR] " ms at most"}'
  for pid in "${pids[@]:first}"; do kill -KILL "$pid" && wait "$pid" 2>/dev/null || true; done
  pids=("${pids[@]:0:first}")
}

start_platform "$herd" 3 0
for i in 0 1 2; do start_engine "$i" --max-batch 64; done
publish_usual >/dev/null 2>&1
sleep 1
measure "log up" 1
measure "log up" "$herd"
curl -sf -o /dev/null "$(url 1)/fault" -H 'content-type: application/json' -d '{"down": true}'
measure "log down" 1
measure "log down" "$herd"
