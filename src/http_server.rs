//! HTTP listener shared by the callers' and the operators' interface.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;
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

/// Answer of a handler.
pub type HttpResponse = Response<Full<Bytes>>;

/// Handles the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = HttpResponse> + Send;
}

/// Serves a listener until `stop`; requests in flight are finished first.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            break;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, from)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let watcher = graceful.watcher();
        let handler = Arc::clone(&handler);
        let stop = stop.clone();
        tokio::spawn(async move {
            let _permit = permit;
            if stop.run_until_cancelled(has_begun(&stream)).await != Some(true) {
                return;
            }
            if let Err(error) = watcher.watch(connection(stream, handler)).await {
                debug!(event = "connection_ended", %from, %error);
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
) -> impl hyper_util::server::graceful::GracefulConnection<
    Error = Box<dyn std::error::Error + Send + Sync>,
> + Send
+ 'static {
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(Duration::from_millis(WRITE_TIMEOUT_MS)));
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
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    builder
        .serve_connection(TokioIo::new(Box::pin(stream)), service)
        .into_owned()
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
#[derive(Clone, Copy, Debug, Serialize)]
pub struct HttpError {
    /// Fixed name of the error.
    pub error: &'static str,
}
