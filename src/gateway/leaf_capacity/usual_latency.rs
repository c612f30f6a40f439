//! Keeps what the calls of each route usually take at the leaves of each service, by which work of
//! different kinds is made comparable, without I/O.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::ServiceKey;

/// Number of calls over which the usual latency is averaged. It changes more slowly than the
/// estimates of leaves, so that a leaf which slows down does not pass for usual.
const AVERAGED_CALLS: u32 = 128;

/// Number of calls from which a latency above `MAX_RATIO` times the usual one is cut to it.
const MIN_CALLS: u32 = 8;

/// Greatest latency that counts, relative to the usual one.
const MAX_RATIO: f64 = 8.0;

/// Maximum number of pairs of a route and a service. Configurations are far smaller; the bound holds
/// for one that changes its routes often.
const MAX_ENTRIES: usize = 16_384;

/// Kind of work: calls of the same route are expected to take about the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WorkKind(u64);

impl WorkKind {
    /// Returns the kind of the calls of a route.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::leaf_capacity::WorkKind;
    /// assert_ne!(WorkKind::of_route("urgent"), WorkKind::of_route("wide"));
    /// ```
    pub fn of_route(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

#[derive(Clone, Copy, Debug)]
struct UsualLatency {
    mean_us: f64,
    calls: u32,
}

/// Usual latencies of all routes at all services.
#[derive(Clone, Debug, Default)]
pub struct UsualLatencies {
    entries: HashMap<(WorkKind, ServiceKey), UsualLatency>,
}

impl UsualLatencies {
    /// Records the latency of a call.
    pub fn record(&mut self, kind: WorkKind, service: ServiceKey, latency_us: f64) {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&(kind, service)) {
            self.entries.clear();
        }
        let entry = self.entries.entry((kind, service)).or_insert(UsualLatency {
            mean_us: latency_us,
            calls: 0,
        });
        let latency_us = if entry.calls >= MIN_CALLS {
            latency_us.min(entry.mean_us * MAX_RATIO)
        } else {
            latency_us
        };
        entry.calls = (entry.calls + 1).min(AVERAGED_CALLS);
        entry.mean_us += (latency_us - entry.mean_us) / f64::from(entry.calls);
    }

    /// Returns the usual latency, if a call has ended.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::ServiceKey;
    /// use cloverrack::gateway::leaf_capacity::{UsualLatencies, WorkKind};
    /// let (kind, service) = (WorkKind::of_route("wide"), ServiceKey::new(0));
    /// let mut usual = UsualLatencies::default();
    /// assert_eq!(usual.mean_us(kind, service), None);
    /// usual.record(kind, service, 10_000.0);
    /// usual.record(kind, service, 20_000.0);
    /// assert_eq!(usual.mean_us(kind, service), Some(15_000.0));
    /// ```
    pub fn mean_us(&self, kind: WorkKind, service: ServiceKey) -> Option<f64> {
        let entry = self.entries.get(&(kind, service))?;
        Some(entry.mean_us.max(1.0))
    }
}
