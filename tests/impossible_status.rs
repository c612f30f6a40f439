//! Replies whose status is none that a response can have: they are failures, and nothing in them is
//! believed.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/raw_leaf.rs"]
mod raw_leaf;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverrack::clock::{boot_ms, boot_us, unix_ms};
use cloverrack::gateway::{Change, LeafRecord};
use cloverrack::leaf::{LeafConnection, LeafRequest};
use cloverrack::peer_client::{PeerCallError, PeerClient};
use cloverrack::wire::LeafResult;
use cloverrack::{CallId, Incarnation, Snapshot};
use gateway::{TestGateway, apply_change, gather_route, single_route};
use raw_leaf::{Action, RawLeaf, Script, send_raw};
use tokio::net::TcpListener;

const STATUSES: [&str; 8] = ["000", "099", "20", "2000", "-01", "101", "600", "999"];

/// Statuses that HTTP/2 libraries let a server send.
const HTTP2_STATUSES: [u16; 2] = [600, 999];

/// Header lines of the replies. Each would be believed in a reply with another status.
const LINES: [&str; 5] = [
    "",
    "x-signature: s\r\n",
    "x-not-run: 1\r\nretry-after: 60\r\n",
    "x-signature: s\r\nx-leaving: 1\r\n",
    "x-signature: s\r\nx-rate-limit: 0.001\r\n",
];

/// Time after which a caller leaves, before a late reply.
const PATIENCE: Duration = Duration::from_millis(10);

/// Starts a leaf in a failure domain that replies with a status and header lines after a delay.
async fn spawn_leaf(
    domain: &str,
    status: &'static str,
    lines: &'static str,
    delay_ms: u64,
) -> (RawLeaf, LeafRecord) {
    let script: Script = Arc::new(move |request| {
        let id = &request.id;
        let reply = format!(
            "HTTP/1.1 {status} Odd\r\nx-request: {id}\r\n{lines}content-length: 16\r\n\r\naaaaaaaaaaaaaaaa"
        );
        vec![Action::WaitMs(delay_ms), Action::Send(reply.into())]
    });
    let leaf = RawLeaf::spawn(false, script).await;
    let record = LeafRecord {
        failure_domain: domain.into(),
        ..leaf.record(domain, "s")
    };
    (leaf, record)
}

async fn spawn_gateway(leaf: LeafRecord) -> TestGateway {
    let test_gateway = TestGateway::spawn().await;
    let routes = vec![
        single_route("/a/", "s", true, 2),
        single_route("/o/", "s", false, 2),
        gather_route("/g/", &["s"], 1_000_000),
    ];
    test_gateway.publish(1, routes, &[]);
    apply_change(&test_gateway, Change::Leaf(leaf), 2);
    test_gateway
}

/// Checks that no leaf counts as leaving, refusing or limited.
fn assert_nothing_believed(test_gateway: &TestGateway, case: &str) {
    for (_, leaf) in test_gateway.engine.state().leaves.iter() {
        assert!(!leaf.is_leaving, "{case}");
        assert_eq!(leaf.retry_after.until_us(), 0, "{case}");
        assert!(leaf.rate_limit.is_none(), "{case}");
    }
}

/// Guards against a reply with an impossible status that reaches the caller, that is believed, or that does
/// not count against the leaf.
#[tokio::test]
async fn replies_with_an_impossible_status_are_failures() {
    for (status, lines) in STATUSES
        .iter()
        .flat_map(|s| LINES.iter().map(move |l| (*s, *l)))
    {
        let case = format!("{status} {lines:?}");
        let (leaf, record) = spawn_leaf("a", status, lines, 0).await;
        let test_gateway = spawn_gateway(record).await;
        for path in ["/o/x", "/a/x", "/g/x"] {
            let response = send_raw(test_gateway.address, "GET", path, "first", b"").await;
            assert_eq!(response.status, 502, "{case} {path}");
            assert!(response.body.is_empty(), "{case} {path}");
        }
        assert_nothing_believed(&test_gateway, &case);
        let (_other, record) = spawn_leaf("b", "200", "x-signature: s\r\n", 0).await;
        apply_change(&test_gateway, Change::Leaf(record), 3);
        let service = {
            let state = &mut *test_gateway.engine.state();
            let mut leaves = state.leaves.iter().map(|(_, leaf)| &leaf.leaf_stats);
            assert!(leaves.any(|leaf| leaf.is_failing(boot_us())), "{case}");
            drop(leaves);
            // Without its failures, the leaf in the VM's own domain is chosen again.
            state.leaves.forget_failures();
            state.names.intern("s")
        };
        for _ in 0..30 {
            test_gateway.engine.earn_retries(&[service]);
        }
        let before = leaf.requests.lock().unwrap().len();
        let response = send_raw(test_gateway.address, "GET", "/a/x", "second", b"").await;
        assert_eq!(response.status, 200, "{case}");
        let received = leaf.requests.lock().unwrap().len() - before;
        assert_eq!(received, 1, "{case}: the other leaf answered a retry");
    }
}

/// Guards against believing a reply with an impossible status that arrives after its call was given up.
#[tokio::test]
async fn late_replies_with_an_impossible_status_say_nothing() {
    for status in STATUSES {
        let (_leaf, record) = spawn_leaf("a", status, "x-leaving: 1\r\n", 20).await;
        let test_gateway = spawn_gateway(record).await;
        let sent = send_raw(test_gateway.address, "GET", "/a/x", "first", b"");
        assert!(tokio::time::timeout(PATIENCE, sent).await.is_err());
        tokio::time::sleep(Duration::from_millis(40)).await;
        assert_nothing_believed(&test_gateway, status);
    }
}

/// Guards against leaves whose status checks fail by an impossible status, and that are taken for a loss of the
/// VM's links: their failures would be forgotten.
#[tokio::test]
async fn replies_with_an_impossible_status_are_no_loss_of_links() {
    for status in STATUSES {
        // Status checks carry no ID of a request.
        let script: Script = Arc::new(move |request| {
            let reply = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 0\r\n\r\n");
            match &*request.id {
                "" => vec![Action::Send(reply.into())],
                _ => vec![Action::Close],
            }
        });
        let leaf = RawLeaf::spawn(false, Arc::clone(&script)).await;
        let test_gateway = spawn_gateway(leaf.record("one", "s")).await;
        for (revision, id) in [(3, "two"), (4, "three")] {
            let leaf = RawLeaf::spawn(false, Arc::clone(&script)).await;
            apply_change(&test_gateway, Change::Leaf(leaf.record(id, "s")), revision);
        }
        for _ in 0..3 {
            send_raw(test_gateway.address, "GET", "/a/x", "first", b"").await;
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
        test_gateway.engine.check_links_if_due().await;
        let metrics = String::from_utf8(test_gateway.engine.metrics.text().unwrap()).unwrap();
        assert!(metrics.contains("link_checks_total{answered=\"true\""));
        assert!(
            !test_gateway.engine.state().link_monitor.is_lost(),
            "{status}"
        );
    }
}

/// Starts an HTTP/2 server that responds to each request with a status, a refusal and a valid body.
async fn spawn_http2(status: u16) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = h2::server::handshake(stream).await.unwrap();
            tokio::spawn(async move {
                while let Some(Ok((_, mut respond))) = connection.accept().await {
                    let head = http::Response::builder().status(status);
                    let head = head.header("x-not-started", "shed").body(()).unwrap();
                    let mut stream = respond.send_response(head, false).unwrap();
                    let body = Bytes::from_static(br#"{"draining":false,"snapshots":[]}"#);
                    stream.send_data(body, true).unwrap();
                }
            });
        }
    });
    address
}

/// Guards against a target whose response with an impossible status counts as a refusal or as its status:
/// it may have run the call.
#[tokio::test]
async fn responses_of_targets_with_an_impossible_status_are_failures() {
    for status in HTTP2_STATUSES {
        let address = spawn_http2(status).await;
        let connection = LeafConnection::new(address).open(10).await.unwrap();
        let request = LeafRequest {
            call: CallId {
                incarnation: Incarnation::new(1, 1),
                sequence: 1,
            },
            service: "f/s".into(),
            member: "m".into(),
            request_id: "r".into(),
            shard: 0,
            snapshot: Snapshot {
                version: 1,
                layout: 1,
            },
            deadline_unix_ms: unix_ms() + 1_000,
            deadline_ms: boot_ms() + 1_000,
            fingerprint: 0,
            payload: Bytes::new(),
        };
        assert_eq!(connection.execute(&request).await, LeafResult::Failed);
        assert!(connection.status().await.is_err(), "{status}");
    }
}

/// Guards against taking a peer's response with an impossible status for one that says that the message has
/// not been handled.
#[tokio::test]
async fn responses_of_peers_with_an_impossible_status_are_no_rejections() {
    for status in HTTP2_STATUSES {
        let peer = spawn_http2(status).await;
        let client = PeerClient::new(Incarnation::new(1, 1), "127.0.0.1:1".parse().unwrap());
        let result = client.call::<u8, u8>(peer, "/documents", &1).await;
        assert_eq!(result, Err(PeerCallError::Interrupted { peer }));
    }
}
