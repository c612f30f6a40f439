//! Queue of one leaf: slots in use and calls that wait, earliest deadline first.

use std::collections::BTreeMap;

/// Calls that may wait for each slot of a leaf.
const MAX_WAITING_PER_SLOT: usize = 64;

/// Why a call can't wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Slots and waiting calls of one leaf; `T` is handed back when a slot is free.
#[derive(Debug)]
pub struct CallQueue<T> {
    slots: u32,
    limit: u32,
    in_flight: u32,
    next_sequence: u64,
    waiting: BTreeMap<(u64, u64), T>,
}

impl<T> CallQueue<T> {
    /// Makes an empty queue.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::CallQueue;
    /// let mut queue: CallQueue<()> = CallQueue::new(1);
    /// assert!(queue.try_acquire());
    /// assert!(!queue.try_acquire());
    /// ```
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: slots,
            in_flight: 0,
            next_sequence: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Changes the number of slots, and the limit on those in use now.
    pub fn set_slots(&mut self, slots: u32, limit: u32) {
        self.slots = slots;
        self.limit = limit.min(slots);
    }

    /// Returns the calls that hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a slot if one is free and nothing waits.
    pub fn try_acquire(&mut self) -> bool {
        if self.in_flight >= self.limit || !self.waiting.is_empty() {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Lets a call wait until its deadline.
    ///
    /// # Errors
    ///
    /// Fails if too many calls wait already.
    pub fn enqueue(&mut self, deadline_ms: u64, item: T) -> Result<(), QueueFull> {
        if self.waiting.len() >= self.slots as usize * MAX_WAITING_PER_SLOT {
            return Err(QueueFull);
        }
        self.next_sequence += 1;
        self.waiting.insert((deadline_ms, self.next_sequence), item);
        Ok(())
    }

    /// Frees the slot of a call that ended.
    pub fn release_slot(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Gives a free slot to the waiting call with the earliest deadline.
    pub fn dequeue(&mut self) -> Option<T> {
        if self.in_flight >= self.limit {
            return None;
        }
        let (_, item) = self.waiting.pop_first()?;
        self.in_flight += 1;
        Some(item)
    }

    /// Takes out all waiting calls, earliest deadline first.
    pub fn take_waiting(&mut self) -> Vec<T> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }
}
