//! One shard of a request under way: which leaves were tried, and what came back.

use super::connection::Reply;
use crate::ids::{LeafKey, ServiceKey};

/// One shard of a request under way.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) service: ServiceKey,
    pub(super) tried: Vec<LeafKey>,
    /// Leaves that the request was sent to; failed connections don't count.
    pub(super) sent: usize,
    pub(super) open_calls: usize,
    pub(super) last_sent_us: u64,
    /// A call is wanted as soon as there is a leaf, a connection and, for a repeat, a budget.
    pub(super) needs_call: bool,
    /// When that call may be sent at the earliest, since the arrival of the request.
    pub(super) next_call_us: u64,
    pub(super) reply: Option<Reply>,
    /// Time that the call with the reply took.
    pub(super) latency_us: u64,
    /// A leaf's own failure, which is the answer if no other leaf gives a better one.
    pub(super) fallback: Option<Reply>,
    pub(super) failed: bool,
    pub(super) hedged: bool,
}

impl Shard {
    pub(super) fn new(service: ServiceKey) -> Self {
        Self {
            service,
            tried: Vec::new(),
            sent: 0,
            open_calls: 0,
            last_sent_us: 0,
            needs_call: true,
            next_call_us: 0,
            reply: None,
            latency_us: 0,
            fallback: None,
            failed: false,
            hedged: false,
        }
    }

    /// Returns whether a call is under way that was sent no longer ago than calls usually take.
    pub(super) fn is_on_time(&self, elapsed_us: u64, hedge_us: u64) -> bool {
        let age_us = elapsed_us.saturating_sub(self.last_sent_us);
        self.open_calls > 0 && age_us < hedge_us
    }

    /// Ends the shard with what it has: a leaf's own failure, or nothing.
    pub(super) fn settle(&mut self) {
        self.reply = self.fallback.take();
        self.failed = self.reply.is_none();
    }

    pub(super) fn is_open(&self) -> bool {
        self.reply.is_none() && !self.failed
    }
}
