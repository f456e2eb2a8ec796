//! Rate limit by a token bucket.

use std::time::{Duration, Instant};

/// Token bucket that holds up to one second of its rate.
#[derive(Debug)]
pub struct Bucket {
    level: f64,
    filled: Instant,
}

impl Bucket {
    /// Creates a bucket that is filled at its first use.
    pub fn new() -> Self {
        Self {
            level: f64::INFINITY,
            filled: Instant::now(),
        }
    }

    /// Takes `amount` at a rate per second; a rate of 0 is no limit.
    ///
    /// # Errors
    ///
    /// Gives the time until there is enough.
    pub fn take(&mut self, amount: f64, rate: f64) -> Result<(), Duration> {
        if rate <= 0.0 {
            return Ok(());
        }
        let now = Instant::now();
        let gain = now.duration_since(self.filled).as_secs_f64() * rate;
        self.filled = now;
        self.level = (self.level + gain).min(rate.max(1.0));
        if self.level < amount.min(rate.max(1.0)) {
            let lack = amount - self.level;
            return Err(Duration::from_secs_f64(lack / rate));
        }
        self.level -= amount;
        Ok(())
    }
}

impl Default for Bucket {
    fn default() -> Self {
        Self::new()
    }
}
