#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/. It needs the compiler alone, and no crate.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/stand-ins/main.rs
