//! Serves one connection until it ends, should be closed, or one of its responses is cut off.

use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, Version};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use rustix::net::sockopt::set_socket_send_buffer_size;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use super::open_responses::CutOff;
use super::preface::wait_for_first_bytes;
use super::response_memory::{CutOffSender, ResponseMemory};
use super::sent_body::{self, SentBody};
use super::{CallerAddress, Handler, ShutdownSignals};
use crate::head_memory::{HeadMeter, HeadMeteredStream, RequestHeadMemory};
use crate::lingering_stream::LingeringStream;

/// Time without write progress after which the connection of a client that does not read its
/// response is closed.
const WRITE_TIMEOUT_MS: u64 = 5_000;

/// The same if responses are counted, which are cut off, logged and counted first. It remains for
/// responses that are too small to be counted, and for a client that reads no frames of HTTP/2.
const COUNTED_WRITE_TIMEOUT_MS: u64 = 7_000;

/// Interval between HTTP/2 keep-alive pings, and time limit for each reply.
const PING_INTERVAL_MS: u64 = 10_000;

/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 256;

/// Maximum size of the read buffer of an HTTP/1.1 connection, which also limits the header block.
const MAX_READ_BUFFER_BYTES: usize = 32_768;

/// Maximum number of response bytes buffered for one HTTP/2 stream.
const MAX_SEND_BUFFER_BYTES: usize = 262_144;

/// Size of the send buffer of a connection whose responses are counted; the kernel uses twice as much. A larger
/// one, which the kernel would grow to megabytes, hides for many seconds that a slow caller reads; this one
/// fills a link of 200 Mbit/s at a round trip of 2 ms.
const SEND_BUFFER_BYTES: usize = 65_536;

/// Time limit during shutdown for the first request of a connection that is already open.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 250;

/// Time from the first request of an HTTP/2 connection to the GOAWAY. A client that sends a request while
/// it receives the GOAWAY may take the request for refused although it is handled.
const GOAWAY_DELAY_MS: u64 = 50;

/// Time during shutdown for reading the requests that have arrived on idle connections.
const ARRIVED_REQUEST_MS: u64 = 20;

/// What the requests of a connection share.
struct Requests<H> {
    caller: IpAddr,
    handler: Arc<H>,
    meter: Arc<HeadMeter>,
    seen_version: watch::Sender<Option<Version>>,
    draining: CancellationToken,
    response_memory: Option<ResponseMemory>,
    cut_off: CutOffSender,
}

impl<H: Handler> Requests<H> {
    /// Begins to handle a request whose head has been received.
    fn begin(
        self: &Arc<Self>,
        mut request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<SentBody>, Infallible>> + Send + use<H> {
        request.extensions_mut().insert(CallerAddress(self.caller));
        let version = request.version();
        let seen = self.seen_version.send_replace(Some(version));
        if seen.is_none() && version == Version::HTTP_2 {
            self.meter.set_http2();
        }
        let open_head = self.meter.begin_request();
        let requests = Arc::clone(self);
        async move {
            let mut response = requests.handler.handle(request).await;
            if requests.draining.is_cancelled() && version < Version::HTTP_2 {
                let close = http::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(http::header::CONNECTION, close);
            }
            drop(open_head);
            let memory = requests.response_memory.as_ref();
            Ok(sent_body::hold(
                response,
                version,
                memory,
                &requests.cut_off,
            ))
        }
    }
}

/// Serves a connection that has been accepted.
pub(super) async fn serve_connection<H: Handler>(
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
    let response_memory = handler.response_memory();
    if response_memory.is_some()
        && let Err(error) = set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES)
    {
        debug!(event = "send_buffer_not_limited", %error);
    }
    let requests = Requests {
        caller,
        handler,
        meter: Arc::new(HeadMeter::new(head_memory)),
        seen_version: watch::Sender::new(None),
        draining: shutdown_signals.draining.clone(),
        response_memory,
        cut_off: CutOffSender::new(None),
    };
    serve_requests(stream, Arc::new(requests), shutdown_signals).await;
}

/// Serves the requests of a connection until it ends or one of its responses is cut off.
async fn serve_requests<H: Handler>(
    stream: TcpStream,
    requests: Arc<Requests<H>>,
    shutdown_signals: ShutdownSignals,
) {
    let (caller, handler) = (requests.caller, Arc::clone(&requests.handler));
    let meter = Arc::clone(&requests.meter);
    let close_signal = wait_for_close(requests.seen_version.subscribe(), shutdown_signals);
    let cut_off_signal = wait_for_cut_off(requests.cut_off.subscribe());
    let write_timeout_ms = match requests.response_memory {
        Some(_) => COUNTED_WRITE_TIMEOUT_MS,
        None => WRITE_TIMEOUT_MS,
    };
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(Duration::from_millis(write_timeout_ms)));
    let (stream, closing_stream) = LingeringStream::new(Box::pin(stream));
    let stream = HeadMeteredStream::new(stream, Arc::clone(&meter));
    let cut_off = tokio::select! {
        biased;
        cut_off = cut_off_signal => Some(cut_off),
        () = serve_http(stream, requests, close_signal) => None,
    };
    if let Some(cut_off) = cut_off {
        log_cut_off(caller, cut_off);
        handler.record_cut_off(cut_off.cause);
        return;
    }
    if meter.is_refused() {
        handler.record_refused_head();
    }
    closing_stream.wait_for_client().await;
}

/// Serves the requests of a connection until it ends, gracefully once it should be closed.
async fn serve_http<H, S>(
    stream: S,
    requests: Arc<Requests<H>>,
    close_signal: impl Future<Output = ()>,
) where
    H: Handler,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let builder = connection_builder(requests.handler.idle_timeout());
    let service = service_fn(move |request| requests.begin(request));
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

/// Waits until a response of a connection is cut off. The connection ends with it, so that the response does
/// not look complete.
async fn wait_for_cut_off(mut receiver: watch::Receiver<Option<CutOff>>) -> CutOff {
    loop {
        if let Some(cut_off) = *receiver.borrow_and_update() {
            return cut_off;
        }
        if receiver.changed().await.is_err() {
            // No response can be sent any more.
            std::future::pending::<()>().await;
        }
    }
}

fn log_cut_off(caller: IpAddr, cut_off: CutOff) {
    info!(
        event = "response_cut_off",
        %caller,
        cause = ?cut_off.cause,
        response_bytes = cut_off.response_bytes,
        stalled_ms = cut_off.stalled_ms,
    );
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
