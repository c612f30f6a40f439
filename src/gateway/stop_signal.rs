//! Tells the requests on this VM that it was asked to stop, and when they have to be answered.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::engine::Engine;
use super::stop_schedule::StopSchedule;
use crate::clock::boot_us;

/// Longest sleep of a wait for a time on the boot clock. Timers do not count the time for which the VM
/// is suspended.
const MAX_SLEEP_US: u64 = 100_000;

/// Time after which a request that should have been answered is ended with a failure response.
const OVERDUE_US: u64 = 20_000;

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
    /// Begins to stop this VM.
    pub(super) fn begin_stop(&self, schedule: StopSchedule) {
        self.open_requests.record_stop();
        self.stop.send_replace(Some(schedule));
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

    /// Waits until requests are still unanswered some time later.
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
