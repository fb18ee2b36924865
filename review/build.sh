#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml \
    --target-dir target/review
