//! Reads the head of a reply to a call that was given up.
//!
//! Handles leaves that announce their end, or refuse requests for a while, in a reply that arrives when
//! nobody awaits it any more. The VM has closed its side of the connection, which cancels the request
//! at the leaf, but later requests have to respect what the leaf says of itself.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use crate::response_status::is_final_status;

/// Time for which a late reply is read: a round trip between failure domains, with a margin for a
/// loaded leaf.
const READ_LIMIT_MS: u64 = 50;

/// Maximum number of bytes that are read for a head, and of its headers.
const MAX_HEAD_BYTES: u64 = 4 * 1_024;
const MAX_HEADERS: usize = 64;

/// Free space before each read.
const READ_BYTES: usize = 1_024;

/// Receives the status and the headers of a late reply.
pub(super) type HeadObserver = Box<dyn FnOnce(StatusCode, &HeaderMap) + Send>;

/// Whether a reply is awaited on a connection, and who gets its head if it arrives late.
#[derive(Default)]
pub(super) struct LateReply {
    is_awaited: AtomicBool,
    observer: Mutex<Option<HeadObserver>>,
}

impl fmt::Debug for LateReply {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("LateReply")
            .field("is_awaited", &self.is_awaited)
            .finish_non_exhaustive()
    }
}

impl LateReply {
    /// Sets the observer for the reply to the next request.
    pub(super) fn observe(&self, observer: HeadObserver) {
        let mut current = self.observer.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Some(observer);
    }

    /// Sets whether a request has been sent whose reply has no head yet.
    pub(super) fn set_awaited(&self, is_awaited: bool) {
        self.is_awaited.store(is_awaited, Ordering::Relaxed);
    }

    /// Closes the sending side of a connection that carries no more requests and, if the last call was
    /// given up, reads the head of its reply. `received` are the bytes that were read before.
    pub(super) async fn read<S>(&self, mut stream: S, received: &[u8])
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let observer = self.observer.lock();
        let observer = observer.unwrap_or_else(PoisonError::into_inner).take();
        let Some(observer) = observer else {
            return;
        };
        if !self.is_awaited.load(Ordering::Relaxed) || stream.shutdown().await.is_err() {
            return;
        }
        let limit = Duration::from_millis(READ_LIMIT_MS);
        let head = timeout(limit, read_head(stream, received.to_vec())).await;
        if let Ok(Some((status, headers))) = head {
            observer(status, &headers);
        }
    }
}

/// Reads until a final head is complete.
async fn read_head<S>(stream: S, mut received: Vec<u8>) -> Option<(StatusCode, HeaderMap)>
where
    S: AsyncRead + Unpin,
{
    let mut stream = stream.take(MAX_HEAD_BYTES);
    loop {
        if let Some(head) = parse_final_head(&received).ok()? {
            return Some(head);
        }
        received.reserve(READ_BYTES);
        if stream.read_buf(&mut received).await.ok()? == 0 {
            return None;
        }
    }
}

/// Parses the first head that is not an interim one; returns `None` if it is not complete. Fails if its
/// status is none that a response can have.
fn parse_final_head(mut bytes: &[u8]) -> Result<Option<(StatusCode, HeaderMap)>, httparse::Error> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut fields);
        let httparse::Status::Complete(length) = response.parse(bytes)? else {
            return Ok(None);
        };
        let status = response
            .code
            .and_then(|code| StatusCode::from_u16(code).ok());
        let status = status.ok_or(httparse::Error::Status)?;
        if status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS {
            bytes = &bytes[length..];
            continue;
        }
        if !is_final_status(status) {
            return Err(httparse::Error::Status);
        }
        let mut headers = HeaderMap::new();
        for field in response.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes());
            let name = name.map_err(|_| httparse::Error::HeaderName)?;
            let value = HeaderValue::from_bytes(field.value);
            headers.append(name, value.map_err(|_| httparse::Error::HeaderValue)?);
        }
        return Ok(Some((status, headers)));
    }
}
