#!/usr/bin/env bash
# Builds everything and runs the main job on embedded stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --bins --examples --locked
exec "${CARGO_TARGET_DIR:-target}/release/examples/demo"
