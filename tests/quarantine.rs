//! Quarantine of request content that crashes targets: it is refused after two leaves have crashed.
//!
//! Covered are retries, evidence from several VMs, and crashes, kills and cut connections that must
//! not quarantine other content.

#![expect(
    clippy::unwrap_used,
    reason = "a failed request to the cluster fails the test"
)]

mod support;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cloverrack::answer::{Answer, CallerRequest};
use cloverrack::quarantine::{CRASH_RETENTION_MS, LeafCrash, Quarantine};
use cloverrack::{Outcome, Reason};
use cloverrack_standins::Misbehaviour;
use proptest::prelude::*;
use support::{Cluster, ClusterSpec, eventually, request};

/// Payload that crashes the stand-in leaf.
const CRASH_PAYLOAD: &str = "crash-target";

/// Longest time that a refusal of quarantined content may take.
const REFUSAL_TIME_LIMIT: Duration = Duration::from_millis(500);

fn spec(service_ms: u64) -> ClusterSpec {
    let mut spec = ClusterSpec {
        shards: 1,
        replicas: 6,
        ..ClusterSpec::default()
    };
    spec.leaf.service_us = service_ms * 1_000;
    spec
}

fn request_with_payload(id: &str, content: &str) -> CallerRequest {
    CallerRequest {
        payload: content.into(),
        ..request(id)
    }
}

/// Returns how many leaves executed a payload; each of them crashed if the payload is
/// `CRASH_PAYLOAD`.
fn leaves_that_executed(cluster: &Cluster, content: &str) -> usize {
    let mut crashed_addresses = HashSet::new();
    for leaf in cluster.leaves.iter().flatten() {
        if leaf.executions().iter().any(|e| e.payload == content) {
            crashed_addresses.insert(leaf.address());
        }
    }
    crashed_addresses.len()
}

fn assert_refused(answer: &Answer) {
    let expected = (Outcome::Refused, Some(Reason::Quarantined));
    assert_eq!((answer.outcome, answer.reason), expected, "{answer:?}");
    assert!(answer.retry_after_ms.is_some_and(|wait_ms| wait_ms > 0));
}

/// Waits until a VM reports one quarantined content.
async fn wait_for_quarantine(cluster: &Cluster, vm: usize) {
    eventually("the VM reports the quarantined content", async || {
        let status = cluster.status(vm).await.unwrap();
        status["quarantined_contents"] == 1
    })
    .await;
}

/// Asserts that every VM refuses the content at once when it comes with a new request identifier.
async fn assert_refused_everywhere(cluster: &Cluster, content: &str) {
    for vm in 0..3 {
        wait_for_quarantine(cluster, vm).await;
        let start = Instant::now();
        let sent = request_with_payload(&format!("refused-{vm}"), content);
        assert_refused(&cluster.query(vm, &sent).await.unwrap());
        assert!(start.elapsed() < REFUSAL_TIME_LIMIT);
    }
}

/// Guards against retries that keep crashing leaves, within one request and when the caller resends
/// the content to any VM with a new identifier.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_content_is_stopped_after_two_leaves() {
    let cluster = Cluster::start(spec(1)).await;
    let answer = cluster
        .query(0, &request_with_payload("first", CRASH_PAYLOAD))
        .await;
    assert_refused(&answer.unwrap());
    assert_eq!(leaves_that_executed(&cluster, CRASH_PAYLOAD), 2);
    assert_refused_everywhere(&cluster, CRASH_PAYLOAD).await;
    assert_eq!(leaves_that_executed(&cluster, CRASH_PAYLOAD), 2);
}

/// Guards against hedges that spread content over more than two leaves before the first of them can
/// be seen to crash.
#[tokio::test(flavor = "multi_thread")]
async fn content_without_an_answer_is_hedged_to_one_other_leaf() {
    let cluster = Cluster::start(spec(1)).await;
    for leaf in &cluster.leaves[0] {
        leaf.set(|options| options.misbehaviour = Some(Misbehaviour::Silent));
    }
    let sent = request_with_payload("hedged", "never answered");
    let answer = cluster.query(0, &sent).await.unwrap();
    assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
    assert_eq!(leaves_that_executed(&cluster, "never answered"), 2);
}

/// Guards against crash evidence that isn't shared between VMs. Two VMs lose one leaf each, which
/// only together is enough to quarantine the content.
#[tokio::test(flavor = "multi_thread")]
async fn single_losses_at_two_vms_suffice() {
    let cluster = Cluster::start(spec(1)).await;
    for vm in 0..2 {
        let block = cluster.ticket_block(vm).await.unwrap();
        let sent = CallerRequest {
            idempotent: false,
            ..request_with_payload(&format!("{block}.0"), CRASH_PAYLOAD)
        };
        let answer = cluster.query(vm, &sent).await.unwrap();
        assert_eq!(answer.outcome, Outcome::Unknown);
        assert_eq!(leaves_that_executed(&cluster, CRASH_PAYLOAD), vm + 1);
    }
    wait_for_quarantine(&cluster, 2).await;
    let answer = cluster
        .query(2, &request_with_payload("third", CRASH_PAYLOAD))
        .await;
    assert_refused(&answer.unwrap());
    assert_refused_everywhere(&cluster, CRASH_PAYLOAD).await;
    assert_eq!(leaves_that_executed(&cluster, CRASH_PAYLOAD), 2);
}

/// Guards against quarantining healthy requests that were in flight on a leaf when another request
/// crashed it.
#[tokio::test(flavor = "multi_thread")]
async fn healthy_requests_beside_a_crash_are_not_quarantined() {
    let cluster = Cluster::start(spec(150)).await;
    let healthy: Vec<CallerRequest> = (0..12)
        .map(|number| request(&format!("healthy-{number}")))
        .collect();
    let crashing = request_with_payload("crashing", CRASH_PAYLOAD);
    let healthy_queries = healthy
        .iter()
        .enumerate()
        .map(|(number, sent)| cluster.query(number % 3, sent));
    let crash = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        cluster.query(0, &crashing).await
    };
    let (answers, _) = tokio::join!(futures_util::future::join_all(healthy_queries), crash);
    for answer in answers {
        assert_ne!(answer.unwrap().outcome, Outcome::Refused);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for (number, sent) in healthy.iter().enumerate() {
        let answer = cluster.query(number % 3, sent).await.unwrap();
        assert_ne!(answer.outcome, Outcome::Refused, "{answer:?}");
    }
}

/// Guards against quarantining a healthy request whose two calls ran on the leaves that a request at
/// another VM crashed.
#[tokio::test(flavor = "multi_thread")]
async fn a_healthy_request_beside_a_crash_at_another_vm_is_not_quarantined() {
    let cluster = Cluster::start(ClusterSpec {
        replicas: 2,
        ..spec(1_000)
    })
    .await;
    let healthy = request_with_payload("healthy", "healthy content");
    let crashing = request_with_payload("crashing", CRASH_PAYLOAD);
    let crash = async {
        eventually("the healthy request runs on both leaves", async || {
            leaves_that_executed(&cluster, "healthy content") == 2
        })
        .await;
        cluster.query(0, &crashing).await
    };
    let (answer, _) = tokio::join!(cluster.query(1, &healthy), crash);
    assert_eq!(leaves_that_executed(&cluster, CRASH_PAYLOAD), 2);
    assert_ne!(answer.unwrap().outcome, Outcome::Refused);
}

/// Guards against quarantining the requests that were in flight on leaves which were killed from
/// outside: each content was lost with one leaf only.
#[tokio::test(flavor = "multi_thread")]
async fn leaves_killed_from_outside_quarantine_nothing() {
    let cluster = Cluster::start(spec(100)).await;
    let mut sent = Vec::new();
    for killed in 0..4 {
        let batch: Vec<CallerRequest> = (0..6)
            .map(|number| request(&format!("distinct-{killed}-{number}")))
            .collect();
        let queries = batch.iter().map(|one| cluster.query(0, one));
        let kill = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            cluster.leaves[0][killed].stop();
        };
        tokio::join!(futures_util::future::join_all(queries), kill);
        sent.extend(batch);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for (number, one) in sent.iter().enumerate() {
        let answer = cluster.query(number % 3, one).await.unwrap();
        assert_ne!(answer.outcome, Outcome::Refused, "{answer:?}");
    }
}

/// Guards against quarantining content because connections break while the leaf's process is still
/// running.
#[tokio::test(flavor = "multi_thread")]
async fn cut_connections_quarantine_nothing() {
    let cluster = Cluster::start(spec(100)).await;
    for round in 0..6 {
        let sent = request_with_payload(&format!("cut-{round}"), "the same content");
        let cut = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            for leaf in &cluster.leaves[0] {
                leaf.set(|options| options.cut = true);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
            for leaf in &cluster.leaves[0] {
                leaf.set(|options| options.cut = false);
            }
        };
        let (answer, ()) = tokio::join!(cluster.query(round % 3, &sent), cut);
        assert_ne!(answer.unwrap().outcome, Outcome::Refused);
    }
    assert!(leaves_that_executed(&cluster, "the same content") >= 2);
}

fn leaf(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

/// Guards against crash evidence that counts after its retention time has passed.
#[test]
fn old_losses_do_not_count() {
    let mut quarantine = Quarantine::default();
    let first = quarantine.observe(7, leaf(1), false, 0);
    assert_eq!(quarantine.record(first, 0), None);
    let later = quarantine.observe(7, leaf(2), false, CRASH_RETENTION_MS);
    assert_eq!(quarantine.record(later, CRASH_RETENTION_MS), None);
}

/// Guards against quarantining content for a few crashes of leaves that ran other calls too, which
/// may have caused them. Four such crashes suffice, as two count as much as one exclusive crash.
#[test]
fn losses_of_shared_leaves_count_only_if_repeated() {
    let mut quarantine = Quarantine::default();
    for number in 1..4 {
        let crash = quarantine.observe(7, leaf(number), true, 0);
        assert_eq!(
            quarantine.record(crash, 0),
            None,
            "after {number} shared crashes"
        );
    }
    let crash = quarantine.observe(7, leaf(4), true, 0);
    assert!(quarantine.record(crash, 0).is_some());
}

proptest! {
    /// Guards against a quarantine that depends on the order in which a VM receives crash facts:
    /// VMs would then disagree on which content to refuse.
    #[test]
    fn the_order_of_evidence_does_not_matter(
        crashes in prop::collection::vec((1..5_u16, any::<bool>(), 1..3_u32), 1..6),
        order in any::<prop::sample::Index>(),
    ) {
        let mut seen = HashSet::new();
        let mut facts = Vec::new();
        for (number, shared, crashes) in crashes {
            if seen.insert(number) {
                let (leaf, observed_unix_ms) = (leaf(number), u64::from(number));
                facts.push(LeafCrash { fingerprint: 7, leaf, shared, crashes, observed_unix_ms });
            }
        }
        let quarantined_until_unix_ms = |facts: &[LeafCrash]| {
            let mut quarantine = Quarantine::default();
            facts.iter().filter_map(|crash| quarantine.record(*crash, 10)).max()
        };
        let first = quarantined_until_unix_ms(&facts);
        let middle = order.index(facts.len());
        facts.rotate_left(middle);
        let rotated = quarantined_until_unix_ms(&facts);
        prop_assert_eq!(first, rotated);
    }
}
