//! Records the answers and leaf calls of requests, and reports the tail latency, coverage and extra
//! load of each service to operators.
//!
//! A report covers the current and the previous time window, so it stays current when load or
//! failures change.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::answer::{Answer, Outcome};

/// Length of one window; a report covers the current window and the one before.
pub const WINDOW_MS: u64 = 60_000;

/// Maximum recorded latency; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

const PPM_PER_WHOLE: u64 = 1_000_000;

/// Report on one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceReport {
    /// Full name of the service.
    pub service: Box<str>,
    /// Number of answers that cover all shards.
    pub complete: u64,
    /// Number of answers that cover some shards.
    pub partial: u64,
    /// Number of requests that no leaf started.
    pub not_run: u64,
    /// Number of requests that may have run.
    pub unknown: u64,
    /// Number of requests refused because of their content.
    pub refused: u64,
    /// Median latency of complete and partial answers.
    pub p50_us: u64,
    /// 99th percentile of the latency of complete and partial answers.
    pub p99_us: u64,
    /// 99.9th percentile of the latency of complete and partial answers.
    pub p999_us: u64,
    /// Share of shards covered, over complete and partial answers.
    pub coverage_ppm: u64,
    /// Leaf calls beyond one per shard, relative to the calls needed.
    pub extra_load_ppm: u64,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    outcomes: BTreeMap<Outcome, u64>,
    covered: u64,
    shards: u64,
    calls_made: u64,
    calls_needed: u64,
}

#[derive(Clone, Debug)]
struct Window {
    counts: Counts,
    latency_us: Histogram<u32>,
}

impl Default for Window {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 2);
        Self {
            counts: Counts::default(),
            latency_us: histogram.expect("constant bounds are valid"),
        }
    }
}

/// Current and previous window of one service.
#[derive(Clone, Debug, Default)]
struct RollingWindows {
    window_index: u64,
    current: Window,
    previous: Window,
}

impl RollingWindows {
    fn advance_to(&mut self, now_ms: u64) -> &mut Window {
        let window_index = now_ms / WINDOW_MS;
        if window_index > self.window_index {
            let ended = std::mem::take(&mut self.current);
            let adjacent = window_index == self.window_index + 1;
            self.previous = if adjacent { ended } else { Window::default() };
            self.window_index = window_index;
        }
        &mut self.current
    }
}

/// Reports on all services of one node.
///
/// # Examples
///
/// ```
/// use cloverrack::Reports;
/// let mut reports = Reports::default();
/// reports.record_calls("pnw/spec-desk", 10, 11, 0);
/// assert_eq!(reports.all(0)[0].extra_load_ppm, 100_000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reports {
    services: BTreeMap<Box<str>, RollingWindows>,
}

impl Reports {
    fn current_window(&mut self, service: &str, now_ms: u64) -> &mut Window {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.into(), RollingWindows::default());
        }
        let windows = self.services.entry(service.into()).or_default();
        windows.advance_to(now_ms)
    }

    /// Records a final answer.
    pub fn record_answer(&mut self, service: &str, answer: &Answer, elapsed_us: u64, now_ms: u64) {
        let window = self.current_window(service, now_ms);
        *window.counts.outcomes.entry(answer.outcome).or_default() += 1;
        if !matches!(answer.outcome, Outcome::Complete | Outcome::Partial) {
            return;
        }
        window.counts.covered += answer.covered.len() as u64;
        window.counts.shards += u64::from(answer.shards);
        let latency_us = elapsed_us.clamp(1, MAX_LATENCY_US);
        window.latency_us.saturating_record(latency_us);
    }

    /// Records the number of leaf calls that one request needed, one per shard, and made.
    pub fn record_calls(&mut self, service: &str, needed: u64, made: u64, now_ms: u64) {
        let counts = &mut self.current_window(service, now_ms).counts;
        counts.calls_needed += needed;
        counts.calls_made += made;
    }

    /// Returns the reports on all services, sorted by name.
    pub fn all(&mut self, now_ms: u64) -> Vec<ServiceReport> {
        let mut reports = Vec::with_capacity(self.services.len());
        for (service, windows) in &mut self.services {
            windows.advance_to(now_ms);
            reports.push(build_report(service, windows));
        }
        reports
    }
}

fn build_report(service: &str, windows: &RollingWindows) -> ServiceReport {
    let (current, previous) = (&windows.current.counts, &windows.previous.counts);
    let count_of = |outcome| {
        let count_in = |counts: &Counts| counts.outcomes.get(&outcome).copied().unwrap_or(0);
        count_in(current) + count_in(previous)
    };
    let mut latency_us = windows.current.latency_us.clone();
    let add_result = latency_us.add(&windows.previous.latency_us);
    debug_assert!(add_result.is_ok(), "all windows have the same bounds");
    let needed = current.calls_needed + previous.calls_needed;
    let extra = (current.calls_made + previous.calls_made).saturating_sub(needed);
    ServiceReport {
        service: service.into(),
        complete: count_of(Outcome::Complete),
        partial: count_of(Outcome::Partial),
        not_run: count_of(Outcome::NotRun),
        unknown: count_of(Outcome::Unknown),
        refused: count_of(Outcome::Refused),
        p50_us: latency_us.value_at_quantile(0.5),
        p99_us: latency_us.value_at_quantile(0.99),
        p999_us: latency_us.value_at_quantile(0.999),
        coverage_ppm: ratio_ppm(
            current.covered + previous.covered,
            current.shards + previous.shards,
        ),
        extra_load_ppm: ratio_ppm(extra, needed),
    }
}

fn ratio_ppm(part: u64, whole: u64) -> u64 {
    (part * PPM_PER_WHOLE).checked_div(whole).unwrap_or(0)
}
