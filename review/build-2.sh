#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, without a network. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
