#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the compiler alone. The deploy file builds the program under test.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.rs; do
    number=$(basename "$(dirname "$source")")
    [ "$number" -ge 6 ] || continue
    rustc --edition 2024 -O -A dead_code -o "target/review-2/case-$number" "$source"
done
