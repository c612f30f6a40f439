//! Refusals on arrival, played against shards with slots and queues on a virtual clock.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cloverrack::ServiceKey;
use cloverrack::gateway::{CompletedRequest, ConcurrencyLimiter};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SHARDS: usize = 10;
const MIN_PARTS: usize = 9;
const LEAVES: usize = 3;
const SLOTS: usize = 3;
const TARGET_US: u64 = 150_000;
const PARTIAL_US: u64 = 134_000;
const SEED: u64 = 7;

/// Requests that the slots of a shard can serve in a second, when one call takes `WORK_US`.
const CAPACITY_PER_S: f64 = (LEAVES * SLOTS) as f64 * 1e6 / WORK_US as f64;
const WORK_US: u64 = 20_000;

/// A load on the shards.
#[derive(Clone, Copy)]
struct Load {
    per_s: f64,
    seconds: u64,
    /// Whether each leaf stops for 200 ms each 4.5 s.
    pauses: bool,
    /// Factor on the work of one leaf of each shard.
    slow_factor: u64,
    limited: bool,
    /// Share of requests of a route that is one level less urgent.
    less_urgent: f64,
    target_us: u64,
}

const BASE_LOAD: Load = Load {
    per_s: CAPACITY_PER_S * 0.35,
    seconds: 10,
    pauses: false,
    slow_factor: 1,
    limited: true,
    less_urgent: 0.0,
    target_us: TARGET_US,
};

/// What callers got, by urgency.
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

    fn refused_share(&self, rank: usize) -> f64 {
        f64::from(self.refused[rank]) / f64::from(self.offered[rank])
    }
}

/// One leaf: times at which its slots are free.
struct Leaf {
    free_us: [u64; SLOTS],
    phase_us: u64,
    factor: u64,
}

impl Leaf {
    /// Runs a call that arrives now; returns its end.
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

/// Plays a load and returns what callers got.
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
    let mut ends: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut now_us = started_us;
    while now_us < started_us + load.seconds * 1_000_000 {
        now_us += (-rng.random::<f64>().max(1e-9).ln() * 1e6 / load.per_s) as u64;
        while let Some(Reverse((end_us, median_call_us))) = ends.peek().copied() {
            if end_us > now_us {
                break;
            }
            ends.pop();
            concurrency_limiter.release(group);
            let ended = CompletedRequest {
                route: "sweep",
                target_us: load.target_us,
                median_call_us,
                now_ms: end_us / 1_000,
            };
            concurrency_limiter.observe(group, ended, || (LEAVES * SLOTS) as u32);
        }
        let rank = usize::from(rng.random_bool(load.less_urgent));
        outcomes.offered[rank] += 1;
        if load.limited && !concurrency_limiter.admit(group, u32::try_from(rank).unwrap()) {
            outcomes.refused[rank] += 1;
            continue;
        }
        let mut call_ends_us: Vec<u64> = Vec::new();
        for leaves in &mut shards {
            // The gateway spreads its calls: the leaf whose slots are free first.
            let least_busy = leaves
                .iter_mut()
                .min_by_key(|leaf| leaf.free_us.iter().min().copied());
            let work_us = (WORK_US as f64 * rng.random_range(0.5..1.5)) as u64;
            let end_us = least_busy.unwrap().run(now_us, work_us, load.pauses);
            call_ends_us.push(end_us);
        }
        call_ends_us.sort_unstable();
        let enough_us = call_ends_us[MIN_PARTS - 1];
        let all_us = call_ends_us[SHARDS - 1];
        let end_us = all_us.min(enough_us.max(now_us + PARTIAL_US));
        let usual_us = call_ends_us[SHARDS / 2].min(end_us) - now_us;
        ends.push(Reverse((end_us, usual_us)));
        outcomes.in_time[rank] += u32::from(end_us - now_us <= TARGET_US);
    }
    outcomes
}

/// Guards against refusals without a queue: of a calm load, of leaves that pause, and of a shard with
/// one slow replica.
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

/// Guards against an overload in which nearly every answer comes too late, and against a limit that
/// leaves slots idle: at least 70 % of what the slots can serve comes in time.
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
        assert!(with >= 0.7 / factor, "x{factor}: {with}");
        assert!(with > 3.0 * without, "x{factor}: {with} against {without}");
    }
}

/// Guards against a limit that stays low after the overload.
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

/// Guards against urgent requests that are refused as often as less urgent ones.
#[test]
fn less_urgent_requests_are_refused_first() {
    let load = Load {
        per_s: CAPACITY_PER_S * 1.3,
        less_urgent: 0.25,
        ..BASE_LOAD
    };
    let outcomes = simulate(load, &mut ConcurrencyLimiter::default(), 0);
    assert!(
        outcomes.refused_share(1) > 2.0 * outcomes.refused_share(0),
        "{outcomes:?}"
    );
}

/// Guards against a route that is refused although no call waits, because its work takes most of its
/// target.
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
