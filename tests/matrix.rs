//! Runs the fault matrix on separate processes: injects each fault at each step under recorded load
//! and checks the history for violated invariants.
//!
//! `MATRIX_SEED`, `MATRIX_SECONDS` and `MATRIX_CELL` set the seed, the duration and a filter on the
//! cell names of the long matrix. `scripts/matrix.sh` sets them.
#![cfg(feature = "fault-injection")]

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cloverrack::Outcome;
use cloverrack_standins::LeafOptions;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use support::load::unix_ms;
use support::matrix::{COLUMNS, Cell, Fault, ROWS, run};
use support::{Cluster, ClusterSpec, WAIT_TIMEOUT, eventually, eventually_within, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinSet, LocalSet};

/// Clusters that run at the same time.
const MAX_CONCURRENT_CLUSTERS: usize = 4;

/// Seed of the short matrix, and of the long one without `MATRIX_SEED`.
const DEFAULT_SEED: u64 = 20_261;

/// Duration of the long matrix without `MATRIX_SECONDS`.
const DEFAULT_DURATION_S: u64 = 600;

/// Cell to run: its seed and its faults with their steps.
struct Task {
    name: String,
    seed: u64,
    faults: Vec<(Fault, &'static str)>,
}

fn fault_task(row: usize, column: usize, seed: u64) -> Task {
    let (name, fault) = ROWS[row];
    let step = COLUMNS[column];
    Task {
        name: format!("{name}@{step}"),
        seed: seed + (row * COLUMNS.len() + column) as u64,
        faults: vec![(fault, step)],
    }
}

fn pair_task(rng: &mut StdRng) -> Task {
    let seed = rng.random_range(0..1_000_000_000);
    let mut parts = Vec::new();
    let mut faults: Vec<(Fault, &'static str)> = Vec::new();
    while faults.len() < 2 {
        let (name, fault) = ROWS[rng.random_range(0..ROWS.len())];
        let step = COLUMNS[rng.random_range(0..COLUMNS.len())];
        if faults.iter().any(|(other, _)| *other == fault) {
            continue;
        }
        parts.push(format!("{name}@{step}"));
        faults.push((fault, step));
    }
    Task {
        name: parts.join("+"),
        seed,
        faults,
    }
}

fn print_cell(cell: &Cell) {
    let outcomes = cell.outcomes.iter();
    let outcomes: Vec<String> = outcomes.map(|(name, n)| format!("{name}:{n}")).collect();
    println!(
        "cell={} seed={} verdict={} calls={} outcomes={} runs={} phases_ms={:?} violations={}",
        cell.name,
        cell.seed,
        cell.verdict(),
        cell.calls,
        outcomes.join(","),
        cell.executions,
        cell.phases_ms,
        cell.violations.len()
    );
    for step in &cell.not_reached {
        println!("  step {step} was not reached");
    }
    for violation in cell.violations.iter().take(3) {
        let excerpt: String = violation.excerpt.chars().take(1_500).collect();
        println!("  {}: {excerpt}", violation.invariant);
    }
}

/// Runs up to [`MAX_CONCURRENT_CLUSTERS`] tasks at once and prints a line for each. No task starts
/// after `end`.
async fn run_all(tasks: Vec<Task>, end: Option<Instant>) -> Vec<Cell> {
    let mut cells = Vec::new();
    let mut running = JoinSet::new();
    for task in tasks {
        if end.is_some_and(|end| Instant::now() >= end) {
            break;
        }
        if running.len() == MAX_CONCURRENT_CLUSTERS
            && let Some(cell) = running.join_next().await
        {
            let cell: Cell = cell.expect("a run does not panic");
            print_cell(&cell);
            cells.push(cell);
        }
        running.spawn_local(async move { run(task.name, task.seed, &task.faults).await });
    }
    while let Some(cell) = running.join_next().await {
        let cell = cell.expect("a run does not panic");
        print_cell(&cell);
        cells.push(cell);
    }
    cells
}

/// Prints the totals and returns the number of cells with violations.
fn summary(cells: &[Cell], start: Instant) -> usize {
    let count = |verdict| {
        cells
            .iter()
            .filter(|cell| cell.verdict() == verdict)
            .count()
    };
    let calls: usize = cells.iter().map(|cell| cell.calls).sum();
    println!(
        "cells={} proved={} not_proved={} violated={} calls={calls} seconds={}",
        cells.len(),
        count("proved"),
        count("not_proved"),
        count("violated"),
        start.elapsed().as_secs()
    );
    count("violated")
}

/// Guards against a fault that violates an invariant: runs each fault once, at steps chosen so that
/// every column is used.
#[tokio::test(flavor = "multi_thread")]
async fn short_matrix() {
    let start = Instant::now();
    println!("seed={DEFAULT_SEED}");
    let mut tasks = Vec::new();
    for row in 0..ROWS.len() {
        tasks.push(fault_task(row, (row * 5 + 3) % COLUMNS.len(), DEFAULT_SEED));
    }
    let cells = LocalSet::new().run_until(run_all(tasks, None)).await;
    assert_eq!(summary(&cells, start), 0, "violations printed above");
}

/// Rounds of [`a_freeze_leaks_no_slot`]; each freezes the process while calls wait.
const FREEZE_ROUNDS: usize = 5;

/// Calls that wait for the only slot when the process is frozen.
const WAITING_CALLS: usize = 30;

/// Guards against a slot that leaks when it is granted to a waiting call at the moment that the
/// call's deadline passes. After a freeze both are due at once. A leaked slot is not recovered
/// until the process ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_freeze_leaks_no_slot() {
    let leaf = LeafOptions {
        slots: 1,
        service_us: 100_000,
        ..LeafOptions::default()
    };
    let spec = ClusterSpec {
        vms: 1,
        shards: 1,
        replicas: 1,
        leaf,
        ..ClusterSpec::default()
    };
    let cluster = Arc::new(Cluster::start(spec).await);
    for round in 0..FREEZE_ROUNDS {
        let mut calls = JoinSet::new();
        for number in 0..WAITING_CALLS {
            let cluster = Arc::clone(&cluster);
            let request = cloverrack::CallerRequest {
                deadline_ms: 500,
                ..request(&format!("waiting-{round}-{number}"))
            };
            calls.spawn(async move { cluster.query(0, &request).await });
        }
        eventually("a call is in flight", async || {
            cluster.leaves[0][0].counts().in_flight > 0
        })
        .await;
        cluster.daemons[0].signal("-STOP");
        tokio::time::sleep(Duration::from_millis(600)).await;
        cluster.daemons[0].signal("-CONT");
        calls.join_all().await;
        let mut last = None;
        let served = eventually_within(WAIT_TIMEOUT, async || {
            last = cluster.query(0, &request("after-the-freeze")).await;
            last.as_ref()
                .is_some_and(|answer| answer.outcome == Outcome::Complete)
        });
        let served = served.await;
        assert!(served, "no slot is left after freeze {round}: {last:?}");
    }
}

/// Connections opened about a millisecond apart, beginning this many milliseconds before a cached
/// entry address expires.
const LATE_CALLS: usize = 60;

/// Sends a request on a new connection. Returns the time at which the request was fully sent and
/// whether a complete answer arrived.
async fn send_and_time(address: std::net::SocketAddr, id: String) -> std::io::Result<(u64, bool)> {
    let body = serde_json::to_string(&request(&id)).unwrap_or_default();
    let mut stream = TcpStream::connect(address).await?;
    let head = "POST /v1/query HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ncontent-length:";
    let text = format!("{head} {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).await?;
    let sent_ms = unix_ms();
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    Ok((sent_ms, read.is_ok() && answer.contains("complete")))
}

/// Guards against a planned stop that closes the listener too early: a caller whose cached address
/// has not expired is connected, has sent its whole request, and gets no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_cached_address_is_served_until_it_expires() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let keep_ms = cluster.spec.keep_ms;
    let address = cluster.daemons[0].caller_address;
    let signalled_ms = unix_ms();
    cluster.daemons[0].signal("-TERM");
    let first_ms = signalled_ms + keep_ms - LATE_CALLS as u64;
    tokio::time::sleep(Duration::from_millis(first_ms.saturating_sub(unix_ms()))).await;
    let mut calls = JoinSet::new();
    for number in 0..LATE_CALLS {
        calls.spawn(send_and_time(address, format!("last-{number}")));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let mut in_time = 0;
    let mut broken = 0;
    for (sent_ms, answered) in calls.join_all().await.into_iter().flatten() {
        if sent_ms < signalled_ms + keep_ms {
            in_time += 1;
            broken += usize::from(!answered);
        }
    }
    assert_eq!(broken, 0, "of {in_time} requests sent in time");
}

/// Guards against a planned stop that never ends because a peer with an open connection is frozen.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_ends_although_a_peer_is_frozen() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    cluster.daemons[0].signal("-STOP");
    cluster.daemons[1].signal("-TERM");
    let daemon = &mut cluster.daemons[1];
    let ended = eventually_within(WAIT_TIMEOUT, async || daemon.try_exit_code().is_some()).await;
    assert!(ended, "vm-1 still runs {WAIT_TIMEOUT:?} after SIGTERM");
}

/// Maximum number of leaves that one crashing request may crash: one for each of three shards
/// before any crash is detected, and two by retries until two crashes are known. The content is
/// then refused on every VM.
const MAX_CRASHES: usize = 5;

/// Guards against retries that send content that crashes leaves to one replica after another, until
/// none is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_is_not_retried_until_no_leaf_is_left() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let crashing = cloverrack::CallerRequest {
        payload: cloverrack_standins::leaf::CRASH_MARKER.into(),
        ..request("crashing")
    };
    let answer = cluster.query(0, &crashing).await;
    let mut lost = 0;
    for leaf in cluster.leaves.iter().flatten() {
        lost += usize::from(TcpStream::connect(leaf.address()).await.is_err());
    }
    assert!(lost <= MAX_CRASHES, "{lost} leaves lost: {answer:?}");
}

/// Guards against a fail point that is added without a column, so that the matrix never tests it.
#[test]
fn every_step_is_a_column() {
    for step in cloverrack::faults::FAIL_POINTS {
        assert!(COLUMNS.contains(step), "{step}");
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Guards against faults that violate an invariant: runs every fault at every step, in random
/// order, then random pairs of faults until the time is up.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "runs for minutes: scripts/matrix.sh"]
async fn long_matrix() {
    let start = Instant::now();
    let seed = env_number("MATRIX_SEED").unwrap_or(DEFAULT_SEED);
    let seconds = env_number("MATRIX_SECONDS").unwrap_or(DEFAULT_DURATION_S);
    println!("seed={seed} seconds={seconds}");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut tasks = Vec::new();
    for row in 0..ROWS.len() {
        for column in 0..COLUMNS.len() {
            tasks.push(fault_task(row, column, seed));
        }
    }
    tasks.shuffle(&mut rng);
    let filter = std::env::var("MATRIX_CELL").ok();
    let pairs = (0..seconds).map(|_| pair_task(&mut rng));
    match filter {
        Some(filter) if filter.contains('+') => {
            tasks = pairs.filter(|task| task.name.contains(&filter)).collect();
        }
        Some(filter) => tasks.retain(|task| task.name.contains(&filter)),
        None => tasks.extend(pairs),
    }
    let end = start + Duration::from_secs(seconds);
    let cells = LocalSet::new().run_until(run_all(tasks, Some(end))).await;
    assert_eq!(summary(&cells, start), 0, "violations printed above");
}
