//! Remembers the leaves whose addresses refused a connection of this VM, until it is confirmed that
//! their processes have ended.
//!
//! A partition between this VM and the leaf looks the same, and runs without an answer must not
//! count as evidence against their contents then.

use super::Leaves;
use crate::gateway::unanswered_runs::UnansweredRun;
use crate::ids::LeafKey;

/// Maximum number of unanswered runs that are kept with a refusal.
const MAX_RUNS: usize = 8;

/// Refusal of a connection that is not confirmed yet.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Hash of the leaf's process.
    pub process: u64,
    /// Time of the first refusal on the boot clock.
    pub since_us: u64,
    runs: Vec<UnansweredRun>,
}

impl Leaves {
    /// Records that the address of a leaf refused a connection, with a run that ended thereby.
    ///
    /// Without confirmation by other VMs, the leaf's process counts as ended at once.
    pub fn record_refusal(&mut self, key: LeafKey, run: Option<UnansweredRun>, now_us: u64) {
        let Some(leaf) = self.arena.get(&key) else {
            return;
        };
        let process = leaf.record.process_hash();
        let refusal = self.refusals.entry(key).or_insert_with(|| Refusal {
            process,
            since_us: now_us,
            runs: Vec::new(),
        });
        if refusal.runs.len() < MAX_RUNS {
            refusal.runs.extend(run);
        }
        if !self.confirms_refusals {
            self.confirm_refusal(key);
        }
    }

    /// Lets refusals wait until [`Leaves::confirm_refusal`] or [`Leaves::discard_refusal`].
    pub fn set_confirms_refusals(&mut self) {
        self.confirms_refusals = true;
    }

    /// Returns the refusals that wait for a confirmation.
    pub fn refusals(&self) -> impl Iterator<Item = (LeafKey, &Refusal)> {
        self.refusals.iter().map(|(key, refusal)| (*key, refusal))
    }

    /// Records that the process of a leaf which refused a connection has ended. The unanswered runs
    /// count as evidence then.
    pub fn confirm_refusal(&mut self, key: LeafKey) {
        let Some(refusal) = self.refusals.remove(&key) else {
            return;
        };
        let is_announced = self.arena.get(&key).is_some_and(|leaf| leaf.is_departing());
        self.record_end(key);
        if is_announced {
            return;
        }
        for run in refusal.runs {
            self.ended_runs.push((refusal.process, run));
        }
    }

    /// Drops a refusal of a leaf whose process lives.
    pub fn discard_refusal(&mut self, key: LeafKey) {
        self.refusals.remove(&key);
    }

    /// Closes all idle connections, on which nothing passes any more.
    pub fn close_all_idle(&mut self) {
        for leaf in self.arena.values_mut() {
            leaf.close_idle();
        }
    }

    /// Forgets what was observed of the leaves while this VM lost its links to them: refusals,
    /// unanswered runs, failures and unreachable addresses.
    pub fn forget_failures(&mut self) {
        self.refusals.clear();
        self.unreachable.clear();
        for leaf in self.arena.values_mut() {
            leaf.unreachable_since_us = None;
            leaf.unanswered_runs.take();
            leaf.leaf_stats.forget_failures();
            leaf.failed_us = None;
        }
    }
}
