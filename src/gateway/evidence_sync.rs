//! Records evidence on contents that crash leaves and on leaves that leave, and exchanges it with the
//! other VMs, so that all of them refuse such a content and avoid such a leaf.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use tracing::{debug, info, warn};

use super::content::Content;
use super::content_quarantine::{
    ContentSuccess, ContentVerdict, CrashedAttempt, MAX_LEAVES_PER_ATTEMPT,
};
use super::engine::{Engine, State};
use super::leaf_notices::LeafNotices;
use super::leaves::Leaf;
use super::membership::Membership;
use super::unanswered_runs::UnansweredRun;
use crate::clock::{boot_ms, boot_us, unix_ms};
use crate::fact::{Fact, LeafDeparture};
use crate::ids::LeafKey;

/// Maximum amount of evidence that waits to be published; further evidence stays on this VM.
const MAX_QUEUED_EVIDENCE: usize = 64;

/// Run at a leaf that ended without an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedRun {
    pub(super) leaf: LeafKey,
    pub(super) started_us: u64,
    pub(super) ended_us: u64,
    /// Whether the leaf closed the connection.
    pub(super) is_closed: bool,
    /// Whether its address refused a new connection afterwards.
    pub(super) is_refused: bool,
}

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
        let now_unix_ms = unix_ms();
        state.recent_successes.add(*content, now_unix_ms);
        if state.content_quarantine.is_empty() {
            return;
        }
        if let Some(success) = state.content_quarantine.success(content, now_unix_ms) {
            self.clear_content(state, success);
        }
    }

    fn clear_content(&self, state: &mut State, success: ContentSuccess) {
        let Content {
            fingerprint,
            caller,
        } = success.content;
        info!(event = "content_cleared", fingerprint, %caller);
        state.content_quarantine.add_success(success, unix_ms());
        self.queue_evidence(state, Fact::ContentSuccess(success));
    }

    /// Records an attempt under which leaves closed the connection and refuse others. It is evidence for
    /// all VMs once the ends of their processes are confirmed.
    pub(super) fn record_crashed_attempt(
        &self,
        content: Content,
        request_hash: u64,
        crashed_runs: &[FailedRun],
    ) {
        let state = &mut *self.state();
        if state.link_monitor.is_lost() {
            return;
        }
        for crashed in crashed_runs {
            if let Some(leaf) = state.leaves.get(crashed.leaf) {
                let run = crashed.unanswered(leaf, content, request_hash);
                let leaves = &mut state.leaves;
                leaves.record_refusal(crashed.leaf, Some(run), crashed.ended_us);
            }
        }
        self.refusal_recorded.notify_one();
        self.record_ended_runs(state);
    }

    /// Records a run without an answer. It becomes evidence if the process of the leaf turns out to
    /// have ended before it answered again.
    pub(super) fn record_unanswered_run(
        &self,
        content: Content,
        request_hash: u64,
        failed: &FailedRun,
    ) {
        let state = &mut *self.state();
        if state.link_monitor.is_lost() {
            return;
        }
        let Some(leaf) = state.leaves.get(failed.leaf) else {
            return;
        };
        let run = failed.unanswered(leaf, content, request_hash);
        debug!(
            event = "run_unanswered",
            leaf = %leaf.address(),
            id = %leaf.record.id,
            fingerprint = content.fingerprint,
            caller = %content.caller,
            request_hash,
            is_closed = failed.is_closed,
            alive_us = run.alive_us,
            ended_us = run.ended_us,
        );
        state.leaves.record_unanswered(failed.leaf, run);
        self.record_ended_runs(state);
    }

    /// Records the attempts whose runs at leaves had no answer when the processes of these leaves
    /// ended. The contents with the most such attempts come first, since not all may be published.
    pub(super) fn record_ended_runs(&self, state: &mut State) {
        let mut ended_runs = state.leaves.take_ended_runs();
        if ended_runs.is_empty() {
            return;
        }
        let mut attempts: HashMap<Content, usize> = HashMap::new();
        for (_, run) in &ended_runs {
            *attempts.entry(run.content).or_default() += 1;
        }
        ended_runs.sort_by_key(|(_, run)| {
            let count = attempts.get(&run.content).copied().unwrap_or(0);
            (Reverse(count), run.content, run.request_hash)
        });
        let is_same = |a: &(u64, UnansweredRun), b: &(u64, UnansweredRun)| {
            (a.1.content, a.1.request_hash) == (b.1.content, b.1.request_hash)
        };
        for runs in ended_runs.chunk_by(is_same) {
            log_crashes(state, runs);
            self.add_crashed_runs(state, runs);
        }
    }

    /// Records the runs of one attempt at leaves that crashed, each with the hash of the process.
    fn add_crashed_runs(&self, state: &mut State, runs: &[(u64, UnansweredRun)]) {
        let alive_us = runs.iter().map(|(_, run)| run.alive_us).min();
        let ended_us = runs.iter().map(|(_, run)| run.ended_us).max();
        let (Some((_, first)), Some(alive_us), Some(ended_us)) = (runs.first(), alive_us, ended_us)
        else {
            return;
        };
        let processes = runs.iter().map(|(process, _)| *process);
        let crashed = CrashedAttempt {
            content: first.content,
            request_hash: first.request_hash,
            leaves: processes.take(MAX_LEAVES_PER_ATTEMPT).collect(),
            alive_unix_ms: if alive_us == 0 {
                0
            } else {
                wall_clock_ms(alive_us)
            },
            observed_unix_ms: wall_clock_ms(ended_us),
        };
        let Content {
            fingerprint,
            caller,
        } = crashed.content;
        info!(
            event = "attempt_crashed_leaves",
            fingerprint,
            %caller,
            request_hash = crashed.request_hash,
            leaves = crashed.leaves.len(),
            alive_unix_ms = crashed.alive_unix_ms,
            ended_unix_ms = crashed.observed_unix_ms,
        );
        let merged = self.add_crashed_attempt(state, crashed);
        if let Some(merged) = merged {
            self.queue_evidence(state, Fact::CrashedAttempt(merged));
        }
    }

    /// Adds an attempt under which leaves crashed, and clears its content if it has succeeded since.
    /// Returns the attempt with all its leaves.
    fn add_crashed_attempt(
        &self,
        state: &mut State,
        crashed: CrashedAttempt,
    ) -> Option<CrashedAttempt> {
        let Content {
            fingerprint,
            caller,
        } = crashed.content;
        let (content, request_hash) = (crashed.content, crashed.request_hash);
        let succeeded_unix_ms = state.recent_successes.latest_unix_ms(&content);
        let is_refuted = succeeded_unix_ms >= Some(crashed.observed_unix_ms);
        let quarantined = state.content_quarantine.add_attempt(crashed, unix_ms());
        if is_refuted {
            if let Some(success) = state.content_quarantine.success(&content, unix_ms()) {
                self.clear_content(state, success);
            }
        } else if let Some(until_unix_ms) = quarantined {
            warn!(event = "content_quarantined", fingerprint, %caller, until_unix_ms);
        }
        let merged = state.content_quarantine.attempt(&content, request_hash);
        merged.cloned()
    }

    fn queue_evidence(&self, state: &mut State, fact: Fact) {
        if state.evidence_queue.len() >= MAX_QUEUED_EVIDENCE {
            warn!(event = "evidence_dropped");
            return;
        }
        state.evidence_queue.push(fact);
        self.evidence_queued.notify_one();
    }

    /// Records what a leaf says of itself in a reply. That it leaves is evidence for all VMs; a time
    /// without calls concerns this VM, and the others get a report of it.
    pub(super) fn record_notices(&self, leaf: LeafKey, notices: LeafNotices) {
        if notices == LeafNotices::default() {
            return;
        }
        let state = &mut *self.state();
        if let Some(wait_ms) = notices.retry_after_ms {
            state.record_retry_after(leaf, wait_ms);
        }
        if !notices.is_leaving {
            return;
        }
        let Some(process) = state.leaves.record_leaving(leaf, boot_ms()) else {
            return;
        };
        if let Some(record) = state.leaves.get(leaf).map(|leaf| &leaf.record) {
            info!(event = "leaf_leaving", leaf = %record.address, id = %record.id);
        }
        let departure = LeafDeparture {
            process,
            observed_unix_ms: unix_ms(),
        };
        self.queue_evidence(state, Fact::LeafDeparture(departure));
    }

    /// Waits until evidence is queued for the other VMs.
    pub async fn evidence_queued(&self) {
        self.evidence_queued.notified().await;
    }

    /// Removes and returns the evidence that is queued for the other VMs.
    pub fn take_evidence(&self) -> Vec<Fact> {
        let state = &mut *self.state();
        let mut facts = std::mem::take(&mut state.evidence_queue);
        let evacuations = state.evacuations.take_unpublished();
        facts.extend(evacuations.into_iter().map(Fact::Evacuation));
        facts
    }

    /// Applies evidence of other VMs.
    pub fn apply_evidence(&self, facts: Vec<Fact>) {
        let state = &mut *self.state();
        for fact in facts {
            match fact {
                Fact::CrashedAttempt(crashed) => {
                    self.add_crashed_attempt(state, crashed);
                }
                Fact::ContentSuccess(success) => {
                    state.content_quarantine.add_success(success, unix_ms());
                }
                Fact::LeafDeparture(departure) => {
                    let now_ms = boot_ms();
                    state.leaves.record_departure(departure.process, now_ms);
                }
                Fact::Evacuation(evacuation) => self.apply_evacuations(state, [evacuation]),
                _ => {}
            }
        }
    }
}

impl FailedRun {
    /// Returns the run with the latest time at which the leaf is known to have lived.
    ///
    /// A leaf that soon closes the connection lived when the request was sent, unless its address
    /// still accepts connections and the leaf has never answered this VM: then it may have ended
    /// before. After a longer silence, its host may have lost power before, and closes the connection
    /// when it is back.
    fn unanswered(&self, leaf: &Leaf, content: Content, request_hash: u64) -> UnansweredRun {
        let silent_us = self.ended_us.saturating_sub(self.started_us);
        let is_prompt = silent_us <= leaf.leaf_stats.stall_limit_us();
        let is_known = self.is_refused || leaf.alive_us > 0;
        let lived_at_start = self.is_closed && is_prompt && is_known;
        let alive_us = if lived_at_start {
            leaf.alive_us.max(self.started_us)
        } else {
            leaf.alive_us
        };
        UnansweredRun {
            content,
            request_hash,
            alive_us: alive_us.min(self.ended_us),
            ended_us: self.ended_us,
        }
    }
}

/// Logs the leaves that crashed under an attempt.
fn log_crashes(state: &State, runs: &[(u64, UnansweredRun)]) {
    for (process, run) in runs {
        let Some(leaf) = state.leaves.of_process(*process) else {
            continue;
        };
        warn!(
            event = "leaf_crashed",
            leaf = %leaf.address(),
            id = %leaf.record.id,
            request_hash = run.request_hash,
            fingerprint = run.content.fingerprint,
            caller = %run.content.caller,
            open_calls = leaf.leaf_stats.open_calls()
        );
    }
}

/// Converts a time on the boot clock to wall-clock time.
fn wall_clock_ms(boot_time_us: u64) -> u64 {
    let age_us = boot_us().saturating_sub(boot_time_us);
    unix_ms().saturating_sub(age_us / 1_000)
}
