//! Replies of leaves that have no end or are too large: what memory they take, and what callers get.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverrack::gateway::{CallError, Connection, Reply, ReplyMemory};
use futures_util::future::join_all;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Limit for an exchange with a peer whose reply has no end.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(20);

/// Starts a peer that answers each request with a beginning and then a text without end.
async fn endless_peer(beginning: &'static str, repeated: &'static str) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4_096];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        let chunk = repeated.repeat(32 * 1_024 / repeated.len());
        let mut written = stream.write_all(beginning.as_bytes()).await;
        while written.is_ok() {
            written = stream.write_all(chunk.as_bytes()).await;
        }
    });
    Connection::open(address).await.unwrap()
}

/// Starts a peer that answers with a body of `length` bytes.
async fn peer(length: usize) -> Connection {
    peer_that_sends(length, length).await
}

/// Starts a peer that answers with `sent` bytes of a body of `length`, and keeps the connection open.
async fn peer_that_sends(sent: usize, length: usize) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4_096];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        // Fails if the receiver gives up.
        stream.write_all(&vec![b'x'; sent]).await.ok();
        std::future::pending::<()>().await;
    });
    Connection::open(address).await.unwrap()
}

async fn exchange(
    mut connection: Connection,
    memory: &Arc<ReplyMemory>,
) -> Result<Reply, CallError> {
    let request = Request::get("/").header("host", "desk.example");
    let request = request.body(Full::new(Bytes::new())).unwrap();
    let exchanged = timeout(
        EXCHANGE_LIMIT,
        connection.exchange_within(request, memory, |_, _| {}),
    );
    exchanged.await.expect("the exchange ends")
}

/// Guards against bodies, chunks, heads, interim responses, trailers and chunk extensions without end.
#[tokio::test]
async fn replies_without_end_fail() {
    for (beginning, repeated) in [
        ("HTTP/1.1 200 OK\r\n\r\n", "bytes "),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "1\r\nx\r\n",
        ),
        ("HTTP/1.1 200 OK\r\n", "name: value\r\n"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            "name: value\r\n",
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
            "extension;",
        ),
    ] {
        let memory = Arc::new(ReplyMemory::new(1_000_000));
        let connection = endless_peer(beginning, repeated).await;
        let error = exchange(connection, &memory).await.unwrap_err();
        let is_known = matches!(error, CallError::ReplyTooLarge | CallError::Broken);
        assert!(is_known, "{repeated:?}: {error}");
        assert!(!error.has_not_run());
        assert_eq!(memory.available_bytes(), 1_000_000, "{repeated:?}");
    }
}

/// Guards against memory that grows with the number of large replies, and failing small ones.
#[tokio::test]
async fn large_replies_share_the_memory() {
    let memory = Arc::new(ReplyMemory::new(1_000_000));
    let mut exchanges = Vec::new();
    for _ in 0..40 {
        exchanges.push(exchange(peer(600_000).await, &memory));
    }
    let replies: Vec<Reply> = join_all(exchanges)
        .await
        .into_iter()
        .filter_map(Result::ok)
        .collect();
    assert_eq!(replies.len(), 1, "one fits at a time");
    assert_eq!(replies[0].body.len(), 600_000);
    assert!(memory.available_bytes() < 500_000, "{memory:?}");
    let small = exchange(peer(10_000).await, &memory).await.unwrap();
    assert_eq!(small.body.len(), 10_000);
    drop(replies);
    assert_eq!(memory.available_bytes(), 1_000_000);
    let large = exchange(peer(600_000).await, &memory).await.unwrap();
    assert_eq!(large.body.len(), 600_000);
}

/// Guards against memory that grows with the number of replies that leaves begin and never complete,
/// and against small replies that find no memory beside them.
#[tokio::test]
async fn incomplete_replies_share_the_memory() {
    const MEMORY_BYTES: usize = 1_000_000;
    const SENT_BYTES: usize = 60_000;
    const PEERS: usize = 100;
    let memory = Arc::new(ReplyMemory::new(MEMORY_BYTES));
    let mut exchanges = JoinSet::new();
    for _ in 0..PEERS {
        let memory = Arc::clone(&memory);
        let connection = peer_that_sends(SENT_BYTES, SENT_BYTES + 1).await;
        exchanges.spawn(async move { exchange(connection, &memory).await });
    }
    for _ in MEMORY_BYTES / SENT_BYTES..PEERS {
        let refused = timeout(EXCHANGE_LIMIT / 2, exchanges.join_next()).await;
        let refused = refused.expect("a reply without memory fails").unwrap();
        assert_eq!(refused.unwrap().unwrap_err(), CallError::NoReplyMemory);
    }
    for length in [1_000, 6_000] {
        let small = exchange(peer(length).await, &memory).await.unwrap();
        assert_eq!(small.body.len(), length);
    }
    exchanges.shutdown().await;
    let reply = exchange(peer(SENT_BYTES).await, &memory).await.unwrap();
    assert_eq!(reply.body.len(), SENT_BYTES);
}
