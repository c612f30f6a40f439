//! Follows one attempt of a caller and decides how far a request that may crash leaves is spread.
//!
//! Handles requests that crash each leaf which runs them. Before their content is quarantined they
//! would reach all replicas by retries, and a leaf of each shard by the first calls.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::content::Content;
use super::content_quarantine::{ContentVerdict, MAX_LEAVES_PER_ATTEMPT};
use super::engine::Engine;
use crate::ids::LeafKey;

/// Number of leaves that may crash under an attempt before it is sent to no other leaf.
const MAX_CRASHES: usize = 2;

/// Number of leaves that may crash under an attempt at a suspect content.
const MAX_SUSPECT_CRASHES: usize = 1;

/// What the leaves did under an attempt. Dropping it records the evidence.
#[derive(Debug)]
pub(super) struct Attempt {
    engine: Arc<Engine>,
    content: Content,
    request_hash: u64,
    is_suspect: bool,
    has_succeeded: bool,
    /// Whether a leaf of each shard answered.
    is_complete: bool,
    crashes: usize,
    /// Shard index and process hash of each crash, for shards without an answer.
    crashed_leaves: Vec<(usize, u64)>,
}

impl Attempt {
    pub(super) fn new(engine: Arc<Engine>, content: Content, request_id: &[u8]) -> Self {
        let is_suspect = engine.content_verdict(&content) != ContentVerdict::Unsuspected;
        Self {
            engine,
            content,
            request_hash: xxh3_64(request_id),
            is_suspect,
            has_succeeded: false,
            is_complete: false,
            crashes: 0,
            crashed_leaves: Vec::new(),
        }
    }

    /// Records that a leaf of a shard answered: the other leaves of the shard crashed for another
    /// reason.
    pub(super) fn record_success(&mut self, shard: usize) {
        self.has_succeeded = true;
        self.crashed_leaves.retain(|(crashed, _)| *crashed != shard);
    }

    pub(super) fn record_crash(&mut self, shard: usize, leaf: LeafKey) {
        self.crashes += 1;
        if let Some(process) = self.engine.process_hash(leaf) {
            self.crashed_leaves.push((shard, process));
        }
    }

    /// Records that a leaf of each shard answered. Content that crashes the leaves of one shard gets
    /// incomplete answers while these leaves are down, which are no success.
    pub(super) fn record_complete(&mut self) {
        self.is_complete = true;
    }

    /// Returns whether a shard must not be called again: under a suspect content, one crash suffices.
    pub(super) fn is_shard_stopped(&self, shard: usize) -> bool {
        let mut crashed = self.crashed_leaves.iter();
        self.is_suspect && crashed.any(|(crashed, _)| *crashed == shard)
    }

    /// Returns whether the request must not be sent to further leaves.
    pub(super) fn is_stopped(&self) -> bool {
        if self.has_succeeded {
            return false;
        }
        let max_crashes = if self.is_suspect {
            MAX_SUSPECT_CRASHES
        } else {
            MAX_CRASHES
        };
        self.crashes >= max_crashes
            || matches!(
                self.engine.content_verdict(&self.content),
                ContentVerdict::Quarantined { .. }
            )
    }

    /// Returns whether a call may be sent while others are in flight. A suspect content runs on one
    /// leaf first.
    pub(super) fn allows_concurrent_calls(&self) -> bool {
        self.has_succeeded || !self.is_suspect
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let crashed = self.crashed_leaves.iter().map(|(_, process)| *process);
        let leaves: Vec<u64> = crashed.take(MAX_LEAVES_PER_ATTEMPT).collect();
        if !leaves.is_empty() {
            self.engine
                .record_crashed_attempt(self.content, self.request_hash, leaves);
        } else if self.has_succeeded && self.is_complete {
            self.engine.record_content_success(&self.content);
        }
    }
}
