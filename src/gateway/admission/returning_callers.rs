//! Remembers callers that were told to come back, and recognises them when they do, without I/O.

use std::collections::{HashMap, VecDeque};

use crate::gateway::content::Content;

/// Time by which a caller may be early: clocks differ slightly in speed, and the told time is rounded.
const EARLY_MARGIN_US: u64 = 5_000;

/// Time by which a caller may be late: it connects anew and may run on a busy machine.
const LATE_MARGIN_US: u64 = 250_000;

/// Maximum number of callers, some 200 bytes each. A VM that refuses 500 requests a second and tells each to
/// come back within two seconds remembers half as many.
const MAX_CALLERS: usize = 2_048;

/// Times between which a caller is expected.
#[derive(Clone, Copy, Debug)]
struct ExpectedReturn {
    from_us: u64,
    until_us: u64,
}

/// Callers that were told to come back.
#[derive(Debug, Default)]
pub struct ReturningCallers {
    expected: HashMap<Content, ExpectedReturn>,
    /// Callers in the order in which they were told.
    order: VecDeque<(Content, u64)>,
}

impl ReturningCallers {
    /// Records that a caller was told to come back after a time.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::Content;
    /// use cloverrack::gateway::admission::ReturningCallers;
    /// let content = Content { fingerprint: 7, caller: [127, 0, 0, 1].into() };
    /// let mut callers = ReturningCallers::default();
    /// callers.record(content, 200_000, 1_000_000);
    /// assert!(!callers.take(&content, 1_001_000), "repeats at once");
    /// assert!(callers.take(&content, 1_210_000));
    /// assert!(!callers.take(&content, 1_220_000), "counts once");
    /// ```
    pub fn record(&mut self, content: Content, wait_us: u64, now_us: u64) {
        while let Some((oldest, until_us)) = self.order.front() {
            if *until_us >= now_us && self.order.len() < MAX_CALLERS {
                break;
            }
            if self.expected.get(oldest).map(|entry| entry.until_us) == Some(*until_us) {
                self.expected.remove(oldest);
            }
            self.order.pop_front();
        }
        let expected = ExpectedReturn {
            from_us: (now_us + wait_us).saturating_sub(EARLY_MARGIN_US),
            until_us: now_us + wait_us + LATE_MARGIN_US,
        };
        self.expected.insert(content, expected);
        self.order.push_back((content, expected.until_us));
    }

    /// Returns whether a caller comes back as it was told, and forgets it if so.
    pub fn take(&mut self, content: &Content, now_us: u64) -> bool {
        let expected = self.expected.get(content);
        let is_returning = expected
            .is_some_and(|expected| (expected.from_us..=expected.until_us).contains(&now_us));
        if is_returning {
            self.expected.remove(content);
        }
        is_returning
    }
}
