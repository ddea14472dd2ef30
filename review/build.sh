#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs no network after the build of the deploy file:
# their libraries are among those that the project has locked.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
