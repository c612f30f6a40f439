//! Injected faults of test builds: cut links, actions at named steps, and checks switched off.
//!
//! Without the feature `fault-injection` all functions are empty and nothing can be injected.

#[cfg(not(feature = "fault-injection"))]
use std::net::SocketAddr;

/// Steps of a request's and a configuration's life at which a fault can be injected.
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

/// Checks that a test can switch off to show that a test fails without them.
pub const CHECKS: &[&str] = &[
    "check.match",
    "check.coverage",
    "check.uncertain",
    "check.ticket",
    "check.drain",
    "check.graceful_stop",
    "check.document_order",
];

/// Marks a step of a request's or a configuration's life.
#[cfg(feature = "fault-injection")]
pub fn hit_fail_point(name: &'static str) {
    fail::fail_point!(name);
}

/// Marks a step of a request's or a configuration's life: does nothing in this build.
#[cfg(not(feature = "fault-injection"))]
#[inline(always)]
pub fn hit_fail_point(_name: &'static str) {}

/// Marks a step that has begun once `future` exists, and returns `future`.
#[inline(always)]
pub fn with_fail_point<F>(name: &'static str, future: F) -> F {
    hit_fail_point(name);
    future
}

/// Marks the step before an answer goes to the caller, and returns the answer.
#[inline(always)]
pub fn with_delivery_fail_point<T>(answer: T) -> T {
    hit_fail_point("request.delivered");
    answer
}

/// Returns whether a test switched a check off.
#[cfg(feature = "fault-injection")]
pub fn is_check_disabled(check: &'static str) -> bool {
    fail::fail_point!(check, |_| true);
    false
}

/// Returns whether a test switched a check off: never in this build.
#[cfg(not(feature = "fault-injection"))]
#[inline(always)]
pub fn is_check_disabled(_check: &'static str) -> bool {
    false
}

/// Returns whether the link to a peer is cut: never in this build.
#[cfg(not(feature = "fault-injection"))]
pub fn is_cut(_peer: SocketAddr) -> bool {
    false
}

#[cfg(feature = "fault-injection")]
pub use injected::{
    Action, FailPointReport, FaultError, FaultRequest, apply, fail_point_report, is_cut, set_cut,
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

    /// Longest hold, so that a test that ends early leaves no blocked thread behind.
    const MAX_HOLD: Duration = Duration::from_secs(15);

    static CUT: RwLock<Vec<SocketAddr>> = RwLock::new(Vec::new());
    static FAIL_POINT_REPORT: Mutex<FailPointReport> = Mutex::new(FailPointReport {
        steps: BTreeSet::new(),
        held: BTreeSet::new(),
        released: BTreeSet::new(),
    });
    static RELEASED: Condvar = Condvar::new();

    /// What happens at a step.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Action {
        /// Ends the process at once, as SIGKILL does.
        Exit,
        /// Stops the process until SIGCONT.
        Stop,
        /// Blocks the thread for a time.
        SleepMs(u64),
        /// Blocks the thread until the step is released.
        Hold,
        /// Cuts the links to exactly these addresses.
        Cut(Vec<SocketAddr>),
        /// Releases a hold and removes the action.
        Release,
        /// Switches a check off.
        Disable,
        /// Switches a check on again.
        Enable,
    }

    /// Sets an action at a step or a check.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct FaultRequest {
        /// One of [`FAIL_POINTS`] or [`CHECKS`].
        pub name: String,
        /// What happens there; at a step it happens once.
        pub action: Action,
        /// Time between reaching the step and the action, in which the thread is blocked.
        #[serde(default)]
        pub delay_ms: u64,
        /// Number of times the step passes before the action.
        #[serde(default)]
        pub skip: u64,
    }

    /// What became of the actions at steps.
    #[derive(Clone, Debug, Default, PartialEq, Eq)]
    #[derive(Serialize, Deserialize)]
    pub struct FailPointReport {
        /// Steps whose action has begun.
        pub steps: BTreeSet<String>,
        /// Steps at which a thread is held now.
        pub held: BTreeSet<String>,
        /// Steps whose hold was released.
        pub released: BTreeSet<String>,
    }

    /// An order could not be carried out.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[derive(Error)]
    pub enum FaultError {
        /// The name is neither a step nor a check.
        #[error("no step or check is named {0}")]
        UnknownName(String),
        /// The fail point refused the action.
        #[error("fail point: {0}")]
        FailPoint(String),
    }

    fn lock_fail_point_report() -> MutexGuard<'static, FailPointReport> {
        FAIL_POINT_REPORT
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Cuts the links to exactly these internal, leaf or platform addresses.
    pub fn set_cut(peers: Vec<SocketAddr>) {
        *CUT.write().unwrap_or_else(PoisonError::into_inner) = peers;
    }

    /// Returns whether the link to a peer is cut.
    pub fn is_cut(peer: SocketAddr) -> bool {
        CUT.read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&peer)
    }

    /// Returns the steps whose action has begun.
    pub fn fail_point_report() -> FailPointReport {
        lock_fail_point_report().clone()
    }

    /// Carries out an order of the operators' listener.
    ///
    /// # Errors
    ///
    /// Fails on an unknown name.
    pub fn apply(request: FaultRequest) -> Result<(), FaultError> {
        let name = request.name.clone();
        if !FAIL_POINTS.contains(&&*name) && !CHECKS.contains(&&*name) {
            return Err(FaultError::UnknownName(name));
        }
        let configured = match request.action {
            Action::Disable => fail::cfg(name, "return"),
            Action::Enable => fail::cfg(name, "off"),
            Action::Release => {
                // The fail point is locked while its action runs, so the hold ends first.
                lock_fail_point_report().released.insert(name.clone());
                RELEASED.notify_all();
                fail::cfg(name, "off")
            }
            _ => {
                let mut fired = lock_fail_point_report();
                fired.steps.remove(&name);
                fired.released.remove(&name);
                drop(fired);
                let passes = AtomicU64::new(0);
                fail::cfg_callback(name, move || {
                    if passes.fetch_add(1, Ordering::SeqCst) == request.skip {
                        // Hands the worker's other duties, such as polling sockets, to another
                        // thread; without this the whole process would stand still.
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
                let held = |fired: &mut FailPointReport| !fired.released.contains(&request.name);
                let _ = RELEASED.wait_timeout_while(lock_fail_point_report(), MAX_HOLD, held);
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
