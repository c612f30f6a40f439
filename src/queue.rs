//! Queues calls for one leaf at its owner, earliest deadline first, and counts the slots in use.
//!
//! The queue length is bounded, so that calls in excess of it are shed at once under overload.

use std::collections::BTreeMap;

/// Calls that may be queued per slot of a leaf.
const MAX_WAITING_PER_SLOT: usize = 64;

/// Error returned when the queue has reached its maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Slots and queued calls of one leaf; `T` identifies a queued call and is returned when it gets a
/// slot.
#[derive(Debug)]
pub struct CallQueue<T> {
    slots: u32,
    limit: u32,
    in_flight: u32,
    next_sequence: u64,
    waiting: BTreeMap<(u64, u64), T>,
}

impl<T> CallQueue<T> {
    /// Creates an empty queue with all slots free.
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

    /// Sets the number of slots, and the limit on the slots in use at a time.
    pub fn set_slots(&mut self, slots: u32, limit: u32) {
        self.slots = slots;
        self.limit = limit.min(slots);
    }

    /// Returns the number of calls that occupy a slot.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of queued calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a slot if one is free and no call is queued.
    pub fn try_acquire(&mut self) -> bool {
        if self.in_flight >= self.limit || !self.waiting.is_empty() {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Queues a call, ordered by its deadline.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] if the queue has reached its maximum length.
    pub fn enqueue(&mut self, deadline_ms: u64, item: T) -> Result<(), QueueFull> {
        if self.waiting.len() >= self.slots as usize * MAX_WAITING_PER_SLOT {
            return Err(QueueFull);
        }
        self.next_sequence += 1;
        self.waiting.insert((deadline_ms, self.next_sequence), item);
        Ok(())
    }

    /// Frees the slot of a call that completed.
    pub fn release_slot(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Removes the queued call with the earliest deadline and assigns it a free slot.
    pub fn dequeue(&mut self) -> Option<T> {
        if self.in_flight >= self.limit {
            return None;
        }
        let (_, item) = self.waiting.pop_first()?;
        self.in_flight += 1;
        Some(item)
    }

    /// Removes and returns all queued calls, earliest deadline first.
    pub fn take_waiting(&mut self) -> Vec<T> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }
}
