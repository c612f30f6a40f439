//! Times that leaves name when they refuse requests: which calls are sent meanwhile, what callers get,
//! and how the leaves are used again.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::time::{Duration, Instant};

use cloverrack::gateway::retry_after::{
    Admission, MAX_RETRY_AFTER_MS, RetryAfter, parse_retry_after_ms,
};
use cloverrack::gateway::{CallError, Change, LeafRecord};
use futures_util::future::join_all;
use gateway::{
    Leaf, LeafBehaviour, TestGateway, apply_change, call_spec, gather_route, open_call,
    publish_service, request, single_route,
};
use http::StatusCode;

/// Requests by which a test finds out which leaves are used.
const PROBES: usize = 24;

/// Time within which a request that can't be served is refused: a quarter of the target latency.
const AT_ONCE: Duration = Duration::from_millis(gateway::TARGET_LATENCY_MS / 4);

/// Guards against values that remove a leaf for good, or that count as a time although they are none.
#[test]
fn times_are_parsed_or_ignored() {
    let dates = "Sun, 06 Nov 1994 08:49:37 GMT";
    for text in ["", "-1", "-0.1", "nan", "inf", "soon", "1s", "1,5", dates] {
        assert_eq!(parse_retry_after_ms(text), None, "{text}");
    }
    assert_eq!(parse_retry_after_ms(" 2 "), Some(2_000));
    assert_eq!(parse_retry_after_ms("0.0004"), Some(1));
    assert_eq!(parse_retry_after_ms("0"), Some(0));
    for text in ["1e300", "99999999999999999999", "86400"] {
        assert_eq!(
            parse_retry_after_ms(text),
            Some(MAX_RETRY_AFTER_MS),
            "{text}"
        );
    }
}

/// Guards against times that end too early: by a shorter one that is named later, or by the answer to
/// a call that was sent before the refusal.
#[test]
fn a_named_time_lasts_to_its_end() {
    let mut retry_after = RetryAfter::default();
    retry_after.record(5_000, 0);
    retry_after.record(1_000, 100_000);
    retry_after.record_answer(200_000);
    retry_after.record_remote(60_000, 0);
    assert_eq!(
        retry_after.admission(0, 4_999_999),
        Admission::NotBefore(5_000_000)
    );
    assert_eq!(retry_after.admission(0, 5_000_000), Admission::LastChoice);
}

/// Guards against a rush to a leaf whose time is over, and against one that stays nearly unused
/// because it does not answer its first call.
#[test]
fn a_leaf_is_tried_with_one_call_first() {
    let mut retry_after = RetryAfter::default();
    retry_after.record(1_000, 0);
    assert_eq!(retry_after.admission(0, 1_000_000), Admission::Allowed);
    assert_eq!(retry_after.admission(1, 1_000_000), Admission::Recovering);
    let mut answered = retry_after;
    answered.record_answer(1_020_000);
    assert_eq!(answered.admission(3, 1_020_001), Admission::Allowed);
    assert_eq!(retry_after.admission(3, 2_000_000), Admission::Allowed);
}

/// Guards against calls to a leaf within the time that it has named, by first calls, retries and
/// hedges, and against a leaf that is not used again afterwards.
#[tokio::test]
async fn a_leaf_gets_no_calls_within_its_time() {
    for idempotent in [true, false] {
        let test_gateway = TestGateway::spawn().await;
        let refusing = Leaf::spawn("refusing", 1, LeafBehaviour::RetryAfter("1")).await;
        let leaves = std::slice::from_ref(&refusing);
        publish_service(&test_gateway, "/a/", idempotent, 2, leaves);
        let started = Instant::now();
        test_gateway.get("/a/x").await;
        refusing.set(LeafBehaviour::Answer);
        let other = Leaf::spawn("other", 1, LeafBehaviour::Slow(60)).await;
        apply_change(&test_gateway, Change::Leaf(other.record("s")), 2);
        while started.elapsed() < Duration::from_millis(800) {
            let replies = join_all((0..4).map(|_| test_gateway.get("/a/x"))).await;
            assert!(replies.iter().all(|reply| reply.status == StatusCode::OK));
        }
        assert_eq!(refusing.received(), 1, "{idempotent}");
        tokio::time::sleep(Duration::from_millis(400)).await;
        for _ in 0..PROBES {
            join_all((0..4).map(|_| test_gateway.get("/a/x"))).await;
        }
        assert!(refusing.received() > 4, "{}", refusing.received());
    }
}

/// Guards against requests that wait although all leaves of a service have asked for silence, and
/// against callers that are told to come back too early or all at once.
#[tokio::test]
async fn requests_are_refused_at_once_while_all_leaves_want_none() {
    for path in ["/a/x", "/o/order", "/g/x"] {
        let test_gateway = TestGateway::spawn().await;
        let early = Leaf::spawn("early", 1, LeafBehaviour::RetryAfter("2")).await;
        let late = Leaf::spawn("late", 1, LeafBehaviour::RetryAfter("30")).await;
        let other = Leaf::spawn("other", 1, LeafBehaviour::Answer).await;
        let routes = vec![
            single_route("/a/", "s", true, 3),
            single_route("/o/", "s", false, 1),
            gather_route("/g/", &["s", "t"], 1_000_000),
        ];
        let leaves = [("s", &early), ("s", &late), ("t", &other)];
        test_gateway.publish(1, routes, &leaves);
        // The budget for extra calls allows the second leaf to be asked.
        let started = Instant::now();
        while early.received() + late.received() < 2 {
            test_gateway.get(path).await;
            assert!(started.elapsed() < Duration::from_secs(1), "{path}");
        }
        let other_received = other.received();
        let sent = Instant::now();
        let mut waits = Vec::new();
        for _ in 0..PROBES {
            let sent = Instant::now();
            let reply = test_gateway.get(path).await;
            assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            assert!(sent.elapsed() < AT_ONCE, "{path}: {:?}", sent.elapsed());
            let wait: f64 = reply.headers["retry-after"]
                .to_str()
                .unwrap()
                .parse()
                .unwrap();
            waits.push(wait);
        }
        let elapsed_s = sent.elapsed().as_secs_f64() + 1.0;
        let least = waits.iter().copied().fold(f64::MAX, f64::min);
        let greatest = waits.iter().copied().fold(0.0, f64::max);
        assert!(
            least >= 2.0 - elapsed_s && greatest <= 3.1,
            "{path}: {waits:?}"
        );
        assert!(greatest - least > 0.3, "{path}: {waits:?}");
        assert_eq!(early.received() + late.received(), 2, "{path}");
        assert_eq!(other.received(), other_received, "{path}");
        early.set(LeafBehaviour::Answer);
        tokio::time::sleep(Duration::from_millis(2_050)).await;
        assert_eq!(
            test_gateway.get(path).await.status,
            StatusCode::OK,
            "{path}"
        );
        assert_eq!(late.received(), 1, "{path}");
    }
}

/// Guards against a rush of waiting requests to a leaf at the end of its time.
#[tokio::test]
async fn waiting_requests_do_not_rush_to_a_leaf() {
    let test_gateway = TestGateway::spawn().await;
    let leaf = Leaf::spawn("leaf", 1, LeafBehaviour::RetryAfter("0.3")).await;
    publish_service(&test_gateway, "/a/", true, 2, std::slice::from_ref(&leaf));
    assert_eq!(
        test_gateway.get("/a/x").await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    leaf.set(LeafBehaviour::Slow(80));
    tokio::time::sleep(Duration::from_millis(310)).await;
    let probed = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        leaf.received()
    };
    let requests = join_all((0..PROBES).map(|_| test_gateway.get("/a/x")));
    let (replies, received) = tokio::join!(requests, probed);
    assert_eq!(received, 2, "one call until the leaf has answered");
    assert!(replies.iter().all(|reply| reply.status == StatusCode::OK));
}

/// Guards against a call that is sent although the leaf has refused another one since it was chosen.
#[tokio::test]
async fn a_call_that_was_assigned_is_not_sent_within_the_time() {
    let test_gateway = TestGateway::spawn().await;
    let leaf = Leaf::spawn("leaf", 1, LeafBehaviour::RetryAfter("5")).await;
    publish_service(&test_gateway, "/a/", false, 1, std::slice::from_ref(&leaf));
    let assigned = open_call(&test_gateway, "s");
    test_gateway.get("/a/x").await;
    assert_eq!(leaf.received(), 1);
    let result = assigned.run(&call_spec()).await;
    assert_eq!(result.err(), Some(CallError::Withheld));
    test_gateway.get("/a/x").await;
    assert_eq!(leaf.received(), 1);
}

/// Guards against a VM that overloads a leaf which has just refused another VM, and against one that
/// leaves such a leaf unused although it has no other.
#[tokio::test]
async fn other_vms_use_the_leaf_as_their_last_choice() {
    let test_gateway = TestGateway::spawn().await;
    let refusing = Leaf::spawn("refusing", 1, LeafBehaviour::RetryAfter("5")).await;
    publish_service(
        &test_gateway,
        "/a/",
        true,
        1,
        std::slice::from_ref(&refusing),
    );
    test_gateway.get("/a/x").await;
    let reports = test_gateway.engine.take_reports();
    refusing.set(LeafBehaviour::Answer);
    let other_vm = TestGateway::spawn().await;
    let other = Leaf::spawn("other", 1, LeafBehaviour::Answer).await;
    publish_service(&other_vm, "/a/", true, 1, &[refusing.clone(), other]);
    let now_us = cloverrack::clock::boot_us();
    other_vm.engine.apply_reports(&reports, now_us);
    for _ in 0..PROBES {
        assert_eq!(other_vm.get("/a/x").await.status, StatusCode::OK);
    }
    assert_eq!(refusing.received(), 1);
    apply_change(&other_vm, Change::LeafRemoved("other".into()), 2);
    assert_eq!(other_vm.get("/a/x").await.status, StatusCode::OK);
    assert_eq!(refusing.received(), 2);
}

/// Guards against a named time that outlasts the process which named it, and against answers without
/// a refusal, or with an unreadable time, that count as one.
#[tokio::test]
async fn only_refusals_of_the_process_count() {
    let test_gateway = TestGateway::spawn().await;
    let leaf = Leaf::spawn("leaf", 1, LeafBehaviour::RetryAfter("60")).await;
    publish_service(&test_gateway, "/a/", true, 1, std::slice::from_ref(&leaf));
    test_gateway.get("/a/x").await;
    leaf.set(LeafBehaviour::RetryAfter("later"));
    let successor = LeafRecord {
        started_unix_ms: 2,
        ..leaf.record("s")
    };
    apply_change(&test_gateway, Change::Leaf(successor), 2);
    for received in 2..5 {
        let reply = test_gateway
            .send_from([127, 0, 0, 1], request("/a/x"))
            .await;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(leaf.received(), received);
    }
}
