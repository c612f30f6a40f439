//! Extra calls of several VMs against the bound that they share, without a network.

use std::collections::VecDeque;

use cloverrack::gateway::{RetryBudgetLimits, RetryBudgets};
use cloverrack::ids::ServiceKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const BOUNDS: RetryBudgetLimits = RetryBudgetLimits {
    ratio_ppm: 200_000,
    slack_calls: 220,
    window_ms: 10_000,
};

/// Time that is played.
const SIMULATED_MS: u64 = 60_000;

/// Requests and extra calls of all VMs by time.
#[derive(Default)]
struct Simulation {
    requests_ms: Vec<u64>,
    extra_ms: Vec<u64>,
}

/// Plays VMs that want so many extra calls a request, after each healthy spell of so long.
fn simulate(vms: u32, requests_per_s: f64, wanted: u32, healthy_ms: u64, seed: u64) -> Simulation {
    let service = ServiceKey::new(0);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut budgets: Vec<RetryBudgets> = (0..vms).map(|_| RetryBudgets::new(BOUNDS)).collect();
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
        if now_ms % (2 * BOUNDS.window_ms) < healthy_ms {
            continue;
        }
        for _ in 0..wanted {
            if budget.allows(service, 1) && budget.spend(service) {
                simulation.extra_ms.push(now_ms);
            }
        }
    }
    simulation
}

/// Returns the most extra calls in any window beyond what the ratio of its requests allows.
fn most_beyond_ratio(simulation: &Simulation) -> f64 {
    let ratio = f64::from(BOUNDS.ratio_ppm) / 1e6;
    let mut window: VecDeque<u64> = VecDeque::new();
    let mut most = f64::MIN;
    for &end_ms in &simulation.extra_ms {
        window.push_back(end_ms);
        let start_ms = (end_ms + 1).saturating_sub(BOUNDS.window_ms);
        while window.front().is_some_and(|&ms| ms < start_ms) {
            window.pop_front();
        }
        let first = simulation.requests_ms.partition_point(|&ms| ms < start_ms);
        let last = simulation.requests_ms.partition_point(|&ms| ms <= end_ms);
        most = most.max(window.len() as f64 - ratio * (last - first) as f64);
    }
    most
}

/// Guards against more extra calls in some window than all VMs together may make.
#[test]
fn no_window_has_more_extra_calls_than_allowed() {
    for (vms, requests_per_s, seed) in [(1, 130.0, 1), (7, 130.0, 2), (10, 20.0, 3), (90, 900.0, 4)]
    {
        let simulation = simulate(vms, requests_per_s, 40, 5_000, seed);
        let most = most_beyond_ratio(&simulation);
        let allowed = BOUNDS.slack_calls as f64;
        assert!(
            most <= allowed,
            "{vms} VMs, seed {seed}: {most} of {allowed}"
        );
    }
}

/// Guards against a slack that serves one burst only: a fault that lasts for many windows gets most of
/// what each of them allows.
#[test]
fn a_lasting_fault_gets_most_of_the_slack_of_each_window() {
    let simulation = simulate(7, 130.0, 5, 0, 5);
    let windows = SIMULATED_MS / BOUNDS.window_ms;
    for window in 1..windows {
        let span_ms = window * BOUNDS.window_ms..(window + 1) * BOUNDS.window_ms;
        let count = |times_ms: &[u64]| times_ms.iter().filter(|ms| span_ms.contains(ms)).count();
        let allowed = count(&simulation.requests_ms) as f64 * f64::from(BOUNDS.ratio_ppm) / 1e6
            + BOUNDS.slack_calls as f64;
        let made = count(&simulation.extra_ms) as f64;
        assert!(
            made >= 0.7 * allowed,
            "window {window}: {made} of {allowed}"
        );
    }
}

/// Guards against scarce extra calls that go to requests which need more than there are: each request
/// takes its calls one by one and fails when it is denied one.
#[test]
fn scarce_extra_calls_complete_the_most_requests() {
    let service = ServiceKey::new(0);
    let mut rng = StdRng::seed_from_u64(9);
    let mut extra = RetryBudgets::new(BOUNDS);
    extra.set_vms(7);
    let (mut completed, mut spent, mut lost) = (0, 0, 0);
    for request in 0..1_200 {
        extra.earn(service, request * 50);
        let needed = rng.random_range(1..=8);
        let mut taken = 0;
        while taken < needed && extra.allows(service, needed - taken) && extra.spend(service) {
            taken += 1;
        }
        spent += taken;
        if taken == needed {
            completed += 1;
        } else {
            lost += taken;
        }
    }
    assert_eq!(lost, 0, "calls spent on requests that failed");
    assert!(
        spent <= 3 * completed,
        "{spent} calls for {completed} requests"
    );
}
