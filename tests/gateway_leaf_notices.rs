//! What leaves say of themselves in their answers, and how VMs use and share it.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::net::SocketAddr;
use std::time::Duration;

use cloverrack::fact::LeafDeparture;
use cloverrack::gateway::{CallError, Change, LeafRecord};
use gateway::{
    Leaf, LeafBehaviour, TestGateway, apply_change, call_spec, gather_route, open_call,
    publish_service, single_route,
};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Requests by which a test finds out whether a leaf is still used.
const PROBES: usize = 12;

/// Returns a gateway with one service, of a leaf that behaves as given and a healthy one, after the
/// first has said that it leaves and the VM has received this.
async fn gateway_with_leaving(behaviour: LeafBehaviour) -> (TestGateway, [Leaf; 2]) {
    let test_gateway = TestGateway::spawn().await;
    let leaving = Leaf::spawn("leaving", 1, behaviour).await;
    leaving.announce_end();
    publish_service(
        &test_gateway,
        "/a/",
        true,
        2,
        std::slice::from_ref(&leaving),
    );
    test_gateway.get("/a/x").await;
    assert_eq!(leaving.received(), 1);
    let healthy = Leaf::spawn("healthy", 2, LeafBehaviour::Answer).await;
    apply_change(&test_gateway, Change::Leaf(healthy.record("s")), 2);
    (test_gateway, [leaving, healthy])
}

/// Guards against requests to a leaf that has said in an answer that it leaves, whatever the answer
/// was worth, while its record says that it is ready.
#[tokio::test]
async fn a_leaf_that_says_that_it_leaves_gets_no_more_requests() {
    for behaviour in [
        LeafBehaviour::Answer,
        LeafBehaviour::Fail,
        LeafBehaviour::Refuse,
        LeafBehaviour::Unsigned,
        LeafBehaviour::WrongRequestId,
    ] {
        let (test_gateway, [leaving, healthy]) = gateway_with_leaving(behaviour).await;
        for warmup_left_ms in 0..PROBES as u64 {
            // The record is written again, still without the announcement.
            let record = LeafRecord {
                warmup_left_ms,
                ..leaving.record("s")
            };
            apply_change(&test_gateway, Change::Leaf(record), 3 + warmup_left_ms);
            let reply = test_gateway.get("/a/x").await;
            assert_eq!(reply.status, StatusCode::OK, "{behaviour:?}");
        }
        assert_eq!(leaving.received(), 1, "{behaviour:?}");
        assert_eq!(healthy.received(), PROBES, "{behaviour:?}");
    }
}

/// Starts a leaf that answers each request with `reply` and closes the connection.
async fn spawn_raw(reply: &'static str) -> (SocketAddr, tokio::task::JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = tokio::spawn(async move {
        let mut received = 0;
        let idle = Duration::from_secs(1);
        while let Ok(Ok((mut stream, _))) = tokio::time::timeout(idle, listener.accept()).await {
            let mut request = [0; 4_096];
            if stream.read(&mut request).await.unwrap_or(0) == 0 {
                continue;
            }
            received += 1;
            stream.write_all(reply.as_bytes()).await.unwrap();
        }
        received
    });
    (address, serving)
}

/// Guards against ignoring the announcement in an answer that breaks off.
#[tokio::test]
async fn an_answer_that_breaks_off_announces_an_end() {
    let reply =
        "HTTP/1.1 200 OK\r\nx-leaving: 1\r\nx-signature: s\r\ncontent-length: 64\r\n\r\npart";
    let (address, serving) = spawn_raw(reply).await;
    let test_gateway = TestGateway::spawn().await;
    let healthy = Leaf::spawn("healthy", 2, LeafBehaviour::Answer).await;
    publish_service(&test_gateway, "/a/", true, 2, &[]);
    let record = LeafRecord {
        address,
        ..healthy.record("s")
    };
    apply_change(&test_gateway, Change::Leaf(record), 2);
    assert_ne!(test_gateway.get("/a/x").await.status, StatusCode::OK);
    let record = LeafRecord {
        id: "second".into(),
        ..healthy.record("s")
    };
    let second = Leaf::spawn("second", 2, LeafBehaviour::Answer).await;
    let record = LeafRecord {
        address: second.address,
        ..record
    };
    apply_change(&test_gateway, Change::Leaf(record), 3);
    for _ in 0..PROBES {
        assert_eq!(test_gateway.get("/a/x").await.status, StatusCode::OK);
    }
    assert_eq!(serving.await.unwrap(), 1);
}

/// Starts a leaf that answers each request with `reply` once the VM has closed its side of the
/// connection.
async fn spawn_late(reply: &'static str) -> (SocketAddr, tokio::task::JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = tokio::spawn(async move {
        let mut received = 0;
        let idle = Duration::from_secs(1);
        while let Ok(Ok((mut stream, _))) = tokio::time::timeout(idle, listener.accept()).await {
            let mut request = Vec::new();
            stream.read_to_end(&mut request).await.unwrap();
            received += 1;
            stream.write_all(reply.as_bytes()).await.unwrap();
        }
        received
    });
    (address, serving)
}

/// Guards against ignoring what a leaf says of itself in a reply to a call whose caller has left.
#[tokio::test]
async fn a_reply_to_a_call_that_was_given_up_is_respected() {
    for reply in [
        "HTTP/1.1 200 OK\r\nx-leaving: 1\r\nx-signature: s\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nretry-after: 9\r\n\r\n",
    ] {
        let (address, serving) = spawn_late(reply).await;
        let test_gateway = TestGateway::spawn().await;
        let named = Leaf::spawn("leaf", 2, LeafBehaviour::Answer).await;
        publish_service(&test_gateway, "/a/", true, 2, &[]);
        let record = LeafRecord {
            address,
            ..named.record("s")
        };
        apply_change(&test_gateway, Change::Leaf(record), 2);
        let call = test_gateway.get("/a/x");
        let leaves_after = Duration::from_millis(100);
        assert!(tokio::time::timeout(leaves_after, call).await.is_err());
        tokio::time::sleep(leaves_after).await;
        let reply = test_gateway.get("/a/x").await;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(serving.await.unwrap(), 1);
    }
}

/// Guards against taking the announcement of another process at the address for the leaf's own.
#[tokio::test]
async fn another_process_at_the_address_does_not_announce_an_end() {
    let (test_gateway, [leaf, _]) = gateway_with_leaving(LeafBehaviour::Misdirected).await;
    let state = test_gateway.engine.state();
    let (_, called) = state
        .leaves
        .iter()
        .find(|(_, other)| *other.record.id == *leaf.id)
        .unwrap();
    assert!(!called.is_leaving);
}

/// Guards against a call that was assigned to the leaf before the announcement and is sent after it.
#[tokio::test]
async fn a_call_that_was_assigned_is_not_sent_after_the_announcement() {
    let test_gateway = TestGateway::spawn().await;
    let leaf = Leaf::spawn("leaving", 1, LeafBehaviour::Answer).await;
    publish_service(&test_gateway, "/a/", false, 1, std::slice::from_ref(&leaf));
    test_gateway.get("/a/x").await;
    for has_connection in [true, false] {
        let call = open_call(&test_gateway, "s");
        let key = call.leaf;
        if has_connection {
            assert!(call.run(&call_spec()).await.is_ok());
            continue;
        }
        test_gateway.engine.state().leaves.record_leaving(key, 0);
        let result = call.run(&call_spec()).await;
        assert_eq!(result.err(), Some(CallError::Withheld));
    }
    assert_eq!(leaf.received(), 2);
}

/// Guards against giving up work that a leaf runs when it announces its end.
#[tokio::test]
async fn open_calls_at_a_leaf_that_leaves_are_awaited() {
    let test_gateway = TestGateway::spawn().await;
    let leaf = Leaf::spawn("leaving", 1, LeafBehaviour::Slow(300)).await;
    publish_service(&test_gateway, "/a/", false, 1, std::slice::from_ref(&leaf));
    let slow = test_gateway.get("/a/slow");
    let announced = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        leaf.set(LeafBehaviour::Answer);
        leaf.announce_end();
        test_gateway.get("/a/announced").await
    };
    let (slow, announced) = tokio::join!(slow, announced);
    assert_eq!(announced.status, StatusCode::OK);
    assert_eq!(slow.status, StatusCode::OK);
    assert_eq!(leaf.executed(), 2);
    assert_eq!(
        test_gateway.get("/a/later").await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );
}

/// Guards against VMs that learn of the announcement only from the leaf itself, and against taking a
/// new process under the identity or at the address of the leaf for the one that left.
#[tokio::test]
async fn an_announced_end_is_shared_and_concerns_one_process() {
    let (test_gateway, [leaving, healthy]) = gateway_with_leaving(LeafBehaviour::Answer).await;
    let facts = test_gateway.engine.take_evidence();
    assert_eq!(facts.len(), 1, "{facts:?}");
    for is_listed_before in [true, false] {
        let other_vm = TestGateway::spawn().await;
        let routes = vec![
            single_route("/a/", "s", true, 2),
            gather_route("/g/", &["s"], 1_000_000),
        ];
        let leaves = [("s", &leaving), ("s", &healthy)];
        if is_listed_before {
            other_vm.publish(1, routes.clone(), &leaves);
        }
        other_vm.engine.apply_evidence(facts.clone());
        if !is_listed_before {
            other_vm.publish(1, routes, &leaves);
        }
        let before = leaving.received();
        for _ in 0..PROBES {
            assert_eq!(other_vm.get("/a/x").await.status, StatusCode::OK);
            assert_eq!(other_vm.get("/g/x").await.status, StatusCode::OK);
        }
        assert_eq!(leaving.received(), before, "{is_listed_before}");
        let successor = LeafRecord {
            started_unix_ms: 2,
            ..leaving.record("s")
        };
        apply_change(&other_vm, Change::Leaf(successor), 2);
        apply_change(&other_vm, Change::LeafRemoved("healthy".into()), 3);
        assert_eq!(other_vm.get("/a/x").await.status, StatusCode::OK);
        assert_eq!(leaving.received(), before + 1, "the new process is used");
    }
}

/// Guards against VMs that ignore an announced end because their wall clocks differ, or that send it on
/// for ever.
#[test]
fn announced_ends_outlast_wrong_clocks() {
    let now_unix_ms: u64 = 1_800_000_000_000;
    let hour_ms = 3_600_000;
    for (observed_unix_ms, is_expired) in [
        (now_unix_ms - hour_ms, false),
        (now_unix_ms + hour_ms, false),
        (now_unix_ms - 4 * hour_ms, true),
    ] {
        let departure = LeafDeparture {
            process: 7,
            observed_unix_ms,
        };
        assert_eq!(departure.is_expired(now_unix_ms), is_expired);
    }
}
