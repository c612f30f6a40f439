//! Decides which responses that are being sent are cut off, from their sizes and the times of their progress.
//!
//! Handles callers that don't read their responses: these would hold the memory of the VM.

use std::collections::BTreeMap;

/// Time without progress after which a response is cut off.
pub const MAX_STALL_MS: u64 = 5_000;

/// Time without progress after which a response is cut off if the memory is used up. A caller that reads 44 KB/s
/// makes progress more often: a part of 64 KiB ends within two reports of the kernel of 43 KB of free space each.
pub const MAX_STALL_WITHOUT_ROOM_MS: u64 = 2_000;

/// Largest share of the limit that one response counts with, as a divisor. A VM that relays one reply of the
/// largest size, which the memory for replies bounds, still takes requests.
const MAX_RESPONSE_DIVISOR: usize = 4;

/// Reason why a response is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutOffCause {
    /// The caller has read nothing for `MAX_STALL_MS`.
    Stalled,
    /// The memory is used up, and no response has made no progress for longer.
    NoMemory,
}

/// Decision to cut off a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutOff {
    /// Reason.
    pub cause: CutOffCause,
    /// Size of the response.
    pub response_bytes: usize,
    /// Time for which the response has made no progress.
    pub stalled_ms: u64,
}

#[derive(Debug)]
struct OpenResponse<C> {
    connection: C,
    response_bytes: usize,
    progress_ms: u64,
}

/// Responses that are being sent; `C` identifies a connection.
#[derive(Debug)]
pub struct OpenResponses<C> {
    limit_bytes: usize,
    counted_bytes: usize,
    next_number: u64,
    responses: BTreeMap<u64, OpenResponse<C>>,
}

impl<C> OpenResponses<C> {
    /// Creates an empty table for `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            counted_bytes: 0,
            next_number: 0,
            responses: BTreeMap::new(),
        }
    }

    /// Adds a response, whose work has been done, and returns its number. It is added without room as well.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::http_server::{CutOffCause, OpenResponses};
    /// let mut responses = OpenResponses::new(1_000);
    /// for number in 0..4 {
    ///     assert!(responses.has_room());
    ///     assert_eq!(responses.add("caller", 250, 100), number);
    /// }
    /// assert!(!responses.has_room());
    /// assert!(responses.take_cut_off(5_099).is_empty());
    /// assert_eq!(responses.take_cut_off(5_100)[0].1.cause, CutOffCause::Stalled);
    /// assert!(responses.has_room());
    /// ```
    pub fn add(&mut self, connection: C, response_bytes: usize, now_ms: u64) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.counted_bytes += self.counted(response_bytes);
        let response = OpenResponse {
            connection,
            response_bytes,
            progress_ms: now_ms,
        };
        self.responses.insert(number, response);
        number
    }

    /// Records that the caller has read a part of a response.
    pub fn record_progress(&mut self, number: u64, now_ms: u64) {
        if let Some(response) = self.responses.get_mut(&number) {
            response.progress_ms = now_ms;
        }
    }

    /// Records that the process did not run for some time, in which no progress could be seen.
    pub fn record_delay(&mut self, delay_ms: u64) {
        for response in self.responses.values_mut() {
            response.progress_ms += delay_ms;
        }
    }

    /// Removes a response that is no longer held, unless it has been cut off.
    pub fn remove(&mut self, number: u64) {
        self.take(number);
    }

    /// Returns whether requests may be taken whose responses will be held.
    pub fn has_room(&self) -> bool {
        self.counted_bytes < self.limit_bytes
    }

    /// Returns whether more is held than the limit.
    pub fn exceeds_limit(&self) -> bool {
        self.counted_bytes > self.limit_bytes
    }

    /// Returns the number of responses.
    pub fn count(&self) -> usize {
        self.responses.len()
    }

    /// Removes and returns the responses that are to be cut off now: all that have made no progress for
    /// `MAX_STALL_MS`, and beyond the limit those that have made none for longest.
    pub fn take_cut_off(&mut self, now_ms: u64) -> Vec<(C, CutOff)> {
        let mut stalled = Vec::new();
        for (number, response) in &self.responses {
            let stalled_ms = now_ms.saturating_sub(response.progress_ms);
            if stalled_ms >= MAX_STALL_WITHOUT_ROOM_MS {
                stalled.push((stalled_ms, *number));
            }
        }
        stalled.sort_unstable_by(|a, b| b.cmp(a));
        let mut taken = Vec::new();
        for (stalled_ms, number) in stalled {
            let cause = if stalled_ms >= MAX_STALL_MS {
                CutOffCause::Stalled
            } else if self.exceeds_limit() {
                CutOffCause::NoMemory
            } else {
                break;
            };
            let Some(response) = self.take(number) else {
                continue;
            };
            let cut_off = CutOff {
                cause,
                response_bytes: response.response_bytes,
                stalled_ms,
            };
            taken.push((response.connection, cut_off));
        }
        taken
    }

    fn take(&mut self, number: u64) -> Option<OpenResponse<C>> {
        let response = self.responses.remove(&number)?;
        self.counted_bytes -= self.counted(response.response_bytes);
        Some(response)
    }

    fn counted(&self, response_bytes: usize) -> usize {
        response_bytes.min(self.limit_bytes / MAX_RESPONSE_DIVISOR)
    }
}
