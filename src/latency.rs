//! Latency observed by this node: a decaying distribution for a service, an average for a leaf.

use hdrhistogram::Histogram;

/// Largest latency recorded.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Samples after which the older half of the distribution is given up.
const WINDOW_SAMPLES: u64 = 1_000;

/// Weight of a new sample in a leaf's average is 1 / 2^`AVERAGE_SHIFT`.
const AVERAGE_SHIFT: u32 = 3;

/// Distribution of the latest samples, in two windows.
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

    /// Returns the latency that a share of samples does not exceed, or `None` without samples.
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

/// Moving average of a leaf's latency.
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
