#!/usr/bin/env bash
# Builds the workspace and runs the demo, which starts nodes and stand-ins as processes.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --bins --examples --locked
exec "${CARGO_TARGET_DIR:-target}/release/examples/demo"
