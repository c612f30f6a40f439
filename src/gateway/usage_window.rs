//! Counts the requests and the extra calls of a sliding window, without I/O.

/// Number of slots of a window. Requests of a slot count until its begin leaves the window, and extra calls
/// until its end does, so that the window never allows more calls than the exact times would.
const SLOTS: usize = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    requests: u64,
    extra_calls: u64,
}

/// Requests and extra calls of the latest time.
#[derive(Clone, Debug)]
pub struct UsageWindow {
    slot_ms: u64,
    /// Number of the current slot since the clock's origin.
    current: u64,
    /// The slots of the window, and the one that is leaving it.
    slots: [Slot; SLOTS + 1],
}

impl UsageWindow {
    /// Creates an empty window.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::UsageWindow;
    /// let mut window = UsageWindow::new(10_000);
    /// window.record_request(500);
    /// window.record_extra_call(600);
    /// window.advance(10_600);
    /// assert_eq!((window.requests(), window.extra_calls()), (0, 1));
    /// window.advance(11_000);
    /// assert_eq!((window.requests(), window.extra_calls()), (0, 0));
    /// ```
    pub fn new(window_ms: u64) -> Self {
        Self {
            slot_ms: (window_ms / SLOTS as u64).max(1),
            current: 0,
            slots: [Slot::default(); SLOTS + 1],
        }
    }

    /// Moves the window to a time.
    pub fn advance(&mut self, now_ms: u64) {
        let current = now_ms / self.slot_ms;
        let passed = current.saturating_sub(self.current);
        for number in 1..=passed.min(self.slots.len() as u64) {
            let slot = self.index(self.current + number);
            self.slots[slot] = Slot::default();
        }
        self.current = self.current.max(current);
    }

    /// Counts a request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.advance(now_ms);
        let slot = self.index(self.current);
        self.slots[slot].requests += 1;
    }

    /// Counts an extra call.
    pub fn record_extra_call(&mut self, now_ms: u64) {
        self.advance(now_ms);
        let slot = self.index(self.current);
        self.slots[slot].extra_calls += 1;
    }

    /// Returns the requests within the window.
    pub fn requests(&self) -> u64 {
        let leaving = self.index(self.current + 1);
        let all: u64 = self.slots.iter().map(|slot| slot.requests).sum();
        all - self.slots[leaving].requests
    }

    /// Returns the extra calls within the window.
    pub fn extra_calls(&self) -> u64 {
        self.slots.iter().map(|slot| slot.extra_calls).sum()
    }

    fn index(&self, number: u64) -> usize {
        usize::try_from(number % self.slots.len() as u64).unwrap_or(0)
    }
}
