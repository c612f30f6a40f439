//! Measures call latency on this node, for hedge delays and replica selection.
//!
//! Each service has a distribution of recent samples, and each leaf a moving average. Recent
//! samples dominate both, so that they follow a change of latency under load.

use hdrhistogram::Histogram;

/// Upper bound of recorded latencies; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Samples per window; when the current window is full, the previous one is discarded.
const WINDOW_SAMPLES: u64 = 1_000;

/// A new sample has the weight 1 / 2^`AVERAGE_SHIFT` in the moving average of a leaf.
const AVERAGE_SHIFT: u32 = 3;

/// Distribution of the latest samples, kept in two windows.
#[derive(Clone, Debug)]
pub struct LatencyDistribution {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl Default for LatencyDistribution {
    fn default() -> Self {
        let bounds = Histogram::new_with_bounds(1, MAX_LATENCY_US, 2);
        let empty = bounds.expect("constant bounds are valid");
        Self {
            current: empty.clone(),
            previous: empty,
        }
    }
}

impl LatencyDistribution {
    /// Records one sample.
    pub fn record(&mut self, latency_us: u64) {
        self.current
            .saturating_record(latency_us.clamp(1, MAX_LATENCY_US));
        if self.current.len() >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    /// Returns the number of samples kept.
    pub fn samples(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    /// Returns a quantile of the latency, with `quantile` from 0 to 1, or `None` without samples.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut latency = cloverrack::LatencyDistribution::default();
    /// latency.record(1_000);
    /// assert!(latency.quantile_us(0.5).unwrap() >= 1_000);
    /// ```
    pub fn quantile_us(&self, quantile: f64) -> Option<u64> {
        let mut all = self.current.clone();
        all.add(&self.previous).ok()?;
        (!all.is_empty()).then(|| all.value_at_quantile(quantile))
    }
}

/// Exponential moving average of a leaf's latency.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyAverage {
    value_us: u64,
}

impl LatencyAverage {
    /// Records one sample.
    pub fn record(&mut self, latency_us: u64) {
        if self.value_us == 0 {
            self.value_us = latency_us;
            return;
        }
        let old = self.value_us - (self.value_us >> AVERAGE_SHIFT);
        self.value_us = old + (latency_us >> AVERAGE_SHIFT);
    }

    /// Returns the average; 0 without samples.
    pub fn value_us(self) -> u64 {
        self.value_us
    }
}
