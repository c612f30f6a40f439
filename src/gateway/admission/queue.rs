//! Orders the requests that wait for a place, without I/O.
//!
//! The most urgent level goes first. Within a level, callers that come back as they were told go before
//! first tries, but get at most every second place while first tries wait: in a lasting overload all
//! places would otherwise go to callers that were refused before, and nobody would be served at once.

use std::collections::{BTreeMap, VecDeque};

/// Requests of one priority level that wait.
#[derive(Clone, Debug, Default)]
struct LevelQueue {
    returning: VecDeque<u64>,
    first_tries: VecDeque<u64>,
    /// Whether the last place went to a caller that came back.
    returning_was_last: bool,
}

impl LevelQueue {
    fn pop(&mut self) -> Option<u64> {
        let prefers_first_try = self.returning_was_last && !self.first_tries.is_empty();
        let takes_returning = !self.returning.is_empty() && !prefers_first_try;
        self.returning_was_last = takes_returning;
        if takes_returning {
            return self.returning.pop_front();
        }
        self.first_tries.pop_front()
    }
}

/// Requests that wait for a place, by rank of their priority level.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::admission::WaitQueue;
/// let mut queue = WaitQueue::default();
/// queue.push(1, false, 10);
/// queue.push(0, false, 11);
/// queue.push(0, true, 12);
/// assert_eq!(queue.pop(|_| true), Some((0, 12)), "came back as told");
/// assert_eq!(queue.pop(|rank| rank == 1), Some((1, 10)), "only this level has a place");
/// ```
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    levels: BTreeMap<u32, LevelQueue>,
}

impl WaitQueue {
    /// Adds a request by its ID.
    pub fn push(&mut self, rank: u32, is_returning: bool, id: u64) {
        let level = self.levels.entry(rank).or_default();
        if is_returning {
            level.returning.push_back(id);
        } else {
            level.first_tries.push_back(id);
        }
    }

    /// Removes the first request of the most urgent level that has a place.
    pub fn pop(&mut self, has_place: impl Fn(u32) -> bool) -> Option<(u32, u64)> {
        for (rank, level) in &mut self.levels {
            if !has_place(*rank) {
                continue;
            }
            if let Some(id) = level.pop() {
                return Some((*rank, id));
            }
        }
        None
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, id: u64) {
        for level in self.levels.values_mut() {
            level.returning.retain(|waiting| *waiting != id);
            level.first_tries.retain(|waiting| *waiting != id);
        }
    }

    /// Returns how many requests of a level get a place before another one.
    pub fn ahead_of(&self, rank: u32, is_returning: bool) -> usize {
        self.levels.get(&rank).map_or(0, |level| {
            let (returning, first_tries) = (level.returning.len(), level.first_tries.len());
            if is_returning {
                returning + returning.min(first_tries)
            } else {
                first_tries + returning
            }
        })
    }
}
