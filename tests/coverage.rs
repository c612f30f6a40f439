//! Accurate coverage (invariant `true_coverage`): every response states exactly which shards it
//! covers, also while leaves answer wrongly, time out or are cut off.

mod support;

use std::sync::Arc;
use std::time::Duration;

use cloverrack::{Answer, Outcome, Reason};
use cloverrack_standins::Misbehaviour;
use support::{Cluster, ClusterSpec, request};

/// Asserts that covered and missing shards partition the pinned layout, that covered shards are
/// those with results, and that the leaves recorded a finished execution of each covered shard at
/// the pinned snapshot.
fn assert_true_coverage(cluster: &Cluster, answer: &Answer) {
    let shards_with_results: Vec<u32> = answer.results.iter().map(|result| result.shard).collect();
    assert_eq!(shards_with_results, answer.covered, "{answer:?}");
    let mut all = answer.covered.clone();
    all.extend(
        answer
            .missing
            .iter()
            .map(|missing_shard| missing_shard.shard),
    );
    all.sort_unstable();
    let layout: Vec<u32> = (0..cluster.spec.shards as u32).collect();
    assert_eq!(all, layout, "{answer:?}");
    let snapshot = answer.snapshot.expect("answer has no snapshot").to_string();
    for result in answer
        .results
        .iter()
        .filter(|result| !result.body.is_empty())
    {
        let expected = format!(
            "{snapshot}:{}:payload of {}",
            result.shard, answer.request_id
        );
        assert_eq!(&*result.body, expected, "{answer:?}");
    }
    for shard in &answer.covered {
        let executed = cluster.leaves[*shard as usize].iter().any(|leaf| {
            leaf.executions().iter().any(|execution| {
                *execution.request == *answer.request_id
                    && execution.snapshot == snapshot
                    && execution.shard == *shard
                    && execution.finished
            })
        });
        assert!(executed, "shard {shard} was not executed: {answer:?}");
    }
}

/// Guards against coverage that is derived from the size of a result: a shard with an empty answer
/// is covered, a shard whose leaves time out is not.
#[tokio::test(flavor = "multi_thread")]
async fn an_empty_answer_covers_and_a_timeout_does_not() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    for leaf in &cluster.leaves[0] {
        leaf.set(|options| options.empty = true);
    }
    for leaf in &cluster.leaves[1] {
        leaf.set(|options| options.misbehaviour = Some(Misbehaviour::Silent));
    }
    for vm in 0..3 {
        let mut query = request(&format!("q-{vm}"));
        query.deadline_ms = 500;
        let answer = cluster.query(vm, &query).await.unwrap();
        assert_true_coverage(&cluster, &answer);
        assert_eq!(answer.outcome, Outcome::Partial, "{answer:?}");
        assert_eq!(answer.covered, vec![0, 2]);
        assert_eq!(&*answer.results[0].body, "");
        assert_eq!(answer.missing[0].reason, Reason::Timeout);
    }
}

/// Injects faults into one shard after another, so that each loses some or all replicas.
async fn inject_leaf_faults(cluster: &Cluster) {
    let faults = [
        Misbehaviour::WrongSnapshot,
        Misbehaviour::Error,
        Misbehaviour::WrongCall,
        Misbehaviour::WrongShard,
    ];
    for (step, fault) in faults.into_iter().enumerate() {
        for leaf in &cluster.leaves[step % 3] {
            leaf.set(|options| options.misbehaviour = Some(fault));
        }
        let cut = &cluster.leaves[(step + 1) % 3];
        for leaf in &cut[..2] {
            leaf.set(|options| options.cut = true);
        }
        tokio::time::sleep(Duration::from_millis(600)).await;
        for leaf in cluster.leaves.iter().flatten() {
            leaf.set(|options| {
                options.misbehaviour = None;
                options.cut = false;
            });
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Guards against a shard that is reported as covered although its leaf's answer was wrong, late
/// or missing. Concurrent callers query while leaves misbehave and lose their connections.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_is_true_under_concurrent_faults() {
    let cluster = Arc::new(Cluster::start(ClusterSpec::default()).await);
    let faults = tokio::spawn({
        let cluster = Arc::clone(&cluster);
        async move { inject_leaf_faults(&cluster).await }
    });
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..6 {
        let (cluster, faults) = (Arc::clone(&cluster), faults.abort_handle());
        callers.spawn(async move {
            let mut answers = Vec::new();
            while !faults.is_finished() {
                let mut query = request(&format!("q-{caller}-{}", answers.len()));
                query.deadline_ms = 250;
                answers.push(cluster.query(caller % 3, &query).await.unwrap());
            }
            answers
        });
    }
    let answers = callers.join_all().await.concat();
    faults.await.unwrap();
    let with = |outcome| answers.iter().filter(|a| a.outcome == outcome).count();
    let (complete, partial) = (with(Outcome::Complete), with(Outcome::Partial));
    assert!(
        complete > 0 && partial > 0,
        "complete {complete}, partial {partial}"
    );
    for answer in &answers {
        if answer.snapshot.is_some() {
            assert_true_coverage(&cluster, answer);
        } else {
            assert!(answer.covered.is_empty() && answer.results.is_empty());
        }
    }
}
