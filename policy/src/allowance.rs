//! Bandwidth allowance for load reports within the limit for all control traffic.

use crate::id::Time;
use std::time::Duration;

/// Time constant of the average of the other traffic.
const AVERAGING_PERIOD: Duration = Duration::from_secs(10);

/// Token bucket that is refilled at the byte rate left by other control traffic.
///
/// The size of a report is known only after it was read, so the last read may overdraw the bucket.
///
/// ```
/// use policy::allowance::Allowance;
/// use std::time::Duration;
///
/// let mut reports = Allowance::new(11e3, 2e3, 8e3);
/// assert!(reports.has_credit(Duration::ZERO));
/// reports.spend(9000);
/// assert!(!reports.has_credit(Duration::from_millis(100)));
/// assert!(reports.has_credit(Duration::from_secs(1)));
/// ```
#[derive(Clone, Debug)]
pub struct Allowance {
    total_rate: f64,
    min_rate: f64,
    max_rate: f64,
    other_rate: f64,
    last_observation: Option<(Time, u64)>,
    credit: f64,
    refilled_at: Time,
}

impl Allowance {
    /// Creates an allowance within a limit of `total_rate` for all control traffic.
    ///
    /// The allowed rate stays between `min_rate` and `max_rate`. All rates are in bytes per second.
    pub fn new(total_rate: f64, min_rate: f64, max_rate: f64) -> Self {
        Self {
            total_rate,
            min_rate,
            max_rate,
            other_rate: 0.0,
            last_observation: None,
            credit: max_rate,
            refilled_at: Time::ZERO,
        }
    }

    /// Updates the rate of the other traffic from its total number of bytes since the start.
    pub fn observe(&mut self, now: Time, other_bytes: u64) {
        let Some((at, before)) = self.last_observation.replace((now, other_bytes)) else {
            return;
        };
        let passed = now.saturating_sub(at).as_secs_f64();
        if passed > 0.0 {
            let rate = other_bytes.saturating_sub(before) as f64 / passed;
            let weight = 1.0 - (-passed / AVERAGING_PERIOD.as_secs_f64()).exp();
            self.other_rate += (rate - self.other_rate) * weight;
        }
    }

    /// Returns the allowed rate in bytes per second.
    pub fn rate(&self) -> f64 {
        (self.total_rate - self.other_rate).clamp(self.min_rate, self.max_rate)
    }

    /// Refills the bucket and returns whether another report may be read.
    pub fn has_credit(&mut self, now: Time) -> bool {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let rate = self.rate();
        self.credit = (self.credit + rate * passed).min(rate);
        self.credit > 0.0
    }

    /// Deducts the size of a report that was read.
    pub fn spend(&mut self, bytes: usize) {
        self.credit -= bytes as f64;
    }
}
