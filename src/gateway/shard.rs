//! Tracks the calls to one shard of a running request: the leaves tried, and their replies.
//!
//! Keeps the state for retries and hedges when a leaf fails or is slow.

use super::connection::Reply;
use crate::ids::{LeafKey, ServiceKey};

/// State of one shard of a running request.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) service: ServiceKey,
    pub(super) tried: Vec<LeafKey>,
    /// Number of leaves to which the request was sent; failed connections don't count.
    pub(super) sent: usize,
    pub(super) open_calls: usize,
    /// Start time of the latest call, since the arrival of the request.
    pub(super) last_sent_us: u64,
    /// Whether a call is to be sent once a leaf, a connection and, for a retry, retry budget are
    /// available.
    pub(super) needs_call: bool,
    /// Earliest time for that call, since the arrival of the request.
    pub(super) next_call_us: u64,
    pub(super) reply: Option<Reply>,
    /// Latency of the call that returned the reply.
    pub(super) latency_us: u64,
    /// Time of the reply, since the arrival of the request.
    pub(super) replied_us: u64,
    /// Error reply of a leaf, used if no other leaf returns a better reply.
    pub(super) fallback: Option<Reply>,
    pub(super) failed: bool,
    /// Whether a hedged call was sent, or a retry found no untried leaf; no hedge is sent then.
    pub(super) hedged: bool,
}

impl Shard {
    /// Creates the state of a shard. Other VMs may have sent the request to `sent` of its leaves.
    pub(super) fn new(service: ServiceKey, sent: usize) -> Self {
        Self {
            service,
            tried: Vec::new(),
            sent,
            open_calls: 0,
            last_sent_us: 0,
            needs_call: true,
            next_call_us: 0,
            reply: None,
            latency_us: 0,
            replied_us: 0,
            fallback: None,
            failed: false,
            hedged: false,
        }
    }

    /// Returns whether a call is open and the latest one was sent less than the hedge delay ago.
    pub(super) fn is_on_time(&self, elapsed_us: u64, hedge_us: u64) -> bool {
        let age_us = elapsed_us.saturating_sub(self.last_sent_us);
        self.open_calls > 0 && age_us < hedge_us
    }

    /// Completes the shard with the error reply of a leaf, or as failed if there is none.
    pub(super) fn finish(&mut self) {
        self.reply = self.fallback.take();
        self.failed = self.reply.is_none();
    }

    pub(super) fn is_pending(&self) -> bool {
        self.reply.is_none() && !self.failed
    }
}
