#!/usr/bin/env bash
# Runs scripts/openai_client.py against a small fleet. Installs the client into a folder of its own,
# which is removed at the end; needs Python 3 with venv and pip.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --workspace
bin=${CARGO_TARGET_DIR:-target}/debug
base=${OPENAI_PORT_BASE:-19100}
source scripts/fleet.sh

python3 -m venv "$dir/venv"
"$dir/venv/bin/pip" install --quiet 'openai==2.*'
start_platform 1 2 0
start_engine 0
start_engine 1
start_entry 0
publish_usual
sleep 2
"$dir/venv/bin/python" scripts/openai_client.py "$(url 10)" "$key" "$model"
