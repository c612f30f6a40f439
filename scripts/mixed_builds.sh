#!/usr/bin/env bash
# Replaces VMs of an earlier commit one after another by those of this build and back, under load:
# scripts/mixed_builds.sh [COMMIT]
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(git rev-parse --short=7 "${1:-43f3458}^{commit}")
root=$PWD/target/mixed_builds
program=$root/$commit/cloverrack-platform.bin
if [ ! -x "$program" ]; then
    rm -rf "${root:?}/$commit"
    mkdir -p "$root/$commit"
    # The commits share a build folder, in which cargo tells their sources apart by modification time only:
    # tar sets the current one.
    git archive "$commit" | tar -x -m -C "$root/$commit"
    (cd "$root/$commit" && cargo build --locked --quiet -p cloverrack-platform --target-dir "$root/target")
    cp "$root/target/debug/cloverrack-platform" "$program"
fi
echo "other build: $commit"
export SOAK_OTHER_BUILD=$program
cargo test --workspace --all-features --locked --test soak -- \
    --exact --nocapture rolls::vms_are_replaced_by_another_build_and_back
