//! Token bucket whose tokens can be taken ahead of time.

use crate::id::Time;
use std::time::Duration;

/// Time over which unused tokens are saved up.
const BURST_PERIOD: Duration = Duration::from_millis(250);

/// Tokens that a bucket holds at most where [`BURST_PERIOD`] would make it less.
const MIN_BURST: f64 = 2.0;

/// Longest wait that a refusal names.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Tokens that come at a steady rate; one admits one request.
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

    /// Returns the tokens that come in a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate from now on; tokens that were taken ahead still come when they were due.
    pub fn set_rate(&mut self, now: Time, rate: f64) {
        self.refill(now);
        if self.tokens < 0.0 {
            self.tokens *= rate / self.rate;
        }
        self.rate = rate;
        self.tokens = self.tokens.min(burst(rate));
    }

    /// Returns when the last token that was taken ahead is due.
    pub fn debt_paid_at(&mut self, now: Time) -> Time {
        self.refill(now);
        let debt = Duration::try_from_secs_f64(-self.tokens / self.rate);
        now + debt.map_or(Duration::ZERO, |debt| debt.min(MAX_RETRY_AFTER))
    }

    /// Returns how long the next token is away.
    pub fn time_to_token(&mut self, now: Time) -> Duration {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        if missing == 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate)
            .map_or(MAX_RETRY_AFTER, |wait| wait.min(MAX_RETRY_AFTER))
    }

    /// Takes the next token, which may be still to come.
    pub fn take(&mut self, now: Time) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Gives back a token that was taken and not used.
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

fn burst(rate: f64) -> f64 {
    (rate * BURST_PERIOD.as_secs_f64()).max(rate.clamp(1.0, MIN_BURST))
}
