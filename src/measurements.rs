//! Measures latency and retry budget per service and load per leaf, and tracks unreachable owners.
//!
//! The measurements decide when a call is hedged, whether the budget allows an extra call, and
//! which replica and owner receive it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::rngs::ThreadRng;

use crate::clock::boot_ms;
use crate::control::LeafView;
use crate::fleet::{Fleet, Service};
use crate::ids::Snapshot;
use crate::latency::LatencyDistribution;
use crate::replica_selection::{LeafLoad, ReplicaSelector};
use crate::retry_budget::RetryBudget;

/// Ratio of the retry budget that the hedge delay is set to spend; the rest is left for retries.
const HEDGE_BUDGET_RATIO: f64 = 0.9;

/// Upper bound on the ratio of calls that are hedged, however large the budget.
const MAX_HEDGE_RATIO: f64 = 0.25;

/// Samples from which on the hedge delay is computed from the measured distribution.
const MIN_SAMPLES: u64 = 50;

/// Samples between two computations of the hedge delay, each of which scans the distribution.
const REFRESH_SAMPLES: u64 = 256;

/// Hedge delay until there are `MIN_SAMPLES` samples.
const DEFAULT_HEDGE_DELAY_US: u64 = 20_000;

/// Time for which an owner that could not be reached is avoided.
const OWNER_AVOID_MS: u64 = 1_000;

/// Outcome of a call, as far as the measurements depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The leaf answered the call.
    Answered,
    /// The call was cancelled after the hedge delay, because another replica answered first or the
    /// run ended. The elapsed time is a lower bound of the call's latency.
    LostToHedge,
    /// The leaf shed the call.
    Shed,
    /// Any other outcome, from which no latency can be derived.
    Other,
}

#[derive(Default)]
struct ServiceMeasurements {
    latency: LatencyDistribution,
    budget: RetryBudget,
    cached_hedge_delay_us: Option<u64>,
    samples_until_refresh: u64,
}

impl ServiceMeasurements {
    fn record(&mut self, latency_us: u64) {
        self.latency.record(latency_us);
        self.samples_until_refresh = self.samples_until_refresh.saturating_sub(1);
    }

    fn hedge_delay_us(&mut self, budget_ppm: u32) -> u64 {
        if self.latency.samples() < MIN_SAMPLES {
            return DEFAULT_HEDGE_DELAY_US;
        }
        if self.samples_until_refresh == 0 || self.cached_hedge_delay_us.is_none() {
            self.samples_until_refresh = REFRESH_SAMPLES;
            let hedge_ratio =
                (f64::from(budget_ppm) / 1e6 * HEDGE_BUDGET_RATIO).min(MAX_HEDGE_RATIO);
            self.cached_hedge_delay_us = self.latency.quantile_us(1.0 - hedge_ratio);
        }
        self.cached_hedge_delay_us.unwrap_or(DEFAULT_HEDGE_DELAY_US)
    }
}

#[derive(Default)]
struct State {
    services: HashMap<Box<str>, ServiceMeasurements>,
    loads: HashMap<SocketAddr, LeafLoad>,
    avoided_until_ms: HashMap<SocketAddr, u64>,
}

impl State {
    fn service(&mut self, name: &str) -> &mut ServiceMeasurements {
        if !self.services.contains_key(name) {
            self.services
                .insert(name.into(), ServiceMeasurements::default());
        }
        self.services.get_mut(name).expect("inserted above")
    }
}

/// Measurements of one root.
#[derive(Default)]
pub(crate) struct Measurements {
    state: Mutex<State>,
}

impl Measurements {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `choose` with a replica selector, a predicate for owners to avoid, and a random
    /// number generator.
    pub(crate) fn with_replica_selector(
        &self,
        fleet: &Fleet,
        views: &HashMap<SocketAddr, LeafView>,
        snapshot: Snapshot,
        choose: impl FnOnce(ReplicaSelector<'_>, &dyn Fn(SocketAddr) -> bool, &mut ThreadRng),
    ) {
        let now_ms = boot_ms();
        let state = self.state();
        let selector = ReplicaSelector {
            fleet,
            views,
            loads: &state.loads,
            snapshot,
            now_ms,
        };
        let avoided = |owner: SocketAddr| {
            let until_ms = state.avoided_until_ms.get(&owner);
            until_ms.is_some_and(|until_ms| now_ms < *until_ms)
        };
        choose(selector, &avoided, &mut rand::rng());
    }

    /// Records that one call was sent to each of `leaves`.
    pub(crate) fn calls_started(&self, leaves: impl Iterator<Item = SocketAddr>) {
        let mut state = self.state();
        for leaf in leaves {
            state.loads.entry(leaf).or_default().in_flight += 1;
        }
    }

    /// Records the outcome of a call and its latency.
    pub(crate) fn call_ended(
        &self,
        service: &str,
        leaf: SocketAddr,
        latency_us: u64,
        outcome: CallOutcome,
    ) {
        let mut state = self.state();
        let load = state.loads.entry(leaf).or_default();
        load.in_flight = load.in_flight.saturating_sub(1);
        match outcome {
            CallOutcome::Answered => load.record(latency_us, boot_ms()),
            CallOutcome::LostToHedge => load.record_lost_to_hedge(latency_us, boot_ms()),
            CallOutcome::Shed => state.service(service).budget.reduce_earn_rate(),
            CallOutcome::Other => {}
        }
        if matches!(outcome, CallOutcome::Answered | CallOutcome::LostToHedge) {
            state.service(service).record(latency_us);
        }
    }

    /// Adds retry budget for the first calls of a run and returns its hedge delay in microseconds.
    pub(crate) fn start_run(&self, service: &Service, calls: u64) -> u64 {
        let mut state = self.state();
        let state = state.service(&service.name);
        state.budget.earn(calls, service.hedge_budget_ppm);
        state.hedge_delay_us(service.hedge_budget_ppm)
    }

    /// Spends one extra call, or returns `false` if the service's budget is exhausted.
    pub(crate) fn try_spend(&self, service: &str) -> bool {
        self.state().service(service).budget.try_spend()
    }

    /// Avoids an unreachable owner for `OWNER_AVOID_MS`.
    pub(crate) fn avoid(&self, owner: SocketAddr) {
        self.state()
            .avoided_until_ms
            .insert(owner, boot_ms() + OWNER_AVOID_MS);
    }
}
