//! Follows one attempt of a caller and decides how far a request that may crash leaves is spread.
//!
//! Handles requests that crash each leaf which runs them. Before their content is quarantined they
//! would reach all replicas by retries, and a leaf of each shard by the first calls.

use std::collections::BTreeSet;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::call::OpenCall;
use super::connection::{CallError, Reply};
use super::content::Content;
use super::content_quarantine::ContentVerdict;
use super::engine::Engine;
use super::evidence_sync::FailedRun;
use crate::clock::boot_us;
use crate::ids::LeafKey;

/// Number of leaves that may crash under an attempt before it is sent to no other leaf.
const MAX_CRASHES: usize = 2;

/// Number of leaves that may crash under an attempt at a suspect content.
const MAX_SUSPECT_CRASHES: usize = 1;

/// Number of shards whose calls broke off from which an attempt without any answer is not sent on. A leaf that
/// crashes may leave its address resetting connections, which looks like a lost answer; lost answers
/// hardly ever take those of all other shards along.
const MAX_BROKEN_SHARDS: usize = 3;

/// Run of the request at a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Run {
    shard: usize,
    leaf: LeafKey,
    started_us: u64,
    /// Whether the leaf may have ended before, so that its end is no evidence on the content.
    leaf_may_have_ended: bool,
}

/// A run that ended without an answer.
#[derive(Clone, Copy, Debug)]
struct UnansweredRun {
    run: Run,
    ended_us: u64,
    /// Error of the call; `None` if the request ended while the call was in flight.
    error: Option<CallError>,
}

impl UnansweredRun {
    fn failed_run(&self) -> FailedRun {
        FailedRun {
            leaf: self.run.leaf,
            started_us: self.run.started_us,
            ended_us: self.ended_us,
            is_closed: self.error.is_some(),
            is_refused: self.error == Some(CallError::LeafCrashed),
        }
    }
}

/// What the leaves did under an attempt. Dropping it records the evidence.
#[derive(Debug)]
pub(super) struct Attempt {
    engine: Arc<Engine>,
    content: Content,
    request_hash: u64,
    is_suspect: bool,
    /// Shards of which a leaf answered. Its other leaves crashed for another reason.
    answered_shards: Vec<usize>,
    /// Whether a leaf of each shard answered.
    is_complete: bool,
    crashes: usize,
    open_runs: Vec<Run>,
    unanswered_runs: Vec<UnansweredRun>,
}

impl Attempt {
    pub(super) fn new(engine: Arc<Engine>, content: Content, request_id: &[u8]) -> Self {
        let is_suspect = engine.content_verdict(&content) != ContentVerdict::Unsuspected;
        Self {
            engine,
            content,
            request_hash: xxh3_64(request_id),
            is_suspect,
            answered_shards: Vec::new(),
            is_complete: false,
            crashes: 0,
            open_runs: Vec::new(),
            unanswered_runs: Vec::new(),
        }
    }

    /// Records that the request is sent to a leaf of a shard.
    pub(super) fn record_start(&mut self, shard: usize, call: &OpenCall) {
        self.open_runs.push(Run {
            shard,
            leaf: call.leaf,
            started_us: call.started_us,
            leaf_may_have_ended: call.leaf_may_have_ended,
        });
    }

    /// Records the result of a run.
    ///
    /// A connection that was closed may belong to a crashed leaf: under a suspect content, the run
    /// counts as a crash for the decision whether the request is sent on.
    pub(super) fn record_end(
        &mut self,
        shard: usize,
        leaf: LeafKey,
        result: Result<&Reply, CallError>,
    ) {
        let is_ended = |run: &Run| run.shard == shard && run.leaf == leaf;
        let Some(index) = self.open_runs.iter().position(is_ended) else {
            return;
        };
        let run = self.open_runs.swap_remove(index);
        match result {
            Ok(reply) if reply.status.is_success() => self.answered_shards.push(shard),
            Err(
                error @ (CallError::Broken | CallError::ImpossibleStatus | CallError::LeafCrashed),
            ) => {
                let has_crashed = error == CallError::LeafCrashed;
                self.crashes += usize::from(has_crashed || self.is_suspect);
                self.unanswered_runs.push(UnansweredRun {
                    run,
                    ended_us: boot_us(),
                    error: Some(error),
                });
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Records that a leaf of each shard answered. Content that crashes the leaves of one shard gets
    /// incomplete answers while these leaves are down, which are no success.
    pub(super) fn record_complete(&mut self) {
        self.is_complete = true;
    }

    fn is_answered(&self, shard: usize) -> bool {
        self.answered_shards.contains(&shard)
    }

    /// Returns whether a shard must not be called again: under a suspect content, one crash suffices.
    pub(super) fn is_shard_stopped(&self, shard: usize) -> bool {
        let mut unanswered = self.unanswered_runs.iter();
        self.is_suspect
            && !self.is_answered(shard)
            && unanswered.any(|unanswered| unanswered.run.shard == shard)
    }

    /// Returns whether extra calls have to wait for an answer of any shard, since the request may have crashed
    /// the leaves of several shards.
    pub(super) fn awaits_answer(&self) -> bool {
        if !self.answered_shards.is_empty() {
            return false;
        }
        let broken = self.unanswered_runs.iter();
        let shards: BTreeSet<usize> = broken.map(|unanswered| unanswered.run.shard).collect();
        shards.len() >= MAX_BROKEN_SHARDS
    }

    /// Returns whether the request must not be sent to further leaves.
    pub(super) fn is_stopped(&self) -> bool {
        if !self.answered_shards.is_empty() {
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
        !self.answered_shards.is_empty() || !self.is_suspect
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now_us = boot_us();
        for run in std::mem::take(&mut self.open_runs) {
            self.unanswered_runs.push(UnansweredRun {
                run,
                ended_us: now_us,
                error: None,
            });
        }
        let mut crashed_runs = Vec::new();
        for unanswered in &self.unanswered_runs {
            if self.is_answered(unanswered.run.shard) {
                continue;
            }
            let failed_run = unanswered.failed_run();
            if unanswered.error == Some(CallError::LeafCrashed) {
                crashed_runs.push(failed_run);
            } else if !unanswered.run.leaf_may_have_ended {
                self.engine
                    .record_unanswered_run(self.content, self.request_hash, &failed_run);
            }
        }
        if !crashed_runs.is_empty() {
            self.engine
                .record_crashed_attempt(self.content, self.request_hash, &crashed_runs);
        } else if self.is_complete && !self.answered_shards.is_empty() {
            self.engine.record_content_success(&self.content);
        }
    }
}
