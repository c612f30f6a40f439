//! Limits of leaves, judged by the counts of the stand-ins: connections, slots, pacing.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use cloverrack::backoff::ConnectBackoff;
use cloverrack::concurrency_limit::ConcurrencyLimit;
use cloverrack_standins::LeafOptions;
use proptest::prelude::*;
use support::{Cluster, ClusterSpec, eventually, request};

proptest! {
    /// Guards against a limit that leaves the range from 1 to the configured slots, and against a
    /// cold leaf that gets all slots at once.
    #[test]
    fn the_slot_limit_stays_in_its_range(configured in 1_u32..50, steps in prop::collection::vec(0_u8..4, 0..200)) {
        let mut slots = ConcurrencyLimit::new(configured);
        for (now_ms, step) in steps.into_iter().enumerate() {
            let before = slots.limit(now_ms as u64);
            match step {
                0 => {
                    slots.decrease();
                    prop_assert!(slots.limit(now_ms as u64) <= before.max(1));
                }
                1 => slots.start_warming(now_ms as u64),
                _ => slots.record_success(),
            }
            prop_assert!((1..=configured).contains(&slots.limit(now_ms as u64)));
        }
        let mut cold = ConcurrencyLimit::new(configured);
        cold.start_warming(0);
        prop_assert_eq!(cold.limit(0), 1);
        prop_assert_eq!(cold.limit(60_000), configured);
    }

    /// Guards against calls that each try a dead leaf again, and against VMs that return at one moment.
    #[test]
    fn failed_connects_are_paced(failures in 1_usize..20) {
        let mut backoff = ConnectBackoff::default();
        let mut now_ms = 1_000;
        for _ in 0..failures {
            backoff.record_failure(now_ms, &mut rand::rng());
            prop_assert!(!backoff.allows(now_ms + 20));
            prop_assert!(backoff.allows(now_ms + 1_000));
            now_ms += 1_000;
        }
        prop_assert!(backoff.has_failed());
        backoff.record_success();
        prop_assert!(backoff.allows(now_ms) && !backoff.has_failed());
    }
}

fn limited_connections_spec(connections: u32) -> ClusterSpec {
    let leaf = LeafOptions {
        connections,
        ..LeafOptions::default()
    };
    ClusterSpec {
        vms: 6,
        leaf,
        ..ClusterSpec::default()
    }
}

fn assert_within_limit(cluster: &Cluster, limit: u32) {
    for leaf in cluster.leaves.iter().flatten() {
        let most = leaf.counts().max_connections;
        assert!(most <= limit, "{most} connections to {}", leaf.address());
    }
}

/// Guards against VMs that each take themselves for the owner of all leaves while they start, and
/// against an old and a new owner that exceed the limit together.
#[tokio::test(flavor = "multi_thread")]
async fn connections_stay_within_the_limit_while_all_vms_restart() {
    let mut cluster = Cluster::start(limited_connections_spec(3)).await;
    assert_within_limit(&cluster, 3);
    cluster.daemons[0].kill();
    cluster.spawn(0);
    cluster.wait_until_covered().await;
    assert_within_limit(&cluster, 3);
    for vm in 0..6 {
        cluster.daemons[vm].kill();
    }
    for vm in 0..6 {
        cluster.spawn(vm);
    }
    cluster.wait_until_covered().await;
    assert_within_limit(&cluster, 3);
}

/// Guards against owners on both sides of a partition that exceed a leaf's limit together.
#[tokio::test(flavor = "multi_thread")]
async fn connections_stay_within_the_limit_while_views_differ() {
    let cluster = Cluster::start(limited_connections_spec(4)).await;
    let others: Vec<_> = (1..6)
        .map(|vm| cluster.daemons[vm].internal_address)
        .collect();
    cluster.cut(0, &others).await;
    for vm in 1..6 {
        cluster
            .cut(vm, &[cluster.daemons[0].internal_address])
            .await;
    }
    for number in 0..60 {
        for vm in 0..6 {
            cluster
                .query(vm, &request(&format!("cut-{vm}-{number}")))
                .await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_within_limit(&cluster, 4);
}

/// Guards against connections that stay open at leaves which the VM no longer owns, or which no
/// file lists any more.
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_released_leaves_are_closed() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    cluster.daemons[0].kill();
    eventually("the other VMs take over", async || {
        cluster.leaves[0][0].counts().connections == 1
    })
    .await;
    cluster.spawn(0);
    cluster.wait_until_covered().await;
    eventually("each leaf has one connection", async || {
        let mut leaves = cluster.leaves.iter().flatten();
        leaves.all(|leaf| leaf.counts().connections == 1)
    })
    .await;
    let removed = cluster.leaves.pop().unwrap();
    cluster
        .platform
        .put("cloverrack/config/test", cluster.config(""));
    eventually("the removed leaves have no connection", async || {
        removed.iter().all(|leaf| leaf.counts().connections == 0)
    })
    .await;
}

/// Guards against an owner that exceeds the slots, and one that goes on sending what a leaf with
/// fewer slots than configured sheds.
#[tokio::test(flavor = "multi_thread")]
async fn shed_answers_lower_the_load() {
    let spec = ClusterSpec {
        vms: 1,
        shards: 1,
        replicas: 1,
        ..ClusterSpec::default()
    };
    let cluster = Arc::new(Cluster::start(spec).await);
    let leaf = &cluster.leaves[0][0];
    let running = Arc::new(AtomicBool::new(true));
    let mut tasks = Vec::new();
    for task in 0..6 {
        let (cluster, running) = (Arc::clone(&cluster), Arc::clone(&running));
        tasks.push(tokio::spawn(async move {
            let mut number = 0;
            while running.load(Ordering::SeqCst) {
                number += 1;
                cluster
                    .query(0, &request(&format!("load-{task}-{number}")))
                    .await;
            }
        }));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(leaf.counts().max_in_flight, 3);
    assert_eq!(leaf.counts().shed, 0, "the owner exceeded the slots");
    leaf.set(|options| options.slots = 1);
    let before = leaf.executions().len();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    running.store(false, Ordering::SeqCst);
    for task in tasks {
        task.await.unwrap();
    }
    let (shed, run) = (leaf.counts().shed, leaf.executions().len() - before);
    assert!(run > 100, "{run} calls ran");
    assert!(shed as f64 <= 0.2 * run as f64, "{shed} shed for {run} run");
}

/// Guards against calls that each try a leaf again which closes every connection, as one at its
/// limit does, and against calls that wait for such a leaf.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaf_that_closes_connections_is_tried_rarely() {
    let spec = ClusterSpec {
        vms: 1,
        shards: 1,
        replicas: 1,
        policy: "latency",
        ..ClusterSpec::default()
    };
    let cluster = Cluster::start(spec).await;
    let leaf = &cluster.leaves[0][0];
    leaf.set(|options| options.connections = 0);
    let address = leaf.address();
    leaf.stop();
    eventually("the port is free", async || {
        std::net::TcpListener::bind(address).is_ok()
    })
    .await;
    let listener = tokio::net::TcpListener::bind(address).await.unwrap();
    let attempts = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&attempts);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            drop(stream);
        }
    });
    let start = Instant::now();
    let mut slowest = Duration::ZERO;
    for number in 0..150 {
        let sent = Instant::now();
        cluster
            .query(0, &request(&format!("closed-{number}")))
            .await;
        slowest = slowest.max(sent.elapsed());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let attempts = attempts.load(Ordering::SeqCst);
    assert!(
        attempts <= 15,
        "{attempts} attempts in {:?}",
        start.elapsed()
    );
    assert!(
        slowest < Duration::from_millis(200),
        "a call waited {slowest:?}"
    );
}

/// Guards against connections to all leaves at one moment when a failure domain returns.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_a_returning_failure_domain_are_paced() {
    let spec = ClusterSpec {
        vms: 1,
        shards: 60,
        replicas: 1,
        ..ClusterSpec::default()
    };
    let mut cluster = Cluster::prepare(spec).await;
    let config = cluster.config("connect_ms = 100");
    cluster.platform.put("cloverrack/config/test", config);
    cluster.spawn(0);
    cluster.wait_until_covered().await;
    let set_cut = |cut| {
        for leaf in cluster.leaves.iter().flatten() {
            leaf.set(|options| options.cut = cut);
        }
    };
    let open = || {
        let leaves = cluster.leaves.iter().flatten();
        leaves.map(|leaf| leaf.counts().connections).sum::<u32>()
    };
    set_cut(true);
    eventually("no leaf is connected", async || open() == 0).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    set_cut(false);
    let mut seen = vec![0];
    while *seen.last().unwrap() < 60 && seen.len() < 1_000 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        seen.push(open());
    }
    let most = seen.windows(9).map(|window| window[8] - window[0]).max();
    println!(
        "connected after {} ms, most in 80 ms: {most:?}",
        10 * seen.len()
    );
    assert_eq!(open(), 60);
    assert!(most.unwrap() <= 16, "{most:?} connections in 80 ms");
}

/// Guards against an owner that takes a shed answer for overload although the leaf only still counts
/// a call that the owner cancelled: hedging then halves the leaf's slots again and again.
#[test]
fn a_shed_answer_after_a_cancelled_call_lowers_nothing() {
    let mut slots = ConcurrencyLimit::new(4);
    slots.record_cancellation(1_000);
    slots.record_shed(1_010);
    assert_eq!(slots.limit(1_010), 4);
    slots.record_shed(2_000);
    assert_eq!(slots.limit(2_000), 2);
}
