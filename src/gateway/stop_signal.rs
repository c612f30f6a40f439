//! Tells the requests on this VM that it was asked to stop, and when they have to be answered.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::engine::Engine;
use super::stop_schedule::StopSchedule;
use crate::clock::boot_us;

/// Longest sleep of a wait for a time on the boot clock. Timers do not count the time for which the VM
/// is suspended.
const MAX_SLEEP_US: u64 = 100_000;

/// Time after which a request that should have been answered is ended with a failure response, in case a
/// step of it does not follow the schedule.
const OVERDUE_US: u64 = 20_000;

/// Longest time between two signs that the process runs. After a longer one it was suspended.
const MAX_RUN_GAP_US: u64 = 500_000;

/// Time after the end of a suspension within which a signal that arrived during it is handled.
const SIGNAL_DELAY_US: u64 = 100_000;

/// Times at which the process was suspended.
///
/// A signal that arrives meanwhile is handled at the end of the suspension, but the platform counts the
/// grace period from its arrival.
#[derive(Debug)]
pub(super) struct RunTimes {
    running_at_us: AtomicU64,
    suspended_at_us: AtomicU64,
    resumed_at_us: AtomicU64,
}

impl RunTimes {
    /// Begins to follow a process that runs.
    pub(super) fn new() -> Self {
        Self {
            running_at_us: AtomicU64::new(boot_us()),
            suspended_at_us: AtomicU64::new(0),
            resumed_at_us: AtomicU64::new(0),
        }
    }

    /// Records that the process runs.
    pub(super) fn record(&self) {
        let now_us = boot_us();
        let before_us = self.running_at_us.swap(now_us, Ordering::Relaxed);
        if now_us.saturating_sub(before_us) > MAX_RUN_GAP_US {
            self.suspended_at_us.store(before_us, Ordering::Relaxed);
            self.resumed_at_us.store(now_us, Ordering::Relaxed);
        }
    }

    /// Returns the earliest time at which a signal that is handled now may have arrived.
    fn signalled_us(&self) -> u64 {
        self.record();
        let now_us = boot_us();
        let resumed_at_us = self.resumed_at_us.load(Ordering::Relaxed);
        if now_us.saturating_sub(resumed_at_us) > SIGNAL_DELAY_US {
            return now_us;
        }
        self.suspended_at_us.load(Ordering::Relaxed)
    }
}

/// Waits until a time on the boot clock.
pub(super) async fn sleep_until_us(at_us: u64) {
    loop {
        let remaining_us = at_us.saturating_sub(boot_us());
        if remaining_us == 0 {
            return;
        }
        sleep(Duration::from_micros(remaining_us.min(MAX_SLEEP_US))).await;
    }
}

impl Engine {
    /// Begins to stop this VM, upon a signal that has just been handled.
    pub(super) fn begin_stop(&self) -> StopSchedule {
        let grace_ms = self.stop_grace_ms();
        // A signal from before would leave no time to answer the requests in flight.
        let earliest_us = boot_us().saturating_sub(StopSchedule::serving_ms(grace_ms) * 1_000);
        let signalled_us = self.run_times.signalled_us().max(earliest_us);
        let schedule = StopSchedule::new(signalled_us, grace_ms);
        self.open_requests.record_stop();
        self.stop.send_replace(Some(schedule));
        schedule
    }

    /// Returns the schedule of the stop, once there is one.
    pub(super) fn stop_schedule(&self) -> watch::Receiver<Option<StopSchedule>> {
        self.stop.subscribe()
    }

    /// Returns whether this VM was asked to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// Waits until this VM stops and the time has come by which all requests are answered.
    pub(super) async fn answers_due(&self) {
        sleep_until_us(self.answer_by_us().await).await;
    }

    /// Waits until [`Self::answers_due`] was [`OVERDUE_US`] ago.
    pub(super) async fn answers_overdue(&self) {
        let answer_by_us = self.answer_by_us().await;
        sleep_until_us(answer_by_us.saturating_add(OVERDUE_US)).await;
    }

    async fn answer_by_us(&self) -> u64 {
        let mut stop = self.stop_schedule();
        let schedule = stop.wait_for(Option::is_some).await;
        let schedule = schedule.ok().and_then(|schedule| *schedule);
        match schedule {
            Some(schedule) => schedule.answer_by_us,
            // The engine, which holds the sender, outlives this future.
            None => std::future::pending().await,
        }
    }
}
