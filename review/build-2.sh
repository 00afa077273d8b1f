#!/bin/sh
# Builds the stand-ins of the cases 4 to 6. They use the standard library alone, so no network is needed.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
