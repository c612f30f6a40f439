//! HTTP listener shared by the callers' and the operators' interface.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;

/// Time allowed for a client to send its headers, and for it to send its body.
const READ_TIMEOUT_MS: u64 = 5_000;

/// Time without progress after which a client that does not read its answer is cut off.
const WRITE_TIMEOUT_MS: u64 = 5_000;

/// Time between two pings of an HTTP/2 client, and time allowed for its answer.
const PING_INTERVAL_MS: u64 = 10_000;

/// Requests that one HTTP/2 connection may have in flight.
const MAX_STREAMS: u32 = 256;

/// Answer bytes buffered for one HTTP/2 stream.
const MAX_SEND_BUFFER_BYTES: usize = 262_144;

/// First bytes of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Time between two looks at a preface that is not yet complete.
const PREFACE_PAUSE_MS: u64 = 20;

/// Connections that one listener holds at a time.
const MAX_CONNECTIONS: usize = 4_096;

/// Wait at the end for the first request of a connection that is open already.
const FIRST_REQUEST_MS: u64 = 250;

/// Time at the end for taking the connections that the kernel has accepted.
const BACKLOG_MS: u64 = 20;

/// Answer of a handler.
pub type HttpResponse = Response<Full<Bytes>>;

/// Handles the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = HttpResponse> + Send;
}

/// Phases of the end of a listener.
#[derive(Clone, Debug, Default)]
pub struct Phases {
    /// Tells clients of open connections to go; requests are served on.
    pub leaving: CancellationToken,
    /// Ends the listener; requests in flight are finished first.
    pub stop: CancellationToken,
}

/// Serves a listener until `stop`; requests in flight are finished first.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>, phases: Phases) {
    let connections = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permit = tokio::select! {
            permit = Arc::clone(&permits).acquire_owned() => permit,
            () = phases.stop.cancelled() => break,
        };
        let Ok(permit) = permit else {
            break;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = phases.stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let connection = serve_connection(stream, Arc::clone(&handler), phases.clone());
        connections.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    serve_backlog(&listener, &handler, &phases, &connections).await;
    drop(listener);
    connections.close();
    connections.wait().await;
}

/// Serves the connections that the kernel accepted before the end; closing the listener would
/// reset them.
async fn serve_backlog<H: Handler>(
    listener: &TcpListener,
    handler: &Arc<H>,
    phases: &Phases,
    connections: &TaskTracker,
) {
    let accepting = async {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = serve_connection(stream, Arc::clone(handler), phases.clone());
            connections.spawn(connection);
        }
    };
    let _ = timeout(Duration::from_millis(BACKLOG_MS), accepting).await;
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>, phases: Phases) {
    let _ = stream.set_nodelay(true);
    let stopping = async {
        phases.stop.cancelled().await;
        tokio::time::sleep(Duration::from_millis(FIRST_REQUEST_MS)).await;
    };
    let begun = tokio::select! {
        begun = has_begun(&stream) => begun,
        () = stopping => false,
    };
    if !begun {
        return;
    }
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(Duration::from_millis(WRITE_TIMEOUT_MS)));
    let seen = watch::Sender::new(None);
    let until_close = close_time(seen.subscribe(), phases.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let version = request.version();
        seen.send_replace(Some(version));
        let handler = Arc::clone(&handler);
        let leaving = phases.leaving.clone();
        async move {
            let mut response = handler.handle(request).await;
            if leaving.is_cancelled() && version < Version::HTTP_2 {
                let close = http::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(http::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let builder = builder();
    let connection = builder.serve_connection(TokioIo::new(Box::pin(stream)), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = until_close => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(event = "connection_ended", %error);
    }
}

/// Ends when a connection is to be closed.
///
/// An HTTP/2 connection gets its GOAWAY with the first request after the node began to leave. An
/// HTTP/1.1 connection stays open until then, because closing an idle one may cut off a request
/// on its way; the answer to its next request closes it.
async fn close_time(mut seen: watch::Receiver<Option<Version>>, phases: Phases) {
    phases.leaving.cancelled().await;
    tokio::select! {
        _ = seen.wait_for(|version| *version == Some(Version::HTTP_2)) => return,
        () = phases.stop.cancelled() => {}
    }
    let first_request = seen.wait_for(Option::is_some);
    let _ = timeout(Duration::from_millis(FIRST_REQUEST_MS), first_request).await;
}

fn builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(READ_TIMEOUT_MS));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_send_buf_size(MAX_SEND_BUFFER_BYTES)
        .keep_alive_interval(Duration::from_millis(PING_INTERVAL_MS))
        .keep_alive_timeout(Duration::from_millis(PING_INTERVAL_MS))
        .max_header_list_size(16_384);
    builder
}

/// Waits until a client has said which protocol it speaks; returns whether it did in time.
///
/// The protocol detection of the library waits for a whole HTTP/2 preface without a limit.
async fn has_begun(stream: &TcpStream) -> bool {
    let begun = async {
        let mut start = [0; HTTP2_PREFACE.len()];
        loop {
            let length = stream.peek(&mut start).await.unwrap_or(0);
            if length == 0 {
                return false;
            }
            if length == start.len() || !HTTP2_PREFACE.starts_with(&start[..length]) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(PREFACE_PAUSE_MS)).await;
        }
    };
    let limit = Duration::from_millis(READ_TIMEOUT_MS);
    timeout(limit, begun).await.unwrap_or(false)
}

/// A body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is over the limit.
    TooLarge,
    /// The body did not arrive in time or broke off.
    Incomplete,
}

/// Reads a whole body of at most `limit_bytes`.
///
/// # Errors
///
/// Fails if the body is too large, too slow or breaks off.
pub async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, BodyError> {
    let limit = Duration::from_millis(READ_TIMEOUT_MS);
    let reading = Limited::new(body, limit_bytes).collect();
    let read = timeout(limit, reading)
        .await
        .map_err(|_| BodyError::Incomplete)?;
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Incomplete),
    }
}

/// Makes a JSON answer.
pub fn json<T: Serialize>(status: StatusCode, content: &T) -> HttpResponse {
    let body = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, value);
    response
}

/// Error content of an HTTP answer.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct HttpError {
    /// Fixed name of the error.
    pub error: &'static str,
}
