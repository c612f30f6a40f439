//! Injected faults of test builds: cut links, actions at named steps, and checks switched off.
//!
//! Without the feature `fault-injection` all functions are empty and nothing can be injected.

#[cfg(not(feature = "fault-injection"))]
use std::net::SocketAddr;

/// Steps of a request's and a configuration's life at which a fault can be injected.
pub const STEPS: &[&str] = &[
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
pub fn step(name: &'static str) {
    fail::fail_point!(name);
}

/// Marks a step of a request's or a configuration's life: does nothing in this build.
#[cfg(not(feature = "fault-injection"))]
#[inline(always)]
pub fn step(_name: &'static str) {}

/// Marks a step that has begun once `future` exists, and returns `future`.
#[inline(always)]
pub fn during<F>(name: &'static str, future: F) -> F {
    step(name);
    future
}

/// Marks the step before an answer goes to the caller, and returns the answer.
#[inline(always)]
pub fn delivering<T>(answer: T) -> T {
    step("request.delivered");
    answer
}

/// Returns whether a test switched a check off.
#[cfg(feature = "fault-injection")]
pub fn is_off(check: &'static str) -> bool {
    fail::fail_point!(check, |_| true);
    false
}

/// Returns whether a test switched a check off: never in this build.
#[cfg(not(feature = "fault-injection"))]
#[inline(always)]
pub fn is_off(_check: &'static str) -> bool {
    false
}

/// Returns whether the link to a peer is cut: never in this build.
#[cfg(not(feature = "fault-injection"))]
pub fn is_cut(_peer: SocketAddr) -> bool {
    false
}

#[cfg(feature = "fault-injection")]
pub use injected::{Action, FaultError, Fired, Order, apply, fired, is_cut, set_cut};

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

    use super::{CHECKS, STEPS};

    /// Longest hold, so that a test that ends early leaves no blocked thread behind.
    const MAX_HOLD: Duration = Duration::from_secs(15);

    static CUT: RwLock<Vec<SocketAddr>> = RwLock::new(Vec::new());
    static FIRED: Mutex<Fired> = Mutex::new(Fired {
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
    pub struct Order {
        /// One of [`STEPS`] or [`CHECKS`].
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
    pub struct Fired {
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

    fn lock_fired() -> MutexGuard<'static, Fired> {
        FIRED.lock().unwrap_or_else(PoisonError::into_inner)
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
    pub fn fired() -> Fired {
        lock_fired().clone()
    }

    /// Carries out an order of the operators' listener.
    ///
    /// # Errors
    ///
    /// Fails on an unknown name.
    pub fn apply(order: Order) -> Result<(), FaultError> {
        let name = order.name.clone();
        if !STEPS.contains(&&*name) && !CHECKS.contains(&&*name) {
            return Err(FaultError::UnknownName(name));
        }
        let configured = match order.action {
            Action::Disable => fail::cfg(name, "return"),
            Action::Enable => fail::cfg(name, "off"),
            Action::Release => {
                // The fail point is locked while its action runs, so the hold ends first.
                lock_fired().released.insert(name.clone());
                RELEASED.notify_all();
                fail::cfg(name, "off")
            }
            _ => {
                let mut fired = lock_fired();
                fired.steps.remove(&name);
                fired.released.remove(&name);
                drop(fired);
                let passes = AtomicU64::new(0);
                fail::cfg_callback(name, move || {
                    if passes.fetch_add(1, Ordering::SeqCst) == order.skip {
                        // Hands the worker's other duties, such as polling sockets, to another
                        // thread; without this the whole process would stand still.
                        tokio::task::block_in_place(|| act(&order));
                    }
                })
            }
        };
        configured.map_err(FaultError::FailPoint)
    }

    fn act(order: &Order) {
        std::thread::sleep(Duration::from_millis(order.delay_ms));
        lock_fired().steps.insert(order.name.clone());
        match &order.action {
            Action::Exit => signal_self(Signal::KILL),
            Action::Stop => signal_self(Signal::STOP),
            Action::SleepMs(time_ms) => std::thread::sleep(Duration::from_millis(*time_ms)),
            Action::Hold => {
                lock_fired().held.insert(order.name.clone());
                let held = |fired: &mut Fired| !fired.released.contains(&order.name);
                let _ = RELEASED.wait_timeout_while(lock_fired(), MAX_HOLD, held);
                lock_fired().held.remove(&order.name);
            }
            Action::Cut(peers) => set_cut(peers.clone()),
            Action::Release | Action::Disable | Action::Enable => {}
        }
    }

    fn signal_self(signal: Signal) {
        let _ = kill_process(getpid(), signal);
    }
}
