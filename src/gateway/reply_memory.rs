//! Bounds the memory and the processor time of all replies that this VM is receiving from leaves.
//!
//! Handles leaves that send bytes without end, to many requests at the same time: some replies may
//! be large, but not all of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Size up to which a reply takes nothing from the shared memory, so that usual replies are received
/// while large ones use all of it. The number of calls bounds the total of these.
const SMALL_REPLY_BYTES: usize = 64 * 1_024;

/// Number of parts up to which a reply is small: receiving a part takes about as much processor time
/// whatever its size.
const SMALL_REPLY_PARTS: usize = 64;

/// Maximum size of a reply, and number of parts in which it arrives. Usual parts have some kilobytes.
const MAX_REPLY_BYTES: usize = 16 * 1_048_576;
const MAX_REPLY_PARTS: usize = 16 * 1_024;

/// Number of large replies that are received at the same time. More of them would delay the small
/// ones.
const MAX_LARGE_REPLIES: usize = 8;

/// Number of further large replies that wait for one of these to end, and time for which they wait.
/// Any more fail at once, so that their requests can be sent to another leaf in time.
const MAX_WAITING_REPLIES: usize = 8;
const LARGE_REPLY_WAIT_MS: u64 = 400;

/// Smallest capacity of the buffer for a body.
const MIN_CAPACITY_BYTES: usize = 1_024;

/// Memory that large replies share.
#[derive(Debug)]
pub struct ReplyMemory {
    available_bytes: AtomicUsize,
    large_replies: Arc<Semaphore>,
    waiting_replies: Semaphore,
}

/// Body of a reply that is being received, or was received.
#[derive(Debug)]
pub struct ReplyBuffer {
    bytes: Vec<u8>,
    parts: usize,
    memory: Arc<ReplyMemory>,
    reserved_bytes: usize,
}

/// Receives the parts of one reply.
#[derive(Debug)]
pub struct ReplyReceiver {
    reply_buffer: ReplyBuffer,
    permit: Option<OwnedSemaphorePermit>,
}

impl ReplyMemory {
    /// Creates a memory for large replies.
    pub fn new(bytes: usize) -> Self {
        Self {
            available_bytes: AtomicUsize::new(bytes),
            large_replies: Arc::new(Semaphore::new(MAX_LARGE_REPLIES)),
            waiting_replies: Semaphore::new(MAX_WAITING_REPLIES),
        }
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

    /// Returns the bytes that large replies may still take.
    pub fn available_bytes(&self) -> usize {
        self.available_bytes.load(Ordering::Relaxed)
    }

    fn reserve(&self, bytes: usize) -> bool {
        let take = |available: usize| available.checked_sub(bytes);
        let order = Ordering::Relaxed;
        self.available_bytes
            .fetch_update(order, order, take)
            .is_ok()
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
                reserved_bytes: 0,
            },
            permit: None,
        }
    }

    /// Appends a part of the body; returns false if the reply is too large, or if other replies take
    /// the memory or the processor time.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    /// use cloverrack::gateway::{ReplyMemory, ReplyReceiver};
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    /// let memory = Arc::new(ReplyMemory::new(100_000));
    /// let mut receiver = ReplyReceiver::new(Arc::clone(&memory));
    /// assert!(runtime.block_on(receiver.append(&[0; 60_000])));
    /// assert!(!runtime.block_on(receiver.append(&[0; 160_000])));
    /// drop(receiver);
    /// assert_eq!(memory.available_bytes(), 100_000);
    /// ```
    pub async fn append(&mut self, part: &[u8]) -> bool {
        let reply_buffer = &mut self.reply_buffer;
        reply_buffer.parts += 1;
        let length = reply_buffer.bytes.len() + part.len();
        if length > MAX_REPLY_BYTES || reply_buffer.parts > MAX_REPLY_PARTS {
            return false;
        }
        let is_small = length <= SMALL_REPLY_BYTES && reply_buffer.parts <= SMALL_REPLY_PARTS;
        if !is_small && self.permit.is_none() {
            let Some(permit) = reply_buffer.memory.admit_large().await else {
                return false;
            };
            self.permit = Some(permit);
        }
        reply_buffer.append(part)
    }

    /// Returns the complete body, which keeps its share of the memory until it is dropped.
    pub fn finish(self) -> ReplyBuffer {
        self.reply_buffer
    }
}

impl ReplyBuffer {
    fn append(&mut self, part: &[u8]) -> bool {
        let length = self.bytes.len() + part.len();
        if length > self.bytes.capacity() {
            let capacity = length.max(self.bytes.capacity() * 2);
            let capacity = capacity.max(MIN_CAPACITY_BYTES);
            if !self.reserve_capacity(capacity) && !self.reserve_capacity(length) {
                return false;
            }
        }
        self.bytes.extend_from_slice(part);
        true
    }

    fn reserve_capacity(&mut self, capacity: usize) -> bool {
        let shared_bytes = capacity.saturating_sub(SMALL_REPLY_BYTES);
        let additional_bytes = shared_bytes.saturating_sub(self.reserved_bytes);
        if !self.memory.reserve(additional_bytes) {
            return false;
        }
        self.reserved_bytes += additional_bytes;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        true
    }
}

impl AsRef<[u8]> for ReplyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for ReplyBuffer {
    fn drop(&mut self) {
        let reserved_bytes = self.reserved_bytes;
        self.memory
            .available_bytes
            .fetch_add(reserved_bytes, Ordering::Relaxed);
    }
}
