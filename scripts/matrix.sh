#!/usr/bin/env bash
# Runs the fault matrix and then pairs of faults: matrix.sh [SEED] [SECONDS] [CELL].
#
# Prints a line for each cell and a summary; exits non-zero on a violation. CELL is a part of a
# cell's name, such as kill@request.sent, and runs only the cells that contain it; with a + it is a part
# of a pair's name and runs only such pairs of the seed.
set -euo pipefail
cd "$(dirname "$0")/.."
export MATRIX_SEED="${1:-20261}" MATRIX_SECONDS="${2:-600}"
if [ -n "${3:-}" ]; then
    export MATRIX_CELL="$3"
fi
cargo build --workspace --bins --all-features --locked --quiet
cargo test --all-features --locked --quiet --test matrix -- --ignored --exact --nocapture long_matrix
