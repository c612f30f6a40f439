#!/usr/bin/env bash
# Starts the stand-ins and three entry daemons as separate processes, runs queries and prints their
# coverage, then kills one target and checks that answers stay complete. Exits non-zero if a check
# fails.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --quiet
bin="${CARGO_TARGET_DIR:-target}/debug"
logs=$(mktemp -d)
pids=()
daemons=()

cleanup() {
    for pid in "${pids[@]}"; do
        { kill -9 "$pid" && wait "$pid"; } 2>/dev/null || true
    done
    rm -rf "$logs"
}
trap cleanup EXIT

fail() {
    echo "demo: $1" >&2
    exit 1
}

start() { # start NAME COMMAND...
    local name=$1
    shift
    "$@" >"$logs/$name.log" 2>&1 &
    pids+=($!)
}

start platform "$bin/standin-platform" --listen 127.1.0.100:8500 \
    --put cloverrack/vms=examples/vms.json \
    --put cloverrack/config/cooperative=examples/cooperative.toml

targets=()
for instance in $(seq 0 9); do
    first=$((instance * 3 + 1))
    start "target-$instance" "$bin/standin-target" \
        --leaf "127.1.1.$first:7100" --leaf "127.1.1.$((first + 1)):7100" \
        --options '{"connect_ms":6,"service_us":2000}'
    start "target-$instance-c" "$bin/standin-target" \
        --leaf "127.1.1.$((first + 2)):7100" \
        --options '{"connect_ms":6,"service_us":2000}'
    targets+=($!)
done

for vm in 1 2 3; do
    domain=$(echo a b c | cut -d' ' -f$vm)
    start "entry-$vm" "$bin/cloverrackd" --vm "entry-$vm" --region pnw \
        --failure-domain "pnw-$domain" --listen "127.1.0.$vm:7000" \
        --internal "127.1.0.$vm:7001" --operator "127.1.0.$vm:7002" \
        --platform 127.1.0.100:8500 --keep-ms 500
    daemons+=($!)
done

query() {
    "$bin/cloverrack" query --entry "$1" --service cooperative/spec-desk --json "$2"
}

complete() {
    query "$1" "$2" 2>/dev/null | grep -q '"outcome": "complete"'
}

for _ in $(seq 100); do
    if complete 127.1.0.1:7000 warm-up && complete 127.1.0.2:7000 warm-up &&
        complete 127.1.0.3:7000 warm-up; then
        break
    fi
    sleep 0.1
done

echo "== entry addresses"
"$bin/cloverrack" entries --entry 127.1.0.1:7000 --failure-domain pnw-b
echo "== query"
"$bin/cloverrack" query --entry 127.1.0.1:7000 --service cooperative/spec-desk "rainscreen anchor"
complete 127.1.0.1:7000 check || fail "the answer is not complete"

echo "== queries after one target process is killed; replicas serve its shards"
{ kill -9 "${targets[0]}" && wait "${targets[0]}"; } 2>/dev/null || true
for number in $(seq 20); do
    answer=$(query "127.1.0.$((number % 3 + 1)):7000" "after-kill-$number" || true)
    grep -q '"outcome": "complete"' <<<"$answer" ||
        fail "answer $number after the kill is not complete: $answer"
done
"$bin/cloverrack" query --entry 127.1.0.2:7000 --service cooperative/spec-desk "panel system"

echo "== service report of one node"
"$bin/cloverrack" services --operator 127.1.0.2:7002

echo "== graceful stop"
for pid in "${daemons[@]}"; do kill -TERM "$pid"; done
for pid in "${daemons[@]}"; do
    wait "$pid" || fail "a daemon did not stop gracefully"
done
echo "demo: passed"
