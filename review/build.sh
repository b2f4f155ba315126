#!/usr/bin/env bash
# Builds the stand-ins of the review cases, without a network and with the versions of the
# project's own Cargo.lock.
set -euo pipefail
cd "$(dirname "$0")/harness"
cp ../../Cargo.lock Cargo.lock
cargo build --release --offline --target-dir ../../target/review
