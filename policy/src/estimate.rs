//! Streaming quantiles and averages in constant memory.

use std::time::Duration;

/// Number of histogram buckets.
const BUCKETS: usize = 160;

/// Lower bound of the first bucket, in seconds.
const MIN_SECONDS: f64 = 0.000_1;

/// Ratio between the bounds of a bucket; the relative error of a quantile is at most half of it.
const BUCKET_RATIO: f64 = 1.1;

/// Number of samples at which all counts are halved, so that old samples decay.
const MAX_SAMPLES: u32 = 1_024;

/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u32 = 16;

/// Exponentially decaying histogram with logarithmic buckets from 0.1 ms to several minutes.
///
/// # Performance
///
/// Adding a sample takes constant time; a quantile takes one pass over the buckets.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Histogram {
    /// Creates an empty histogram.
    pub const fn new() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        if self.total >= MAX_SAMPLES {
            self.halve_counts();
        }
        self.counts[bucket_index(sample)] += 1;
        self.total += 1;
    }

    /// Returns the given quantile (between 0 and 1) of the samples.
    ///
    /// Returns `None` if there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (quantile.clamp(0.0, 1.0) * f64::from(self.total)).ceil() as u32;
        let mut seen = 0;
        let at = self.counts.iter().position(|count| {
            seen += count;
            seen >= rank.max(1)
        });
        at.map(bucket_midpoint)
    }

    fn halve_counts(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Self::new()
    }
}

/// Exponentially weighted moving average.
#[derive(Clone, Copy, Debug)]
pub struct MovingAverage {
    value: Option<f64>,
    alpha: f64,
}

impl MovingAverage {
    /// Creates an average without samples; `alpha` is the weight of each new sample.
    pub const fn new(alpha: f64) -> Self {
        Self { value: None, alpha }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        self.value = Some(
            self.value
                .map_or(sample, |old| old + self.alpha * (sample - old)),
        );
    }

    /// Returns the average, or `None` if there is no sample.
    pub const fn get(&self) -> Option<f64> {
        self.value
    }
}

fn bucket_index(sample: Duration) -> usize {
    let index = (sample.as_secs_f64() / MIN_SECONDS).max(1.0).ln() / BUCKET_RATIO.ln();
    (index as usize).min(BUCKETS - 1)
}

fn bucket_midpoint(bucket: usize) -> Duration {
    Duration::from_secs_f64(MIN_SECONDS * BUCKET_RATIO.powf(bucket as f64 + 0.5))
}
