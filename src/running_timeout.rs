//! Time limits for answers of others that count only the time in which this process runs.
//!
//! Handles VMs that are slow, frozen or suspended: an answer that was not read in time may have arrived, and
//! says nothing about who sent it.

use std::time::Duration;

use tokio::pin;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::clock::boot_us;

/// Part of a limit after which it is checked whether the process runs late.
const STEP: Duration = Duration::from_millis(20);

/// Delay of a step by which it does not count. As many steps may be late as a limit has.
const MAX_STEP_DELAY: Duration = Duration::from_millis(20);

/// Number of turns that other tasks get before a limit ends. What has arrived passes the task of its connection
/// and a channel before the task that waits gets it.
const FINAL_TURNS: u32 = 4;

/// Waits for a future until `limit` has passed, and returns `None` then. Time in which this process did not run
/// does not count.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cloverrack::running_timeout::running_timeout;
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// let limit = Duration::from_millis(5);
/// assert_eq!(runtime.block_on(running_timeout(limit, async { 7 })), Some(7));
/// assert_eq!(runtime.block_on(running_timeout(limit, std::future::pending::<u8>())), None);
/// ```
pub async fn running_timeout<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    pin!(future);
    let mut counted = Duration::ZERO;
    let mut late = Duration::ZERO;
    while counted < limit {
        let step = STEP.min(limit - counted);
        let began_us = boot_us();
        if let Ok(output) = timeout(step, &mut future).await {
            return Some(output);
        }
        let elapsed = Duration::from_micros(boot_us().saturating_sub(began_us));
        if elapsed > step + MAX_STEP_DELAY && late < limit {
            late += step;
            continue;
        }
        counted += step;
    }
    for _ in 0..FINAL_TURNS {
        yield_now().await;
        if let Ok(output) = timeout(Duration::ZERO, &mut future).await {
            return Some(output);
        }
    }
    None
}
