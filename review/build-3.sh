#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15: one program without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/rig-3 \
    cargo build --release --locked --offline --manifest-path review/rig-3/Cargo.toml
