#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, without a network. The daemons are built
# with the command of the deploy file before.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
