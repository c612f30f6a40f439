//! Promise 6: a target that is leaving receives no new work within 3 s of the first signal.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cloverrack::Outcome;
use cloverrack::drain::DrainSignals;
use cloverrack_standins::LeafOptions;
use support::{Cluster, ClusterSpec, request};

/// Bound that the design tests.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Queries all VMs for a while and returns the outcomes that were not complete.
async fn run_load(cluster: &Cluster, name: &str, time: Duration) -> Vec<Outcome> {
    let start = Instant::now();
    let mut bad = Vec::new();
    let mut number = 0;
    while start.elapsed() < time {
        for vm in 0..cluster.daemons.len() {
            number += 1;
            let id = format!("{name}-{number}");
            let answer = cluster.query(vm, &request(&id)).await.unwrap();
            if answer.outcome != Outcome::Complete {
                bad.push(answer.outcome);
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    bad
}

/// Asserts that no work, not even refused work, reaches a leaf once the bound has passed.
async fn assert_no_new_work(cluster: &Cluster, name: &str) {
    run_load(cluster, &format!("{name}-before"), DRAIN_LIMIT).await;
    let leaf = &cluster.leaves[0][0];
    let before = (leaf.executions().len(), leaf.counts().refused_draining);
    let bad = run_load(cluster, &format!("{name}-after"), Duration::from_secs(2)).await;
    let after = (leaf.executions().len(), leaf.counts().refused_draining);
    assert_eq!(
        before, after,
        "{name}: work reached the leaf (run, refused)"
    );
    assert_eq!(bad, vec![], "{name}");
}

/// Guards against work after a drain that only the leaf's own status or refusal tells.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaf_that_reports_its_drain_gets_no_work() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    cluster.leaves[0][0].set(|options| options.draining = true);
    assert_no_new_work(&cluster, "status").await;
}

/// Guards against a frozen status that reports no drain and so lifts the leaf's own refusal, also
/// when another process becomes the owner.
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

/// Guards against work after the VM list or the configuration took a leaf away.
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

/// Guards against work in flight that a drain cuts off, and against queued calls that wait for a
/// leaf which will not take them.
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
    assert!(early >= 2, "{early} calls were sent back early");
    let finished = first
        .executions()
        .iter()
        .filter(|e| e.request.starts_with("slow"))
        .all(|e| e.finished);
    assert!(finished, "work in flight was cut off");
}

/// Guards against a drain that never ends although the leaf's status truthfully followed it.
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

/// Guards against a shard that stays without leaves for the whole hold of a refusal, although the
/// refusals ended behind frozen statuses.
#[test]
fn a_refusal_of_the_last_leaf_is_held_for_a_second() {
    let mut signals = DrainSignals::default();
    signals.record_refusal(0);
    signals.record_status(false, false, 999);
    assert!(signals.is_draining());
    signals.record_status(false, true, 1_000);
    assert!(signals.is_draining(), "another leaf takes the work");
    signals.record_status(false, false, 1_000);
    assert!(!signals.is_draining());
    signals.record_status(true, false, 2_000);
    signals.record_status(true, false, 9_000);
    assert!(signals.is_draining(), "the leaf says so itself");
}
