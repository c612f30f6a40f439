//! Bounds the memory and the processor time of all replies that this VM is receiving from leaves.
//!
//! Handles leaves that send bytes without end, or large replies that they never complete, to many
//! requests at the same time. Replies share memory with those of a similar size only, so that usual ones
//! are received while larger ones use all of theirs.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Maximum size of a reply, and number of parts in which it arrives. Usual parts have some kilobytes.
const MAX_REPLY_BYTES: usize = 16 * 1_048_576;
const MAX_REPLY_PARTS: usize = 16 * 1_024;

/// Number of size classes, each of which has memory of its own.
pub const SIZE_CLASSES: usize = 4;

/// Size of the largest reply of each class. Most parts of merged answers are of the first one, whose
/// memory suffices for a reply on each connection that the descriptors of a VM allow.
const CLASS_LIMITS_BYTES: [usize; SIZE_CLASSES] =
    [2 * 1_024, 8 * 1_024, 64 * 1_024, MAX_REPLY_BYTES];

/// Class of large replies, of which few are received at the same time.
const LARGE_CLASS: usize = SIZE_CLASSES - 1;

/// Number of parts up to which a reply is not large: receiving a part takes about as much processor time
/// whatever its size.
const MAX_SMALL_REPLY_PARTS: usize = 64;

/// Number of large replies that are received at the same time. More of them would delay the small
/// ones.
const MAX_LARGE_REPLIES: usize = 8;

/// Number of further large replies that wait for one of these to end, and time for which they wait.
/// Any more fail at once, so that their requests can be sent to another leaf in time.
const MAX_WAITING_REPLIES: usize = 8;
const LARGE_REPLY_WAIT_MS: u64 = 400;

/// Smallest capacity of the buffer for a body.
const MIN_CAPACITY_BYTES: usize = 1_024;

/// Reason why a reply is not received any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ReceiveError {
    /// The reply has no end, or is larger than the memory for large replies allows.
    #[error("reply is too large")]
    TooLarge,
    /// Other replies of this size take the memory, which says nothing about the leaf.
    #[error("no memory for another reply")]
    NoMemory,
}

/// Memory that replies share.
#[derive(Debug)]
pub struct ReplyMemory {
    /// Bytes that further replies of each size class may take.
    available_bytes: [AtomicUsize; SIZE_CLASSES],
    large_replies: Arc<Semaphore>,
    waiting_replies: Semaphore,
}

/// Body of a reply that is being received, or was received.
#[derive(Debug)]
pub struct ReplyBuffer {
    bytes: Vec<u8>,
    parts: usize,
    memory: Arc<ReplyMemory>,
    size_class: usize,
    reserved_bytes: usize,
}

/// Body that was built from replies.
struct HeldBody {
    body: Bytes,
    memory: Arc<ReplyMemory>,
    size_class: usize,
}

/// Receives the parts of one reply.
#[derive(Debug)]
pub struct ReplyReceiver {
    reply_buffer: ReplyBuffer,
    permit: Option<OwnedSemaphorePermit>,
}

impl ReplyMemory {
    /// Creates a memory with `large_bytes` for large replies, and half of it for each smaller size class.
    pub fn new(large_bytes: usize) -> Self {
        Self {
            available_bytes: std::array::from_fn(|size_class| {
                let is_large = size_class == LARGE_CLASS;
                AtomicUsize::new(if is_large {
                    large_bytes
                } else {
                    large_bytes / 2
                })
            }),
            large_replies: Arc::new(Semaphore::new(MAX_LARGE_REPLIES)),
            waiting_replies: Semaphore::new(MAX_WAITING_REPLIES),
        }
    }

    /// Returns the size of a memory with `large_bytes` for large replies.
    pub fn total_bytes(large_bytes: usize) -> usize {
        large_bytes + LARGE_CLASS * (large_bytes / 2)
    }

    /// Waits until another large reply may be received, or returns `None` if too many are.
    async fn admit_large(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.large_replies).try_acquire_owned() {
            return Some(permit);
        }
        let _waiting = self.waiting_replies.try_acquire().ok()?;
        let limit = Duration::from_millis(LARGE_REPLY_WAIT_MS);
        let admitted = timeout(limit, Arc::clone(&self.large_replies).acquire_owned());
        admitted.await.ok()?.ok()
    }

    /// Returns the bytes that further large replies may take.
    pub fn available_bytes(&self) -> usize {
        self.available_bytes[LARGE_CLASS].load(Ordering::Relaxed)
    }

    /// Returns a body that was built from replies, which keeps a share of the memory until it is dropped. It
    /// is returned without room as well, since its work has been done.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    /// use cloverrack::gateway::ReplyMemory;
    /// let memory = Arc::new(ReplyMemory::new(200_000));
    /// let body = memory.hold(bytes::Bytes::from(vec![1; 70_000]));
    /// assert_eq!((body.len(), memory.available_bytes()), (70_000, 130_000));
    /// drop(body);
    /// assert_eq!(memory.available_bytes(), 200_000);
    /// ```
    pub fn hold(self: &Arc<Self>, body: Bytes) -> Bytes {
        let (size_class, length_bytes) = (size_class(body.len()), body.len());
        if body.is_empty() || !self.reserve(size_class, length_bytes) {
            return body;
        }
        Bytes::from_owner(HeldBody {
            body,
            memory: Arc::clone(self),
            size_class,
        })
    }

    fn reserve(&self, size_class: usize, bytes: usize) -> bool {
        let take = |available: usize| available.checked_sub(bytes);
        let order = Ordering::Relaxed;
        self.available_bytes[size_class]
            .fetch_update(order, order, take)
            .is_ok()
    }

    fn release(&self, size_class: usize, bytes: usize) {
        self.available_bytes[size_class].fetch_add(bytes, Ordering::Relaxed);
    }
}

impl ReplyReceiver {
    /// Starts to receive a reply.
    pub fn new(memory: Arc<ReplyMemory>) -> Self {
        Self {
            reply_buffer: ReplyBuffer {
                bytes: Vec::new(),
                parts: 0,
                memory,
                size_class: 0,
                reserved_bytes: 0,
            },
            permit: None,
        }
    }

    /// Appends a part of the body.
    ///
    /// # Errors
    ///
    /// Fails if the reply is too large, or if other replies take the memory or the processor time.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    /// use cloverrack::gateway::{ReceiveError, ReplyMemory, ReplyReceiver};
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    /// let memory = Arc::new(ReplyMemory::new(200_000));
    /// let mut receiver = ReplyReceiver::new(Arc::clone(&memory));
    /// assert_eq!(runtime.block_on(receiver.append(&[0; 60_000])), Ok(()));
    /// let too_large = Err(ReceiveError::TooLarge);
    /// assert_eq!(runtime.block_on(receiver.append(&[0; 160_000])), too_large);
    /// drop(receiver);
    /// assert_eq!(memory.available_bytes(), 200_000);
    /// ```
    pub async fn append(&mut self, part: &[u8]) -> Result<(), ReceiveError> {
        let reply_buffer = &mut self.reply_buffer;
        reply_buffer.parts += 1;
        let length = reply_buffer.bytes.len() + part.len();
        if length > MAX_REPLY_BYTES || reply_buffer.parts > MAX_REPLY_PARTS {
            return Err(ReceiveError::TooLarge);
        }
        let is_large =
            size_class(length) == LARGE_CLASS || reply_buffer.parts > MAX_SMALL_REPLY_PARTS;
        if is_large && self.permit.is_none() {
            let permit = reply_buffer.memory.admit_large().await;
            self.permit = Some(permit.ok_or(ReceiveError::TooLarge)?);
        }
        reply_buffer.append(part)
    }

    /// Returns the complete body, which keeps its share of the memory until it is dropped.
    pub fn finish(self) -> ReplyBuffer {
        self.reply_buffer
    }
}

/// Returns the class of a reply that takes `bytes`.
fn size_class(bytes: usize) -> usize {
    let class = CLASS_LIMITS_BYTES.iter().position(|limit| bytes <= *limit);
    class.unwrap_or(LARGE_CLASS)
}

impl ReplyBuffer {
    fn append(&mut self, part: &[u8]) -> Result<(), ReceiveError> {
        let length = self.bytes.len() + part.len();
        if length > self.bytes.capacity() {
            // The capacity grows to the limit of a class first, since the next one has other memory.
            let class_limit = CLASS_LIMITS_BYTES[size_class(length)];
            let doubled = length.max(self.bytes.capacity() * 2);
            let capacity = doubled.max(MIN_CAPACITY_BYTES).min(class_limit);
            if !self.reserve_capacity(capacity) && !self.reserve_capacity(length) {
                return Err(if size_class(length) == LARGE_CLASS {
                    ReceiveError::TooLarge
                } else {
                    ReceiveError::NoMemory
                });
            }
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    fn reserve_capacity(&mut self, capacity: usize) -> bool {
        let size_class = size_class(capacity);
        if size_class == self.size_class {
            let additional_bytes = capacity.saturating_sub(self.reserved_bytes);
            if !self.memory.reserve(size_class, additional_bytes) {
                return false;
            }
        } else {
            if !self.memory.reserve(size_class, capacity) {
                return false;
            }
            self.memory.release(self.size_class, self.reserved_bytes);
            self.size_class = size_class;
        }
        self.reserved_bytes = capacity;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        true
    }
}

impl AsRef<[u8]> for ReplyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.memory.release(self.size_class, self.body.len());
    }
}

impl Drop for ReplyBuffer {
    fn drop(&mut self) {
        self.memory.release(self.size_class, self.reserved_bytes);
    }
}
