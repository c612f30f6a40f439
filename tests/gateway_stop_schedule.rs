//! Times at which a stopping VM changes what it does, for any grace period.

use cloverrack::gateway::{FanoutDecision, FanoutSchedule, ShardCounts, StopSchedule};
use proptest::prelude::*;

/// Longest grace period that is tried.
const MAX_GRACE_MS: u64 = 600_000;

proptest! {
    /// Guards against a process that is killed before it has answered, and against requests that are
    /// ended although leaves still have time: they have until the last sixth of the grace period.
    #[test]
    fn the_steps_of_a_stop_keep_their_order(
        now_us in 0..u64::MAX / 4,
        grace_ms in 0..MAX_GRACE_MS,
    ) {
        let schedule = StopSchedule::new(now_us, grace_ms);
        let end_us = now_us + grace_ms * 1_000;
        prop_assert!(now_us <= schedule.answer_by_us);
        prop_assert!(schedule.answer_by_us <= schedule.close_at_us);
        prop_assert!(schedule.close_at_us <= schedule.exit_at_us);
        prop_assert!(schedule.exit_at_us <= end_us);
        prop_assert!(schedule.answer_by_us - now_us >= grace_ms * 1_000 / 6 * 5);
        if grace_ms >= 1_000 {
            prop_assert!(schedule.answer_by_us < schedule.close_at_us);
            prop_assert!(schedule.close_at_us < schedule.exit_at_us);
            prop_assert!(schedule.exit_at_us < end_us);
        }
    }

    /// Guards against callers that use an address after the VM has stopped: some do so three times as
    /// long as they are told, unless they would have to resolve too often.
    #[test]
    fn cached_addresses_expire_before_the_vm_stops(
        grace_ms in 1_000..MAX_GRACE_MS,
        max_ms in 1..10_000u64,
    ) {
        let cache_ms = StopSchedule::cache_ms(grace_ms, max_ms, 3);
        prop_assert!(cache_ms <= max_ms && cache_ms > 0);
        prop_assert!(cache_ms * 3 <= StopSchedule::serving_ms(grace_ms));
    }

    /// Guards against calls that end after the time for answers, although a leaf takes no longer than
    /// expected.
    #[test]
    fn allowed_calls_end_before_the_time_for_answers(
        grace_ms in 0..MAX_GRACE_MS,
        at_ms in 0..MAX_GRACE_MS,
        expected_us in 0..u64::MAX,
        deadline_us in 0..u64::MAX,
    ) {
        let schedule = StopSchedule::new(0, grace_ms);
        let now_us = at_ms * 1_000;
        if schedule.allows_call(now_us, expected_us, deadline_us) {
            let expected_end_us = now_us.saturating_add(expected_us);
            prop_assert!(expected_end_us.min(deadline_us) <= schedule.answer_by_us);
            prop_assert!(now_us < schedule.answer_by_us);
        }
    }
}

/// Guards against a request with enough parts that fails because its VM stops.
#[test]
fn a_request_that_ends_early_is_answered_with_its_parts() {
    let schedule = FanoutSchedule {
        partial_response_us: 140,
        early_hedge_us: 40,
        hedge_us: 90,
        timeout_us: 1_500,
    };
    let shard_counts = ShardCounts {
        parts: 9,
        open: 1,
        on_time: 1,
        min_parts: 9,
    };
    let early = schedule.ending_by(100);
    assert_eq!(shard_counts.step(&early, 99), FanoutDecision::Wait);
    assert_eq!(shard_counts.step(&early, 100), FanoutDecision::Answer);
    let incomplete = ShardCounts {
        min_parts: 10,
        ..shard_counts
    };
    assert_eq!(incomplete.step(&early, 100), FanoutDecision::GiveUp);
}
