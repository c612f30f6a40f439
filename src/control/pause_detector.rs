//! Detection of pauses of this process, after which its documents may be out of date.
//!
//! The first request after a pause waits for an attempt to synchronize documents with peers, which
//! may time out, since the configuration may have changed while the process did not run.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Time since the last control tick above which the process counts as paused.
const PAUSE_THRESHOLD_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug)]
struct PauseState {
    last_tick_ms: u64,
    pauses: u64,
    synced_pause: u64,
}

/// Counts pauses, which are detected by the first control tick or admission after them.
#[derive(Debug)]
pub struct PauseDetector {
    state: Mutex<PauseState>,
}

impl PauseDetector {
    /// Creates a detector whose last tick was at `now_ms`; documents count as synchronized.
    ///
    /// # Examples
    ///
    /// ```
    /// let pause_detector = cloverrack::control::PauseDetector::new(0);
    /// assert!(pause_detector.unsynced_pause(1_000).is_none());
    /// let pause = pause_detector.unsynced_pause(3_000).unwrap();
    /// pause_detector.mark_synced(pause);
    /// assert!(pause_detector.unsynced_pause(3_001).is_none());
    /// ```
    pub fn new(now_ms: u64) -> Self {
        Self {
            state: Mutex::new(PauseState {
                last_tick_ms: now_ms,
                pauses: 0,
                synced_pause: 0,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, PauseState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a control tick; returns whether a pause preceded it.
    pub fn tick(&self, now_ms: u64) -> bool {
        let mut state = self.state();
        let paused = now_ms.saturating_sub(state.last_tick_ms) > PAUSE_THRESHOLD_MS;
        state.pauses += u64::from(paused);
        state.last_tick_ms = now_ms;
        paused
    }

    /// Returns the number of the last pause unless an attempt to synchronize documents that started
    /// after it has ended, successfully or not.
    pub fn unsynced_pause(&self, now_ms: u64) -> Option<u64> {
        let mut state = self.state();
        if now_ms.saturating_sub(state.last_tick_ms) > PAUSE_THRESHOLD_MS {
            state.pauses += 1;
            state.last_tick_ms = now_ms;
        }
        (state.pauses != state.synced_pause).then_some(state.pauses)
    }

    /// Records the end of an attempt, successful or not, to synchronize documents that started after
    /// the pause with the given number.
    pub fn mark_synced(&self, pause: u64) {
        let mut state = self.state();
        state.synced_pause = state.synced_pause.max(pause);
    }

    /// Returns the number of pauses detected so far.
    pub fn pauses(&self) -> u64 {
        self.state().pauses
    }
}
