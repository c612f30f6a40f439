//! Applies what leaves say of themselves in their answers.

use super::Leaves;
use crate::fact::DEPARTURE_RETENTION_MS;
use crate::ids::LeafKey;

/// Maximum number of departures that are remembered. The oldest is forgotten, but not for a leaf that
/// is still listed.
const MAX_DEPARTURES: usize = 4_096;

impl Leaves {
    /// Records that a leaf has said in an answer that it leaves; returns the hash of its process if
    /// that is new.
    ///
    /// The leaf gets no further calls, whatever its record says. Its open calls may finish.
    pub fn record_leaving(&mut self, key: LeafKey, now_ms: u64) -> Option<u64> {
        let process = self.arena.get(&key)?.record.process_hash();
        self.record_departure(process, now_ms).then_some(process)
    }

    /// Records that a process leaves, which it has said to this VM or another one; returns whether
    /// that is new. The record of the process may be received later.
    pub fn record_departure(&mut self, process: u64, now_ms: u64) -> bool {
        if self.departures_ms.contains_key(&process) {
            return false;
        }
        if self.departures_ms.len() >= MAX_DEPARTURES {
            let oldest = self.departures_ms.iter().min_by_key(|(_, at_ms)| **at_ms);
            let oldest = oldest.map(|(process, _)| *process);
            oldest.and_then(|process| self.departures_ms.remove(&process));
        }
        self.departures_ms.insert(process, now_ms);
        for (key, leaf) in &mut self.arena {
            if leaf.record.process_hash() != process {
                continue;
            }
            leaf.is_leaving = true;
            leaf.close_idle();
            if let Some(keys) = self.by_service.get_mut(&leaf.service) {
                keys.retain(|other| other != key);
            }
        }
        true
    }

    /// Forgets old departures of processes that are no longer listed.
    pub(super) fn forget_departures(&mut self, now_ms: u64) {
        if self.departures_ms.is_empty() {
            return;
        }
        let listed = self.arena.values().filter(|leaf| !leaf.retired);
        let listed: std::collections::HashSet<u64> =
            listed.map(|leaf| leaf.record.process_hash()).collect();
        self.departures_ms.retain(|process, at_ms| {
            now_ms < *at_ms + DEPARTURE_RETENTION_MS || listed.contains(process)
        });
    }

    /// Records that a leaf wants no calls from this VM for a time.
    pub fn record_retry_after(&mut self, key: LeafKey, wait_ms: u64, now_us: u64) {
        if let Some(leaf) = self.arena.get_mut(&key) {
            leaf.retry_after.record(wait_ms, now_us);
            let until_us = leaf.retry_after.until_us();
            self.retry_after_until_us = self.retry_after_until_us.max(until_us);
        }
    }

    /// Returns whether a leaf may want no calls from this VM now.
    pub fn has_retry_after(&self, now_us: u64) -> bool {
        now_us < self.retry_after_until_us
    }

    /// Returns whether a call that was assigned to a leaf may still be sent: the leaf has not said
    /// since that it leaves or wants no calls, and its domain is not evacuated.
    pub fn may_send(&self, key: LeafKey, now_us: u64) -> bool {
        self.arena.get(&key).is_some_and(|leaf| {
            !leaf.is_leaving && !leaf.is_evacuated && now_us >= leaf.retry_after.until_us()
        })
    }
}
