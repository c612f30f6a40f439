//! Fault injection for test builds: cut links, actions at fail points, and disabled checks.
//!
//! Without the feature `fault-injection` the functions do nothing, and no fault can be injected.

#[cfg(not(feature = "fault-injection"))]
use std::net::SocketAddr;

/// Fail points in the processing of requests and configurations, at which a fault can be injected.
pub const FAIL_POINTS: &[&str] = &[
    "request.asked",
    "request.admitted",
    "request.forwarded",
    "request.pinned",
    "request.planned",
    "request.sent",
    "request.running",
    "request.answered",
    "request.merged",
    "request.delivered",
    "config.read",
    "config.spread",
    "config.in_force",
];

/// Checks that a test can disable to show that it fails without them.
pub const CHECKS: &[&str] = &[
    "check.match",
    "check.coverage",
    "check.uncertain",
    "check.ticket",
    "check.drain",
    "check.graceful_stop",
    "check.document_order",
];

/// Runs the action that a test set at a fail point, if any.
#[cfg(feature = "fault-injection")]
pub fn hit_fail_point(name: &'static str) {
    fail::fail_point!(name);
}

/// Does nothing, since this build has no fault injection.
#[cfg(not(feature = "fault-injection"))]
#[inline(always)]
pub fn hit_fail_point(_name: &'static str) {}

/// Hits the fail point of a step that begins when `future` is created, and returns `future`.
#[inline(always)]
pub fn with_fail_point<F>(name: &'static str, future: F) -> F {
    hit_fail_point(name);
    future
}

/// Hits the fail point `request.delivered` before an answer is sent, and returns the answer.
#[inline(always)]
pub fn with_delivery_fail_point<T>(answer: T) -> T {
    hit_fail_point("request.delivered");
    answer
}

/// Returns whether a test disabled a check.
#[cfg(feature = "fault-injection")]
pub fn is_check_disabled(check: &'static str) -> bool {
    fail::fail_point!(check, |_| true);
    false
}

/// Returns `false`, since this build has no fault injection.
#[cfg(not(feature = "fault-injection"))]
#[inline(always)]
pub fn is_check_disabled(_check: &'static str) -> bool {
    false
}

/// Returns `false`: links can't be cut in this build.
#[cfg(not(feature = "fault-injection"))]
pub fn is_link_cut(_peer: SocketAddr) -> bool {
    false
}

#[cfg(feature = "fault-injection")]
pub use injected::{
    Action, FailPointReport, FaultError, FaultRequest, apply, fail_point_report, is_link_cut,
    set_cut,
};

#[cfg(feature = "fault-injection")]
mod injected {
    use std::collections::BTreeSet;
    use std::net::SocketAddr;
    use std::sync::atomic::{AtomicU64, Ordering};
    use std::sync::{Condvar, Mutex, MutexGuard, PoisonError, RwLock};
    use std::time::Duration;

    use rustix::process::{Signal, getpid, kill_process};
    use serde::{Deserialize, Serialize};
    use thiserror::Error;

    use super::{CHECKS, FAIL_POINTS};

    /// Longest time that `Action::Hold` blocks a thread, so that a test that ends early leaves no
    /// blocked thread behind.
    const MAX_HOLD_TIME: Duration = Duration::from_secs(15);

    static CUT: RwLock<Vec<SocketAddr>> = RwLock::new(Vec::new());
    static FAIL_POINT_REPORT: Mutex<FailPointReport> = Mutex::new(FailPointReport {
        steps: BTreeSet::new(),
        held: BTreeSet::new(),
        released: BTreeSet::new(),
    });
    static RELEASED: Condvar = Condvar::new();

    /// Action at a fail point or a check.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Action {
        /// Kills the process with SIGKILL.
        Exit,
        /// Stops the process with SIGSTOP, until SIGCONT.
        Stop,
        /// Blocks the thread for a time in milliseconds.
        SleepMs(u64),
        /// Blocks the thread until [`Action::Release`], for at most `MAX_HOLD_TIME`.
        Hold,
        /// Cuts the links to these addresses and restores all others.
        Cut(Vec<SocketAddr>),
        /// Unblocks a thread held by [`Action::Hold`] and removes the action.
        Release,
        /// Disables a check.
        Disable,
        /// Enables a check again.
        Enable,
    }

    /// Request that sets the action of a fail point or a check.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct FaultRequest {
        /// One of [`FAIL_POINTS`] or [`CHECKS`].
        pub name: String,
        /// Action to take; at a fail point it runs once.
        pub action: Action,
        /// Time for which the thread is blocked before the action runs.
        #[serde(default)]
        pub delay_ms: u64,
        /// Number of hits of the fail point that are ignored before the action runs.
        #[serde(default)]
        pub skip: u64,
    }

    /// Progress of the actions at fail points.
    #[derive(Clone, Debug, Default, PartialEq, Eq)]
    #[derive(Serialize, Deserialize)]
    pub struct FailPointReport {
        /// Fail points whose action has begun.
        pub steps: BTreeSet<String>,
        /// Fail points at which a thread is blocked by [`Action::Hold`] now.
        pub held: BTreeSet<String>,
        /// Fail points released by [`Action::Release`].
        pub released: BTreeSet<String>,
    }

    /// Error of applying a [`FaultRequest`].
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[derive(Error)]
    pub enum FaultError {
        /// The name is neither a fail point nor a check.
        #[error("unknown fail point or check `{0}`")]
        UnknownName(String),
        /// The fail point could not be configured.
        #[error("failed to configure fail point: {0}")]
        FailPoint(String),
    }

    fn lock_fail_point_report() -> MutexGuard<'static, FailPointReport> {
        FAIL_POINT_REPORT
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Cuts the links to these internal, leaf or platform addresses and restores all others.
    pub fn set_cut(peers: Vec<SocketAddr>) {
        *CUT.write().unwrap_or_else(PoisonError::into_inner) = peers;
    }

    /// Returns whether the link to a peer is cut.
    pub fn is_link_cut(peer: SocketAddr) -> bool {
        CUT.read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&peer)
    }

    /// Returns the progress of the actions at fail points.
    pub fn fail_point_report() -> FailPointReport {
        lock_fail_point_report().clone()
    }

    /// Applies a request received by the operator API.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown or the fail point can't be configured.
    pub fn apply(request: FaultRequest) -> Result<(), FaultError> {
        let name = request.name.clone();
        if !FAIL_POINTS.contains(&&*name) && !CHECKS.contains(&&*name) {
            return Err(FaultError::UnknownName(name));
        }
        let configured = match request.action {
            Action::Disable => fail::cfg(name, "return"),
            Action::Enable => fail::cfg(name, "off"),
            Action::Release => {
                // The fail point is locked while its action runs, so the blocked thread must be
                // released before the fail point is configured.
                lock_fail_point_report().released.insert(name.clone());
                RELEASED.notify_all();
                fail::cfg(name, "off")
            }
            _ => {
                let mut report = lock_fail_point_report();
                report.steps.remove(&name);
                report.released.remove(&name);
                drop(report);
                let hits = AtomicU64::new(0);
                fail::cfg_callback(name, move || {
                    if hits.fetch_add(1, Ordering::SeqCst) == request.skip {
                        // Moves the worker's other tasks, such as polling sockets, to another
                        // thread; otherwise the whole process would block.
                        tokio::task::block_in_place(|| run_action(&request));
                    }
                })
            }
        };
        configured.map_err(FaultError::FailPoint)
    }

    fn run_action(request: &FaultRequest) {
        std::thread::sleep(Duration::from_millis(request.delay_ms));
        lock_fail_point_report().steps.insert(request.name.clone());
        match &request.action {
            Action::Exit => signal_self(Signal::KILL),
            Action::Stop => signal_self(Signal::STOP),
            Action::SleepMs(time_ms) => std::thread::sleep(Duration::from_millis(*time_ms)),
            Action::Hold => {
                lock_fail_point_report().held.insert(request.name.clone());
                let held = |report: &mut FailPointReport| !report.released.contains(&request.name);
                let _ = RELEASED.wait_timeout_while(lock_fail_point_report(), MAX_HOLD_TIME, held);
                lock_fail_point_report().held.remove(&request.name);
            }
            Action::Cut(peers) => set_cut(peers.clone()),
            Action::Release | Action::Disable | Action::Enable => {}
        }
    }

    fn signal_self(signal: Signal) {
        let _ = kill_process(getpid(), signal);
    }
}
