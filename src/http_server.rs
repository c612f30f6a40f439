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
const PREFACE_POLL_INTERVAL_MS: u64 = 20;

/// Connections that one listener holds at a time.
const MAX_CONNECTIONS: usize = 4_096;

/// Wait at the end for the first request of a connection that is open already.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 250;

/// Time at the end for taking the connections that the kernel has accepted.
const BACKLOG_ACCEPT_MS: u64 = 20;

/// Answer of a handler.
pub type HttpResponse = Response<Full<Bytes>>;

/// Handles the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = HttpResponse> + Send;
}

/// Phases of the end of a listener.
#[derive(Clone, Debug, Default)]
pub struct ShutdownSignals {
    /// Tells clients of open connections to go; requests are served on.
    pub draining: CancellationToken,
    /// Ends the listener; requests in flight are finished first.
    pub stop: CancellationToken,
}

/// Serves a listener until `stop`; requests in flight are finished first.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    shutdown_signals: ShutdownSignals,
) {
    let connections = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permit = tokio::select! {
            permit = Arc::clone(&permits).acquire_owned() => permit,
            () = shutdown_signals.stop.cancelled() => break,
        };
        let Ok(permit) = permit else {
            break;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown_signals.stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let connection = serve_connection(stream, Arc::clone(&handler), shutdown_signals.clone());
        connections.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    serve_backlog(&listener, &handler, &shutdown_signals, &connections).await;
    drop(listener);
    connections.close();
    connections.wait().await;
}

/// Serves the connections that the kernel accepted before the end; closing the listener would
/// reset them.
async fn serve_backlog<H: Handler>(
    listener: &TcpListener,
    handler: &Arc<H>,
    shutdown_signals: &ShutdownSignals,
    connections: &TaskTracker,
) {
    let accepting = async {
        while let Ok((stream, _)) = listener.accept().await {
            let connection =
                serve_connection(stream, Arc::clone(handler), shutdown_signals.clone());
            connections.spawn(connection);
        }
    };
    let _ = timeout(Duration::from_millis(BACKLOG_ACCEPT_MS), accepting).await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    shutdown_signals: ShutdownSignals,
) {
    let _ = stream.set_nodelay(true);
    let stopping = async {
        shutdown_signals.stop.cancelled().await;
        tokio::time::sleep(Duration::from_millis(FIRST_REQUEST_TIMEOUT_MS)).await;
    };
    let has_started = tokio::select! {
        has_started = wait_for_first_bytes(&stream) => has_started,
        () = stopping => false,
    };
    if !has_started {
        return;
    }
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(Duration::from_millis(WRITE_TIMEOUT_MS)));
    let seen_version = watch::Sender::new(None);
    let close_signal = wait_for_close(seen_version.subscribe(), shutdown_signals.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let version = request.version();
        seen_version.send_replace(Some(version));
        let handler = Arc::clone(&handler);
        let draining = shutdown_signals.draining.clone();
        async move {
            let mut response = handler.handle(request).await;
            if draining.is_cancelled() && version < Version::HTTP_2 {
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
        () = close_signal => {
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
async fn wait_for_close(
    mut seen_version: watch::Receiver<Option<Version>>,
    shutdown_signals: ShutdownSignals,
) {
    shutdown_signals.draining.cancelled().await;
    tokio::select! {
        _ = seen_version.wait_for(|version| *version == Some(Version::HTTP_2)) => return,
        () = shutdown_signals.stop.cancelled() => {}
    }
    let first_request = seen_version.wait_for(Option::is_some);
    let _ = timeout(
        Duration::from_millis(FIRST_REQUEST_TIMEOUT_MS),
        first_request,
    )
    .await;
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
async fn wait_for_first_bytes(stream: &TcpStream) -> bool {
    let has_started = async {
        let mut start = [0; HTTP2_PREFACE.len()];
        loop {
            let length = stream.peek(&mut start).await.unwrap_or(0);
            if length == 0 {
                return false;
            }
            if length == start.len() || !HTTP2_PREFACE.starts_with(&start[..length]) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(PREFACE_POLL_INTERVAL_MS)).await;
        }
    };
    let limit = Duration::from_millis(READ_TIMEOUT_MS);
    timeout(limit, has_started).await.unwrap_or(false)
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
pub struct ErrorBody {
    /// Fixed name of the error.
    pub error: &'static str,
}
