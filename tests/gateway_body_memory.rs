//! Memory of the request bodies that a VM holds while leaves work on them.

#[path = "support/gateway.rs"]
mod gateway;

use std::sync::Arc;
use std::time::Duration;

use cloverrack::gateway::Connection;
use gateway::{Leaf, LeafBehaviour, TestGateway, engine, order, publish_service};
use http::StatusCode;
use tokio::time::sleep;

/// Memory for two of the bodies of this test.
const MEMORY_BYTES: usize = 2_048;

const LONG_BODY: &str = match std::str::from_utf8(&[b'x'; 900]) {
    Ok(text) => text,
    Err(_) => "",
};

/// Guards against long bodies that exceed the memory of a VM together, and against a refusal of a request
/// that a leaf runs, or for longer than the memory is taken.
#[tokio::test]
async fn a_request_whose_body_finds_no_memory_is_refused_at_once() {
    let memory = Arc::try_unwrap(engine())
        .unwrap()
        .with_body_memory(MEMORY_BYTES);
    let gateway = TestGateway::serve(Arc::new(memory)).await;
    let leaf = Leaf::spawn("i-1", 1, LeafBehaviour::Hang).await;
    publish_service(&gateway, "/o/", false, 1, std::slice::from_ref(&leaf));
    let address = gateway.address;
    let send = || async move {
        let mut connection = Connection::open(address).await.unwrap();
        connection.exchange(order(LONG_BODY)).await
    };
    let held = [tokio::spawn(send()), tokio::spawn(send())];
    while leaf.received() < held.len() {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(gateway.engine.body_memory.available_bytes(), 0);
    let refused = send().await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers.contains_key(http::header::RETRY_AFTER));
    assert_eq!(leaf.received(), held.len());
    for request in held {
        request.abort();
    }
    leaf.set(LeafBehaviour::Answer);
    while gateway.engine.body_memory.available_bytes() < MEMORY_BYTES {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(send().await.unwrap().status, StatusCode::OK);
}
