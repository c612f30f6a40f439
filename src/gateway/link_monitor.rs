//! Decides whether this VM has lost its links to the leaves, without I/O.
//!
//! Handles partitions between the VM and all leaves, while callers and other VMs still reach it. The
//! calls to each leaf then fail as if the leaf had ended, hung or refused connections; only the
//! comparison with the other leaves shows that the VM is at fault. Status checks of some leaves
//! confirm a loss, and its end.

use std::collections::BTreeMap;

use crate::ids::LeafKey;

/// Time without a reply from any leaf after which the links are checked, if several leaves have
/// failed or not replied.
pub const SILENCE_US: u64 = 100_000;

/// Number of leaves that have to fail before the links are checked. Fewer may fail together by
/// chance.
const MIN_FAILED_LEAVES: usize = 3;

/// Number of leaves that are checked at a time, to find a loss and to find its end.
const CHECKED_LEAVES: usize = 6;
const CHECKED_LEAVES_LOST: usize = 3;

/// Interval between checks while the links are lost.
const LOST_CHECK_INTERVAL_US: u64 = 200_000;

/// Interval between checks that pass although calls fail.
const PASSED_CHECK_INTERVAL_US: u64 = 300_000;

/// Checks in a row in which all leaves refuse connections before the links are lost while open
/// connections still carry replies. The first check may hit leaves that have just ended together.
const REFUSED_CHECKS: u32 = 2;

/// Checks in a row that have to pass before the leaves are used again, so that links which come and
/// go are not.
const CHECKS_TO_RECOVER: u32 = 3;

/// Time over which requests return to the leaves after a loss: all VMs of a partition open their
/// connections at the same time.
const RECOVERY_US: u64 = 1_000_000;

/// State of the links between this VM and the leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Leaves can be reached.
    #[default]
    Connected,
    /// No leaf can be reached.
    Lost {
        /// Time at which this was found, on the boot clock.
        since_us: u64,
    },
    /// Leaves can be reached again, and a growing share of the requests is sent to them.
    Recovering {
        /// Time at which this was found, on the boot clock.
        since_us: u64,
    },
}

/// Answers to the status checks of some leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CheckResult {
    /// Leaves that answered.
    pub answered: usize,
    /// Leaves whose connections were refused or ended.
    pub refused: usize,
    /// Leaves that sent nothing in time.
    pub silent: usize,
}

impl CheckResult {
    fn checked(self) -> usize {
        self.answered + self.refused + self.silent
    }
}

/// Change of the state after a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// The links are lost.
    Lost {
        /// Number of leaves that had failed or not replied.
        failed_leaves: usize,
        /// Time since the latest reply of a leaf.
        silent_us: u64,
    },
    /// Leaves can be reached again.
    Answering {
        /// Time for which no leaf could be reached.
        lost_us: u64,
    },
}

/// Failures of calls and connections, compared over all leaves.
#[derive(Debug, Default)]
pub struct LinkMonitor {
    state: LinkState,
    called_us: u64,
    replied_us: u64,
    /// Leaves whose calls have failed since the latest reply of any leaf, with the time.
    failed: BTreeMap<LeafKey, u64>,
    /// Leaves that have not accepted a connection since the latest one that did, with the time.
    unconnected: BTreeMap<LeafKey, u64>,
    checked_us: u64,
    passed_checks: u32,
    refused_checks: u32,
    /// Whether another VM has links and serves the requests of this one meanwhile.
    is_replaceable: bool,
    /// End of the latest loss.
    lost_until_us: u64,
}

impl LinkMonitor {
    /// Returns the state of the links.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Returns whether no leaf can be reached.
    pub fn is_lost(&self) -> bool {
        matches!(self.state, LinkState::Lost { .. })
    }

    /// Records whether another VM has links while those of this VM are lost.
    pub fn set_replaceable(&mut self, is_replaceable: bool) {
        self.is_replaceable = is_replaceable;
    }

    /// Records that a call to a leaf starts.
    pub fn record_call(&mut self, now_us: u64) {
        self.called_us = now_us;
    }

    /// Returns whether a call started within a time before `now_us`, or the links are lost.
    pub fn is_in_use(&self, within_us: u64, now_us: u64) -> bool {
        self.is_lost() || now_us < self.called_us + within_us
    }

    /// Returns whether the outcome of a call that started at `started_us` tells of the links instead of
    /// the leaf.
    pub fn distorts_call(&self, started_us: u64) -> bool {
        self.is_lost() || started_us < self.lost_until_us
    }

    /// Records a reply of a leaf.
    pub fn record_reply(&mut self, now_us: u64) {
        self.replied_us = now_us;
        self.failed.clear();
    }

    /// Records that a call to a leaf ended without a reply.
    pub fn record_failure(&mut self, leaf: LeafKey, now_us: u64) {
        self.failed.entry(leaf).or_insert(now_us);
    }

    /// Records that a leaf accepted a connection.
    pub fn record_connection(&mut self) {
        self.unconnected.clear();
    }

    /// Records that a leaf did not accept a connection.
    pub fn record_no_connection(&mut self, leaf: LeafKey, now_us: u64) {
        self.failed.entry(leaf).or_insert(now_us);
        self.unconnected.entry(leaf).or_insert(now_us);
    }

    /// Returns whether several leaves have failed and none has replied since, so that a check may
    /// follow.
    pub fn may_be_lost(&self, listed: usize) -> bool {
        let wanted = MIN_FAILED_LEAVES.min(listed).max(1);
        self.failed.len() >= wanted || self.unconnected.len() >= wanted
    }

    /// Returns whether calls fail in a way that may be due to the links.
    ///
    /// `listed` is the number of leaves, and `silent` the number of those that have not replied to
    /// an open call for [`SILENCE_US`].
    pub fn is_suspect(&self, listed: usize, silent: impl FnOnce() -> usize, now_us: u64) -> bool {
        let wanted = MIN_FAILED_LEAVES.min(listed).max(1);
        let first_unconnected_us = self.unconnected.values().min();
        if self.unconnected.len() >= wanted
            && first_unconnected_us.is_some_and(|first_us| *first_us + SILENCE_US <= now_us)
        {
            return true;
        }
        self.called_us > self.replied_us
            && self.replied_us + SILENCE_US <= now_us
            && (self.failed.len() >= wanted || silent() >= wanted)
    }

    /// Returns whether the links are to be checked now.
    pub fn is_check_due(&self, listed: usize, silent: impl FnOnce() -> usize, now_us: u64) -> bool {
        let since_check_us = now_us.saturating_sub(self.checked_us);
        if listed == 0 {
            return false;
        }
        if self.is_lost() {
            return since_check_us >= LOST_CHECK_INTERVAL_US;
        }
        since_check_us >= PASSED_CHECK_INTERVAL_US && self.is_suspect(listed, silent, now_us)
    }

    /// Returns the number of leaves to check.
    pub fn checked_leaves(&self) -> usize {
        if self.is_lost() {
            CHECKED_LEAVES_LOST
        } else {
            CHECKED_LEAVES
        }
    }

    /// Records the result of a check.
    ///
    /// One answer disproves a loss, since leaves may have ended. So do replies on open connections if
    /// the checked leaves are only slow. A recovery needs answers of half of the leaves, in several
    /// checks, or one answer if no other VM has links.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{CheckResult, LinkMonitor, LinkState};
    /// let mut link_monitor = LinkMonitor::default();
    /// link_monitor.set_replaceable(true);
    /// let silent = CheckResult { silent: 6, ..CheckResult::default() };
    /// link_monitor.record_check(silent, 500_000);
    /// assert!(link_monitor.is_lost());
    /// let answered = CheckResult { answered: 3, ..CheckResult::default() };
    /// for now_us in [600_000, 800_000, 1_000_000] {
    ///     link_monitor.record_check(answered, now_us);
    /// }
    /// assert_eq!(link_monitor.state(), LinkState::Recovering { since_us: 1_000_000 });
    /// ```
    pub fn record_check(&mut self, result: CheckResult, now_us: u64) -> Option<LinkChange> {
        let (answered, checked) = (result.answered, result.checked());
        self.checked_us = now_us;
        if let LinkState::Lost { since_us } = self.state {
            let has_passed = answered * 2 >= checked && answered > 0;
            self.passed_checks = if has_passed {
                self.passed_checks + 1
            } else {
                0
            };
            let is_needed = answered > 0 && !self.is_replaceable;
            if self.passed_checks < CHECKS_TO_RECOVER && !is_needed {
                return None;
            }
            self.state = LinkState::Recovering { since_us: now_us };
            self.lost_until_us = now_us;
            self.forget_failures(now_us);
            let lost_us = now_us.saturating_sub(since_us);
            return Some(LinkChange::Answering { lost_us });
        }
        if answered > 0 || checked == 0 {
            self.refused_checks = 0;
            self.forget_failures(now_us);
            return None;
        }
        let all_refuse = result.refused == checked;
        self.refused_checks = if all_refuse {
            self.refused_checks + 1
        } else {
            0
        };
        let has_replies = now_us < self.replied_us + SILENCE_US;
        if has_replies && self.refused_checks < REFUSED_CHECKS {
            return None;
        }
        self.refused_checks = 0;
        let failed_leaves = self.failed.len().max(self.unconnected.len());
        self.state = LinkState::Lost { since_us: now_us };
        self.passed_checks = 0;
        Some(LinkChange::Lost {
            failed_leaves,
            silent_us: now_us.saturating_sub(self.replied_us),
        })
    }

    fn forget_failures(&mut self, now_us: u64) {
        self.failed.clear();
        self.unconnected.clear();
        self.replied_us = now_us;
    }

    /// Ends a recovery that has lasted long enough, and returns the state.
    pub fn update(&mut self, now_us: u64) -> LinkState {
        if let LinkState::Recovering { since_us } = self.state
            && now_us >= since_us + RECOVERY_US
        {
            self.state = LinkState::Connected;
        }
        self.state
    }

    /// Returns whether a request uses the leaves itself, by a number drawn from 0 to 1. After a loss
    /// a growing share does.
    pub fn uses_leaves(&self, drawn: f64, now_us: u64) -> bool {
        match self.state {
            LinkState::Connected => true,
            LinkState::Lost { .. } => false,
            LinkState::Recovering { since_us } => {
                let elapsed_us = now_us.saturating_sub(since_us);
                #[expect(clippy::cast_precision_loss, reason = "a share needs no precision")]
                let share = elapsed_us as f64 / RECOVERY_US as f64;
                drawn < share
            }
        }
    }
}
