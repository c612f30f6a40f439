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
    number: u64,
    is_suspect: bool,
    has_succeeded: bool,
    /// Hashes of the processes that crashed.
    crashed_leaves: Vec<u64>,
    crashes: usize,
}

impl Attempt {
    pub(super) fn new(engine: Arc<Engine>, content: Content, request_id: &[u8]) -> Self {
        let is_suspect = engine.content_verdict(&content) != ContentVerdict::Unsuspected;
        Self {
            engine,
            content,
            number: xxh3_64(request_id),
            is_suspect,
            has_succeeded: false,
            crashed_leaves: Vec::new(),
            crashes: 0,
        }
    }

    pub(super) fn record_success(&mut self) {
        self.has_succeeded = true;
    }

    pub(super) fn record_crash(&mut self, leaf: LeafKey) {
        self.crashes += 1;
        let process = self.engine.process_hash(leaf);
        if self.crashed_leaves.len() < MAX_LEAVES_PER_ATTEMPT {
            self.crashed_leaves.extend(process);
        }
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
        if self.has_succeeded {
            self.engine.record_content_success(&self.content);
        } else if !self.crashed_leaves.is_empty() {
            let leaves = std::mem::take(&mut self.crashed_leaves);
            self.engine
                .record_crashed_attempt(self.content, self.number, leaves);
        }
    }
}
