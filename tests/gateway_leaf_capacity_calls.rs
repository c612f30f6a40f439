//! What calls of a gateway show of the leaves' capacity, and what it tells other VMs of it.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cloverrack::clock::boot_us;
use cloverrack::gateway::{Engine, leaf_reports};
use cloverrack::wire::encode;
use futures_util::future::join_all;
use gateway::{Leaf, LeafBehaviour, TestGateway, publish_service};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Time within which a datagram arrives on a busy machine.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(2);

/// Returns the pace of a leaf, if there is evidence.
fn pace(engine: &Engine, leaf: &Leaf) -> Option<f64> {
    let state = engine.state();
    let mut leaves = state.leaves.iter();
    let (key, _) = leaves.find(|(_, entry)| entry.address() == leaf.address)?;
    Some(state.leaves.pace_and_knee(key, boot_us())?.0)
}

async fn send_requests(test_gateway: &TestGateway) {
    for _ in 0..12 {
        join_all((0..8).map(|_| test_gateway.get("/a/x"))).await;
    }
}

/// Guards against calls whose ends are not observed, reports that don't reach the other VMs over their
/// socket, and VMs that observe, send or apply anything without the setting.
#[tokio::test]
async fn calls_show_slow_leaves_to_all_vms_with_the_setting() {
    let fast = Leaf::spawn("fast", 1, LeafBehaviour::Slow(5)).await;
    let slow = Leaf::spawn("slow", 2, LeafBehaviour::Slow(40)).await;
    let leaves = [fast, slow];
    let [calling, listening, disabled] = [
        TestGateway::spawn().await,
        TestGateway::spawn().await,
        TestGateway::spawn().await,
    ];
    for test_gateway in [&calling, &listening, &disabled] {
        publish_service(test_gateway, "/a/", true, 2, &leaves);
    }
    for test_gateway in [&calling, &listening] {
        test_gateway
            .engine
            .estimate_leaf_capacity(test_gateway.address);
    }
    send_requests(&calling).await;
    send_requests(&disabled).await;
    let [fast, slow] = &leaves;
    let slowness = |engine: &Engine| Some(pace(engine, slow)? / pace(engine, fast)?);
    let own = slowness(&calling.engine).unwrap();
    assert!(own > 2.0, "the slow leaf takes {own} times as long");
    assert!(disabled.engine.capacity_datagrams(6).is_empty());
    let datagrams = calling.engine.capacity_datagrams(6);
    assert!(!datagrams.is_empty());
    let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for test_gateway in [&listening, &disabled] {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let to = socket.local_addr().unwrap();
        let engine = Arc::clone(&test_gateway.engine);
        tokio::spawn(leaf_reports::receive(socket, engine));
        for datagram in &datagrams {
            sender
                .send_to(&encode(datagram).unwrap(), to)
                .await
                .unwrap();
        }
    }
    let sent = Instant::now();
    while slowness(&listening.engine).is_none() && sent.elapsed() < ARRIVAL_LIMIT {
        sleep(Duration::from_millis(10)).await;
    }
    let reported = slowness(&listening.engine).unwrap();
    assert!(
        reported > 2.0,
        "the slow leaf is reported to take {reported} times as long"
    );
    assert_eq!(slowness(&disabled.engine), None);
}
