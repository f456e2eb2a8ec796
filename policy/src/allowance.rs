//! Bytes that are left for the reports of targets, out of what all control traffic may take.

use crate::id::Time;
use std::time::Duration;

/// Time over which the other traffic is averaged.
const AVERAGE: Duration = Duration::from_secs(10);

/// Bytes a second that are left beside other traffic, as a bucket that may be overdrawn once.
///
/// ```
/// use policy::allowance::Allowance;
/// use std::time::Duration;
///
/// let mut reports = Allowance::new(11e3, 2e3, 8e3);
/// assert!(reports.is_open(Duration::ZERO));
/// reports.spend(9000);
/// assert!(!reports.is_open(Duration::from_millis(100)));
/// assert!(reports.is_open(Duration::from_secs(1)));
/// ```
#[derive(Clone, Debug)]
pub struct Allowance {
    total: f64,
    least: f64,
    most: f64,
    others: f64,
    seen: Option<(Time, u64)>,
    level: f64,
    filled: Time,
}

impl Allowance {
    /// Creates an allowance out of `total` bytes a second, between `least` and `most`.
    pub fn new(total: f64, least: f64, most: f64) -> Self {
        Self {
            total,
            least,
            most,
            others: 0.0,
            seen: None,
            level: most,
            filled: Time::ZERO,
        }
    }

    /// Takes in how many bytes the other traffic has taken since the start.
    pub fn observe(&mut self, now: Time, others: u64) {
        let Some((at, before)) = self.seen.replace((now, others)) else {
            return;
        };
        let passed = now.saturating_sub(at).as_secs_f64();
        if passed > 0.0 {
            let rate = others.saturating_sub(before) as f64 / passed;
            let weight = 1.0 - (-passed / AVERAGE.as_secs_f64()).exp();
            self.others += (rate - self.others) * weight;
        }
    }

    /// Returns the bytes a second that are allowed now.
    pub fn rate(&self) -> f64 {
        (self.total - self.others).clamp(self.least, self.most)
    }

    /// Returns whether something may be read now.
    pub fn is_open(&mut self, now: Time) -> bool {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now;
        let rate = self.rate();
        self.level = (self.level + rate * passed).min(rate);
        self.level > 0.0
    }

    /// Takes the bytes of a read.
    pub fn spend(&mut self, bytes: usize) {
        self.level -= bytes as f64;
    }
}
