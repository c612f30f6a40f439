//! The policies `latency` and `coverage`, retries and admission, in a cluster of real processes.
//!
//! Covered are shards without a usable replica, a retry budget of zero, and overload.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cloverrack::answer::Preference;
use cloverrack::{Outcome, Reason};
use cloverrack_standins::{LeafOptions, Misbehaviour};
use support::{Cluster, ClusterSpec, eventually, request};

async fn disable_hedge_budget(cluster: &Cluster) {
    let config = cluster.config("hedge_budget_ppm = 0");
    cluster.platform.put("cloverrack/config/test", config);
    tokio::time::sleep(Duration::from_millis(500)).await;
}

/// Guards against the policy `latency` waiting for a silent shard until the deadline, and against a
/// service's policy overriding the preference `coverage` of a request.
#[tokio::test(flavor = "multi_thread")]
async fn latency_answers_early_and_a_preference_goes_first() {
    let spec = ClusterSpec {
        policy: "latency",
        ..ClusterSpec::default()
    };
    let cluster = Cluster::start(spec).await;
    for leaf in &cluster.leaves[1] {
        leaf.set(|options| options.misbehaviour = Some(Misbehaviour::Silent));
    }
    let mut query = request("early");
    query.deadline_ms = 5_000;
    let start = Instant::now();
    let answer = cluster.query(0, &query).await.unwrap();
    assert_eq!(answer.outcome, Outcome::Partial, "{answer:?}");
    assert_eq!(answer.covered, vec![0, 2]);
    assert!(
        start.elapsed() < Duration::from_millis(2_500),
        "answered only after {:?}",
        start.elapsed()
    );

    let recovering = cluster.leaves[1][0].clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(700)).await;
        recovering.set(|options| options.misbehaviour = Some(Misbehaviour::Error));
        recovering.set(|options| options.misbehaviour = None);
    });
    // With `coverage` the calls to the silent replicas stay open until a connection is cut.
    query.request_id = "preferred".into();
    query.prefer = Some(Preference::Coverage);
    query.deadline_ms = 1_200;
    let start = Instant::now();
    let answer = cluster.query(0, &query).await.unwrap();
    assert!(
        start.elapsed() > Duration::from_millis(900),
        "answered before the deadline: {answer:?}"
    );
}

/// Guards against a shard being given up while all of its replicas are draining, although one
/// becomes usable again before the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_waits_for_a_replica_that_returns() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    for leaf in &cluster.leaves[1] {
        leaf.set(|options| options.draining = true);
    }
    let mut early = request("early");
    early.deadline_ms = 200;
    eventually("shard 1 is missing from answers", async || {
        let answer = cluster.query(0, &early).await.unwrap();
        answer
            .missing
            .iter()
            .any(|missing_shard| missing_shard.shard == 1)
    })
    .await;
    let recovering = cluster.leaves[1][2].clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(400)).await;
        recovering.set(|options| options.draining = false);
    });
    let mut query = request("patient");
    query.deadline_ms = 10_000;
    let answer = cluster.query(0, &query).await.unwrap();
    assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
}

/// Guards against calls that are known not to have started and aren't retried because the retry
/// budget is empty. Two of three replicas refuse every call here, and a retry of such a call must
/// be free.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_did_not_start_need_no_budget() {
    let cluster = Arc::new(Cluster::start(ClusterSpec::default()).await);
    disable_hedge_budget(&cluster).await;
    // Failed calls use up the budget that was saved before the change; each retry costs a token.
    for leaf in cluster.leaves.iter().flatten() {
        leaf.set(|options| options.misbehaviour = Some(Misbehaviour::Error));
    }
    for number in 0..20 {
        let mut query = request(&format!("spend-{number}"));
        query.deadline_ms = 60;
        for vm in 0..3 {
            cluster.query(vm, &query).await;
        }
    }
    for leaf in cluster.leaves.iter().flatten() {
        leaf.set(|options| options.misbehaviour = None);
    }
    for shard in &cluster.leaves {
        shard[0].set(|options| options.slots = 0);
        shard[1].set(|options| options.slots = 0);
    }
    for number in 0..15 {
        let query = request(&format!("q-{number}"));
        let answer = cluster.query(number % 3, &query).await.unwrap();
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    }
}

/// Guards against overload that queues requests until their deadlines. At least 100 of 400 requests
/// are refused, more than half of them in under 100 ms and all with a time to retry; at least half
/// of those admitted are answered completely before their deadline of 300 ms.
#[tokio::test(flavor = "multi_thread")]
async fn overload_is_refused_at_once() {
    let spec = ClusterSpec {
        leaf: LeafOptions {
            service_us: 30_000,
            ..LeafOptions::default()
        },
        ..ClusterSpec::default()
    };
    let cluster = Arc::new(Cluster::start(spec).await);
    // The first requests wait for the leaves' states, so their latency isn't representative.
    for number in 0..20 {
        cluster
            .query(0, &request(&format!("normal-{number}")))
            .await;
    }
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..400 {
        let cluster = Arc::clone(&cluster);
        callers.spawn(async move {
            tokio::time::sleep(Duration::from_millis(number as u64)).await;
            let mut query = request(&format!("q-{number}"));
            query.deadline_ms = 300;
            let start = Instant::now();
            let answer = cluster.query(0, &query).await.unwrap();
            (answer, start.elapsed())
        });
    }
    let answers = callers.join_all().await;
    let with = |outcome| answers.iter().filter(|(a, _)| a.outcome == outcome).count();
    let admitted = answers.len() - with(Outcome::NotRun);
    let complete = with(Outcome::Complete);
    let mut refused_ms: Vec<u128> = Vec::new();
    for (answer, elapsed) in &answers {
        if answer.outcome != Outcome::NotRun {
            continue;
        }
        assert_eq!(answer.reason, Some(Reason::Overloaded), "{answer:?}");
        assert!(answer.retry_after_ms.is_some_and(|wait_ms| wait_ms > 0));
        refused_ms.push(elapsed.as_millis());
    }
    refused_ms.sort_unstable();
    assert!(
        complete > 0 && complete * 2 >= admitted,
        "{complete} of {admitted} admitted requests complete"
    );
    assert!(
        refused_ms.len() >= 100,
        "only {} requests refused",
        refused_ms.len()
    );
    let median_ms = refused_ms[refused_ms.len() / 2];
    assert!(
        median_ms < 100,
        "half of the refusals took {median_ms} ms or more"
    );
}
