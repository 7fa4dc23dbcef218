#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig"
cargo build --release --locked --offline
