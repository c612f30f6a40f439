//! HTTP server for the caller and operator interfaces, over HTTP/1.1 and HTTP/2.
//!
//! Connections, streams and buffers are bounded, and slow or unresponsive clients time out. On
//! shutdown, open connections close gracefully so that no request in transit is lost.

use std::convert::Infallible;
use std::net::IpAddr;
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

use crate::head_memory::{HeadMeter, HeadMeteredStream, RequestHeadMemory};
use crate::lingering_stream::LingeringStream;

/// Time limit for receiving the first bytes of a connection, for receiving the body of a request and,
/// unless the handler sets another one, for receiving the headers of a request.
pub(crate) const READ_TIMEOUT_MS: u64 = 5_000;

/// Time without write progress after which the connection of a client that does not read its
/// response is closed.
const WRITE_TIMEOUT_MS: u64 = 5_000;

/// Interval between HTTP/2 keep-alive pings, and time limit for each reply.
const PING_INTERVAL_MS: u64 = 10_000;

/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 256;

/// Maximum size of the read buffer of an HTTP/1.1 connection, which also limits the header block.
const MAX_READ_BUFFER_BYTES: usize = 32_768;

/// Maximum number of response bytes buffered for one HTTP/2 stream.
const MAX_SEND_BUFFER_BYTES: usize = 262_144;

/// Connection preface that an HTTP/2 client sends first.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Interval between checks of an incomplete connection preface.
const PREFACE_POLL_INTERVAL_MS: u64 = 20;

/// Maximum number of open connections of one listener, unless its handler sets another one.
const MAX_CONNECTIONS: usize = 4_096;

/// Memory of the long heads of one listener's requests, unless its handler has one.
const HEAD_MEMORY_BYTES: usize = 8 * 1_048_576;

/// Time limit during shutdown for the first request of a connection that is already open.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 250;

/// Time from the first request of an HTTP/2 connection to the GOAWAY. A client that sends a request while
/// it receives the GOAWAY may take the request for refused although it is handled.
const GOAWAY_DELAY_MS: u64 = 50;

/// Delay after a connection that could not be accepted: without free descriptors, each further try fails at once.
const ACCEPT_RETRY_MS: u64 = 20;

/// Time during shutdown for accepting the connections in the kernel's backlog.
const BACKLOG_ACCEPT_MS: u64 = 20;

/// Time during shutdown for reading the requests that have arrived on idle connections.
const ARRIVED_REQUEST_MS: u64 = 20;

/// Response of a handler.
pub type HttpResponse = Response<Full<Bytes>>;

/// IP address of a caller, as an extension of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerAddress(pub IpAddr);

/// Handles the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = HttpResponse> + Send;

    /// Returns the time for which a new connection may be idle between two requests, which also limits
    /// the time for receiving the headers of a request.
    fn idle_timeout(&self) -> Duration {
        Duration::from_millis(READ_TIMEOUT_MS)
    }

    /// Returns the maximum number of open connections.
    fn max_connections(&self) -> usize {
        MAX_CONNECTIONS
    }

    /// Returns the memory that the long heads of requests share.
    fn head_memory(&self) -> RequestHeadMemory {
        RequestHeadMemory::new(HEAD_MEMORY_BYTES)
    }

    /// Records that a connection ended because a long head found no memory.
    fn record_refused_head(&self) {}
}

/// Signals for the two phases of a listener's shutdown.
#[derive(Clone, Debug, Default)]
pub struct ShutdownSignals {
    /// Asks clients to close their connections; requests are still served.
    pub draining: CancellationToken,
    /// Stops accepting connections beyond the kernel's backlog; [`serve`] returns once the requests
    /// in flight are finished.
    pub stop: CancellationToken,
}

impl ShutdownSignals {
    /// Returns the signals for a listener whose clients keep their connections until it stops.
    pub fn without_draining(&self) -> Self {
        Self {
            draining: self.stop.clone(),
            stop: self.stop.clone(),
        }
    }
}

/// Serves a listener until `stop`, then finishes the requests in flight.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    shutdown_signals: ShutdownSignals,
) {
    let connections = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(handler.max_connections()));
    let head_memory = handler.head_memory();
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
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                debug!(event = "connection_not_accepted", %error);
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            }
        };
        let connection = serve_connection(
            stream,
            peer.ip(),
            Arc::clone(&handler),
            head_memory.clone(),
            shutdown_signals.clone(),
        );
        connections.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    serve_backlog(
        &listener,
        &handler,
        &head_memory,
        &shutdown_signals,
        &connections,
    )
    .await;
    drop(listener);
    connections.close();
    connections.wait().await;
}

/// Serves the connections in the kernel's backlog; closing the listener would reset them.
async fn serve_backlog<H: Handler>(
    listener: &TcpListener,
    handler: &Arc<H>,
    head_memory: &RequestHeadMemory,
    shutdown_signals: &ShutdownSignals,
    connections: &TaskTracker,
) {
    let accepting = async {
        while let Ok((stream, peer)) = listener.accept().await {
            let connection = serve_connection(
                stream,
                peer.ip(),
                Arc::clone(handler),
                head_memory.clone(),
                shutdown_signals.clone(),
            );
            connections.spawn(connection);
        }
    };
    let _ = timeout(Duration::from_millis(BACKLOG_ACCEPT_MS), accepting).await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    caller: IpAddr,
    handler: Arc<H>,
    head_memory: RequestHeadMemory,
    shutdown_signals: ShutdownSignals,
) {
    let _ = stream.set_nodelay(true);
    let stopping = async {
        shutdown_signals.stop.cancelled().await;
        tokio::time::sleep(Duration::from_millis(FIRST_REQUEST_TIMEOUT_MS)).await;
    };
    let has_started = tokio::select! {
        biased;
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
    let idle_timeout = handler.idle_timeout();
    let meter = Arc::new(HeadMeter::new(head_memory));
    let service_meter = Arc::clone(&meter);
    let service_handler = Arc::clone(&handler);
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(CallerAddress(caller));
        let version = request.version();
        if seen_version.send_replace(Some(version)).is_none() && version == Version::HTTP_2 {
            service_meter.set_http2();
        }
        let open_head = service_meter.begin_request();
        let handler = Arc::clone(&service_handler);
        let draining = shutdown_signals.draining.clone();
        async move {
            let mut response = handler.handle(request).await;
            if draining.is_cancelled() && version < Version::HTTP_2 {
                let close = http::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(http::header::CONNECTION, close);
            }
            drop(open_head);
            Ok::<_, Infallible>(response)
        }
    });
    let builder = connection_builder(idle_timeout);
    let (stream, closing_stream) = LingeringStream::new(Box::pin(stream));
    let stream = HeadMeteredStream::new(stream, Arc::clone(&meter));
    {
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let result = tokio::select! {
            // A request that has arrived is read before the connection is closed.
            biased;
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
    if meter.is_refused() {
        handler.record_refused_head();
    }
    closing_stream.wait_for_client().await;
}

/// Waits until a connection should be closed.
///
/// An HTTP/2 connection gets its GOAWAY once the node is draining and the connection has carried
/// a request. An HTTP/1.1 connection stays open until the listener stops, because closing an idle
/// connection may lose a request in transit; the response to its next request closes it.
async fn wait_for_close(
    mut seen_version: watch::Receiver<Option<Version>>,
    shutdown_signals: ShutdownSignals,
) {
    shutdown_signals.draining.cancelled().await;
    let goaway_due = async {
        let _ = seen_version
            .wait_for(|version| *version == Some(Version::HTTP_2))
            .await;
        tokio::time::sleep(Duration::from_millis(GOAWAY_DELAY_MS)).await;
    };
    tokio::select! {
        () = goaway_due => return,
        () = shutdown_signals.stop.cancelled() => {}
    }
    let first_request = async {
        let limit = Duration::from_millis(FIRST_REQUEST_TIMEOUT_MS);
        let first_request = seen_version.wait_for(Option::is_some);
        timeout(limit, first_request).await.is_ok()
    };
    // Closing a connection resets it if a request has arrived and is not read.
    let arrived_request = tokio::time::sleep(Duration::from_millis(ARRIVED_REQUEST_MS));
    let _ = tokio::join!(first_request, arrived_request);
}

fn connection_builder(idle_timeout: Duration) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .header_read_timeout(idle_timeout);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .max_send_buf_size(MAX_SEND_BUFFER_BYTES)
        .keep_alive_interval(Duration::from_millis(PING_INTERVAL_MS))
        .keep_alive_timeout(Duration::from_millis(PING_INTERVAL_MS))
        .max_header_list_size(16_384);
    builder
}

/// Waits until the first bytes of a connection identify its protocol; returns whether they arrived
/// in time.
///
/// The protocol detection of `hyper-util` waits for a complete HTTP/2 preface without a time limit.
async fn wait_for_first_bytes(stream: &TcpStream) -> bool {
    let preface_check = async {
        let mut preface = [0; HTTP2_PREFACE.len()];
        loop {
            let length = stream.peek(&mut preface).await.unwrap_or(0);
            if length == 0 {
                return false;
            }
            if length == preface.len() || !HTTP2_PREFACE.starts_with(&preface[..length]) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(PREFACE_POLL_INTERVAL_MS)).await;
        }
    };
    let limit = Duration::from_millis(READ_TIMEOUT_MS);
    timeout(limit, preface_check).await.unwrap_or(false)
}

/// Reason why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time or ended early.
    Incomplete,
}

/// Reads a complete body of at most `limit_bytes`.
///
/// # Errors
///
/// Fails if the body is too large, arrives too slowly or ends early.
pub async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, BodyError> {
    let limit = Duration::from_millis(READ_TIMEOUT_MS);
    let reading = Limited::new(body, limit_bytes).collect();
    let result = timeout(limit, reading)
        .await
        .map_err(|_| BodyError::Incomplete)?;
    match result {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Incomplete),
    }
}

/// Creates a JSON response.
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

/// JSON body of an error response.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct ErrorBody {
    /// Error code.
    pub error: &'static str,
}
