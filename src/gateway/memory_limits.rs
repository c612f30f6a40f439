//! Divides the memory of a VM among what it holds for callers, leaves and other VMs.
//!
//! Handles callers, leaves and VMs that all send as much as they may at the same moment: the limits together
//! leave room for the configuration and the process itself on a VM of 160 MiB.

use super::reply_memory::ReplyMemory;
use crate::wire::MAX_FRAME_BYTES;

/// Memory of a connection of a caller: two read buffers, one of which holds the head of a request in
/// progress, and the tasks.
const CALLER_CONNECTION_BYTES: usize = 20 * 1_024;

/// Largest number of callers' connections on a VM of any size, which leaves descriptors for leaves.
const MAX_CALLER_CONNECTIONS: usize = 4_096;

/// Shares of the memory, as divisors.
const BODY_DIVISOR: usize = 8;
const FORWARDED_DIVISOR: usize = 32;
const LARGE_REPLY_DIVISOR: usize = 8;
const CALLER_CONNECTIONS_SIXTEENTHS: usize = 3;
const REQUEST_HEAD_DIVISOR: usize = 32;
const CATALOG_UPDATE_DIVISOR: usize = 32;

/// Half of the memory of a size class of small replies, so that callers that don't read leave room for replies.
const RESPONSE_DIVISOR: usize = 32;

/// Limits on what a VM holds in memory, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Bodies of requests, and messages of other VMs.
    pub body_bytes: usize,
    /// Bodies of forwarded requests as they are sent.
    pub forwarded_bytes: usize,
    /// Large replies of leaves; those of smaller size classes get memory in proportion.
    pub large_reply_bytes: usize,
    /// Number of open connections of callers.
    pub caller_connections: usize,
    /// Heads of requests that exceed a read buffer.
    pub request_head_bytes: usize,
    /// Responses that are being sent to callers. They stay in the memory of the replies.
    pub response_bytes: usize,
    /// Encoded updates of the catalog that are being sent.
    pub catalog_update_bytes: usize,
}

impl MemoryLimits {
    /// Divides the memory of a VM.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::MemoryLimits;
    /// let limits = MemoryLimits::new(160 * 1_048_576);
    /// assert_eq!(limits.body_bytes, 20 * 1_048_576);
    /// assert_eq!(limits.caller_connections, 1_536);
    /// ```
    pub fn new(memory_bytes: usize) -> Self {
        let connections_bytes = memory_bytes / 16 * CALLER_CONNECTIONS_SIXTEENTHS;
        let connections = connections_bytes / CALLER_CONNECTION_BYTES;
        Self {
            body_bytes: memory_bytes / BODY_DIVISOR,
            forwarded_bytes: memory_bytes / FORWARDED_DIVISOR,
            large_reply_bytes: memory_bytes / LARGE_REPLY_DIVISOR,
            caller_connections: connections.clamp(1, MAX_CALLER_CONNECTIONS),
            request_head_bytes: memory_bytes / REQUEST_HEAD_DIVISOR,
            response_bytes: memory_bytes / RESPONSE_DIVISOR,
            // A VM without room for one update of the largest size could help no other.
            catalog_update_bytes: (memory_bytes / CATALOG_UPDATE_DIVISOR).max(MAX_FRAME_BYTES),
        }
    }

    /// Returns the sum of the limits.
    pub fn total_bytes(&self) -> usize {
        self.body_bytes
            + self.forwarded_bytes
            + ReplyMemory::total_bytes(self.large_reply_bytes)
            + self.caller_connections * CALLER_CONNECTION_BYTES
            + self.request_head_bytes
            + self.catalog_update_bytes
    }
}
