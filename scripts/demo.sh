#!/usr/bin/env bash
# Starts the stand-ins, two entries and the agents as separate processes on loopback, sends streamed
# requests with a shared prefix through both entries and a reservation repeated under one key, and
# ends with status 0 only if every answer is right.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --workspace
bin=${CARGO_TARGET_DIR:-target}/debug
base=${DEMO_PORT_BASE:-17100}
dir=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "${DEMO_KEEP:-}" ]; then echo "logs: $dir"; else rm -rf "$dir"; fi
}
trap finish EXIT
start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}
url() { echo "http://127.0.0.1:$((base + $1))"; }
addr() { echo "127.0.0.1:$((base + $1))"; }
zones=(ljubljana-a ljubljana-b ljubljana-c)

cat >"$dir/vms.yaml" <<YAML
- {address: "$(addr 10)", zone: ljubljana-a, role: entry, state: live}
- {address: "$(addr 11)", zone: ljubljana-b, role: entry, state: live}
YAML
for i in 0 1 2; do
  echo "- {address: \"$(addr $((30 + i)))\", zone: ${zones[i]}, role: agent, state: live}" >>"$dir/vms.yaml"
  echo "- {address: \"$(addr $((50 + i)))\", zone: ${zones[i]}, role: agent, state: live}" >>"$dir/vms.yaml"
done
start log "$bin/dogwoodway-standin" --listen "$(addr 1)" log
start vms "$bin/dogwoodway-standin" --listen "$(addr 2)" vms --file "$dir/vms.yaml"

services=()
for i in 0 1 2; do
  start "engine-$i" "$bin/dogwoodway-standin" --listen "$(addr $((20 + i)))" engine --model demo-model
  start "service-$i" "$bin/dogwoodway-standin" --listen "$(addr $((40 + i)))" service
  services+=(--service "$(url $((40 + i)))")
  for kind in engine service; do
    case $kind in engine) agent=30 backend=20 ;; service) agent=50 backend=40 ;; esac
    cat >"$dir/agent-$kind-$i.yaml" <<YAML
listen: "$(addr $((agent + i)))"
zone: ${zones[i]}
name: $kind-$i
kind: $kind
backend_url: $(url $((backend + i)))
log_url: $(url 1)
labels: {pool: $kind}
YAML
    start "agent-$kind-$i" "$bin/dogwoodway" agent --settings "$dir/agent-$kind-$i.yaml"
  done
done
for i in 0 1; do
  cat >"$dir/entry-$i.yaml" <<YAML
listen: "$(addr $((10 + i)))"
zone: ${zones[i]}
log_url: $(url 1)
vms_url: $(url 2)
key_pepper: demo-pepper
YAML
  start "entry-$i" "$bin/dogwoodway" entry --settings "$dir/entry-$i.yaml"
done

hash=$(echo sk-demo | "$bin/dogwoodway" hash-key --pepper demo-pepper)
cat >"$dir/config.yaml" <<YAML
- !team {name: demo-team, keys: [$hash], tokens_per_minute: 1000000, max_in_flight: 100}
- !class {name: lookup, priority: 5, repeatable: true, answer_within_ms: 30000}
- !class {name: reservation, paths: [/reservations], priority: 5, repeatable: false, answer_within_ms: 10000}
- !selector {name: chat, model: demo-model, labels: {pool: engine}}
- !selector {name: services, labels: {pool: service}}
YAML
for _ in $(seq 50); do
  if "$bin/dogwoodway" get --log-url "$(url 1)" >/dev/null 2>&1; then break; fi
  sleep 0.1
done
"$bin/dogwoodway" publish --log-url "$(url 1)" --author demo -f "$dir/config.yaml"
"$bin/dogwoodway-standin" demo --entry "$(url 10)" --entry "$(url 11)" "${services[@]}" \
  --key sk-demo --model demo-model
