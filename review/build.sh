#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in surplus keys seeds; do
    source=review/stand-ins/$case.rs
    rustc --edition 2024 -O -o "target/review/$case" "$source"
done
