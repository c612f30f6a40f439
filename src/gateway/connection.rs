//! Carries calls to leaves over HTTP/1.1 connections, one request at a time.
//!
//! Handles leaves that don't accept connections in time, close idle connections or send incomplete
//! replies, and determines whether a failed request may have run.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::late_reply::{HeadObserver, LateReply};
use super::leaf_bodies::{Sending, StopSignal};
use super::metered_stream::{MeteredStream, ReadAllowance};
use super::reply_memory::{ReceiveError, ReplyMemory, ReplyReceiver};
use super::reply_origin::ReplyHistory;
use crate::response_status::is_final_status;

/// Timeout for opening a connection: a network round trip and the setup at the leaf, with a margin
/// for a loaded leaf. A lost SYN is retransmitted only after a second.
const CONNECT_TIMEOUT_MS: u64 = 120;

/// Timeout for a connection to finish with the request before. It may still be sending a long body that the leaf
/// has answered early and reads slowly.
const READY_TIMEOUT_MS: u64 = 20;

/// Memory of the reply to a call that shares none with other calls.
const OWN_REPLY_BYTES: usize = 16 * 1_048_576;

/// Maximum number of bytes that are received beyond the parts of a body: what the read buffer holds, the
/// headers of chunks and trailers, which are collected in memory.
const MAX_BODY_OVERHEAD_BYTES: usize = 2 * READ_BUFFER_BYTES;

/// Number of these bytes that each part of a body adds: the header of a chunk.
const CHUNK_HEADER_BYTES: usize = 32;

/// Maximum number of bytes that are received before a reply's body: its head and interim responses.
const MAX_HEAD_READ_BYTES: usize = 32 * 1_024;

/// Size of a connection's read buffer, which also limits the header block of a leaf's reply. It is
/// small because a VM has some hundred connections and its memory is billed.
const READ_BUFFER_BYTES: usize = 4 * 1_024;

/// Idle timeout of a connection if the leaf states none.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;

/// Longest idle timeout that a leaf may state. No connection is idle for that long in use.
const MAX_IDLE_TIMEOUT_MS: u64 = 3_600_000;

/// Share of the idle timeout stated by the leaf during which a connection is reused.
const IDLE_TIMEOUT_REUSE_PERCENT: u64 = 60;

/// An idle connection that can be reused for another call.
#[derive(Debug)]
pub struct IdleConnection {
    connection: Connection,
    usable_until_ms: u64,
}

/// A connection in use by one call.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,
    late_reply: Arc<LateReply>,
    stop: StopSignal,
    pub(super) reply_history: ReplyHistory,
}

/// A complete reply of a leaf.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Reply {
    /// Returns whether the body ends with the connection, so that HTTP can't tell whether the leaf has
    /// sent all of it.
    pub fn ends_with_connection(&self) -> bool {
        let names = [
            http::header::CONTENT_LENGTH,
            http::header::TRANSFER_ENCODING,
        ];
        names.iter().all(|name| !self.headers.contains_key(name))
    }
}

/// Reason why a call failed without a valid reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[error("connection could not be opened")]
    Connect,
    /// No process listens at the address, so nothing was sent.
    #[error("connection was refused")]
    ConnectRefused,
    /// The connection was closed before the request was written, so nothing was sent.
    #[error("connection had ended")]
    Unsent,
    /// Before the request was sent, the leaf announced its end or a time without calls.
    #[error("leaf leaves or wants no calls")]
    Withheld,
    /// The connection was closed, or the reply was malformed, after the request was sent.
    #[error("answer broke off")]
    Broken,
    /// The status of the reply is none that a response can have.
    #[error("answer has an impossible status")]
    ImpossibleStatus,
    /// A part of a merged answer has no length and ends within a record.
    #[error("answer ends within a record")]
    RecordCut,
    /// The reply has no end, or is larger than the memory for replies allows.
    #[error("reply is too large")]
    ReplyTooLarge,
    /// Other replies take the memory for replies of this size.
    #[error("no memory for the reply")]
    NoReplyMemory,
    /// The leaf's process ended after the request was sent.
    #[error("leaf crashed")]
    LeafCrashed,
    /// The reply echoes the ID of another request, or is a copy of the reply to another request.
    #[error("answer belongs to another request")]
    RequestIdMismatch,
    /// The reply is a success without a leaf's signature.
    #[error("answer bears no signature")]
    Unsigned,
    /// A leaf with another ID has this address.
    #[error("another leaf has the address")]
    WrongLeaf,
    /// The leaf refused the request without running it.
    #[error("leaf refused the request")]
    Refused,
}

impl From<ReceiveError> for CallError {
    fn from(error: ReceiveError) -> Self {
        match error {
            ReceiveError::TooLarge => Self::ReplyTooLarge,
            ReceiveError::NoMemory => Self::NoReplyMemory,
        }
    }
}

impl CallError {
    /// Returns whether the request was written to a connection.
    pub fn was_sent(self) -> bool {
        !matches!(
            self,
            Self::Connect | Self::ConnectRefused | Self::Unsent | Self::Withheld
        )
    }

    /// Returns whether the request is certain not to have run and not to run later.
    pub fn has_not_run(self) -> bool {
        match self {
            Self::Connect
            | Self::ConnectRefused
            | Self::Unsent
            | Self::Withheld
            | Self::WrongLeaf
            | Self::Refused => true,
            Self::Broken
            | Self::ImpossibleStatus
            | Self::RecordCut
            | Self::ReplyTooLarge
            | Self::NoReplyMemory
            | Self::LeafCrashed
            | Self::RequestIdMismatch
            | Self::Unsigned => false,
        }
    }
}

impl Connection {
    /// Opens a connection to a leaf.
    ///
    /// # Errors
    ///
    /// Fails if the leaf refuses it or does not accept it in time.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        match connecting {
            Ok(Ok(stream)) => Self::open_on(stream).await,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                Err(CallError::ConnectRefused)
            }
            _ => Err(CallError::Connect),
        }
    }

    /// Sets up HTTP on an open stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream has been closed.
    pub async fn open_on(stream: TcpStream) -> Result<Self, CallError> {
        if stream.set_nodelay(true).is_err() {
            return Err(CallError::Connect);
        }
        let mut builder = Builder::new();
        builder.read_buf_exact_size(Some(READ_BUFFER_BYTES));
        let allowance = ReadAllowance::default();
        allowance.set(MAX_HEAD_READ_BYTES);
        let stream = MeteredStream::new(stream, allowance.clone());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| CallError::Connect)?;
        let late_reply = Arc::new(LateReply::default());
        let ended = Arc::clone(&late_reply);
        let stop = StopSignal::new();
        let stopped = stop.clone().cancelled_owned();
        tokio::spawn(async move {
            let end = tokio::select! {
                end = connection.without_shutdown() => end,
                () = stopped => return,
            };
            match end {
                Ok(parts) => ended.read(parts.io.into_inner(), &parts.read_buf).await,
                Err(error) => tracing::trace!(event = "leaf_connection_ended", %error),
            }
        });
        Ok(Self {
            sender,
            allowance,
            late_reply,
            stop,
            reply_history: ReplyHistory::default(),
        })
    }

    /// Sets who gets the head of the reply to the next request if it arrives after its call was given
    /// up.
    pub(super) fn observe_late_head(&self, observer: HeadObserver) {
        self.late_reply.observe(observer);
    }

    /// Sends a request and reads the complete reply, in memory of its own.
    ///
    /// Dropping the future closes the connection, upon which most leaves cancel the request.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed before the reply is complete, its status is none that a response can
    /// have, or the reply is too large.
    pub async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        let memory = Arc::new(ReplyMemory::new(OWN_REPLY_BYTES));
        self.exchange_within(request, &memory, |_, _| {}).await
    }

    /// Sends a request and reads the complete reply, in memory that is shared with other replies.
    ///
    /// Calls `observe_head` with the status and the headers before the body is read, which may break
    /// off.
    ///
    /// # Errors
    ///
    /// Fails as [`Connection::exchange`] does, also if other replies use the memory.
    pub async fn exchange_within(
        &mut self,
        request: Request<Full<Bytes>>,
        memory: &Arc<ReplyMemory>,
        observe_head: impl FnOnce(StatusCode, &HeaderMap),
    ) -> Result<Reply, CallError> {
        let limit = Duration::from_millis(READY_TIMEOUT_MS);
        if !matches!(timeout(limit, self.sender.ready()).await, Ok(Ok(()))) {
            return Err(CallError::Unsent);
        }
        let (request, _sending) = Sending::watch(request, &self.stop);
        self.allowance.set(MAX_HEAD_READ_BYTES);
        self.late_reply.set_awaited(true);
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                return Err(if unsent {
                    CallError::Unsent
                } else if error.error().is_parse_status() {
                    CallError::ImpossibleStatus
                } else {
                    self.broken()
                });
            }
        };
        self.late_reply.set_awaited(false);
        // Checked before `observe_head` and the body, since nothing of such a reply is believed.
        if !is_final_status(response.status()) {
            return Err(CallError::ImpossibleStatus);
        }
        self.allowance.set(MAX_BODY_OVERHEAD_BYTES);
        let (head, mut body) = response.into_parts();
        observe_head(head.status, &head.headers);
        let mut receiver = ReplyReceiver::new(Arc::clone(memory));
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| self.broken())?;
            let Some(part) = frame.data_ref() else {
                continue;
            };
            self.allowance.add(part.len() + CHUNK_HEADER_BYTES);
            // Copied because a slice would keep the whole read buffer allocated.
            receiver.append(part).await?;
        }
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: Bytes::from_owner(receiver.finish()),
        })
    }

    /// Returns why an exchange broke off.
    fn broken(&self) -> CallError {
        if self.allowance.is_exhausted() {
            CallError::ReplyTooLarge
        } else {
            CallError::Broken
        }
    }

    /// Returns whether another request can be sent.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns a connection on which nothing was sent, for use by a call.
    pub fn into_unused(self, now_ms: u64) -> IdleConnection {
        IdleConnection {
            connection: self,
            usable_until_ms: now_ms + DEFAULT_IDLE_TIMEOUT_MS,
        }
    }

    /// Returns the connection for reuse, unless it is closed or the reply's headers announce that
    /// it will be closed.
    pub fn into_idle(self, headers: &HeaderMap, now_ms: u64) -> Option<IdleConnection> {
        if self.sender.is_closed() || has_connection_close(headers) {
            return None;
        }
        let idle_timeout_ms = keep_alive_timeout_ms(headers)
            .map_or(DEFAULT_IDLE_TIMEOUT_MS, |timeout_ms| {
                timeout_ms * IDLE_TIMEOUT_REUSE_PERCENT / 100
            });
        Some(IdleConnection {
            connection: self,
            usable_until_ms: now_ms + idle_timeout_ms,
        })
    }
}

impl IdleConnection {
    /// Returns whether the connection can be used for another call.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        now_ms < self.usable_until_ms && !self.connection.sender.is_closed()
    }

    /// Returns the connection for use by a call.
    pub fn into_connection(self) -> Connection {
        self.connection
    }
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(http::header::CONNECTION);
    let mut values = values.iter().filter_map(|value| value.to_str().ok());
    values.any(|value| {
        let mut tokens = value.split(',');
        tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
    })
}

/// Returns the idle timeout that a leaf states in `Keep-Alive: timeout=SECONDS`, limited to
/// `MAX_IDLE_TIMEOUT_MS`.
fn keep_alive_timeout_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    for part in value.split(',') {
        let Some(seconds) = part.trim().strip_prefix("timeout=") else {
            continue;
        };
        let seconds: u64 = seconds.trim().parse().ok()?;
        return Some(seconds.saturating_mul(1_000).min(MAX_IDLE_TIMEOUT_MS));
    }
    None
}
