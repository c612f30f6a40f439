//! Bodies of requests at leaves that read them slowly, or that can't hold many of them.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/raw_leaf.rs"]
mod raw_leaf;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverrack::gateway::{
    CallError, CallerLimits, Change, ChangeSet, Connection, LeafRecord, Reply, RouteDocument,
    ServiceSpec,
};
use gateway::{Leaf, LeafBehaviour, TestGateway, order, request, single_route};
use http::{Request, StatusCode};
use http_body_util::Full;
use raw_leaf::{Action, RawLeaf};
use tokio::time::{sleep, timeout};

/// Largest body, above what the buffers of a connection take.
const LARGEST_BODY_BYTES: usize = 12 * 1_048_576;

/// Slots of the leaves of the harness.
const SLOTS: usize = 3;

/// Deadline of the requests of this file, with a margin for a loaded machine.
const DEADLINE_LIMIT: Duration = Duration::from_secs(4);

fn publish(gateway: &TestGateway, max_body_bytes: usize, leaves: Vec<LeafRecord>) {
    let document = RouteDocument {
        version: 1,
        routes: vec![
            single_route("/o/", "s", false, 2).into(),
            single_route("/a/", "s", true, 2).into(),
        ],
        services: vec![ServiceSpec {
            name: "s".into(),
            max_connections: 31,
            health_path: gateway::HEALTH_PATH.into(),
        }],
        limits: CallerLimits {
            max_body_bytes: max_body_bytes as u64,
            idle_timeout_ms: 15_000,
        },
    };
    let mut changes = vec![Change::Document(document)];
    changes.extend(leaves.into_iter().map(Change::Leaf));
    let change_set = ChangeSet {
        changes,
        epoch: 0,
        revision: 1,
    };
    gateway.engine.state().catalog.apply(change_set, 0);
    gateway.engine.refresh();
}

fn upload(bytes: usize) -> Request<Full<Bytes>> {
    let mut upload = order("");
    *upload.body_mut() = Full::new(vec![b'x'; bytes].into());
    upload
}

async fn send(gateway: &TestGateway, request: Request<Full<Bytes>>) -> Result<Reply, CallError> {
    let mut connection = Connection::open(gateway.address).await.unwrap();
    connection.exchange(request).await
}

/// Returns whether the memory of request bodies is free again in time.
async fn is_released(gateway: &TestGateway, all_bytes: usize) -> bool {
    let released = async {
        while gateway.engine.body_memory.available_bytes() < all_bytes {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(DEADLINE_LIMIT, released).await.is_ok()
}

/// Guards against bodies that stay in memory beyond their requests because a leaf has answered and does not
/// read them, or reads nothing at all.
#[tokio::test]
async fn a_body_that_a_leaf_does_not_read_is_released() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-signature: s\r\nx-request: ";
    for answers in [true, false] {
        let gateway = TestGateway::spawn().await;
        let all_bytes = gateway.engine.body_memory.available_bytes();
        let script = move |request: &raw_leaf::RawRequest| {
            let answer = format!("{answer}{}\r\n\r\nok", request.id).into_bytes();
            let answer = Action::Send(if answers { answer } else { Vec::new() });
            vec![answer, Action::WaitMs(60_000)]
        };
        let leaf = RawLeaf::spawn(true, Arc::new(script)).await;
        publish(&gateway, LARGEST_BODY_BYTES, vec![leaf.record("raw", "s")]);
        let reply = send(&gateway, upload(LARGEST_BODY_BYTES)).await.unwrap();
        assert_eq!(reply.status == StatusCode::OK, answers, "{}", reply.status);
        assert!(is_released(&gateway, all_bytes).await, "{answers}");
        let state = gateway.engine.state();
        let open: u32 = state.leaves.iter().map(|(_, leaf)| leaf.connections).sum();
        let now_ms = cloverrack::clock::boot_ms();
        assert!(state.leaves.iter().all(|(_, leaf)| !leaf.has_idle(now_ms)));
        assert!(open <= 1, "{open} connections");
        drop(state);
        let metrics = String::from_utf8(gateway.engine.metrics.text().unwrap()).unwrap();
        let is_counted = metrics.contains("cloverrack_gateway_unread_bodies_total");
        assert_eq!(is_counted, answers);
    }
}

/// Guards against a leaf that gets more bytes of bodies at a time than one for each of its slots, and against
/// bodies that keep out small ones.
#[tokio::test]
async fn the_bodies_in_flight_to_a_leaf_are_bounded() {
    const BODY_BYTES: usize = 65_536;
    let gateway = Arc::new(TestGateway::spawn().await);
    let leaf = Leaf::spawn("i-1", 1, LeafBehaviour::Hang).await;
    publish(&gateway, BODY_BYTES, vec![leaf.record("s")]);
    let mut uploads = Vec::new();
    for (count, time_left_ms) in [(SLOTS, "2000"), (3 * SLOTS, "1000")] {
        for _ in 0..count {
            let gateway = Arc::clone(&gateway);
            let mut upload = upload(BODY_BYTES);
            let time_left = time_left_ms.parse().unwrap();
            upload.headers_mut().insert("x-time-left", time_left);
            uploads.push(tokio::spawn(async move { send(&gateway, upload).await }));
        }
        sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(leaf.received(), SLOTS);
    leaf.set(LeafBehaviour::Answer);
    for small in [request("/o/x"), upload(1_000)] {
        assert_eq!(send(&gateway, small).await.unwrap().status, StatusCode::OK);
    }
    let mut refused = 0;
    let mut failed = 0;
    for upload in uploads {
        match upload.await.unwrap().unwrap().status {
            StatusCode::SERVICE_UNAVAILABLE => refused += 1,
            StatusCode::GATEWAY_TIMEOUT => failed += 1,
            status => panic!("{status}"),
        }
    }
    // What found no room until its deadline has not run, and its caller learns so.
    assert_eq!((failed, refused), (SLOTS, 3 * SLOTS));
    let reply = send(&gateway, upload(BODY_BYTES)).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}

/// Guards against waiting for a leaf without room while another replica has room, and against a bound of a
/// large fleet that lets no body of the largest size pass.
#[tokio::test]
async fn bodies_go_to_the_replica_that_has_room() {
    const BODY_BYTES: usize = 65_536;
    const VMS: u32 = 10;
    let gateway = Arc::new(TestGateway::spawn().await);
    let first = Leaf::spawn("i-1", 1, LeafBehaviour::Hang).await;
    let second = Leaf::spawn("i-2", 2, LeafBehaviour::Hang).await;
    publish(
        &gateway,
        BODY_BYTES,
        vec![first.record("s"), second.record("s")],
    );
    gateway.engine.set_vms(VMS);
    for _ in 0..2 {
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move { send(&gateway, upload(BODY_BYTES)).await });
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!((first.received(), second.received()), (1, 1));
    let gateway_too = Arc::clone(&gateway);
    tokio::spawn(async move { send(&gateway_too, upload(BODY_BYTES / 2)).await });
    sleep(Duration::from_millis(200)).await;
    assert_eq!(first.received() + second.received(), 2);
}
