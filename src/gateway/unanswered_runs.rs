//! Remembers the runs of contents at a leaf that ended without an answer, until the leaf answers
//! again or its process is known to have ended.
//!
//! Handles leaves that crash without a sign: their connections are reset, or stay open, in the same
//! way as those of a leaf that hangs, sheds connections or is cut off. Only later does the platform
//! remove or replace the leaf's record, or its address refuse connections. Pure logic without I/O.

use super::content::Content;

/// Maximum number of runs that are kept for a leaf. Those that began first since its last answer
/// are kept, since one of them may have ended it.
const MAX_RUNS_PER_LEAF: usize = 8;

/// Run of a content at a leaf that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnansweredRun {
    /// What the caller asked for.
    pub content: Content,
    /// Hash of the request ID, which differs in each attempt of the caller.
    pub request_hash: u64,
    /// Latest time on the boot clock at which the leaf is known to have lived.
    pub alive_us: u64,
    /// End of the run on the boot clock, by which the leaf had ended if the run ended it.
    pub ended_us: u64,
}

/// Unanswered runs of one leaf process.
#[derive(Clone, Debug, Default)]
pub struct UnansweredRuns {
    runs: Vec<UnansweredRun>,
}

impl UnansweredRuns {
    /// Adds a run, unless there are too many.
    pub fn add(&mut self, run: UnansweredRun) {
        if self.runs.len() < MAX_RUNS_PER_LEAF {
            self.runs.push(run);
        }
    }

    /// Discards the runs that ended before the start of a call which the leaf answered.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{Content, UnansweredRun, UnansweredRuns};
    /// let content = Content { fingerprint: 7, caller: [127, 0, 0, 1].into() };
    /// let mut unanswered_runs = UnansweredRuns::default();
    /// unanswered_runs.add(UnansweredRun { content, request_hash: 1, alive_us: 0, ended_us: 50 });
    /// unanswered_runs.discard_before(40);
    /// assert_eq!(unanswered_runs.take().len(), 1, "the call was in flight when the run ended");
    /// ```
    pub fn discard_before(&mut self, call_started_us: u64) {
        self.runs.retain(|run| run.ended_us >= call_started_us);
    }

    /// Removes and returns all runs.
    pub fn take(&mut self) -> Vec<UnansweredRun> {
        std::mem::take(&mut self.runs)
    }
}

/// Number of contents whose latest success is remembered.
const SUCCESS_SLOTS: usize = 2_048;

/// Latest successes of contents. Evidence may be found after the success that refutes it: a leaf is
/// known to have ended only seconds after the attempt that lost it.
///
/// A content has one slot, from which another content displaces it.
#[derive(Debug, Default)]
pub struct RecentSuccesses {
    slots: Vec<Option<(Content, u64)>>,
}

impl RecentSuccesses {
    fn slot(content: &Content) -> usize {
        content.fingerprint as usize % SUCCESS_SLOTS
    }

    /// Adds a success.
    pub fn add(&mut self, content: Content, now_unix_ms: u64) {
        if self.slots.is_empty() {
            self.slots = vec![None; SUCCESS_SLOTS];
        }
        self.slots[Self::slot(&content)] = Some((content, now_unix_ms));
    }

    /// Returns the wall-clock time of the latest success of a content, if it is remembered.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{Content, RecentSuccesses};
    /// let content = Content { fingerprint: 7, caller: [127, 0, 0, 1].into() };
    /// let mut recent_successes = RecentSuccesses::default();
    /// assert_eq!(recent_successes.latest_unix_ms(&content), None);
    /// recent_successes.add(content, 9);
    /// assert_eq!(recent_successes.latest_unix_ms(&content), Some(9));
    /// ```
    pub fn latest_unix_ms(&self, content: &Content) -> Option<u64> {
        let (known, succeeded_unix_ms) = (*self.slots.get(Self::slot(content))?)?;
        (known == *content).then_some(succeeded_unix_ms)
    }
}
