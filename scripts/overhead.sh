#!/usr/bin/env bash
# Measures what entry and agent add to the time to first token over a direct call to the engine, as
# paired differences with 200 streams open. Prints JSON, then the memory of the idle processes.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --workspace
bin=${CARGO_TARGET_DIR:-target}/release
base=${OVERHEAD_PORT_BASE:-18100}
source scripts/fleet.sh

start_platform 1 1 0
start_engine 0 --max-batch 512 --decode-us 20000
start_entry 0
publish_usual
for name in entry agent; do
  pid=$(pgrep -f "^$bin/dogwoodway $name --settings $dir" | head -1)
  echo "idle $name: $(awk '/VmRSS/ {print $2}' "/proc/$pid/status") kB resident"
done
sleep 2
"$bin/dogwoodway-standin" overhead --entry "$(url 10)" --engine "$(url 200)" --key "$key" \
  --model "$model" --streams "${STREAMS:-200}" --pairs "${PAIRS:-500}"
