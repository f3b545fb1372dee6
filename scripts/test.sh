#!/usr/bin/env bash
# Formatting, lints, build, tests and doc tests. Tests listed in KNOWN-RED.txt are printed and passed
# over; everything else must pass.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
while read -r _ name; do skip+=(--skip "$name"); done < <(grep -E '^test: ' KNOWN-RED.txt || true)
cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings
cargo build --workspace --quiet
if [ ${#skip[@]} -gt 0 ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  cargo test --workspace --all-targets --quiet -- --exact "${skip[@]}"
else
  cargo test --workspace --all-targets --quiet
fi
cargo test --workspace --doc --quiet
