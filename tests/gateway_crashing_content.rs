//! Requests that crash the leaves of a gateway: how far they spread, and which requests are refused.
//!
//! Leaves that end for another reason, and connections that break while the leaf lives, must not
//! make a gateway refuse content.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cloverrack::clock::unix_ms;
use cloverrack::fact::Fact;
use cloverrack::gateway::{Change, Content, ContentVerdict, CrashedAttempt, LeafRecord, Reply};
use gateway::{
    Leaf, LeafBehaviour, TARGET_LATENCY_MS, TestGateway, apply_change, gather_route, order,
    publish_service, request,
};
use http::{Method, StatusCode, Uri};

const CALLER: [u8; 4] = [127, 0, 0, 1];
const OTHER_CALLER: [u8; 4] = [127, 0, 0, 2];

/// Longest time that the refusal of a quarantined content may take.
const REFUSAL_TIME_LIMIT: Duration = Duration::from_millis(500);

/// Limit for a request to reach a leaf.
const EXECUTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Waits until leaves have executed more than `before` requests.
async fn wait_for_execution(leaves: &[Leaf], before: usize) {
    let waiting = async {
        while executed(leaves) <= before {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let waited = tokio::time::timeout(EXECUTION_TIMEOUT, waiting).await;
    waited.expect("the request reaches a leaf");
}

/// Waits until a gateway has ended all requests, which use its engine.
async fn wait_for_end(gateway: &TestGateway, engine_users: usize) {
    let waiting = async {
        while Arc::strong_count(&gateway.engine) > engine_users {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let waited = tokio::time::timeout(EXECUTION_TIMEOUT, waiting).await;
    waited.expect("the request ends");
}

async fn crashing_leaves(count: usize) -> Vec<Leaf> {
    let mut leaves = Vec::new();
    for number in 0..count {
        leaves.push(Leaf::spawn(&format!("leaf-{number}"), 1, LeafBehaviour::Crash).await);
    }
    leaves
}

fn executed(leaves: &[Leaf]) -> usize {
    leaves.iter().map(Leaf::executed).sum()
}

fn assert_quarantined(reply: &Reply) {
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = reply.headers["retry-after"].to_str().unwrap();
    let retry_after_s: f64 = retry_after.parse().unwrap();
    assert!(retry_after_s > 1.0, "{retry_after_s} s");
}

/// Publishes a scatter-gather route with the leaves as replicas of three shards.
fn publish_shards(gateway: &TestGateway, leaves: &[Leaf]) {
    let services = ["s0", "s1", "s2"];
    let listed: Vec<(&str, &Leaf)> = services.into_iter().cycle().zip(leaves).collect();
    gateway.publish(1, vec![gather_route("/g/", &services, 300_000)], &listed);
}

/// Replaces the record of a published leaf.
fn change_leaf(gateway: &TestGateway, record: LeafRecord) {
    apply_change(gateway, Change::Leaf(record), 2);
}

/// Sends healthy requests, which earn the budget for four extra calls, at 0.18 per request.
async fn earn_retries(gateway: &TestGateway, leaves: &[Leaf], path: &str) {
    for leaf in leaves {
        leaf.set(LeafBehaviour::Answer);
    }
    for _ in 0..30 {
        assert_eq!(gateway.get(path).await.status, StatusCode::OK);
    }
}

/// Guards against an idempotent request that reaches further leaves by retries, within an attempt
/// of the caller and when the caller sends it again.
#[tokio::test]
async fn retries_stop_after_the_third_crash() {
    let test_gateway = TestGateway::spawn().await;
    let leaves = crashing_leaves(8).await;
    publish_service(&test_gateway, "/a/", true, 5, &leaves);
    earn_retries(&test_gateway, &leaves, "/a/healthy").await;
    let before = executed(&leaves);
    for leaf in &leaves {
        leaf.set(LeafBehaviour::Crash);
    }
    assert_eq!(
        test_gateway.get("/a/x").await.status,
        StatusCode::BAD_GATEWAY
    );
    assert_eq!(executed(&leaves), before + 2, "one attempt of the caller");
    assert_eq!(
        test_gateway.get("/a/x").await.status,
        StatusCode::BAD_GATEWAY
    );
    assert_eq!(
        executed(&leaves),
        before + 3,
        "a suspect content crashes one more leaf"
    );
    let started = Instant::now();
    for _ in 0..5 {
        assert_quarantined(&test_gateway.get("/a/x").await);
    }
    assert!(started.elapsed() < REFUSAL_TIME_LIMIT);
    assert_eq!(executed(&leaves), before + 3);
    for leaf in &leaves {
        leaf.set(LeafBehaviour::Answer);
    }
    assert_eq!(test_gateway.get("/a/healthy").await.status, StatusCode::OK);
}

/// Guards against a request that isn't idempotent and crashes a leaf with each attempt, and against
/// refusing the orders of other callers and other orders of the same caller.
#[tokio::test]
async fn a_crashing_order_stops_and_other_orders_are_served() {
    let test_gateway = TestGateway::spawn().await;
    let leaves = crashing_leaves(5).await;
    publish_service(&test_gateway, "/o/", false, 3, &leaves);
    for crashes in 1..=3 {
        let reply = test_gateway.send_from(CALLER, order("crash")).await;
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
        assert_eq!(executed(&leaves), crashes);
    }
    assert_quarantined(&test_gateway.send_from(CALLER, order("crash")).await);
    assert_eq!(executed(&leaves), 3);
    for leaf in &leaves {
        leaf.set(LeafBehaviour::Answer);
    }
    let others = [
        (OTHER_CALLER, order("crash")),
        (CALLER, order("healthy")),
        (CALLER, request("/o/order")),
    ];
    for (caller, other) in others {
        let reply = test_gateway.send_from(caller, other).await;
        assert_eq!(reply.status, StatusCode::OK);
    }
    assert_quarantined(&test_gateway.send_from(CALLER, order("crash")).await);
}

/// Guards against a scatter-gather request that crashes a leaf of each shard with each attempt, and
/// against retries on the replicas of the shards.
#[tokio::test]
async fn a_crashing_fan_out_reaches_each_shard_once() {
    let test_gateway = TestGateway::spawn().await;
    let leaves = crashing_leaves(9).await;
    publish_shards(&test_gateway, &leaves);
    assert_eq!(
        test_gateway.get("/g/x").await.status,
        StatusCode::BAD_GATEWAY
    );
    assert_eq!(executed(&leaves), 3, "the first calls");
    assert_eq!(
        test_gateway.get("/g/x").await.status,
        StatusCode::BAD_GATEWAY
    );
    assert_eq!(
        executed(&leaves),
        4,
        "a suspect content runs on one leaf first"
    );
    assert_quarantined(&test_gateway.get("/g/x").await);
    assert_eq!(executed(&leaves), 4);
}

/// Guards against a scatter-gather request that crashes the leaves of one shard with each attempt
/// and is never stopped because the other shards answer.
#[tokio::test]
async fn content_that_crashes_one_shard_stops() {
    let test_gateway = TestGateway::spawn().await;
    let leaves = crashing_leaves(7).await;
    let services = ["s0", "s1"];
    let listed: Vec<(&str, &Leaf)> = (0..)
        .zip(&leaves)
        .map(|(number, leaf)| (services[usize::from(number > 0)], leaf))
        .collect();
    test_gateway.publish(1, vec![gather_route("/g/", &services, 300_000)], &listed);
    earn_retries(&test_gateway, &leaves, "/g/healthy").await;
    let before = executed(&leaves[1..]);
    for leaf in &leaves[1..] {
        leaf.set(LeafBehaviour::Crash);
    }
    let mut replies = Vec::new();
    for _ in 0..5 {
        replies.push(test_gateway.get("/g/x").await);
    }
    assert_eq!(
        replies[0].headers["x-missing"], "1",
        "the other shard answers"
    );
    assert_quarantined(&replies[4]);
    assert_eq!(executed(&leaves[1..]), before + 3);
}

/// Guards against content that crashes leaves of one shard only after the response without this
/// shard was sent.
#[tokio::test]
async fn a_crash_after_an_incomplete_response_counts() {
    let test_gateway = TestGateway::spawn().await;
    let engine_users = Arc::strong_count(&test_gateway.engine);
    let leaves = [
        Leaf::spawn("one", 1, LeafBehaviour::Answer).await,
        Leaf::spawn("two", 1, LeafBehaviour::Hang).await,
    ];
    let services = ["s0", "s1"];
    let listed: Vec<(&str, &Leaf)> = services.into_iter().zip(&leaves).collect();
    test_gateway.publish(1, vec![gather_route("/g/", &services, 300_000)], &listed);
    assert_eq!(test_gateway.get("/g/x").await.headers["x-missing"], "1");
    leaves[1].end();
    wait_for_end(&test_gateway, engine_users).await;
    let evidence = test_gateway.engine.take_evidence();
    assert!(
        matches!(evidence[..], [Fact::CrashedAttempt(_)]),
        "{evidence:?}"
    );
}

/// Guards against a suspect scatter-gather request that is not answered although it is healthy.
#[tokio::test]
async fn a_healthy_suspect_is_answered_and_cleared() {
    let test_gateway = TestGateway::spawn().await;
    let leaves = crashing_leaves(6).await;
    publish_shards(&test_gateway, &leaves);
    assert_eq!(
        test_gateway.get("/g/x").await.status,
        StatusCode::BAD_GATEWAY
    );
    for leaf in &leaves {
        leaf.set(LeafBehaviour::Answer);
    }
    let reply = test_gateway.get("/g/x").await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.headers["x-missing"], "0");
    assert!(test_gateway.engine.state().content_quarantine.len() == 1);
    let evidence = test_gateway.engine.take_evidence();
    assert_eq!(
        evidence.len(),
        2,
        "a crashed attempt and a success: {evidence:?}"
    );
}

/// Guards against healthy content that is refused because leaves crashed while they ran it, for
/// another reason: it is answered by a replica each time.
#[tokio::test]
async fn content_that_a_replica_answers_is_never_suspect() {
    let test_gateway = TestGateway::spawn().await;
    let leaves = crashing_leaves(2).await;
    publish_service(&test_gateway, "/a/", true, 2, &leaves);
    earn_retries(&test_gateway, &leaves, "/a/x").await;
    leaves[0].set(LeafBehaviour::Crash);
    leaves[1].set(LeafBehaviour::Slow(80));
    for _ in 0..30 {
        assert_eq!(test_gateway.get("/a/x").await.status, StatusCode::OK);
    }
    assert!(
        !leaves[0].is_serving(),
        "no request reached the crashing leaf"
    );
    assert!(test_gateway.engine.take_evidence().is_empty());
}

/// Guards against refusing content because connections break, replies are invalid, leaves fail,
/// refuse or hang while their processes live, or their hosts are cut off.
#[tokio::test]
async fn failures_of_live_leaves_are_no_crashes() {
    for behaviour in [
        LeafBehaviour::Break,
        LeafBehaviour::Fail,
        LeafBehaviour::Refuse,
        LeafBehaviour::Unsigned,
        LeafBehaviour::WrongRequestId,
        LeafBehaviour::Misdirected,
        LeafBehaviour::Hang,
        LeafBehaviour::CutOff,
    ] {
        let test_gateway = TestGateway::spawn().await;
        let leaves = [
            Leaf::spawn("one", 1, behaviour).await,
            Leaf::spawn("two", 1, behaviour).await,
        ];
        publish_service(&test_gateway, "/o/", false, 2, &leaves);
        for _ in 0..6 {
            let mut order = order("same");
            order
                .headers_mut()
                .insert("x-time-left", "300".parse().unwrap());
            test_gateway.send_from(CALLER, order).await;
        }
        let is_refused = matches!(
            behaviour,
            LeafBehaviour::Refuse | LeafBehaviour::Misdirected
        );
        assert_eq!(executed(&leaves) > 0, !is_refused, "{behaviour:?}");
        assert!(
            test_gateway.engine.state().content_quarantine.is_empty(),
            "{behaviour:?}"
        );
    }
}

/// Guards against content that is never stopped because its crashes are forgotten when the request
/// ends during a retry, at its deadline or since the caller leaves.
#[tokio::test]
async fn a_crash_counts_although_the_request_ends_during_a_retry() {
    for caller_leaves in [false, true] {
        let test_gateway = TestGateway::spawn().await;
        let engine_users = Arc::strong_count(&test_gateway.engine);
        let leaves = crashing_leaves(2).await;
        publish_service(&test_gateway, "/a/", true, 2, &leaves);
        // The first leaf is preferred, so the other one gets the retry.
        let remote = LeafRecord {
            failure_domain: "b".into(),
            ..leaves[1].record("s")
        };
        change_leaf(&test_gateway, remote);
        earn_retries(&test_gateway, &leaves, "/a/healthy").await;
        let before = executed(&leaves);
        leaves[0].set(LeafBehaviour::Crash);
        leaves[1].set(LeafBehaviour::Hang);
        let mut request = request("/a/x");
        request
            .headers_mut()
            .insert("x-time-left", "600".parse().unwrap());
        let sending = test_gateway.send_from(CALLER, request);
        if caller_leaves {
            tokio::select! {
                _ = sending => panic!("the request ended before both leaves ran it"),
                () = wait_for_execution(&leaves, before + 1) => {}
            }
        } else {
            assert_eq!(sending.await.status, StatusCode::GATEWAY_TIMEOUT);
        }
        wait_for_end(&test_gateway, engine_users).await;
        let evidence = test_gateway.engine.take_evidence();
        assert!(
            matches!(evidence[..], [Fact::CrashedAttempt(_)]),
            "caller_leaves={caller_leaves}: {evidence:?}"
        );
    }
}

/// Guards against evidence that is discarded by an answer which lacks shards: they may have crashed,
/// or be down since the content crashed them before.
#[tokio::test]
async fn an_incomplete_answer_is_no_success() {
    for (behaviour, caller_leaves) in [
        (LeafBehaviour::Hang, false),
        (LeafBehaviour::Hang, true),
        (LeafBehaviour::Refuse, false),
    ] {
        let test_gateway = TestGateway::spawn().await;
        let engine_users = Arc::strong_count(&test_gateway.engine);
        let leaves = [
            Leaf::spawn("one", 1, LeafBehaviour::Answer).await,
            Leaf::spawn("two", 1, behaviour).await,
        ];
        let services = ["s0", "s1"];
        let listed: Vec<(&str, &Leaf)> = services.into_iter().zip(&leaves).collect();
        test_gateway.publish(1, vec![gather_route("/g/", &services, 300_000)], &listed);
        let (content, mut evidence) = evidence_against("/g/x");
        evidence.truncate(1);
        test_gateway.engine.apply_evidence(evidence);
        let sending = test_gateway.get("/g/x");
        if caller_leaves {
            tokio::select! {
                _ = sending => panic!("the request ended before both leaves ran it"),
                () = wait_for_execution(&leaves, 1) => {}
            }
        } else {
            assert_eq!(sending.await.headers["x-missing"], "1");
        }
        wait_for_end(&test_gateway, engine_users).await;
        assert_eq!(
            test_gateway.engine.content_verdict(&content),
            ContentVerdict::Suspect,
            "{behaviour:?}, caller_leaves={caller_leaves}"
        );
    }
}

/// Guards against refusing content whose leaves ended after they had announced it.
#[tokio::test]
async fn the_end_of_a_draining_leaf_is_no_crash() {
    for is_draining in [true, false] {
        let test_gateway = TestGateway::spawn().await;
        let leaf = Leaf::spawn("leaf", 1, LeafBehaviour::Hang).await;
        publish_service(&test_gateway, "/o/", false, 2, std::slice::from_ref(&leaf));
        let ending = async {
            wait_for_execution(std::slice::from_ref(&leaf), 0).await;
            if is_draining {
                let draining = LeafRecord {
                    draining: true,
                    ..leaf.record("s")
                };
                change_leaf(&test_gateway, draining);
            }
            leaf.end();
        };
        let (reply, ()) = tokio::join!(test_gateway.send_from(CALLER, order("same")), ending);
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
        let evidence = test_gateway.engine.take_evidence();
        assert_eq!(evidence.is_empty(), is_draining, "{evidence:?}");
    }
}

/// Returns evidence of other VMs that suffices to quarantine a GET request of a caller.
fn evidence_against(path: &'static str) -> (Content, Vec<Fact>) {
    let uri = Uri::from_static(path);
    let content = Content::new("desk.example", &Method::GET, &uri, b"", CALLER.into());
    let evidence = |request_hash, leaves: &[u64]| {
        Fact::CrashedAttempt(CrashedAttempt {
            content,
            request_hash,
            leaves: leaves.to_vec(),
            alive_unix_ms: unix_ms(),
            observed_unix_ms: unix_ms(),
        })
    };
    (content, vec![evidence(1, &[1, 2]), evidence(2, &[3])])
}

/// Guards against hedges of a request in flight after other VMs have quarantined its content.
#[tokio::test]
async fn a_quarantine_stops_the_hedges_of_requests_in_flight() {
    let test_gateway = TestGateway::spawn().await;
    let leaves = crashing_leaves(2).await;
    publish_service(&test_gateway, "/a/", true, 2, &leaves);
    earn_retries(&test_gateway, &leaves, "/a/healthy").await;
    for leaf in &leaves {
        leaf.set(LeafBehaviour::Slow(2 * TARGET_LATENCY_MS));
    }
    let before = executed(&leaves);
    assert_eq!(test_gateway.get("/a/healthy").await.status, StatusCode::OK);
    assert_eq!(executed(&leaves) - before, 2, "without evidence");
    let before = executed(&leaves);
    let quarantining = async {
        wait_for_execution(&leaves, before).await;
        let (_, evidence) = evidence_against("/a/x");
        test_gateway.engine.apply_evidence(evidence);
    };
    let (reply, ()) = tokio::join!(test_gateway.get("/a/x"), quarantining);
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(executed(&leaves) - before, 1);
}

/// Guards against a gateway that sends content which others have quarantined.
#[tokio::test]
async fn evidence_of_other_vms_is_applied() {
    let test_gateway = TestGateway::spawn().await;
    let leaves = [
        Leaf::spawn("one", 1, LeafBehaviour::Slow(100)).await,
        Leaf::spawn("two", 1, LeafBehaviour::Slow(100)).await,
    ];
    publish_service(&test_gateway, "/a/", true, 2, &leaves);
    let (content, evidence) = evidence_against("/a/x");
    test_gateway.engine.apply_evidence(evidence);
    assert!(matches!(
        test_gateway.engine.content_verdict(&content),
        ContentVerdict::Quarantined { .. }
    ));
    assert_quarantined(&test_gateway.get("/a/x").await);
    assert_eq!(executed(&leaves), 0);
    assert_eq!(test_gateway.get("/a/y").await.status, StatusCode::OK);
}
