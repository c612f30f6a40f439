//! Connections to leaves: HTTP/1.1, one request at a time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time allowed for a new connection: its set-up at the leaf and a way there and back, with room for
/// a loaded leaf. A lost opening packet is sent again only after a second.
const CONNECT_TIMEOUT_MS: u64 = 120;

/// Largest answer of a leaf.
const MAX_ANSWER_BYTES: usize = 16 * 1_048_576;

/// Read buffer of a connection, which bounds the header block of a leaf's answer. A VM holds some
/// hundred connections, and its memory is paid for.
const READ_BUFFER_BYTES: usize = 4 * 1_024;

/// Time for which an idle connection is kept if the leaf names no limit.
const IDLE_KEEP_MS: u64 = 4_000;

/// Share of the leaf's own idle limit for which a connection is used again: six tenths.
const IDLE_SHARE_PERCENT: u64 = 60;

/// A connection that waits for its next call.
#[derive(Debug)]
pub struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    usable_until_ms: u64,
}

/// A connection in use by one call.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

/// A whole answer of a leaf.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// A call ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum CallError {
    /// No connection could be opened: nothing was sent.
    #[error("connection could not be opened")]
    Connect,
    /// The connection had ended before the request was written: nothing was sent.
    #[error("connection had ended")]
    Unsent,
    /// The connection ended or the answer was malformed after the request had gone out.
    #[error("answer broke off")]
    Broken,
    /// The answer belongs to another request.
    #[error("answer belongs to another request")]
    RequestIdMismatch,
    /// The answer is a success that no leaf has signed.
    #[error("answer bears no signature")]
    Unsigned,
    /// The leaf answers under another identity.
    #[error("another leaf has the address")]
    WrongLeaf,
    /// The leaf refused the request without running it.
    #[error("leaf refused the request")]
    Refused,
}

impl CallError {
    /// Returns whether the request certainly did not run and never will.
    pub fn has_not_run(self) -> bool {
        match self {
            Self::Connect | Self::Unsent | Self::WrongLeaf | Self::Refused => true,
            Self::Broken | Self::RequestIdMismatch | Self::Unsigned => false,
        }
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the leaf refuses it or does not accept it in time.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connecting else {
            return Err(CallError::Connect);
        };
        if stream.set_nodelay(true).is_err() {
            return Err(CallError::Connect);
        }
        let mut builder = Builder::new();
        builder.read_buf_exact_size(Some(READ_BUFFER_BYTES));
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| CallError::Connect)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::trace!(event = "leaf_connection_ended", %error);
            }
        });
        Ok(Self { sender })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// Dropping the future closes the connection, which makes most leaves drop the request.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the answer is complete.
    pub async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        if self.sender.ready().await.is_err() {
            return Err(CallError::Unsent);
        }
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                return Err(if unsent {
                    CallError::Unsent
                } else {
                    CallError::Broken
                });
            }
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        // A copy, since the bytes would keep the whole read buffer.
        let body = Bytes::copy_from_slice(&body.map_err(|_| CallError::Broken)?.to_bytes());
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Returns whether another request may be sent.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns the connection for its next call, unless its answer says that it will end.
    pub fn into_idle(self, headers: &HeaderMap, now_ms: u64) -> Option<IdleConnection> {
        if self.sender.is_closed() || says_close(headers) {
            return None;
        }
        let keep_ms = keep_alive_ms(headers)
            .map_or(IDLE_KEEP_MS, |limit_ms| limit_ms * IDLE_SHARE_PERCENT / 100);
        Some(IdleConnection {
            sender: self.sender,
            usable_until_ms: now_ms + keep_ms,
        })
    }
}

impl IdleConnection {
    /// Returns whether the connection may carry another call.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        now_ms < self.usable_until_ms && !self.sender.is_closed()
    }

    /// Takes the connection into use.
    pub fn into_connection(self) -> Connection {
        Connection {
            sender: self.sender,
        }
    }
}

fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(http::header::CONNECTION);
    let mut values = values.iter().filter_map(|value| value.to_str().ok());
    values.any(|value| {
        let mut tokens = value.split(',');
        tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
    })
}

/// Returns the idle limit that a leaf states in `Keep-Alive: timeout=SECONDS`.
fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    for part in value.split(',') {
        let Some(seconds) = part.trim().strip_prefix("timeout=") else {
            continue;
        };
        return seconds.trim().parse::<u64>().ok().map(|s| s * 1_000);
    }
    None
}
