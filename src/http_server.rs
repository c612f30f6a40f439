//! HTTP server for the caller and operator interfaces, over HTTP/1.1 and HTTP/2.
//!
//! Connections, streams and buffers are bounded, and slow or unresponsive clients time out. On
//! shutdown, open connections close gracefully so that no request in transit is lost.

mod connection;
mod open_responses;
mod preface;
mod response_memory;
mod sent_body;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};
use tracing::debug;

pub use open_responses::{CutOff, CutOffCause, OpenResponses};
pub use response_memory::ResponseMemory;

use connection::serve_connection;

use crate::head_memory::RequestHeadMemory;

/// Time limit for receiving the first bytes of a connection, for receiving the body of a request and,
/// unless the handler sets another one, for receiving the headers of a request.
pub(crate) const READ_TIMEOUT_MS: u64 = 5_000;

/// Maximum number of open connections of one listener, unless its handler sets another one.
const MAX_CONNECTIONS: usize = 4_096;

/// Memory of the long heads of one listener's requests, unless its handler has one.
const HEAD_MEMORY_BYTES: usize = 8 * 1_048_576;

/// Delay after a connection that could not be accepted: without free descriptors, each further try fails at once.
const ACCEPT_RETRY_MS: u64 = 20;

/// Time during shutdown for accepting the connections in the kernel's backlog.
const BACKLOG_ACCEPT_MS: u64 = 20;

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

    /// Returns the memory in which responses are counted until callers have read them, if they are.
    fn response_memory(&self) -> Option<ResponseMemory> {
        None
    }

    /// Records that a connection ended because its caller did not read a response.
    fn record_cut_off(&self, _cause: CutOffCause) {}
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
    let _checking = handler
        .response_memory()
        .map(|memory| AbortOnDropHandle::new(tokio::spawn(memory.check())));
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
