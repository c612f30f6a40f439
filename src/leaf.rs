//! HTTP/2 client for one leaf: sends the calls of a query and reads the leaf's status.
//!
//! The life cycle of a connection is modeled as typestate, so that only active connections take
//! calls. A call that provably did not start is distinguished from one that may have run, and a
//! crashed leaf process from a lost connection.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http2::{SendRequest, handshake};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::Deserialize;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock::boot_ms;
use crate::faults::is_link_cut;
use crate::ids::{CallId, Snapshot};
use crate::response_status::is_final_status;
use crate::wire::{LeafResult, NotStartedReason};

/// Bounds of the time limit for setting up a connection to a leaf.
const MIN_CONNECT_TIMEOUT_MS: u64 = 100;
const MAX_CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Time limit for setting up a connection, as a multiple of the expected set-up time.
const CONNECT_TIMEOUT_FACTOR: u64 = 20;

/// Time limit for distinguishing a crashed leaf process from a lost connection.
///
/// The call is retried only after the probe: a refused connection reveals a crash at once, and an
/// unreachable leaf must not delay the retry for long.
const CRASH_PROBE_TIMEOUT_MS: u64 = 100;

/// Interval between crash probes: each opens a connection, and the leaf may be at its connection
/// limit.
const CRASH_PROBE_INTERVAL_MS: u64 = 60;

/// Maximum size of the response body of a leaf.
const MAX_RESPONSE_BYTES: usize = 1_048_576;

/// Header with the ID of a leaf call.
pub const CALL_HEADER: &str = "x-call-id";
/// Header with the shard number.
pub const SHARD_HEADER: &str = "x-shard";
/// Header with the snapshot.
pub const SNAPSHOT_HEADER: &str = "x-snapshot";
/// Header with the deadline in milliseconds since the Unix epoch.
pub const DEADLINE_HEADER: &str = "x-deadline-unix-ms";
/// Header with the reason why a leaf did not start a call; absent if it started.
pub const NOT_STARTED_HEADER: &str = "x-not-started";

/// Values of [`NOT_STARTED_HEADER`] with their reasons.
const NOT_STARTED_REASONS: &[(&str, NotStartedReason)] = &[
    ("deadline", NotStartedReason::Deadline),
    ("draining", NotStartedReason::Draining),
    ("shed", NotStartedReason::Shed),
    ("snapshot", NotStartedReason::SnapshotGone),
];

/// State of a connection that is being set up.
#[derive(Clone, Copy, Debug)]
pub struct Connecting;

/// State of a connection whose limit of concurrent calls is growing.
#[derive(Clone, Copy, Debug)]
pub struct Warming;

/// State of a connection that takes calls without a warm-up limit.
#[derive(Clone, Copy, Debug)]
pub struct Serving;

/// State of a connection that takes no new calls and finishes those in flight.
#[derive(Clone, Copy, Debug)]
pub struct Draining;

/// State of a connection that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Closed;

/// State in which a connection is established.
pub trait Open {}

/// State in which a connection takes new calls.
pub trait Active: Open {}

impl Open for Warming {}
impl Open for Serving {}
impl Open for Draining {}
impl Active for Warming {}
impl Active for Serving {}

/// Reason why a leaf could not be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum LeafError {
    /// No connection could be set up in time.
    #[error("leaf {0} can't be reached")]
    Connect(SocketAddr),
    /// The status request failed or its response was malformed.
    #[error("leaf {0} returned no valid status")]
    Status(SocketAddr),
}

/// Status that a leaf reports; it may be out of date.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct LeafStatus {
    /// Whether the leaf takes no new calls.
    pub draining: bool,
    /// Whether the leaf started recently.
    #[serde(default)]
    pub cold: bool,
    /// Identity of the leaf's process, if the target reports it.
    #[serde(default)]
    pub process: Option<Box<str>>,
    /// Snapshots available on the leaf.
    pub snapshots: Vec<Snapshot>,
}

/// Parameters of one leaf call.
#[derive(Clone, Debug)]
pub struct LeafRequest {
    /// Identity of the call.
    pub call: CallId,
    /// Full name of the service.
    pub service: Box<str>,
    /// Member on whose behalf the caller sends the request.
    pub member: Box<str>,
    /// ID that the caller gave the request.
    pub request_id: Box<str>,
    /// Shard that the call queries.
    pub shard: u32,
    /// Pinned snapshot.
    pub snapshot: Snapshot,
    /// Deadline on the wall clock.
    pub deadline_unix_ms: u64,
    /// Deadline on the boot-time clock.
    pub deadline_ms: u64,
    /// Fingerprint of the service and the payload.
    pub fingerprint: u64,
    /// Payload of the request.
    pub payload: Bytes,
}

type Sender = SendRequest<Full<Bytes>>;

/// Connection to a leaf in life-cycle state `S`.
#[derive(Clone, Debug)]
pub struct LeafConnection<S> {
    address: SocketAddr,
    sender: Option<Sender>,
    state: PhantomData<S>,
}

impl<S> LeafConnection<S> {
    fn into_state<T>(self, sender: Option<Sender>) -> LeafConnection<T> {
        LeafConnection {
            address: self.address,
            sender,
            state: PhantomData,
        }
    }

    /// Returns the address of the leaf.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl LeafConnection<Connecting> {
    /// Creates a connection that is not yet set up.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
            state: PhantomData,
        }
    }

    /// Sets up the connection; the time limit is derived from the expected set-up time
    /// `expected_ms`.
    ///
    /// # Errors
    ///
    /// Fails if the leaf can't be reached in time.
    pub async fn open(self, expected_ms: u64) -> Result<LeafConnection<Warming>, LeafError> {
        let limit_ms = (expected_ms * CONNECT_TIMEOUT_FACTOR)
            .clamp(MIN_CONNECT_TIMEOUT_MS, MAX_CONNECT_TIMEOUT_MS);
        let limit = Duration::from_millis(limit_ms);
        let opened = timeout(limit, open(self.address)).await.ok().flatten();
        let sender = opened.ok_or(LeafError::Connect(self.address))?;
        Ok(self.into_state(Some(sender)))
    }
}

impl LeafConnection<Warming> {
    /// Ends the warm-up, so that the connection takes as many calls as the leaf has slots.
    pub fn serve(self) -> LeafConnection<Serving> {
        let sender = self.sender.clone();
        self.into_state(sender)
    }
}

impl LeafConnection<Draining> {
    /// Drops this handle of the connection; calls in flight have their own handles and continue.
    pub fn close(self) -> LeafConnection<Closed> {
        self.into_state(None)
    }
}

impl<S: Active> LeafConnection<S> {
    /// Stops taking new calls; calls in flight continue.
    pub fn drain(self) -> LeafConnection<Draining> {
        let sender = self.sender.clone();
        self.into_state(sender)
    }

    /// Sends one call and waits for its result.
    pub async fn execute(&self, request: &LeafRequest) -> LeafResult {
        let Ok(message) = execute_request(self.address, request) else {
            return LeafResult::NotStarted(NotStartedReason::Unreachable);
        };
        let Some(mut sender) = self.sender.clone() else {
            return LeafResult::NotStarted(NotStartedReason::Unreachable);
        };
        if sender.ready().await.is_err() {
            return LeafResult::NotStarted(NotStartedReason::Unreachable);
        }
        // Waiting for a free stream takes time, and the process may have been paused meanwhile, so
        // the deadline is checked immediately before sending.
        if boot_ms() >= request.deadline_ms {
            return LeafResult::NotStarted(NotStartedReason::Deadline);
        }
        match crate::faults::with_fail_point("request.running", sender.try_send_request(message))
            .await
        {
            Ok(response) => read_response(response, request).await,
            Err(error) => classify_send_error(error),
        }
    }
}

impl<S: Open> LeafConnection<S> {
    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.as_ref().is_none_or(SendRequest::is_closed)
    }

    /// Requests the leaf's status.
    ///
    /// # Errors
    ///
    /// Fails if the request fails or the response is malformed.
    pub async fn status(&self) -> Result<LeafStatus, LeafError> {
        let status_error = LeafError::Status(self.address);
        let request = Request::get(format!("http://{}/v1/status", self.address))
            .body(Full::default())
            .map_err(|_| status_error)?;
        let mut sender = self.sender.clone().ok_or(status_error)?;
        sender.ready().await.map_err(|_| status_error)?;
        let response = sender
            .send_request(request)
            .await
            .map_err(|_| status_error)?;
        if !is_final_status(response.status()) {
            return Err(status_error);
        }
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let bytes = body.collect().await.map_err(|_| status_error)?.to_bytes();
        serde_json::from_slice(&bytes).map_err(|_| status_error)
    }
}

async fn open(address: SocketAddr) -> Option<Sender> {
    if is_link_cut(address) {
        return None;
    }
    http2_handshake(TcpStream::connect(address).await.ok()?).await
}

async fn http2_handshake(stream: TcpStream) -> Option<Sender> {
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(sender)
}

fn execute_request(
    address: SocketAddr,
    request: &LeafRequest,
) -> Result<Request<Full<Bytes>>, http::Error> {
    Request::post(format!("http://{address}/v1/execute"))
        .header("x-service", &*request.service)
        .header("x-member", &*request.member)
        .header("x-request-id", never_indexed(&request.request_id)?)
        .header(CALL_HEADER, never_indexed(&request.call.to_string())?)
        .header(SHARD_HEADER, request.shard)
        .header(SNAPSHOT_HEADER, request.snapshot.to_string())
        .header(
            DEADLINE_HEADER,
            never_indexed(&request.deadline_unix_ms.to_string())?,
        )
        .body(Full::new(request.payload.clone()))
}

/// Creates the value of a header that differs for each call.
///
/// The value is marked sensitive, which keeps it out of the HPACK dynamic table of the connection;
/// values that never repeat would evict the useful entries.
fn never_indexed(text: &str) -> Result<HeaderValue, http::Error> {
    let mut value = HeaderValue::from_str(text)?;
    value.set_sensitive(true);
    Ok(value)
}

/// Distinguishes a call that provably did not start from one that may have run.
fn classify_send_error(mut error: TrySendError<Request<Full<Bytes>>>) -> LeafResult {
    if error.take_message().is_some() {
        return LeafResult::NotStarted(NotStartedReason::Unreachable);
    }
    if is_refused_stream(error.error()) {
        return LeafResult::NotStarted(NotStartedReason::Shed);
    }
    LeafResult::ConnectionLost
}

/// Returns whether the process of a leaf has ended, after a connection to it was lost.
///
/// It has ended if connections are refused or if a process other than `known_process` responds. If
/// the same process responds, or if its identity is unknown, only the connection was lost. A leaf
/// that can't be reached at all may be behind a network partition, which proves nothing either.
pub(crate) async fn process_has_ended(address: SocketAddr, known_process: Option<&str>) -> bool {
    let limit = Duration::from_millis(CRASH_PROBE_TIMEOUT_MS);
    let probing = async {
        loop {
            if let Some(ended) = probe_process(address, known_process).await {
                return ended;
            }
            tokio::time::sleep(Duration::from_millis(CRASH_PROBE_INTERVAL_MS)).await;
        }
    };
    timeout(limit, probing).await.unwrap_or(false)
}

/// Probes once whether the process of a leaf has ended; `None` if the probe is inconclusive.
async fn probe_process(address: SocketAddr, known_process: Option<&str>) -> Option<bool> {
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) => {
            let refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
            return refused.then_some(true);
        }
    };
    let sender = http2_handshake(stream).await?;
    let connection = LeafConnection {
        address,
        sender: Some(sender),
        state: PhantomData::<Serving>,
    };
    let status = connection.status().await.ok()?;
    let identities = known_process.zip(status.process.as_deref());
    Some(identities.is_some_and(|(known, current)| known != current))
}

/// Returns whether the peer reset the stream with `REFUSED_STREAM`, by which HTTP/2 guarantees that
/// the request was not processed.
fn is_refused_stream(error: &hyper::Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        if let Some(h2) = cause.downcast_ref::<h2::Error>() {
            return h2.reason() == Some(h2::Reason::REFUSED_STREAM);
        }
        source = cause.source();
    }
    false
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

async fn read_response(response: Response<Incoming>, request: &LeafRequest) -> LeafResult {
    // Checked before the refusal: a leaf with such a status may have run the call, whatever its headers say.
    if !is_final_status(response.status()) {
        return LeafResult::Failed;
    }
    let headers = response.headers();
    let refusal = header(headers, NOT_STARTED_HEADER);
    if !refusal.is_empty() {
        let named_reason = NOT_STARTED_REASONS
            .iter()
            .find(|(name, _)| *name == refusal);
        return LeafResult::NotStarted(
            named_reason.map_or(NotStartedReason::Shed, |(_, reason)| *reason),
        );
    }
    if response.status() != StatusCode::OK {
        return LeafResult::Failed;
    }
    let snapshot = Snapshot::parse(header(headers, SNAPSHOT_HEADER));
    let matches = header(headers, CALL_HEADER) == request.call.to_string()
        && header(headers, SHARD_HEADER) == request.shard.to_string()
        && snapshot == Some(request.snapshot)
        || crate::faults::is_check_disabled("check.match");
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let body = match body.collect().await {
        Ok(body) => body,
        Err(error) if error.is::<LengthLimitError>() => return LeafResult::Failed,
        Err(_) => return LeafResult::ConnectionLost,
    };
    if !matches {
        return LeafResult::Mismatch;
    }
    LeafResult::Answered {
        snapshot: request.snapshot,
        body: body.to_bytes().to_vec(),
    }
}
