//! A server without free descriptors.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

use std::sync::Arc;
use std::time::Duration;

use cloverrack::http_server::{Handler, HttpResponse, ShutdownSignals, serve};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use rustix::time::{ClockId, clock_gettime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Descriptors of the process, few enough to be used up.
const DESCRIPTORS: u64 = 64;

/// Time for which there are none, and processor time that the process may use meanwhile.
const EXHAUSTED: Duration = Duration::from_millis(500);
const MAX_PROCESSOR_TIME: Duration = Duration::from_millis(100);

struct EmptyResponses;

impl Handler for EmptyResponses {
    async fn handle(&self, _: Request<Incoming>) -> HttpResponse {
        Response::new(Full::default())
    }
}

fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(
        time.tv_sec.try_into().unwrap(),
        time.tv_nsec.try_into().unwrap(),
    )
}

/// Guards against a server that uses all processor time of a VM while it can't accept connections.
#[tokio::test]
async fn a_server_without_descriptors_waits() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(
        listener,
        Arc::new(EmptyResponses),
        ShutdownSignals::default(),
    ));
    let limit = getrlimit(Resource::Nofile);
    let lowered = Rlimit {
        current: Some(DESCRIPTORS),
        ..limit
    };
    setrlimit(Resource::Nofile, lowered).unwrap();
    let mut connections = Vec::new();
    while let Ok(stream) = TcpStream::connect(address).await {
        connections.push(stream);
    }
    let before = processor_time();
    sleep(EXHAUSTED).await;
    let used = processor_time() - before;
    assert!(used <= MAX_PROCESSOR_TIME, "{used:?} of {EXHAUSTED:?}");
    setrlimit(Resource::Nofile, limit).unwrap();
    let last = connections.last_mut().unwrap();
    let head = b"GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n";
    last.write_all(head).await.unwrap();
    let mut response = [0; 64];
    let read = timeout(Duration::from_secs(2), last.read(&mut response)).await;
    assert!(read.expect("the connection is accepted").unwrap() > 0);
}
