//! Counts the bytes of request bodies that this VM has in flight to each leaf.

use std::collections::HashMap;

use crate::ids::LeafKey;

/// Least time between two log events on calls that wait for room.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Bodies in flight, without the small ones.
#[derive(Debug, Default)]
pub struct BodiesInFlight {
    bytes: HashMap<LeafKey, u64>,
    waits: u64,
    logged_ms: Option<u64>,
}

impl BodiesInFlight {
    /// Returns the bytes in flight to a leaf.
    pub fn bytes(&self, leaf: LeafKey) -> u64 {
        self.bytes.get(&leaf).copied().unwrap_or(0)
    }

    /// Adds a body.
    pub fn add(&mut self, leaf: LeafKey, body_bytes: u64) {
        let bytes = self.bytes.entry(leaf).or_default();
        *bytes = bytes.saturating_add(body_bytes);
    }

    /// Removes a body whose call has ended.
    pub fn remove(&mut self, leaf: LeafKey, body_bytes: u64) {
        let Some(bytes) = self.bytes.get_mut(&leaf) else {
            return;
        };
        *bytes = bytes.saturating_sub(body_bytes);
        if *bytes == 0 {
            self.bytes.remove(&leaf);
        }
    }

    /// Records that a call found no leaf with room. Returns the number of such attempts since the last log event
    /// if one is due.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::BodiesInFlight;
    /// let mut bodies = BodiesInFlight::default();
    /// assert_eq!(bodies.record_wait(0), Some(1));
    /// assert_eq!(bodies.record_wait(4), None);
    /// assert_eq!(bodies.record_wait(1_000), Some(2));
    /// ```
    pub fn record_wait(&mut self, now_ms: u64) -> Option<u64> {
        self.waits += 1;
        if self
            .logged_ms
            .is_some_and(|logged_ms| now_ms < logged_ms + LOG_INTERVAL_MS)
        {
            return None;
        }
        self.logged_ms = Some(now_ms);
        Some(std::mem::take(&mut self.waits))
    }
}
