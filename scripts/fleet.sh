# Starts a small fleet of separate processes on loopback. Sourced by the other scripts, which set
# `bin` (folder of the binaries) and `base` (first port) before. Ends its processes on exit.

dir=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "${FLEET_KEEP:-}" ]; then echo "logs: $dir"; else rm -rf "$dir"; fi
}
trap finish EXIT

zones=(ljubljana-a ljubljana-b ljubljana-c)
key=sk-demo
model=demo-model

url() { echo "http://127.0.0.1:$((base + $1))"; }
addr() { echo "127.0.0.1:$((base + $1))"; }

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

start_platform() { # ENTRIES ENGINES SERVICES
  local i
  : >"$dir/vms.yaml"
  for ((i = 0; i < $1; i++)); do vm 10 "$i" entry; done
  for ((i = 0; i < $2; i++)); do vm 300 "$i" agent; done
  for ((i = 0; i < $3; i++)); do vm 500 "$i" agent; done
  start log "$bin/dogwoodway-standin" --listen "$(addr 1)" log
  start vms "$bin/dogwoodway-standin" --listen "$(addr 2)" vms --file "$dir/vms.yaml"
}

vm() { # FIRST_PORT INDEX ROLE
  echo "- {address: \"$(addr $(($1 + $2)))\", zone: ${zones[$2 % 3]}, role: $3, state: live}" \
    >>"$dir/vms.yaml"
}

start_engine() { # INDEX OPTIONS...
  local i=$1
  shift
  start "engine-$i" "$bin/dogwoodway-standin" --listen "$(addr $((200 + i)))" engine \
    --model "$model" "$@"
  start_agent engine "$i" 300 200
}

start_service() { # INDEX
  start "service-$1" "$bin/dogwoodway-standin" --listen "$(addr $((400 + $1)))" service
  start_agent service "$1" 500 400
}

start_agent() { # KIND INDEX AGENT_PORT BACKEND_PORT
  cat >"$dir/agent-$1-$2.yaml" <<YAML
listen: "$(addr $(($3 + $2)))"
zone: ${zones[$2 % 3]}
name: $1-$2
kind: $1
backend_url: $(url $(($4 + $2)))
log_url: $(url 1)
labels: {pool: $1}
YAML
  start "agent-$1-$2" "$bin/dogwoodway" agent --settings "$dir/agent-$1-$2.yaml"
}

start_entry() { # INDEX
  cat >"$dir/entry-$1.yaml" <<YAML
listen: "$(addr $((10 + $1)))"
zone: ${zones[$1 % 3]}
log_url: $(url 1)
vms_url: $(url 2)
key_pepper: demo-pepper
YAML
  start "entry-$1" "$bin/dogwoodway" entry --settings "$dir/entry-$1.yaml"
}

publish_usual() {
  local hash
  hash=$(echo "$key" | "$bin/dogwoodway" hash-key --pepper demo-pepper)
  cat >"$dir/config.yaml" <<YAML
- !team {name: demo-team, keys: [$hash], tokens_per_minute: 100000000, max_in_flight: 1000}
- !class {name: lookup, priority: 5, repeatable: true, answer_within_ms: 30000}
- !class {name: reservation, paths: [/reservations], priority: 5, repeatable: false, answer_within_ms: 10000}
- !selector {name: chat, model: $model, labels: {pool: engine}}
- !selector {name: services, labels: {pool: service}}
YAML
  for _ in $(seq 50); do
    if "$bin/dogwoodway" publish --init --change-id usual --log-url "$(url 1)" --author demo \
      -f "$dir/config.yaml"; then return; fi
    sleep 0.1
  done
  return 1
}
