//! Remembers when this process did not run, without I/O.
//!
//! Handles VMs that are slow, frozen or suspended: after a delay all leaves seem to have been silent, since
//! their replies were not read. Stalls are shared with other VMs and used to predict pauses.

/// Least delay between two turns of a task that counts. Shorter ones don't make a leaf look stalled.
const MIN_DELAY_US: u64 = 20_000;

/// Times in which this process did not run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessDelays {
    /// Time at which the next turn is due; 0 before the first one.
    due_us: u64,
    /// Begin and end of the latest delay.
    latest_us: (u64, u64),
}

impl ProcessDelays {
    /// Records that the process runs, and when it does so again.
    pub fn record_turn(&mut self, now_us: u64, interval_us: u64) {
        if self.due_us > 0 && now_us > self.due_us + MIN_DELAY_US {
            self.latest_us = (self.due_us, now_us);
        }
        self.due_us = now_us + interval_us;
    }

    /// Returns the part of a time in which the process did not run.
    fn delay_us(&self, from_us: u64, to_us: u64) -> u64 {
        let overlap_us = |(begin_us, end_us): (u64, u64)| {
            let end_us = end_us.min(to_us);
            end_us.saturating_sub(begin_us.max(from_us))
        };
        let is_late = self.due_us > 0 && to_us > self.due_us + MIN_DELAY_US;
        let ongoing_us = if is_late {
            overlap_us((self.due_us, to_us))
        } else {
            0
        };
        overlap_us(self.latest_us) + ongoing_us
    }

    /// Returns how much of a time the process ran.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::ProcessDelays;
    /// let mut delays = ProcessDelays::default();
    /// delays.record_turn(1_000_000, 20_000);
    /// assert_eq!(delays.running_us(1_000_000, 1_030_000), 30_000, "the next turn is hardly late");
    /// assert_eq!(delays.running_us(1_000_000, 1_200_000), 20_000, "there was no turn for 180 ms");
    /// delays.record_turn(1_200_000, 20_000);
    /// assert_eq!(delays.running_us(700_000, 1_210_000), 330_000);
    /// ```
    pub fn running_us(&self, from_us: u64, to_us: u64) -> u64 {
        let elapsed_us = to_us.saturating_sub(from_us);
        elapsed_us.saturating_sub(self.delay_us(from_us, to_us))
    }
}
