#!/usr/bin/env bash
# Builds the stand-ins of the review cases, without a network.
set -euo pipefail
cd "$(dirname "$0")/harness"
cargo build --release --offline --locked --target-dir ../../target/review
