#!/usr/bin/env bash
# Builds the stand-ins that the cases start; needs no network, since they use no libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
