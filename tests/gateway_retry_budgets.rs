//! Retry budgets, which decide whether a request may make an extra call, without a network.
//!
//! Simulates several VMs that share one limit while faults make requests need more extra calls than
//! the limit allows.

use std::collections::VecDeque;

use cloverrack::gateway::{RetryBudgetLimits, RetryBudgets};
use cloverrack::ids::ServiceKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    ratio_ppm: 200_000,
    slack_calls: 220,
    window_ms: 10_000,
};

/// Duration of the simulated run.
const SIMULATED_MS: u64 = 60_000;

/// Times of the requests and of the extra calls of all VMs, in ascending order.
#[derive(Default)]
struct Simulation {
    requests_ms: Vec<u64>,
    extra_calls_ms: Vec<u64>,
}

/// Simulates VMs under a fault that recurs every two budget windows.
///
/// Each cycle starts with `healthy_ms` in which requests only earn budget; after that, each request
/// tries to make `calls_wanted` extra calls.
fn simulate(
    vms: u32,
    requests_per_s: f64,
    calls_wanted: u32,
    healthy_ms: u64,
    seed: u64,
) -> Simulation {
    let service = ServiceKey::new(0);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut budgets: Vec<RetryBudgets> = (0..vms).map(|_| RetryBudgets::new(LIMITS)).collect();
    for budget in &mut budgets {
        budget.set_vms(vms);
    }
    let mut simulation = Simulation::default();
    for now_ms in 0..SIMULATED_MS {
        if !rng.random_bool(requests_per_s / 1_000.0) {
            continue;
        }
        simulation.requests_ms.push(now_ms);
        let budget = &mut budgets[rng.random_range(0..vms) as usize];
        budget.earn(service, now_ms);
        if now_ms % (2 * LIMITS.window_ms) < healthy_ms {
            continue;
        }
        for _ in 0..calls_wanted {
            if budget.allows(service, 1) && budget.spend(service, now_ms) {
                simulation.extra_calls_ms.push(now_ms);
            }
        }
    }
    simulation
}

/// Returns the largest excess, over all windows, of the extra calls above the ratio times the
/// requests of the window.
fn max_excess_over_ratio(simulation: &Simulation) -> f64 {
    let ratio = f64::from(LIMITS.ratio_ppm) / 1e6;
    let mut window: VecDeque<u64> = VecDeque::new();
    let mut max_excess = f64::MIN;
    for &end_ms in &simulation.extra_calls_ms {
        window.push_back(end_ms);
        let start_ms = (end_ms + 1).saturating_sub(LIMITS.window_ms);
        while window.front().is_some_and(|&ms| ms < start_ms) {
            window.pop_front();
        }
        let first = simulation.requests_ms.partition_point(|&ms| ms < start_ms);
        let last = simulation.requests_ms.partition_point(|&ms| ms <= end_ms);
        max_excess = max_excess.max(window.len() as f64 - ratio * (last - first) as f64);
    }
    max_excess
}

/// Guards against extra calls above the shared limit in any window. Each VM keeps its own budget,
/// so VMs that save up budget in healthy periods could exceed the limit together when a fault
/// starts.
#[test]
fn no_window_has_more_extra_calls_than_allowed() {
    for (vms, requests_per_s, seed) in [(1, 130.0, 1), (7, 130.0, 2), (10, 20.0, 3), (90, 900.0, 4)]
    {
        let simulation = simulate(vms, requests_per_s, 40, 5_000, seed);
        let max_excess = max_excess_over_ratio(&simulation);
        let allowed = LIMITS.slack_calls as f64;
        assert!(
            max_excess <= allowed,
            "{vms} VMs, seed {seed}: {max_excess} extra calls above the ratio, {allowed} allowed"
        );
    }
}

/// Guards against slack that is available for a single burst only. A fault that lasts for many
/// windows has to get at least 70 % of the extra calls that each window allows.
#[test]
fn a_lasting_fault_gets_most_of_the_slack_of_each_window() {
    let simulation = simulate(7, 130.0, 5, 0, 5);
    let windows = SIMULATED_MS / LIMITS.window_ms;
    for window in 1..windows {
        let span_ms = window * LIMITS.window_ms..(window + 1) * LIMITS.window_ms;
        let count = |times_ms: &[u64]| times_ms.iter().filter(|ms| span_ms.contains(ms)).count();
        let allowed = count(&simulation.requests_ms) as f64 * f64::from(LIMITS.ratio_ppm) / 1e6
            + LIMITS.slack_calls as f64;
        let made = count(&simulation.extra_calls_ms) as f64;
        assert!(
            made >= 0.7 * allowed,
            "window {window}: {made} of {allowed} allowed extra calls were made"
        );
    }
}

/// Guards against extra calls spent on requests that fail anyway while the budget is scarce. A
/// request takes its extra calls one by one and fails when one is denied, so the calls it already
/// made are wasted unless the budget was checked for all of them.
#[test]
fn scarce_extra_calls_complete_the_most_requests() {
    let service = ServiceKey::new(0);
    let mut rng = StdRng::seed_from_u64(9);
    let mut retry_budgets = RetryBudgets::new(LIMITS);
    retry_budgets.set_vms(7);
    let (mut completed, mut spent, mut wasted) = (0, 0, 0);
    for request in 0..1_200 {
        retry_budgets.earn(service, request * 50);
        let needed = rng.random_range(1..=8);
        let mut taken = 0;
        while taken < needed
            && retry_budgets.allows(service, needed - taken)
            && retry_budgets.spend(service, request * 50)
        {
            taken += 1;
        }
        spent += taken;
        if taken == needed {
            completed += 1;
        } else {
            wasted += taken;
        }
    }
    assert_eq!(wasted, 0, "extra calls were spent on requests that failed");
    assert!(
        spent <= 3 * completed,
        "{spent} extra calls for {completed} completed requests"
    );
}

/// Limits of a small fleet, in which a share of the slack is less than two calls.
const SMALL_LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    ratio_ppm: 200_000,
    slack_calls: 54,
    window_ms: 10_000,
};

/// VMs of the small fleet, and requests to each of them in a second.
const SMALL_FLEET: u32 = 7;
const SMALL_FLEET_REQUESTS_PER_S: u64 = 25;

fn small_fleet() -> Vec<RetryBudgets> {
    let mut budgets = vec![RetryBudgets::new(SMALL_LIMITS); SMALL_FLEET as usize];
    for budget in &mut budgets {
        budget.set_vms(SMALL_FLEET);
    }
    budgets
}

/// Spends up to `wanted` extra calls for a request that needs them all, and returns how many it got.
fn take(budget: &mut RetryBudgets, wanted: usize, now_ms: u64) -> usize {
    let service = ServiceKey::new(0);
    let mut taken = 0;
    while taken < wanted && budget.allows(service, wanted - taken) && budget.spend(service, now_ms)
    {
        taken += 1;
    }
    taken
}

/// Guards against requests that fail for want of a few extra calls at the same moment although the fleet has
/// used hardly any of those that the window allows.
#[test]
fn unused_extra_calls_complete_a_request_that_needs_several() {
    for budget in &mut small_fleet() {
        for now_ms in (0..20_000).step_by(1_000 / SMALL_FLEET_REQUESTS_PER_S as usize) {
            budget.earn(ServiceKey::new(0), now_ms);
        }
        assert_eq!(take(budget, 5, 20_000), 5);
    }
}

/// Guards against VMs that spend all they have before they are replaced, and whose successors do so again in
/// the same window.
#[test]
fn replaced_vms_stay_within_the_limit() {
    const REPLACED_MS: u64 = 20_000;
    const WINDOW_MS: u64 = SMALL_LIMITS.window_ms;
    let mut budgets = small_fleet();
    let mut extra_calls_ms = Vec::new();
    for now_ms in (0..REPLACED_MS + WINDOW_MS).step_by(1_000 / SMALL_FLEET_REQUESTS_PER_S as usize)
    {
        if now_ms == REPLACED_MS {
            budgets = small_fleet();
        }
        for budget in &mut budgets {
            budget.earn(ServiceKey::new(0), now_ms);
            // The fault begins just before the replacement.
            while now_ms + 200 >= REPLACED_MS && take(budget, 1, now_ms) > 0 {
                extra_calls_ms.push(now_ms);
            }
        }
    }
    let first_ms = extra_calls_ms[0];
    let in_window = extra_calls_ms
        .iter()
        .filter(|ms| **ms < first_ms + WINDOW_MS)
        .count() as u64;
    let requests = u64::from(SMALL_FLEET) * SMALL_FLEET_REQUESTS_PER_S * WINDOW_MS / 1_000;
    let allowed =
        requests * u64::from(SMALL_LIMITS.ratio_ppm) / 1_000_000 + SMALL_LIMITS.slack_calls;
    assert!(
        in_window <= allowed,
        "{in_window} extra calls, {allowed} allowed"
    );
}
