//! Odd numbers in the headers of requests and replies: each request is answered, and the ones after it are
//! not affected.
//!
//! Overflow panics in this build and wraps around in a release build, and either is a fault.

#![expect(
    clippy::unwrap_used,
    reason = "a failure of the test harness fails the test"
)]

#[path = "support/gateway.rs"]
mod gateway;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cloverrack::clock::{boot_ms, boot_us};
use cloverrack::gateway::retry_after::MAX_RETRY_AFTER_MS;
use cloverrack::gateway::{Change, Connection, LeafRecord, Reply};
use gateway::{Leaf, LeafBehaviour, TestGateway, apply_change, request, single_route};
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time within which each request has to be answered; their deadline is 2 s at most.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// Sends a request, which has to be answered in time over an intact connection.
async fn send(gateway: &TestGateway, request: Request<Full<Bytes>>) -> Reply {
    let exchange = async {
        let mut connection = Connection::open(gateway.address).await.unwrap();
        connection.exchange(request).await.unwrap()
    };
    timeout(ANSWER_LIMIT, exchange).await.unwrap()
}

/// Guards against odd times left in the header of a caller that end the request without an answer, or
/// extend it beyond the timeout of the route.
#[tokio::test]
async fn odd_headers_of_callers_are_answered() {
    let gateway = TestGateway::spawn().await;
    let leaf = Leaf::spawn("one", 1, LeafBehaviour::Answer).await;
    gateway.publish(1, vec![single_route("/a/", "s", true, 2)], &[("s", &leaf)]);
    for value in [
        "",
        "0",
        "1",
        "-1",
        "1.5",
        "1e400",
        "NaN",
        "+5",
        "18446744073709551615",
        "18446744073709551616",
        "18446744073709551",
        "99999999999999999999999",
        "\u{e9}",
    ] {
        let mut odd = request("/a/x");
        let value = http::HeaderValue::from_bytes(value.as_bytes()).unwrap();
        odd.headers_mut().insert("x-time-left", value);
        send(&gateway, odd).await;
    }
    for (length, body) in [
        ("18446744073709551615", ""),
        ("18446744073709551616", ""),
        ("-1", ""),
        ("1e9", ""),
        ("9223372036854775807", "x"),
    ] {
        let mut stream = TcpStream::connect(gateway.address).await.unwrap();
        let text = format!(
            "POST /a/x HTTP/1.1\r\nhost: desk.example\r\nx-request: r\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(text.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut answer = Vec::new();
        let _ = timeout(ANSWER_LIMIT, stream.read_to_end(&mut answer))
            .await
            .unwrap();
    }
    assert_eq!(send(&gateway, request("/a/x")).await.status, StatusCode::OK);
}

/// Reads a request and returns its ID, or `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    while !received.windows(4).any(|end| end == b"\r\n\r\n") {
        if stream.read_buf(&mut received).await.ok()? == 0 {
            return None;
        }
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    let mut lines = text.lines();
    lines.find_map(|line| line.strip_prefix("x-request: ").map(str::to_owned))
}

/// Starts a leaf that answers each request with some header lines.
async fn spawn_leaf_with(lines: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                while let Some(id) = read_request(&mut stream).await {
                    let length = if lines.contains("content-length") {
                        ""
                    } else {
                        "content-length: 0\r\n"
                    };
                    let status = if lines.contains("x-not-run") {
                        503
                    } else {
                        200
                    };
                    let head = format!(
                        "HTTP/1.1 {status} x\r\nx-request: {id}\r\nx-signature: {id}\r\n{lines}\r\n{length}\r\n"
                    );
                    if stream.write_all(head.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against headers of replies whose numbers overflow or can't be held, and that end the request
/// without an answer or affect the next one to another leaf.
#[tokio::test]
async fn odd_headers_of_leaves_are_answered() {
    for lines in [
        "keep-alive: timeout=18446744073709551615",
        "keep-alive: timeout=18446744073709552",
        "keep-alive: timeout=18446744073709551616",
        "keep-alive: timeout=-1",
        "keep-alive: timeout=0",
        "keep-alive: timeout=1e400",
        "keep-alive: timeout=",
        "keep-alive: ,,timeout=9999999999999999,timeout=5",
        "x-rate-limit: 18446744073709551615",
        "x-rate-limit: 1e400",
        "x-rate-limit: -0",
        "x-rate-limit: 1e-400",
        "x-rate-limit: NaN",
        "x-rate-limit: 1e308",
        "x-rate-limit: 0",
        "x-not-run: 1\r\nretry-after: 18446744073709551615",
        "x-not-run: 1\r\nretry-after: 1e400",
        "x-not-run: 1\r\nretry-after: -1",
        "x-not-run: 1\r\nretry-after: NaN",
        "x-not-run: 1\r\nretry-after: 1e-400",
        "content-length: 18446744073709551615",
        "content-length: 18446744073709551616",
        "content-length: -1",
        "content-length: 9223372036854775807",
    ] {
        let gateway = TestGateway::spawn().await;
        let leaf = Leaf::spawn("one", 1, LeafBehaviour::Answer).await;
        let routes = vec![
            single_route("/a/", "s", true, 2),
            single_route("/b/", "t", true, 2),
        ];
        gateway.publish(1, routes, &[("t", &leaf)]);
        let odd = LeafRecord {
            address: spawn_leaf_with(lines).await,
            id: "odd".into(),
            ..leaf.record("s")
        };
        apply_change(&gateway, Change::Leaf(odd), 2);
        for _ in 0..3 {
            send(&gateway, request("/a/x")).await;
        }
        assert_eq!(
            send(&gateway, request("/b/x")).await.status,
            StatusCode::OK,
            "{lines}"
        );
        let state = gateway.engine.state();
        for (_, leaf) in state.leaves.iter() {
            assert!(
                leaf.retry_after.until_us() <= boot_us() + MAX_RETRY_AFTER_MS * 1_000,
                "{lines}"
            );
        }
        drop(state);
    }
}

/// Guards against a keep-alive time that overflows: it would end the use of the connection at once, or
/// never. Connections of a leaf are closed an hour later at the latest.
#[tokio::test]
async fn a_long_keep_alive_time_is_limited() {
    for lines in [
        "keep-alive: timeout=18446744073709551615",
        "keep-alive: timeout=18446744073709552",
        "keep-alive: timeout=307445734561826",
    ] {
        let address = spawn_leaf_with(lines).await;
        let mut connection = Connection::open(address).await.unwrap();
        let reply = connection.exchange(request("/a/x")).await.unwrap();
        let now_ms = boot_ms();
        let idle = connection.into_idle(&reply.headers, now_ms).unwrap();
        assert!(idle.is_usable(now_ms + 1_000), "{lines}");
        assert!(!idle.is_usable(now_ms + 3_600_001), "{lines}");
    }
}
