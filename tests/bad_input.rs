//! Invalid input of callers and targets: each request gets a typed refusal, memory stays bounded,
//! and other requests are unaffected.

#![expect(clippy::unwrap_used, reason = "a failed exchange fails the test")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use cloverrack::answer::{Answer, CallerRequest};
use cloverrack::{Outcome, Reason};
use http::StatusCode;
use serde_json::{Value, json};
use support::{Cluster, ClusterSpec, eventually, exchange, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Longest wait for the daemon to close a connection; its own limit is 5 s.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(20);

async fn assert_serves(cluster: &Cluster, id: &str) {
    let answer = cluster.query(0, &request(id)).await.unwrap();
    assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
}

/// Starts a cluster whose service accepts payloads of 1 MiB.
async fn start_with_large_payloads() -> Cluster {
    let mut cluster = Cluster::prepare(ClusterSpec::default()).await;
    let config = cluster.config("max_payload_bytes = 1048576");
    cluster.platform.put("cloverrack/config/test", config);
    for vm in 0..cluster.spec.vms {
        cluster.spawn(vm);
    }
    cluster.wait_until_covered().await;
    cluster
}

fn body_with(key: &str, value: Value) -> Vec<u8> {
    let mut content = serde_json::to_value(request("bad")).unwrap();
    content[key] = value;
    serde_json::to_vec(&content).unwrap()
}

fn body_without(key: &str) -> Vec<u8> {
    let mut content = serde_json::to_value(request("bad")).unwrap();
    content.as_object_mut().unwrap().remove(key);
    serde_json::to_vec(&content).unwrap()
}

/// Guards against invalid requests that are executed or refused without a reason: malformed JSON,
/// unknown, missing or out-of-range fields, unknown services and oversized bodies.
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_typed_refusals() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let bad = StatusCode::BAD_REQUEST;
    let large = StatusCode::PAYLOAD_TOO_LARGE;
    let cases = [
        (b"{\"service\":".to_vec(), bad, Reason::BadRequest),
        (b"\xff\xfe\x00".to_vec(), bad, Reason::BadRequest),
        (vec![b'['; 1_000_000], bad, Reason::BadRequest),
        (body_with("unknown", json!(1)), bad, Reason::BadRequest),
        (body_with("member", json!("")), bad, Reason::BadRequest),
        (
            body_with("request_id", json!("a\r\nb")),
            bad,
            Reason::BadRequest,
        ),
        (
            body_with("request_id", json!("x".repeat(200))),
            bad,
            Reason::BadRequest,
        ),
        (body_without("deadline_ms"), bad, Reason::BadRequest),
        (body_with("deadline_ms", json!(-1)), bad, Reason::BadRequest),
        (body_with("deadline_ms", json!(0)), bad, Reason::BadDeadline),
        (
            body_with("deadline_ms", json!(u64::MAX)),
            bad,
            Reason::BadDeadline,
        ),
        (
            body_with("service", json!("no/such")),
            StatusCode::NOT_FOUND,
            Reason::UnknownService,
        ),
        (
            body_with("payload", json!("x".repeat(1_500_000))),
            large,
            Reason::TooLarge,
        ),
        (vec![b' '; 3_000_000], large, Reason::TooLarge),
    ];
    for (body, status, reason) in cases {
        let start = String::from_utf8_lossy(&body[..body.len().min(60)]).into_owned();
        let (got, body) = exchange(cluster.daemons[0].caller_address, "POST", "/v1/query", body)
            .await
            .unwrap();
        let answer: Answer = serde_json::from_slice(&body).unwrap();
        let expected = (status, Outcome::NotRun, Some(reason));
        assert_eq!((got, answer.outcome, answer.reason), expected, "{start}");
    }
    assert_eq!(cluster.executions_of("bad"), 0);
    assert_serves(&cluster, "after-bad-requests").await;
}

/// Guards against a second request that is executed under an ID in flight, or that fails the first
/// request with this ID.
#[tokio::test(flavor = "multi_thread")]
async fn a_duplicate_id_in_flight_is_refused() {
    let mut spec = ClusterSpec::default();
    spec.leaf.service_us = 300_000;
    let cluster = Cluster::start(spec).await;
    let first = request("duplicate");
    let (first, second) = tokio::join!(cluster.query(0, &first), async {
        eventually("the first request is running", async || {
            cluster.executions_of("duplicate") > 0
        })
        .await;
        cluster.query(0, &request("duplicate")).await
    });
    assert_eq!(first.unwrap().outcome, Outcome::Complete);
    let second = second.unwrap();
    let expected = (Outcome::NotRun, Some(Reason::DuplicateRequestId));
    assert_eq!((second.outcome, second.reason), expected);
}

/// Sends raw bytes and returns the bytes received until the peer closed the connection.
async fn exchange_raw(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let ended = tokio::time::timeout(DISCONNECT_TIMEOUT, reading).await;
    assert!(ended.is_ok(), "the daemon did not close the connection");
    answer
}

/// Guards against malformed HTTP, oversized headers and garbage HTTP/2 frames that are served, or
/// buffered without a limit.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_http_ends_the_connection() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    for to in [
        cluster.daemons[0].caller_address,
        cluster.daemons[0].operator_address,
    ] {
        let answer = exchange_raw(to, b"\x00\x01\x02 garbage\r\n\r\n").await;
        assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 400"));
        let mut headers = b"GET /v1/entries HTTP/1.1\r\nhost: a\r\n".to_vec();
        for number in 0..5_000 {
            headers.extend(format!("x-{number}: {}\r\n", "y".repeat(200)).bytes());
        }
        headers.extend(b"\r\n");
        let answer = exchange_raw(to, &headers).await;
        assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 431"));
        let mut frames = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
        frames.extend([0xff; 64]);
        exchange_raw(to, &frames).await;
    }
    assert_serves(&cluster, "after-malformed-http").await;
}

/// Sends one byte every 500 ms until the connection is closed; returns the time until then.
async fn send_slowly(to: SocketAddr, start: &[u8], byte: u8) -> Duration {
    let start_time = std::time::Instant::now();
    let stream = TcpStream::connect(to).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    writer.write_all(start).await.unwrap();
    let send_task = tokio::spawn(async move {
        while writer.write_all(&[byte]).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    });
    let mut answer = Vec::new();
    let reading = reader.read_to_end(&mut answer);
    let ended = tokio::time::timeout(DISCONNECT_TIMEOUT, reading).await;
    send_task.abort();
    assert!(
        ended.is_ok(),
        "the connection of {:?} was not closed",
        String::from_utf8_lossy(start)
    );
    start_time.elapsed()
}

/// Guards against slow senders that occupy a connection without end: they send a header or a body
/// one byte at a time, or stop within the HTTP/2 preface.
#[tokio::test(flavor = "multi_thread")]
async fn slow_senders_are_cut_off() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let to = cluster.daemons[0].caller_address;
    let body = b"POST /v1/query HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        content-length: 1000\r\n\r\n";
    let silent = async {
        let mut stream = TcpStream::connect(to).await.unwrap();
        stream.write_all(b"PRI * HT").await.unwrap();
        let mut rest = Vec::new();
        tokio::time::timeout(DISCONNECT_TIMEOUT, stream.read_to_end(&mut rest)).await
    };
    let (_, _, silent) = tokio::join!(
        send_slowly(to, b"GET /v1/entries HTTP/1.1\r\nx-slow: ", b'a'),
        send_slowly(to, body, b' '),
        silent,
    );
    assert!(
        silent.is_ok(),
        "a connection with a partial preface was not closed"
    );
    assert_serves(&cluster, "after-slow-senders").await;
}

/// Guards against unbounded buffering of answers for a caller that sends requests and does not read
/// from its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_is_cut_off() {
    let cluster = start_with_large_payloads().await;
    let to = cluster.daemons[0].caller_address;
    let mut large = request("large");
    large.payload = "x".repeat(900_000).into();
    let answer = cluster.query(0, &large).await.unwrap();
    let answer_bytes: usize = answer.results.iter().map(|result| result.body.len()).sum();
    assert!(answer_bytes > 2_700_000, "{answer_bytes} bytes");
    let body = serde_json::to_vec(&large).unwrap();
    let head = format!(
        "POST /v1/query HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let stream = socket.connect(to).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    // Each answer has 2.7 MB; the kernel's socket buffers take a few MB of them.
    let requests = 8;
    let sending = tokio::spawn(async move {
        for _ in 0..requests {
            if writer.write_all(head.as_bytes()).await.is_err() {
                return;
            }
            if writer.write_all(&body).await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    });
    tokio::time::sleep(Duration::from_secs(8)).await;
    let mut received = Vec::new();
    let reading = reader.read_to_end(&mut received);
    let ended = tokio::time::timeout(DISCONNECT_TIMEOUT, reading).await;
    sending.abort();
    assert!(ended.is_ok(), "the daemon did not close the connection");
    let received = received.len();
    assert!(received < requests * 2_700_000, "{received} bytes");
    assert_serves(&cluster, "after-slow-reader").await;
}

/// Guards against a leaf answer over the size limit that is buffered, or that fails concurrent
/// requests on the same connections.
#[tokio::test(flavor = "multi_thread")]
async fn too_large_answers_of_leaves_fail_alone() {
    let cluster = start_with_large_payloads().await;
    // The leaf adds its shard and snapshot to the payload, so that its answer exceeds 1 MiB.
    let payload = "x".repeat(1_048_576);
    let sent = CallerRequest {
        payload: payload.into(),
        ..request("too-large")
    };
    let concurrent = request("beside");
    let (answer, concurrent) = tokio::join!(cluster.query(0, &sent), cluster.query(0, &concurrent));
    let answer = answer.unwrap();
    assert_eq!(answer.outcome, Outcome::Unknown, "{:?}", answer.reason);
    assert_eq!(answer.reason, Some(Reason::Failed));
    assert_eq!(concurrent.unwrap().outcome, Outcome::Complete);
    assert_serves(&cluster, "after-too-large").await;
}
