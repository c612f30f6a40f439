//! Attributes the ends of leaf processes to the requests that they ran and did not answer.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::Leaves;
use crate::gateway::unanswered_runs::UnansweredRun;
use crate::ids::LeafKey;

impl Leaves {
    /// Records that a process replied to a call which began at `call_started_us`.
    pub fn record_alive(&mut self, key: LeafKey, call_started_us: u64, now_us: u64) {
        if let Some(leaf) = self.arena.get_mut(&key) {
            leaf.alive_us = leaf.alive_us.max(now_us);
            leaf.failed_us = None;
            leaf.unanswered_runs.discard_before(call_started_us);
            let refusal = self.refusals.get(&key);
            if refusal.is_some_and(|refusal| refusal.since_us <= call_started_us) {
                self.refusals.remove(&key);
            }
        }
    }

    /// Records that the process of a leaf has ended: another process replied at its address, or the
    /// address refuses connections. A leaf that has announced its end did not crash.
    pub fn record_end(&mut self, key: LeafKey) {
        let Some(leaf) = self.arena.get_mut(&key) else {
            return;
        };
        let process = leaf.record.process_hash();
        let is_announced = leaf.is_departing();
        for run in leaf.unanswered_runs.take() {
            if !is_announced {
                self.ended_runs.push((process, run));
            }
        }
    }

    /// Records a run that ended without an answer. Runs at a leaf that has announced its end are
    /// ignored.
    pub fn record_unanswered(&mut self, key: LeafKey, run: UnansweredRun) {
        let Some(leaf) = self.arena.get_mut(&key) else {
            return;
        };
        if leaf.is_departing() {
            return;
        }
        leaf.unanswered_runs.add(run);
        if leaf.retired {
            self.record_end(key);
        }
    }

    /// Removes and returns the unanswered runs of processes that have ended, with the hash of the
    /// process.
    pub fn take_ended_runs(&mut self) -> Vec<(u64, UnansweredRun)> {
        std::mem::take(&mut self.ended_runs)
    }

    /// Records the end of each process whose address a process that started later has published.
    pub(super) fn end_replaced_processes(&mut self) {
        let mut newest: HashMap<SocketAddr, (u64, LeafKey)> = HashMap::new();
        let mut replaced = Vec::new();
        for key in self.by_id.values() {
            let Some(record) = self.arena.get(key).map(|leaf| &leaf.record) else {
                continue;
            };
            let candidate = (record.started_unix_ms, *key);
            let Some(other) = newest.insert(record.address, candidate) else {
                continue;
            };
            if other.0 > candidate.0 {
                newest.insert(record.address, other);
            }
            if other.0 != candidate.0 {
                replaced.push(other.min(candidate).1);
            }
        }
        for key in replaced {
            self.record_end(key);
        }
    }
}
