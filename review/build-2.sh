#!/bin/bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. Needs only the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/stand-ins-2/main.rs -o target/review-2/stand-ins
