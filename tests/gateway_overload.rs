//! The concurrency limiter, which refuses requests on arrival while the leaves are overloaded.
//!
//! Simulates shards with slots and queues on a virtual clock, under overload, pauses and slow
//! leaves.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cloverrack::ServiceKey;
use cloverrack::gateway::{CompletedRequest, ConcurrencyLimiter};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SHARDS: usize = 10;
/// Shards that an answer needs.
const MIN_PARTS: usize = 9;
/// Leaves of each shard.
const LEAVES: usize = 3;
/// Slots of each leaf.
const SLOTS: usize = 3;
const TARGET_US: u64 = 150_000;
/// Time after which an answer may lack shards.
const PARTIAL_US: u64 = 134_000;
const SEED: u64 = 7;

/// Requests that the slots of a shard can serve in a second if a call takes [`WORK_US`] on average.
const CAPACITY_PER_S: f64 = (LEAVES * SLOTS) as f64 * 1e6 / WORK_US as f64;

/// Mean service time of a call.
const WORK_US: u64 = 20_000;

/// Parameters of a simulated load.
#[derive(Clone, Copy)]
struct Load {
    per_s: f64,
    seconds: u64,
    /// Whether each leaf pauses for 200 ms every 4.5 s.
    pauses: bool,
    /// Factor on the service times of one leaf of each shard.
    slow_factor: u64,
    /// Whether the limiter may refuse requests.
    limited: bool,
    /// Ratio of requests whose priority is one level lower.
    low_priority_ratio: f64,
    target_us: u64,
}

const BASE_LOAD: Load = Load {
    per_s: CAPACITY_PER_S * 0.35,
    seconds: 10,
    pauses: false,
    slow_factor: 1,
    limited: true,
    low_priority_ratio: 0.0,
    target_us: TARGET_US,
};

/// Counts of requests by outcome, indexed by priority; index 0 is the higher one.
#[derive(Clone, Copy, Debug, Default)]
struct CallerOutcomes {
    offered: [u32; 2],
    in_time: [u32; 2],
    refused: [u32; 2],
}

impl CallerOutcomes {
    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time.iter().sum::<u32>()) / f64::from(self.offered.iter().sum::<u32>())
    }

    fn refused_share(&self, priority: usize) -> f64 {
        f64::from(self.refused[priority]) / f64::from(self.offered[priority])
    }
}

/// A simulated leaf.
struct Leaf {
    /// Time at which each slot becomes free.
    free_us: [u64; SLOTS],
    /// Offset of the pauses.
    phase_us: u64,
    /// Factor on the service times.
    factor: u64,
}

impl Leaf {
    /// Runs a call that arrives at `now_us` and returns the time at which it ends.
    fn run(&mut self, now_us: u64, work_us: u64, pauses: bool) -> u64 {
        let slot = self.free_us.iter_mut().min().unwrap();
        let mut start_us = now_us.max(*slot);
        let in_cycle_us = (start_us + self.phase_us) % 4_500_000;
        if pauses && in_cycle_us < 200_000 {
            start_us += 200_000 - in_cycle_us;
        }
        *slot = start_us + work_us * self.factor;
        *slot
    }
}

/// Simulates a load from `started_us` and returns the outcomes.
fn simulate(
    load: Load,
    concurrency_limiter: &mut ConcurrencyLimiter,
    started_us: u64,
) -> CallerOutcomes {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut shards: Vec<Vec<Leaf>> = Vec::new();
    for _ in 0..SHARDS {
        let leaves = (0..LEAVES).map(|number| Leaf {
            free_us: [0; SLOTS],
            phase_us: rng.random_range(0..4_500_000),
            factor: if number == 0 { load.slow_factor } else { 1 },
        });
        shards.push(leaves.collect());
    }
    let group = ServiceKey::new(0);
    let mut outcomes = CallerOutcomes::default();
    let mut pending: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut now_us = started_us;
    while now_us < started_us + load.seconds * 1_000_000 {
        now_us += (-rng.random::<f64>().max(1e-9).ln() * 1e6 / load.per_s) as u64;
        while let Some(Reverse((end_us, median_call_us))) = pending.peek().copied() {
            if end_us > now_us {
                break;
            }
            pending.pop();
            concurrency_limiter.release(group);
            let completed = CompletedRequest {
                route: "sweep",
                target_us: load.target_us,
                median_call_us,
                now_ms: end_us / 1_000,
            };
            concurrency_limiter.observe(group, completed, || (LEAVES * SLOTS) as u32);
        }
        let priority = usize::from(rng.random_bool(load.low_priority_ratio));
        outcomes.offered[priority] += 1;
        if load.limited && !concurrency_limiter.admit(group, u32::try_from(priority).unwrap()) {
            outcomes.refused[priority] += 1;
            continue;
        }
        let mut call_ends_us: Vec<u64> = Vec::new();
        for leaves in &mut shards {
            // The gateway balances its calls: each goes to the leaf whose slot is free first.
            let least_loaded = leaves
                .iter_mut()
                .min_by_key(|leaf| leaf.free_us.iter().min().copied());
            let work_us = (WORK_US as f64 * rng.random_range(0.5..1.5)) as u64;
            let end_us = least_loaded.unwrap().run(now_us, work_us, load.pauses);
            call_ends_us.push(end_us);
        }
        call_ends_us.sort_unstable();
        let min_parts_us = call_ends_us[MIN_PARTS - 1];
        let all_parts_us = call_ends_us[SHARDS - 1];
        let end_us = all_parts_us.min(min_parts_us.max(now_us + PARTIAL_US));
        let median_call_us = call_ends_us[SHARDS / 2].min(end_us) - now_us;
        pending.push(Reverse((end_us, median_call_us)));
        outcomes.in_time[priority] += u32::from(end_us - now_us <= TARGET_US);
    }
    outcomes
}

/// Guards against refusals while no queue forms: at the base load, with pausing leaves, and at a
/// lower load with one slow replica in each shard. Pauses and the slow replica delay some calls of
/// a request, which the limiter must not take for queueing.
#[test]
fn nothing_is_refused_while_slots_are_free() {
    let loads = [
        BASE_LOAD,
        Load {
            pauses: true,
            ..BASE_LOAD
        },
        Load {
            slow_factor: 8,
            per_s: CAPACITY_PER_S * 0.2,
            ..BASE_LOAD
        },
    ];
    for load in loads {
        let outcomes = simulate(load, &mut ConcurrencyLimiter::default(), 0);
        assert_eq!(outcomes.refused, [0, 0], "{outcomes:?}");
    }
}

/// Guards against an overload in which nearly every answer misses its target latency, and against a
/// limit so low that slots stay idle. Without a limit the queues grow until every answer is late;
/// with one, at least 70 % of the capacity has to be answered in time.
#[test]
fn an_overload_is_served_as_far_as_the_slots_go() {
    for factor in [1.5, 2.0, 4.0] {
        let load = Load {
            per_s: CAPACITY_PER_S * factor,
            pauses: true,
            ..BASE_LOAD
        };
        let unlimited = Load {
            limited: false,
            ..load
        };
        let without = simulate(unlimited, &mut ConcurrencyLimiter::default(), 0).in_time_share();
        let outcomes = simulate(load, &mut ConcurrencyLimiter::default(), 0);
        let with = outcomes.in_time_share();
        println!("x{factor}: {with:.3} in time, {without:.3} without a limit, {outcomes:?}");
        assert!(with >= 0.7 / factor, "x{factor}: {with} in time");
        assert!(
            with > 3.0 * without,
            "x{factor}: {with} in time, {without} without a limit"
        );
    }
}

/// Guards against a limit that stays low after an overload, so that a normal load is refused. The
/// limit has to grow again once calls no longer queue.
#[test]
fn a_limit_ends_with_its_overload() {
    let mut concurrency_limiter = ConcurrencyLimiter::default();
    let burst = Load {
        per_s: CAPACITY_PER_S * 4.0,
        seconds: 4,
        ..BASE_LOAD
    };
    assert!(simulate(burst, &mut concurrency_limiter, 0).refused_share(0) > 0.3);
    for _ in 0..2_000 {
        concurrency_limiter.release(ServiceKey::new(0));
    }
    let rest = Load {
        seconds: 1,
        ..BASE_LOAD
    };
    simulate(rest, &mut concurrency_limiter, 5_000_000);
    let outcomes = simulate(BASE_LOAD, &mut concurrency_limiter, 6_000_000);
    assert!(outcomes.refused_share(0) < 0.01, "{outcomes:?}");
}

/// Guards against requests of high priority being refused as often as those of low priority, which
/// happens if all priorities share one limit.
#[test]
fn less_urgent_requests_are_refused_first() {
    let load = Load {
        per_s: CAPACITY_PER_S * 1.3,
        low_priority_ratio: 0.25,
        ..BASE_LOAD
    };
    let outcomes = simulate(load, &mut ConcurrencyLimiter::default(), 0);
    assert!(
        outcomes.refused_share(1) > 2.0 * outcomes.refused_share(0),
        "{outcomes:?}"
    );
}

/// Guards against refusals on a route whose service time takes most of its target latency. Its
/// calls are slow relative to the target although none of them queues.
#[test]
fn a_short_target_is_no_overload() {
    let load = Load {
        target_us: WORK_US,
        per_s: CAPACITY_PER_S * 0.2,
        ..BASE_LOAD
    };
    let outcomes = simulate(load, &mut ConcurrencyLimiter::default(), 0);
    assert_eq!(outcomes.refused, [0, 0], "{outcomes:?}");
}
