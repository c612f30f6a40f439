//! Callers of a gateway that don't read their responses, until these take the memory for responses.

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/raw_leaf.rs"]
mod raw_leaf;

use std::sync::Arc;
use std::time::Duration;

use cloverrack::gateway::{Change, Connection};
use gateway::{TestGateway, apply_change, engine, publish_service, request};
use http::StatusCode;
use raw_leaf::{Action, RawLeaf};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Length of a response, above what the buffers of a connection take.
const RESPONSE_BYTES: usize = 12 * 1_048_576;

/// Memory that some of these responses fill, since each counts with a quarter at most.
const MEMORY_BYTES: usize = 4_096;
const FILLING_RESPONSES: usize = 4;

/// Guards against requests that run although there is no memory for their responses, which unread ones take, and
/// against refusing requests for longer than callers may leave responses unread.
#[tokio::test]
async fn requests_are_refused_on_arrival_while_unread_responses_take_the_memory() {
    let memory = Arc::try_unwrap(engine()).unwrap();
    let memory = memory
        .with_memory(1_024 * 1_048_576)
        .with_response_memory(MEMORY_BYTES);
    let gateway = TestGateway::serve(Arc::new(memory)).await;
    let script = |request: &raw_leaf::RawRequest| {
        let head = "HTTP/1.1 200 OK\r\nx-signature: s\r\n";
        let (id, length) = (&request.id, RESPONSE_BYTES);
        let head = format!("{head}x-request: {id}\r\ncontent-length: {length}\r\n\r\n");
        vec![Action::Send(
            [head.into_bytes(), vec![b'x'; RESPONSE_BYTES]].concat(),
        )]
    };
    let leaf = RawLeaf::spawn(false, Arc::new(script)).await;
    publish_service(&gateway, "/a/", true, 1, &[]);
    apply_change(&gateway, Change::Leaf(leaf.record("raw", "s")), 2);
    let send = async || {
        let mut connection = Connection::open(gateway.address).await.unwrap();
        connection.exchange(request("/a/x")).await.unwrap()
    };
    let mut unread = Vec::new();
    for index in 0..FILLING_RESPONSES {
        let mut stream = TcpStream::connect(gateway.address).await.unwrap();
        let head =
            format!("GET /a/x HTTP/1.1\r\nhost: desk.example\r\nx-request: unread-{index}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        unread.push(stream);
        while gateway.engine.response_memory.count() <= index {
            sleep(Duration::from_millis(10)).await;
        }
    }
    let received = leaf.requests.lock().unwrap().len();
    let refused = send().await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers.contains_key(http::header::RETRY_AFTER));
    assert_eq!(leaf.requests.lock().unwrap().len(), received);
    let freed = async {
        while gateway.engine.response_memory.count() > 0 {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(9), freed).await.unwrap();
    let reply = send().await;
    assert_eq!(
        (reply.status, reply.body.len()),
        (StatusCode::OK, RESPONSE_BYTES)
    );
    let metrics = String::from_utf8(gateway.engine.metrics.text().unwrap()).unwrap();
    assert!(metrics.contains("cloverrack_gateway_cut_off_responses_total{cause=\"stalled\""));
    assert!(metrics.contains("purpose=\"response\""));
}
