//! Heads of requests that are longer than usual: what memory they take, and what callers get.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cloverrack::head_memory::RequestHeadMemory;
use cloverrack::http_server::{Handler, HttpResponse, ShutdownSignals, serve};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Memory for two long heads.
const MEMORY_BYTES: usize = 81_920;

/// Length of a long head, which fits the limit of one head.
const LONG_HEAD_BYTES: usize = 20_000;

/// Limit for a response, below the time after which an incomplete head ends its connection.
const RESPONSE_LIMIT: Duration = Duration::from_secs(3);

struct EmptyResponses {
    memory: RequestHeadMemory,
    refused: AtomicUsize,
}

impl Handler for EmptyResponses {
    fn head_memory(&self) -> RequestHeadMemory {
        self.memory.clone()
    }

    fn record_refused_head(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    async fn handle(&self, _: Request<Incoming>) -> HttpResponse {
        Response::new(Full::default())
    }
}

/// Opens a connection and sends the begin of a request with a header of some bytes.
async fn begin_request(address: SocketAddr, header_bytes: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let value = "v".repeat(header_bytes);
    let head = format!("GET / HTTP/1.1\r\nhost: desk.example\r\nx-long: {value}\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Ends the head of a request; returns the beginning of the response, or nothing if the connection is closed.
async fn finish_request(stream: &mut TcpStream) -> Vec<u8> {
    // Fails if the server has closed the connection.
    stream.write_all(b"\r\n").await.ok();
    let mut response = vec![0; 256];
    let read = timeout(RESPONSE_LIMIT, stream.read(&mut response)).await;
    let length = read.unwrap().unwrap_or(0);
    response.truncate(length);
    response
}

/// Guards against memory that grows with the number of long heads which callers begin, and against requests
/// with usual heads that are refused beside them.
#[tokio::test]
async fn long_heads_share_the_memory() {
    let memory = RequestHeadMemory::new(MEMORY_BYTES);
    let handler = Arc::new(EmptyResponses {
        memory: memory.clone(),
        refused: AtomicUsize::new(0),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let signals = ShutdownSignals::default();
    tokio::spawn(serve(listener, Arc::clone(&handler), signals));
    let mut held = Vec::new();
    for _ in 0..2 {
        held.push(begin_request(address, LONG_HEAD_BYTES).await);
    }
    let taken = async {
        while memory.available_bytes() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(RESPONSE_LIMIT, taken)
        .await
        .expect("both heads take memory");
    let mut refused = begin_request(address, LONG_HEAD_BYTES).await;
    assert_eq!(finish_request(&mut refused).await, b"");
    assert_eq!(handler.refused.load(Ordering::Relaxed), 1);
    let mut usual = begin_request(address, 100).await;
    assert!(
        finish_request(&mut usual)
            .await
            .starts_with(b"HTTP/1.1 200")
    );
    for stream in &mut held {
        assert!(finish_request(stream).await.starts_with(b"HTTP/1.1 200"));
    }
    assert_eq!(memory.available_bytes(), MEMORY_BYTES);
    let mut next = begin_request(address, LONG_HEAD_BYTES).await;
    assert!(finish_request(&mut next).await.starts_with(b"HTTP/1.1 200"));
}
