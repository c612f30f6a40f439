//! Derives the times of a run's hedges and retries from the deadline of its request.

use crate::query_context::QueryContext;

/// Upper bound on the hedge delay, as a divisor of the time left when the run starts.
const MAX_HEDGE_DELAY_DIVISOR: u64 = 2;

/// Upper bound on the time before the deadline in which no retry is sent.
const MAX_FINAL_WAIT_US: u64 = 100_000;

/// Upper bound on the same time, as a divisor of the time left when the run starts.
const FINAL_WAIT_DIVISOR: u64 = 4;

/// Returns the hedge delay, limited to a fraction of the time left until the deadline.
pub(super) fn bounded_hedge_delay_us(unbounded_delay_us: u64, remaining_ms: u64) -> u64 {
    unbounded_delay_us.min(remaining_ms * 1_000 / MAX_HEDGE_DELAY_DIVISOR)
}

/// Returns the latest time at which a retry may be sent.
///
/// A call that is in flight at the deadline may have run, so a request that all leaves refused could
/// not be reported as not run.
pub(super) fn last_retry_us(query_context: &QueryContext, remaining_ms: u64) -> u64 {
    let final_wait_us = (remaining_ms * 1_000 / FINAL_WAIT_DIVISOR).min(MAX_FINAL_WAIT_US);
    (query_context.answer_by_ms() * 1_000).saturating_sub(final_wait_us)
}
