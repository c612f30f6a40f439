#!/usr/bin/env bash
# Builds the programs of the cases: each holds its stand-ins and starts the program of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.rs; do
  number=$(basename "$(dirname "$source")")
  rustc --edition 2024 -O -o "target/review/case$number" "$source"
done
