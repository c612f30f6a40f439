//! Tracks the leaves whose addresses refuse connections.

use super::Leaves;
use crate::ids::LeafKey;

impl Leaves {
    /// Records that the address of a leaf refuses connections; returns whether that is new.
    pub fn record_unreachable(&mut self, key: LeafKey, now_us: u64) -> bool {
        let Some(leaf) = self.arena.get_mut(&key) else {
            return false;
        };
        if leaf.unreachable_since_us.is_some() {
            return false;
        }
        leaf.unreachable_since_us = Some(now_us);
        self.unreachable.insert(key)
    }

    /// Records that a leaf accepts connections, or does not refuse them.
    pub fn record_reachable(&mut self, key: LeafKey, now_us: u64) {
        let leaf = self.arena.get_mut(&key);
        let since_us = leaf.and_then(|leaf| leaf.unreachable_since_us.take());
        if since_us.is_some() {
            self.record_reconnection(key, now_us);
        }
        self.unreachable.remove(&key);
    }

    /// Returns whether a leaf refuses connections.
    pub fn has_unreachable(&self) -> bool {
        !self.unreachable.is_empty()
    }

    /// Forgets leaves that were removed.
    pub(super) fn forget_unreachable(&mut self) {
        self.unreachable.retain(|key| self.arena.contains_key(key));
    }
}
