//! Drain of a target: no new work reaches it more than 3 s after the first signal that it leaves.
//!
//! Signals are the leaf's own status, its refusals, the VM list and the configuration.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cloverrack::Outcome;
use cloverrack::drain::DrainSignals;
use cloverrack_standins::LeafOptions;
use support::{Cluster, ClusterSpec, request};

/// Longest time from the first drain signal until no new work reaches the leaf.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Queries all VMs in turn for `time` and returns the outcomes other than `Complete`.
async fn run_load(cluster: &Cluster, name: &str, time: Duration) -> Vec<Outcome> {
    let start = Instant::now();
    let mut incomplete = Vec::new();
    let mut number = 0;
    while start.elapsed() < time {
        for vm in 0..cluster.daemons.len() {
            number += 1;
            let id = format!("{name}-{number}");
            let answer = cluster.query(vm, &request(&id)).await.unwrap();
            if answer.outcome != Outcome::Complete {
                incomplete.push(answer.outcome);
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    incomplete
}

/// Asserts that no call, not even a refused one, reaches the leaf after [`DRAIN_LIMIT`].
async fn assert_no_new_work(cluster: &Cluster, name: &str) {
    run_load(cluster, &format!("{name}-before"), DRAIN_LIMIT).await;
    let leaf = &cluster.leaves[0][0];
    let before = (leaf.executions().len(), leaf.counts().refused_draining);
    let incomplete = run_load(cluster, &format!("{name}-after"), Duration::from_secs(2)).await;
    let after = (leaf.executions().len(), leaf.counts().refused_draining);
    assert_eq!(
        before, after,
        "{name}: calls reached the draining leaf (executed, refused)"
    );
    assert_eq!(incomplete, vec![], "{name}");
}

/// Guards against new work for a draining leaf when the leaf's own status and refusals are the only
/// signals of the drain.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaf_that_reports_its_drain_gets_no_work() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    cluster.leaves[0][0].set(|options| options.draining = true);
    assert_no_new_work(&cluster, "status").await;
}

/// Guards against a frozen status that reports no drain and thereby clears the drain signal of the
/// leaf's own refusal, also when another process becomes the owner of the leaf.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_counts_although_the_status_is_frozen() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    let leaf = cluster.leaves[0][0].clone();
    leaf.set(|options| options.status_frozen = true);
    leaf.set(|options| options.draining = true);
    assert_no_new_work(&cluster, "frozen").await;
    let before = leaf.counts().refused_draining;
    cluster.daemons[0].kill();
    cluster.spawn(0);
    cluster.wait_until_covered().await;
    run_load(&cluster, "restarted", Duration::from_secs(2)).await;
    assert_eq!(leaf.counts().refused_draining, before);
}

/// Guards against new work for a leaf after the VM list or the configuration marked it as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaf_that_the_documents_take_away_gets_no_work() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let address = cluster.leaves[0][0].address();
    let list = cluster.vm_list(&[]);
    let leaving = format!(
        "{},\"leaving_targets\":[\"{address}\"]}}",
        list.strip_suffix('}').unwrap()
    );
    cluster.platform.put("cloverrack/vms", leaving);
    assert_no_new_work(&cluster, "list").await;
    cluster.platform.put("cloverrack/vms", list);
    let line = format!("address = \"{address}\"");
    let config = cluster
        .config("")
        .replace(&line, &format!("{line}, leaving = true"));
    cluster.platform.put("cloverrack/config/test", config);
    assert_no_new_work(&cluster, "config").await;
}

/// Guards against a drain that interrupts calls in flight, and against calls that stay queued for a
/// leaf that accepts no more work while another replica is available.
#[tokio::test(flavor = "multi_thread")]
async fn queued_calls_are_sent_back_and_work_in_flight_ends() {
    let leaf = LeafOptions {
        slots: 1,
        ..LeafOptions::default()
    };
    let spec = ClusterSpec {
        vms: 1,
        shards: 1,
        replicas: 2,
        leaf,
        ..ClusterSpec::default()
    };
    let cluster = Arc::new(Cluster::start(spec).await);
    let [first, second] = [&cluster.leaves[0][0], &cluster.leaves[0][1]];
    run_load(&cluster, "warm", Duration::from_millis(500)).await;
    first.set(|options| options.service_us = 1_500_000);
    second.set(|options| options.snapshots.clear());
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut tasks = Vec::new();
    for number in 0..3 {
        let cluster = Arc::clone(&cluster);
        tasks.push(tokio::spawn(async move {
            let start = Instant::now();
            let answer = cluster.query(0, &request(&format!("slow-{number}"))).await;
            (answer.unwrap().outcome, start.elapsed())
        }));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    second.set(|options| options.snapshots = vec![(1, 1)]);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let line = format!("address = \"{}\"", first.address());
    let config = cluster
        .config("")
        .replace(&line, &format!("{line}, leaving = true"));
    cluster.platform.put("cloverrack/config/test", config);
    let mut early = 0;
    for task in tasks {
        let (outcome, elapsed) = task.await.unwrap();
        assert_eq!(outcome, Outcome::Complete);
        early += usize::from(elapsed < Duration::from_millis(1_400));
    }
    assert!(
        early >= 2,
        "only {early} calls moved to the other replica early"
    );
    let finished = first
        .executions()
        .iter()
        .filter(|e| e.request.starts_with("slow"))
        .all(|e| e.finished);
    assert!(finished, "a call in flight was interrupted");
}

/// Guards against a drain signal that persists after the leaf serves again: a status that reported
/// the drain and its end clears a refusal at once, one that never did clears it after 30 s.
#[test]
fn a_confirmed_status_clears_a_refusal() {
    let mut signals = DrainSignals::default();
    signals.record_refusal(0);
    signals.record_status(false, true, 1_000);
    assert!(signals.is_draining());
    signals.record_status(true, true, 2_000);
    signals.record_status(false, true, 3_000);
    assert!(!signals.is_draining());
    signals.record_refusal(4_000);
    signals.record_status(false, true, 33_999);
    assert!(signals.is_draining());
    signals.record_status(false, true, 34_000);
    assert!(!signals.is_draining());
}

/// Guards against a shard that has no available leaf for the full duration of a refusal's drain
/// signal: all leaves refused for a moment, while their statuses were frozen.
#[test]
fn a_refusal_of_the_last_leaf_is_held_for_a_second() {
    let mut signals = DrainSignals::default();
    signals.record_refusal(0);
    signals.record_status(false, false, 999);
    assert!(signals.is_draining());
    signals.record_status(false, true, 1_000);
    assert!(
        signals.is_draining(),
        "a leaf with an available replica must keep draining"
    );
    signals.record_status(false, false, 1_000);
    assert!(!signals.is_draining());
    signals.record_status(true, false, 2_000);
    signals.record_status(true, false, 9_000);
    assert!(
        signals.is_draining(),
        "a drain in the leaf's own status must persist"
    );
}
