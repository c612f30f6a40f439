//! Callers that read their responses slowly or not at all: what is held for them, and for how long.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverrack::http_server::{Handler, HttpResponse, ResponseMemory, ShutdownSignals, serve};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Length of a response, above what the buffers of a connection take.
const RESPONSE_BYTES: usize = 16 * 1_048_576;

/// Time within which a response of which nothing is read is released: 5 s, with a margin for a loaded machine.
const CUT_OFF_LIMIT: Duration = Duration::from_secs(8);

/// Receive buffer of a caller that reads slowly, so that little is read ahead for it.
const RECEIVE_BUFFER_BYTES: u32 = 8_192;

/// Handler whose responses show by `body` whether they are still held.
struct LongResponses {
    body: Arc<Vec<u8>>,
    memory: ResponseMemory,
}

struct Held(Arc<Vec<u8>>);

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl Handler for LongResponses {
    fn response_memory(&self) -> Option<ResponseMemory> {
        Some(self.memory.clone())
    }

    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        if request.uri().path() == "/short" {
            return Response::new(Full::default());
        }
        let held = Held(Arc::clone(&self.body));
        Response::new(Full::new(Bytes::from_owner(held)))
    }
}

/// Serves long responses; returns the address and the body that they share.
async fn serve_long_responses() -> (SocketAddr, Arc<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body = Arc::new(vec![b'x'; RESPONSE_BYTES]);
    let handler = LongResponses {
        body: Arc::clone(&body),
        memory: ResponseMemory::new(RESPONSE_BYTES),
    };
    tokio::spawn(serve(
        listener,
        Arc::new(handler),
        ShutdownSignals::default(),
    ));
    (address, body)
}

/// Returns how many responses hold the body, which the handler and the test hold as well.
fn held_responses(body: &Arc<Vec<u8>>) -> usize {
    Arc::strong_count(body) - 2
}

/// Waits until no response holds the body.
async fn wait_for_release(body: &Arc<Vec<u8>>) -> bool {
    let released = async {
        while held_responses(body) > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(CUT_OFF_LIMIT, released).await.is_ok()
}

async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(address).await.unwrap()
}

async fn request_long_response(address: SocketAddr) -> TcpStream {
    let mut stream = connect(address).await;
    let head = b"GET /long HTTP/1.1\r\nhost: desk.example\r\n\r\n";
    stream.write_all(head).await.unwrap();
    stream
}

/// Guards against a response that is held for as long as a caller wants that reads nothing over HTTP/1.1.
#[tokio::test]
async fn a_caller_that_reads_nothing_is_cut_off() {
    let (address, body) = serve_long_responses().await;
    let _stream = request_long_response(address).await;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(held_responses(&body), 1);
    assert!(wait_for_release(&body).await);
}

/// Guards against responses that an HTTP/2 caller leaves unread on one stream while it uses others: no write
/// of the connection waits then.
#[tokio::test]
async fn a_stream_of_which_nothing_is_read_is_cut_off() {
    let (address, body) = serve_long_responses().await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    let connection = tokio::spawn(connection);
    let request = |path| Request::get(format!("http://desk.example{path}")).body(());
    let mut sender = sender.ready().await.unwrap();
    let (unread, _) = sender
        .send_request(request("/long").unwrap(), true)
        .unwrap();
    let unread = unread.await.unwrap();
    let use_other_streams = async {
        while let Ok((response, _)) = sender.send_request(request("/short").unwrap(), true) {
            let _ = response.await;
            sleep(Duration::from_millis(100)).await;
        }
    };
    let is_released = tokio::select! {
        is_released = wait_for_release(&body) => is_released,
        () = use_other_streams => wait_for_release(&body).await,
    };
    assert!(is_released);
    let mut unread = unread.into_body();
    let is_cut = async {
        while let Some(part) = unread.data().await {
            if part.is_err() {
                return true;
            }
        }
        false
    };
    let is_cut = timeout(CUT_OFF_LIMIT, is_cut).await.unwrap();
    assert!(is_cut, "the response looks whole");
    assert!(connection.is_finished());
}

/// Guards against cutting off a caller that reads slowly but steadily: what the kernel has buffered must not
/// keep the server from seeing that the caller reads.
#[tokio::test]
async fn a_caller_that_reads_slowly_is_served() {
    const READ_BYTES: usize = 16_384;
    const READ_INTERVAL: Duration = Duration::from_millis(100);
    const SLOW_TIME: Duration = Duration::from_secs(14);
    let (address, body) = serve_long_responses().await;
    let mut stream = request_long_response(address).await;
    let mut buffer = vec![0; READ_BYTES];
    let begin = Instant::now();
    let mut received = 0;
    while begin.elapsed() < SLOW_TIME {
        received += stream.read(&mut buffer).await.unwrap();
        sleep(READ_INTERVAL).await;
    }
    assert_eq!(held_responses(&body), 1, "cut off after {received} bytes");
    while received < RESPONSE_BYTES {
        let read = stream.read(&mut buffer).await.unwrap();
        assert!(read > 0, "cut off after {received} bytes");
        received += read;
    }
}
