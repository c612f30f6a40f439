//! Snapshot consistency: every response is computed from one snapshot.
//!
//! Covered are changes of the index version and repartitioning of the data under load.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use cloverrack::{Answer, Outcome};
use support::{Cluster, ClusterSpec, request};

/// Concurrent callers while the index changes.
const CALLERS: usize = 6;

/// Asserts that all results of an answer, and the executions that produced them, are of its
/// snapshot.
fn assert_one_snapshot(cluster: &Cluster, answer: &Answer) {
    let snapshot = answer.snapshot.expect("answer has a snapshot").to_string();
    let id = &*answer.request_id;
    for result in &answer.results {
        let expected = format!("{snapshot}:{}:payload of {id}", result.shard);
        assert_eq!(&*result.body, expected, "{answer:?}");
        let ran = cluster.leaves.iter().flatten().any(|leaf| {
            leaf.executions().iter().any(|execution| {
                execution.request == id
                    && execution.snapshot == snapshot
                    && execution.shard == result.shard
                    && execution.finished
            })
        });
        assert!(ran, "no execution of shard {} in {answer:?}", result.shard);
    }
}

/// Sends queries continuously until `change` completes and returns all answers.
async fn answers_during(cluster: &Arc<Cluster>, change: impl Future<Output = ()>) -> Vec<Answer> {
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicUsize::new(0));
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..CALLERS {
        let (cluster, stop, next) = (Arc::clone(cluster), Arc::clone(&stop), Arc::clone(&next));
        callers.spawn(async move {
            let mut answers = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let number = next.fetch_add(1, Ordering::SeqCst);
                let mut query = request(&format!("q-{number}"));
                query.deadline_ms = 5_000;
                answers.extend(cluster.query(number % 3, &query).await);
            }
            answers
        });
    }
    change.await;
    stop.store(true, Ordering::SeqCst);
    callers.join_all().await.concat()
}

/// Adds a version to the leaves one replica at a time, then removes all older versions.
async fn change_version(cluster: &Cluster, version: u64) {
    for replica in 0..cluster.spec.replicas {
        for shard in &cluster.leaves {
            shard[replica].set(|options| options.snapshots.push((version, 1)));
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    for leaf in cluster.leaves.iter().flatten() {
        leaf.set(|options| {
            options
                .snapshots
                .retain(|(leaf_version, _)| *leaf_version >= version)
        });
    }
    tokio::time::sleep(Duration::from_millis(250)).await;
}

/// Guards against answers that mix index versions, and against queries that fail because the leaves
/// drop the pinned version although another one covers all shards. Leaves change versions one
/// replica at a time while queries are in flight.
#[tokio::test(flavor = "multi_thread")]
async fn answers_keep_one_version_while_versions_change() {
    let cluster = Arc::new(Cluster::start(ClusterSpec::default()).await);
    let answers = answers_during(&cluster, async {
        for version in 2..7 {
            change_version(&cluster, version).await;
        }
    })
    .await;
    let mut versions = std::collections::BTreeSet::new();
    for answer in &answers {
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
        assert_one_snapshot(&cluster, answer);
        versions.insert(answer.snapshot.unwrap().version);
    }
    assert!(
        versions.len() >= 4,
        "answers used too few versions: {versions:?}"
    );
}

/// Guards against answers that count the shards of another layout than the one they are pinned to,
/// and against queries that fail while data moves between layouts. The leaves change from 3 shards
/// to 2 while the configuration lists both layouts.
#[tokio::test(flavor = "multi_thread")]
async fn answers_keep_one_layout_while_data_is_repartitioned() {
    let cluster = Arc::new(Cluster::start(ClusterSpec::default()).await);
    let before = cluster.config("");
    let new_layout = "[[service.search.layout]]\nid = 2\nshards = \
                      [[\"s0r0\", \"s1r0\", \"s2r0\"], [\"s0r1\", \"s1r1\", \"s2r1\"]]\n";
    let (head, _) = before.split_once("[[service.search.layout]]").unwrap();
    let answers = answers_during(&cluster, async {
        let both = format!("{before}{new_layout}");
        cluster.platform.put("cloverrack/config/test", both);
        tokio::time::sleep(Duration::from_millis(500)).await;
        for shard in &cluster.leaves {
            for leaf in &shard[..2] {
                leaf.set(|options| options.snapshots.push((2, 2)));
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        for leaf in cluster.leaves.iter().flatten() {
            leaf.set(|options| options.snapshots.retain(|(_, layout)| *layout == 2));
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
        let after = format!("{head}{new_layout}");
        cluster.platform.put("cloverrack/config/test", after);
        tokio::time::sleep(Duration::from_millis(800)).await;
    })
    .await;
    let mut layouts = std::collections::BTreeSet::new();
    for answer in &answers {
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
        let layout = answer.snapshot.unwrap().layout;
        assert_eq!(answer.shards, if layout == 1 { 3 } else { 2 }, "{answer:?}");
        assert_one_snapshot(&cluster, answer);
        layouts.insert(layout);
    }
    assert_eq!(layouts.len(), 2, "answers used both layouts");
}
