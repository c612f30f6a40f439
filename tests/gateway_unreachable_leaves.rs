//! Leaves whose addresses refuse connections: how soon requests that need them are refused, and how
//! soon the leaves are used again.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::time::{Duration, Instant};

use cloverrack::gateway::Change;
use gateway::{Leaf, LeafBehaviour, TestGateway, apply_change, gather_route, order, single_route};
use http::StatusCode;

/// Time within which a request that can't be served is refused: a quarter of the target latency.
const AT_ONCE: Duration = Duration::from_millis(gateway::TARGET_LATENCY_MS / 4);

/// Time after which an outage counts as known, and within which a leaf that is back is used again.
const KNOWN: Duration = Duration::from_millis(150);

struct Deployment {
    gateway: TestGateway,
    /// Two leaves of service `s`.
    ending: [Leaf; 2],
    other: Leaf,
}

impl Deployment {
    /// Starts a gateway with two services, after the leaves of one have been used and have ended.
    async fn start(min_coverage_ppm: u32) -> Self {
        let gateway = TestGateway::spawn().await;
        let ending = [
            Leaf::spawn("first", 1, LeafBehaviour::Answer).await,
            Leaf::spawn("second", 1, LeafBehaviour::Answer).await,
        ];
        let other = Leaf::spawn("other", 2, LeafBehaviour::Answer).await;
        let routes = vec![
            single_route("/a/", "s", true, 3),
            single_route("/o/", "s", false, 1),
            gather_route("/g/", &["s", "t"], min_coverage_ppm),
        ];
        let leaves = [("s", &ending[0]), ("s", &ending[1]), ("t", &other)];
        gateway.publish(1, routes, &leaves);
        assert_eq!(gateway.get("/g/x").await.status, StatusCode::OK);
        for leaf in &ending {
            leaf.end();
        }
        Self {
            gateway,
            ending,
            other,
        }
    }

    /// Sends a request that finds out about the outage, and waits until it is known.
    async fn find_outage(&self, path: &str) {
        self.gateway.get(path).await;
        tokio::time::sleep(KNOWN).await;
    }
}

/// Guards against requests that wait until their deadline for leaves which refuse connections, and
/// against work at other shards for requests that can't be served.
#[tokio::test]
async fn requests_for_unreachable_leaves_are_refused_at_once() {
    for path in ["/a/x", "/o/order", "/g/x"] {
        let deployment = Deployment::start(1_000_000).await;
        let started = Instant::now();
        deployment.find_outage(path).await;
        let found = started.elapsed();
        assert!(found < 3 * KNOWN, "{path}: {found:?}");
        let before = deployment.other.received();
        for _ in 0..12 {
            let sent = Instant::now();
            let reply = match path {
                "/o/order" => {
                    let sent = deployment.gateway.send_from([127, 0, 0, 1], order("x"));
                    sent.await
                }
                _ => deployment.gateway.get(path).await,
            };
            assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            assert!(reply.headers.contains_key("retry-after"), "{path}");
            assert!(sent.elapsed() < AT_ONCE, "{path}: {:?}", sent.elapsed());
        }
        assert_eq!(deployment.other.received(), before, "{path}");
    }
}

/// Guards against leaves that stay unused after an outage in which no request could try them, and
/// against requests as the means to find out.
#[tokio::test]
async fn leaves_that_are_back_are_used_again() {
    let deployment = Deployment::start(1_000_000).await;
    deployment.find_outage("/a/x").await;
    let [first, second] = &deployment.ending;
    let before = first.received() + second.received();
    tokio::time::sleep(KNOWN).await;
    first.restart();
    tokio::time::sleep(KNOWN).await;
    assert_eq!(first.received() + second.received(), before);
    for path in ["/a/x", "/g/x"] {
        let reply = deployment.gateway.get(path).await;
        assert_eq!(reply.status, StatusCode::OK, "{path}");
    }
}

/// Guards against failing a request for an outage that is shorter than its time.
#[tokio::test]
async fn a_short_outage_is_waited_for() {
    for path in ["/a/x", "/g/x"] {
        let deployment = Deployment::start(1_000_000).await;
        let restarted = async {
            tokio::time::sleep(Duration::from_millis(5)).await;
            for leaf in &deployment.ending {
                leaf.restart();
            }
        };
        let (reply, ()) = tokio::join!(deployment.gateway.get(path), restarted);
        assert_eq!(reply.status, StatusCode::OK, "{path}");
    }
}

/// Guards against waiting for a shard that an answer may leave out.
#[tokio::test]
async fn an_answer_does_not_wait_for_an_unreachable_shard() {
    let deployment = Deployment::start(500_000).await;
    deployment.find_outage("/g/x").await;
    let sent = Instant::now();
    let reply = deployment.gateway.get("/g/x").await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.headers["x-missing"], "1");
    assert!(sent.elapsed() < AT_ONCE, "{:?}", sent.elapsed());
}

/// Guards against calls to other shards for a request that needs a service without leaves.
#[tokio::test]
async fn a_service_without_leaves_is_known_on_arrival() {
    let deployment = Deployment::start(1_000_000).await;
    for (revision, leaf) in (2..).zip(&deployment.ending) {
        let removed = Change::LeafRemoved(leaf.id.as_str().into());
        apply_change(&deployment.gateway, removed, revision);
    }
    let before = deployment.other.received();
    let reply = deployment.gateway.get("/g/x").await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(deployment.other.received(), before);
}

/// Guards against taking a leaf that is only silent, or drops its connections, for one that is gone.
#[tokio::test]
async fn silent_leaves_are_still_called() {
    for behaviour in [LeafBehaviour::Hang, LeafBehaviour::Break] {
        let gateway = TestGateway::spawn().await;
        let leaf = Leaf::spawn("silent", 1, behaviour).await;
        gateway.publish(1, vec![single_route("/a/", "s", true, 2)], &[("s", &leaf)]);
        let given_up = tokio::time::timeout(KNOWN, gateway.get("/a/x")).await;
        drop(given_up);
        tokio::time::sleep(KNOWN).await;
        leaf.set(LeafBehaviour::Answer);
        assert_eq!(
            gateway.get("/a/x").await.status,
            StatusCode::OK,
            "{behaviour:?}"
        );
    }
}
