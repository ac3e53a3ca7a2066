#!/bin/bash
# Builds every stand-in that the scripts of the second review start, into target/review-2. It needs
# the Rust compiler alone: no cargo package, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-in-2 review/stand-in-2.rs
