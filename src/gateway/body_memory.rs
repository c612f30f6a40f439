//! Bounds the memory of all request bodies that this VM receives and holds for its calls.
//!
//! Handles many long uploads at the same time, while leaves are slow: a request whose body finds no room is
//! refused at once, before it has run.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::http_server::READ_TIMEOUT_MS;

const BYTES_PER_KIB: usize = 1_024;

/// Reason why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum BodyReadError {
    /// The body exceeds the size limit.
    #[error("request body exceeds the size limit")]
    TooLarge,
    /// The body did not arrive in time or ended early.
    #[error("request body is incomplete")]
    Incomplete,
    /// Other bodies take the memory.
    #[error("no memory for another request body")]
    NoMemory,
}

/// Memory that request bodies share.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    available_kib: Arc<Semaphore>,
}

/// A complete body, which keeps its share of the memory until its last copy is dropped.
struct HeldBody {
    bytes: BytesMut,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// Creates a memory of `bytes`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::BodyMemory;
    /// assert_eq!(BodyMemory::new(65_536).available_bytes(), 65_536);
    /// ```
    pub fn new(bytes: usize) -> Self {
        Self {
            available_kib: Arc::new(Semaphore::new(bytes / BYTES_PER_KIB)),
        }
    }

    /// Returns the bytes that further bodies may take.
    pub fn available_bytes(&self) -> usize {
        self.available_kib.available_permits() * BYTES_PER_KIB
    }

    fn reserve(&self, bytes: usize) -> Result<OwnedSemaphorePermit, BodyReadError> {
        let kib = u32::try_from(bytes.div_ceil(BYTES_PER_KIB)).unwrap_or(u32::MAX);
        let permit = Arc::clone(&self.available_kib).try_acquire_many_owned(kib);
        permit.map_err(|_| BodyReadError::NoMemory)
    }

    /// Reads a complete body of at most `limit_bytes`. The length that a request states is reserved before
    /// any of its body is read.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, finds no memory, arrives too slowly or ends early.
    pub async fn read(
        &self,
        mut body: Incoming,
        limit_bytes: usize,
    ) -> Result<Bytes, BodyReadError> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let stated_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let mut reserved_bytes = stated_bytes.min(limit_bytes);
        let mut permit = self.reserve(reserved_bytes)?;
        let mut bytes = BytesMut::with_capacity(reserved_bytes);
        let reading = async {
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|_| BodyReadError::Incomplete)?;
                let Some(part) = frame.data_ref() else {
                    continue;
                };
                let length_bytes = bytes.len() + part.len();
                if length_bytes > limit_bytes {
                    return Err(BodyReadError::TooLarge);
                }
                if length_bytes > reserved_bytes {
                    let total_bytes = length_bytes.next_power_of_two().min(limit_bytes);
                    permit.merge(self.reserve(total_bytes - reserved_bytes)?);
                    bytes.reserve(total_bytes - bytes.len());
                    reserved_bytes = total_bytes;
                }
                bytes.extend_from_slice(part);
            }
            Ok(())
        };
        let limit = Duration::from_millis(READ_TIMEOUT_MS);
        let read = timeout(limit, reading).await;
        read.map_err(|_| BodyReadError::Incomplete)??;
        Ok(Bytes::from_owner(HeldBody {
            bytes,
            _permit: permit,
        }))
    }
}
