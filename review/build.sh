#!/usr/bin/env bash
# Builds the stand-ins of all cases. They use the standard library alone, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
