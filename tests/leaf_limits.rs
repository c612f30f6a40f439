//! Limits of leaves: number of connections, concurrent calls (slots) and the rate of connects.
//!
//! The counters of the stand-in leaves are the evidence.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

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
    /// Guards against a concurrency limit outside the range from 1 to the configured slots, and
    /// against a cold leaf that gets all slots immediately.
    #[test]
    fn the_slot_limit_stays_in_its_range(configured in 1_u32..50, steps in prop::collection::vec(0_u8..4, 0..200)) {
        let mut concurrency_limit = ConcurrencyLimit::new(configured);
        for (now_ms, step) in steps.into_iter().enumerate() {
            let before = concurrency_limit.limit(now_ms as u64);
            match step {
                0 => {
                    concurrency_limit.decrease();
                    prop_assert!(concurrency_limit.limit(now_ms as u64) <= before.max(1));
                }
                1 => concurrency_limit.start_warming(now_ms as u64),
                _ => concurrency_limit.record_success(),
            }
            prop_assert!((1..=configured).contains(&concurrency_limit.limit(now_ms as u64)));
        }
        let mut cold = ConcurrencyLimit::new(configured);
        cold.start_warming(0);
        prop_assert_eq!(cold.limit(0), 1);
        prop_assert_eq!(cold.limit(60_000), configured);
    }

    /// Guards against a connection attempt to a dead leaf for every call, and against VMs that
    /// reconnect simultaneously.
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
        let peak = leaf.counts().max_connections;
        assert!(peak <= limit, "{peak} connections to {}", leaf.address());
    }
}

/// Guards against too many connections to a leaf: while VMs start, each could consider itself the
/// owner of all leaves, and after a change of owner the old and the new one are both connected.
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

/// Guards against too many connections to a leaf during a partition, when each side has an owner of
/// the leaf.
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

/// Guards against connections that stay open to leaves that the VM no longer owns or that are no
/// longer in the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_released_leaves_are_closed() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    cluster.daemons[0].kill();
    eventually("another VM has taken over the leaf", async || {
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

/// Guards against an owner that exceeds the configured slots, and against one that does not reduce
/// its load when a leaf with fewer slots than configured sheds calls.
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
    let (shed, executed) = (leaf.counts().shed, leaf.executions().len() - before);
    assert!(executed > 100, "only {executed} calls were executed");
    assert!(
        shed as f64 <= 0.2 * executed as f64,
        "{shed} calls shed, {executed} executed"
    );
}

/// Guards against a connection attempt for every call, and against calls that wait, when a leaf
/// closes every connection as it does at its connection limit.
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

/// Guards against simultaneous connects to all leaves of a failure domain when it recovers.
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
    let open_connections = || {
        let leaves = cluster.leaves.iter().flatten();
        leaves.map(|leaf| leaf.counts().connections).sum::<u32>()
    };
    set_cut(true);
    eventually("no leaf is connected", async || open_connections() == 0).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    set_cut(false);
    let mut samples = vec![0];
    while *samples.last().unwrap() < 60 && samples.len() < 1_000 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        samples.push(open_connections());
    }
    let max_burst = samples.windows(9).map(|window| window[8] - window[0]).max();
    println!(
        "connected after {} ms, at most {max_burst:?} connections in 80 ms",
        10 * samples.len()
    );
    assert_eq!(open_connections(), 60);
    assert!(
        max_burst.unwrap() <= 16,
        "{max_burst:?} connections in 80 ms"
    );
}

/// Guards against a shed answer that is treated as overload although the leaf merely still counts a
/// call that the owner has cancelled: hedging would then halve the leaf's limit repeatedly.
#[test]
fn a_shed_answer_after_a_cancelled_call_lowers_nothing() {
    let mut concurrency_limit = ConcurrencyLimit::new(4);
    concurrency_limit.record_cancellation(1_000);
    concurrency_limit.record_shed(1_010);
    assert_eq!(concurrency_limit.limit(1_010), 4);
    concurrency_limit.record_shed(2_000);
    assert_eq!(concurrency_limit.limit(2_000), 2);
}
