#!/usr/bin/env bash
# Runs the fault matrix and then pairs of faults: matrix.sh [SEED] [SECONDS] [CELL].
#
# Prints a line for each cell and a summary; exits non-zero on a violation. CELL, such as
# kill@request.sent, runs only the cells whose name contains it. A CELL with a + runs only the pairs
# of the seed whose name contains it.
set -euo pipefail
cd "$(dirname "$0")/.."
export MATRIX_SEED="${1:-20261}" MATRIX_SECONDS="${2:-600}"
if [ -n "${3:-}" ]; then
    export MATRIX_CELL="$3"
fi
cargo build --workspace --bins --all-features --locked --quiet
cargo test --all-features --locked --quiet --test matrix -- --ignored --exact --nocapture long_matrix
