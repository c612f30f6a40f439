//! Admission by priority in a gateway that serves callers over the network.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::time::{Duration, Instant};

use cloverrack::gateway::{Connection, RouteSpec};
use gateway::{Leaf, LeafBehaviour, TestGateway, gather_route, request, single_route};
use http::StatusCode;
use tokio::time::sleep;

/// Time that each call takes. It is above the target latency of the routes.
const SLOW_MS: u64 = 400;

/// Requests that arrive at once, several times as many as the leaves have slots.
const REQUESTS: usize = 24;

/// Requests that the leaf serves one half after the other: some of them wait.
const CROWD: usize = 6;

/// Starts a gateway with scatter-gather routes of two priorities and a less urgent route to one leaf.
async fn spawn(leaf: &Leaf, target_latency_ms: u64) -> TestGateway {
    let gateway = TestGateway::spawn().await;
    let urgent = RouteSpec {
        priority: 0,
        ..gather_route("/u/", &["shard"], 1_000_000)
    };
    let wide = RouteSpec {
        priority: 1,
        ..gather_route("/w/", &["shard"], 1_000_000)
    };
    let less_urgent = RouteSpec {
        priority: 2,
        target_latency_ms,
        ..single_route("/s/", "single", true, 1)
    };
    let shard = Leaf::spawn("shard-1", 1, LeafBehaviour::Answer).await;
    gateway.publish(
        1,
        vec![urgent, wide, less_urgent],
        &[("shard", &shard), ("single", leaf)],
    );
    gateway
}

/// Sends requests of the less urgent route, each from a task of its own.
fn send_all(gateway: &TestGateway, count: usize) -> Vec<tokio::task::JoinHandle<StatusCode>> {
    let address = gateway.address;
    let send = move |number| async move {
        let mut connection = Connection::open(address).await.unwrap();
        let path = format!("/s/{number}");
        connection.exchange(request(&path)).await.unwrap().status
    };
    (0..count)
        .map(|number| tokio::spawn(send(number)))
        .collect()
}

/// Guards against requests of single-leaf routes that are all sent to leaves which answer too late.
/// Without admission of these routes, the leaf gets every request.
#[tokio::test]
async fn requests_to_late_leaves_are_refused_on_arrival() {
    let leaf = Leaf::spawn("single-1", 2, LeafBehaviour::Slow(SLOW_MS)).await;
    let gateway = spawn(&leaf, 300).await;
    for sent in send_all(&gateway, REQUESTS) {
        sent.await.unwrap();
    }
    let received = leaf.received();
    let started = Instant::now();
    let mut refused = 0;
    for sent in send_all(&gateway, REQUESTS) {
        refused += usize::from(sent.await.unwrap() == StatusCode::SERVICE_UNAVAILABLE);
    }
    println!(
        "{refused} refused, {received} received, {:?}",
        started.elapsed()
    );
    assert!(refused >= REQUESTS / 2, "{refused} of {REQUESTS} refused");
    assert!(refused < REQUESTS, "the level is still served");
    assert_eq!(
        leaf.received(),
        received + REQUESTS - refused,
        "refused ones reached no leaf"
    );
    let reply = gateway.get("/u/x").await;
    assert_eq!(
        reply.status,
        StatusCode::OK,
        "urgent requests have other leaves"
    );
}

/// Guards against a queue that keeps the requests of callers which have left: they would take the places
/// of others, and be sent to leaves for nobody.
#[tokio::test]
async fn a_caller_that_leaves_while_it_waits_gives_up_its_place() {
    let leaf = Leaf::spawn("single-1", 2, LeafBehaviour::Slow(SLOW_MS / 2)).await;
    let gateway = spawn(&leaf, 1_900).await;
    let waiting = || gateway.engine.state().admission.waiting();
    let served = send_all(&gateway, CROWD);
    wait_for(|| leaf.received() + waiting() == CROWD && waiting() > 0).await;
    let before = waiting();
    let leaving = send_all(&gateway, 5);
    wait_for(|| waiting() == before + 5).await;
    for sent in &leaving {
        sent.abort();
    }
    wait_for(|| waiting() == before).await;
    for sent in served {
        assert_eq!(sent.await.unwrap(), StatusCode::OK, "gets the place");
    }
    assert_eq!(leaf.received(), CROWD, "no leaf gets their requests");
    assert_eq!(gateway.get("/s/next").await.status, StatusCode::OK);
}

async fn wait_for(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_millis(300), "timed out");
        sleep(Duration::from_millis(2)).await;
    }
}
