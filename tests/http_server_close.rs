//! Ends of connections to callers: the response before the end arrives whole.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverrack::http_server::{Handler, HttpResponse, ShutdownSignals, serve};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Size of the response, which exceeds the buffers of the sockets.
const RESPONSE_BYTES: usize = 8 * 1_048_576;

/// What a caller sends behind its request.
const MORE_BYTES: usize = 400_000;

/// HTTP/2 connections to a draining server. Without a delay of the GOAWAY, one request in about 900 failed.
const HTTP2_CONNECTIONS: usize = 4_000;

/// Time after which the connection counts as left open.
const CLOSE_LIMIT: Duration = Duration::from_secs(8);

/// Handler whose responses are large.
struct LargeResponses;

impl Handler for LargeResponses {
    async fn handle(&self, _: Request<Incoming>) -> HttpResponse {
        Response::new(Full::new(Bytes::from(vec![b'x'; RESPONSE_BYTES])))
    }
}

/// Handler whose responses are empty.
struct EmptyResponses;

impl Handler for EmptyResponses {
    async fn handle(&self, _: Request<Incoming>) -> HttpResponse {
        Response::new(Full::default())
    }
}

/// Starts a server that is draining; returns its address.
async fn serve_draining(handler: impl Handler) -> (SocketAddr, ShutdownSignals) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let signals = ShutdownSignals::default();
    signals.draining.cancel();
    tokio::spawn(serve(listener, Arc::new(handler), signals.clone()));
    (address, signals)
}

/// Returns a connection to a server that is draining.
async fn connect_to_draining() -> (TcpStream, ShutdownSignals) {
    let (address, signals) = serve_draining(LargeResponses).await;
    (TcpStream::connect(address).await.unwrap(), signals)
}

/// Guards against a reset that destroys the part of a response which the caller has not received, since
/// it has sent another request behind the one after which the server closes the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_is_whole_although_its_caller_has_sent_more() {
    let (stream, _signals) = connect_to_draining().await;
    let (mut reader, mut writer) = stream.into_split();
    let head = b"GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n";
    let more =
        format!("POST / HTTP/1.1\r\nhost: desk.example\r\ncontent-length: {MORE_BYTES}\r\n\r\n");
    writer.write_all(head).await.unwrap();
    writer.write_all(more.as_bytes()).await.unwrap();
    // The server may close its side before it has read all.
    let sending = tokio::spawn(async move {
        let _ = writer.write_all(&vec![b'y'; MORE_BYTES]).await;
        writer
    });
    sleep(Duration::from_millis(300)).await;
    let mut received = 0;
    let mut buffer = vec![0; 65_536];
    loop {
        let length = reader.read(&mut buffer).await.unwrap();
        if length == 0 {
            break;
        }
        received += length;
        sleep(Duration::from_millis(5)).await;
    }
    assert!(received > RESPONSE_BYTES, "{received} bytes received");
    drop(sending);
}

/// Guards against connections that stay open since their callers do not close them.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_closes_although_its_caller_keeps_it_open() {
    let (mut stream, signals) = connect_to_draining().await;
    let head = b"GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n";
    stream.write_all(head).await.unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.unwrap();
    assert!(response.len() > RESPONSE_BYTES);
    signals.stop.cancel();
    let refused = async {
        while stream.write_all(b"z").await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(CLOSE_LIMIT, refused).await.unwrap();
}

/// Guards against HTTP/2 clients that take a handled request for refused, since the GOAWAY of a draining
/// server arrives while they send it.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_request_of_an_http2_connection_is_answered_while_the_server_drains() {
    let (address, _signals) = serve_draining(EmptyResponses).await;
    for number in 0..HTTP2_CONNECTIONS {
        let stream = TcpStream::connect(address).await.unwrap();
        let builder = http2::Builder::new(TokioExecutor::new());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.unwrap();
        tokio::spawn(connection);
        let request = Request::get(format!("http://{address}/"));
        let request = request.body(Full::<Bytes>::default()).unwrap();
        let response = sender.send_request(request).await;
        assert!(response.is_ok(), "connection {number}: {response:?}");
    }
}

/// Number of connections of a test, each of which is closed too early only by chance.
const CONNECTIONS: usize = 20;

/// Time for which the runtime does not run, so that it finds a request and the end of its time limit
/// together.
const BUSY: Duration = Duration::from_millis(50);

/// Returns connections to a server, on which bytes have been sent.
async fn connect_and_send(signals: &ShutdownSignals, sent: &str) -> Vec<std::net::TcpStream> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, Arc::new(EmptyResponses), signals.clone()));
    let connect = |_| {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        stream.write_all(sent.as_bytes()).unwrap();
        stream
    };
    let streams = (0..CONNECTIONS).map(connect).collect();
    sleep(Duration::from_millis(100)).await;
    streams
}

/// Returns the number of connections on which a response arrives.
async fn count_responses(streams: Vec<std::net::TcpStream>) -> usize {
    let count = move || {
        let mut responses = 0;
        for mut stream in streams {
            let mut start = [0; 12];
            let is_read = stream.read_exact(&mut start).is_ok();
            responses += usize::from(is_read && &start == b"HTTP/1.1 200");
        }
        responses
    };
    tokio::task::spawn_blocking(count).await.unwrap()
}

/// Guards against closing a connection whose first request arrives in two pieces, the second one at the
/// end of its time limit.
#[tokio::test]
async fn a_first_request_in_two_pieces_is_read_before_the_connection_closes() {
    const LIMIT: Duration = Duration::from_millis(250);
    let signals = ShutdownSignals::default();
    signals.draining.cancel();
    let mut streams = connect_and_send(&signals, "GET / HTTP/1.1\r\n").await;
    signals.stop.cancel();
    sleep(LIMIT - BUSY / 2).await;
    for stream in &mut streams {
        stream.write_all(b"host: desk.example\r\n\r\n").unwrap();
    }
    std::thread::sleep(BUSY);
    assert_eq!(count_responses(streams).await, CONNECTIONS);
}

/// Guards against closing an idle connection on which a request has arrived that is not read yet.
#[tokio::test]
async fn a_request_in_the_socket_buffer_is_read_before_the_connection_closes() {
    let head = "GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n";
    let signals = ShutdownSignals::default();
    let mut streams = connect_and_send(&signals, head).await;
    for stream in &mut streams {
        let mut response = Vec::new();
        while !response.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            response.extend(byte);
        }
        stream.write_all(head.as_bytes()).unwrap();
    }
    signals.draining.cancel();
    signals.stop.cancel();
    assert_eq!(count_responses(streams).await, CONNECTIONS);
}
