//! Token bucket whose tokens can be taken ahead of time.

use crate::id::Time;
use std::time::Duration;

/// Time over which unused tokens are saved up.
const DEPTH: Duration = Duration::from_millis(250);

/// Tokens that a bucket holds at most where [`DEPTH`] would make it less.
const MIN_DEPTH: f64 = 2.0;

/// Longest wait that a refusal names.
const LONGEST: Duration = Duration::from_secs(60);

/// Tokens that come at a steady rate; one admits one request.
#[derive(Debug)]
pub(super) struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Time,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(now: Time, rate: f64) -> Self {
        Self {
            rate,
            tokens: depth(rate),
            filled: now,
        }
    }

    /// Returns the tokens that come in a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate from now on; tokens that were taken ahead still come when they were due.
    pub fn set_rate(&mut self, now: Time, rate: f64) {
        self.fill(now);
        if self.tokens < 0.0 {
            self.tokens *= rate / self.rate;
        }
        self.rate = rate;
        self.tokens = self.tokens.min(depth(rate));
    }

    /// Returns when the last token that was taken ahead is due.
    pub fn due(&mut self, now: Time) -> Time {
        self.fill(now);
        let ahead = Duration::try_from_secs_f64(-self.tokens / self.rate);
        now + ahead.map_or(Duration::ZERO, |ahead| ahead.min(LONGEST))
    }

    /// Returns how long the next token is away.
    pub fn wait(&mut self, now: Time) -> Duration {
        self.fill(now);
        let lack = (1.0 - self.tokens).max(0.0);
        if lack == 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(lack / self.rate).map_or(LONGEST, |wait| wait.min(LONGEST))
    }

    /// Takes the next token, which may be still to come.
    pub fn take(&mut self, now: Time) {
        self.fill(now);
        self.tokens -= 1.0;
    }

    /// Gives back a token that was taken and not used.
    pub fn put_back(&mut self, now: Time) {
        self.fill(now);
        self.tokens = (self.tokens + 1.0).min(depth(self.rate));
    }

    fn fill(&mut self, now: Time) {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(depth(self.rate));
        self.filled = self.filled.max(now);
    }
}

fn depth(rate: f64) -> f64 {
    (rate * DEPTH.as_secs_f64()).max(rate.clamp(1.0, MIN_DEPTH))
}
