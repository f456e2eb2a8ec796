//! Token bucket that can be overdrawn to schedule requests ahead of time.

use crate::id::Time;
use std::time::Duration;

/// Time over which unused tokens accumulate.
const BURST_PERIOD: Duration = Duration::from_millis(250);

/// Minimum burst in tokens, unless the rate per second is lower; the burst is never below one.
const MIN_BURST: f64 = 2.0;

/// Maximum wait that is returned, which bounds the retry time of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Token bucket with a constant refill rate; each request takes one token.
///
/// A negative balance is debt: tokens already taken by requests that start later.
#[derive(Debug)]
pub(super) struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Time, rate: f64) -> Self {
        Self {
            rate,
            tokens: burst(rate),
            refilled_at: now,
        }
    }

    /// Returns the refill rate in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate from now on.
    ///
    /// Debt is scaled so that it is paid off at the same time as before.
    pub fn set_rate(&mut self, now: Time, rate: f64) {
        self.refill(now);
        if self.tokens < 0.0 {
            self.tokens *= rate / self.rate;
        }
        self.rate = rate;
        self.tokens = self.tokens.min(burst(rate));
    }

    /// Returns the time at which the debt is paid off, or `now` if there is none.
    pub fn debt_paid_at(&mut self, now: Time) -> Time {
        self.refill(now);
        let debt = Duration::try_from_secs_f64(-self.tokens / self.rate);
        now + debt.map_or(Duration::ZERO, |debt| debt.min(MAX_RETRY_AFTER))
    }

    /// Returns the time until the next token is available.
    pub fn time_to_token(&mut self, now: Time) -> Duration {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        if missing == 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate)
            .map_or(MAX_RETRY_AFTER, |wait| wait.min(MAX_RETRY_AFTER))
    }

    /// Takes a token, going into debt if none is available yet.
    pub fn take(&mut self, now: Time) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Returns a token that was taken but not used.
    pub fn refund(&mut self, now: Time) {
        self.refill(now);
        self.tokens = (self.tokens + 1.0).min(burst(self.rate));
    }

    fn refill(&mut self, now: Time) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(burst(self.rate));
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Returns the maximum number of accumulated tokens at a refill rate.
fn burst(rate: f64) -> f64 {
    (rate * BURST_PERIOD.as_secs_f64()).max(rate.clamp(1.0, MIN_BURST))
}
