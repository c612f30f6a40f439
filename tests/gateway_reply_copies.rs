//! Copies of an answer that a leaf sends late, on a connection that is in use again.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::net::SocketAddr;

use cloverrack::gateway::{Change, LeafRecord};
use gateway::{Leaf, LeafBehaviour, TestGateway, apply_change, publish_service};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Returns an answer without the identifier of the request.
fn answer(signature: &str, record: char) -> String {
    let body = record.to_string().repeat(16);
    format!("HTTP/1.1 200 OK\r\nx-signature: {signature}\r\ncontent-length: 16\r\n\r\n{body}")
}

/// Starts a leaf that sends the given answers on each connection, one for each request.
async fn spawn_leaf(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answers = answers.clone();
            tokio::spawn(async move {
                for answer in answers {
                    let mut request = [0; 4_096];
                    if stream.read(&mut request).await.unwrap_or(0) == 0 {
                        return;
                    }
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

async fn gateway_with(answers: Vec<String>) -> TestGateway {
    let test_gateway = TestGateway::spawn().await;
    let template = Leaf::spawn("leaf", 1, LeafBehaviour::Answer).await;
    publish_service(&test_gateway, "/a/", true, 1, &[]);
    let record = LeafRecord {
        address: spawn_leaf(answers).await,
        ..template.record("s")
    };
    apply_change(&test_gateway, Change::Leaf(record), 2);
    test_gateway
}

/// Guards against a second copy of an answer that reaches the caller of the next request, if the leaf
/// does not name the request in its answers.
#[tokio::test]
async fn a_late_copy_does_not_reach_the_next_caller() {
    let copies = vec![answer("run-1", 'a'), answer("run-1", 'a')];
    let test_gateway = gateway_with(copies).await;
    let first = test_gateway.get("/a/1").await;
    assert_eq!(first.status, StatusCode::OK);
    let second = test_gateway.get("/a/2").await;
    assert_eq!(second.status, StatusCode::BAD_GATEWAY, "{second:?}");
    assert!(second.body.is_empty());
    let third = test_gateway.get("/a/3").await;
    assert_eq!(third.status, StatusCode::OK, "on a new connection");
}

/// Guards against taking the answer to another run for a copy because its body is the same.
#[tokio::test]
async fn answers_with_equal_bodies_are_no_copies() {
    let answers = vec![
        answer("run-1", 'a'),
        answer("run-2", 'a'),
        answer("run-1", 'a'),
    ];
    let test_gateway = gateway_with(answers).await;
    for _ in 0..3 {
        assert_eq!(test_gateway.get("/a/x").await.status, StatusCode::OK);
    }
}

/// Guards against relaying a status by which callers know that a request has not run, in the answer of a
/// leaf that does not say so.
#[tokio::test]
async fn an_answer_does_not_refuse_a_request_that_may_have_run() {
    for status in [408, 429, 503] {
        let own = answer("run-1", 'a').replace("200 OK", &format!("{status} Busy"));
        let test_gateway = gateway_with(vec![own]).await;
        let reply = test_gateway.get("/a/1").await;
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{status}");
        assert!(reply.body.is_empty(), "{status}");
    }
}
