//! Records evidence on contents that crash leaves and exchanges it with the other VMs, so that all
//! of them refuse such a content wherever it is sent next.

use std::sync::Arc;

use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::content::Content;
use super::content_quarantine::{ContentVerdict, CrashedAttempt};
use super::engine::{Engine, State};
use super::membership::Membership;
use crate::clock::unix_ms;
use crate::fact::Fact;
use crate::ids::LeafKey;

/// Maximum amount of evidence that waits to be published; further evidence stays on this VM.
const MAX_QUEUED_EVIDENCE: usize = 64;

/// Publishes the evidence of this VM and applies that of others until the task is dropped.
pub async fn run(engine: Arc<Engine>, membership: Arc<Membership>) {
    loop {
        tokio::select! {
            () = engine.evidence_queued() => {
                for fact in engine.take_evidence() {
                    membership.publish(fact);
                }
            }
            () = membership.evidence_received() => {
                engine.apply_evidence(membership.take_evidence());
            }
        }
    }
}

impl Engine {
    /// Returns what is known about a content.
    pub fn content_verdict(&self, content: &Content) -> ContentVerdict {
        let state = self.state();
        if state.content_quarantine.is_empty() {
            return ContentVerdict::Unsuspected;
        }
        state.content_quarantine.verdict(content, unix_ms())
    }

    /// Records that a leaf answered a content, for all VMs if they have evidence against it.
    pub fn record_content_success(&self, content: &Content) {
        let state = &mut *self.state();
        if state.content_quarantine.is_empty() {
            return;
        }
        let now_unix_ms = unix_ms();
        let Some(success) = state.content_quarantine.success(content, now_unix_ms) else {
            return;
        };
        info!(event = "content_cleared", fingerprint = content.fingerprint, caller = %content.caller);
        state.content_quarantine.add_success(success, now_unix_ms);
        self.queue_evidence(state, Fact::ContentSuccess(success));
    }

    /// Records an attempt under which leaf processes crashed, for all VMs.
    pub fn record_crashed_attempt(&self, content: Content, request_hash: u64, leaves: Vec<u64>) {
        let state = &mut *self.state();
        let crashed = CrashedAttempt {
            content,
            request_hash,
            leaves,
            observed_unix_ms: unix_ms(),
        };
        state.add_crashed_attempt(crashed.clone());
        self.queue_evidence(state, Fact::CrashedAttempt(crashed));
    }

    fn queue_evidence(&self, state: &mut State, fact: Fact) {
        if state.evidence_queue.len() >= MAX_QUEUED_EVIDENCE {
            warn!(event = "evidence_dropped");
            return;
        }
        state.evidence_queue.push(fact);
        self.evidence_queued.notify_one();
    }

    /// Waits until evidence is queued for the other VMs.
    pub async fn evidence_queued(&self) {
        self.evidence_queued.notified().await;
    }

    /// Removes and returns the evidence that is queued for the other VMs.
    pub fn take_evidence(&self) -> Vec<Fact> {
        std::mem::take(&mut self.state().evidence_queue)
    }

    /// Applies evidence of other VMs.
    pub fn apply_evidence(&self, facts: Vec<Fact>) {
        let state = &mut *self.state();
        for fact in facts {
            match fact {
                Fact::CrashedAttempt(crashed) => state.add_crashed_attempt(crashed),
                Fact::ContentSuccess(success) => {
                    state.content_quarantine.add_success(success, unix_ms());
                }
                _ => {}
            }
        }
    }

    /// Returns a hash that identifies the process of a leaf on all VMs.
    pub fn process_hash(&self, leaf: LeafKey) -> Option<u64> {
        let state = self.state();
        let record = &state.leaves.get(leaf)?.record;
        Some(xxh3_64_with_seed(
            record.id.as_bytes(),
            record.started_unix_ms,
        ))
    }
}

impl State {
    fn add_crashed_attempt(&mut self, crashed: CrashedAttempt) {
        let Content {
            fingerprint,
            caller,
        } = crashed.content;
        let quarantined = self.content_quarantine.add_attempt(crashed, unix_ms());
        if let Some(until_unix_ms) = quarantined {
            warn!(event = "content_quarantined", fingerprint, %caller, until_unix_ms);
        }
    }
}
