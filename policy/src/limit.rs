//! Adaptive concurrency limit of a target.
//!
//! The limit follows additive increase, multiplicative decrease: it grows by about one per round
//! of calls that were not queued at the target, and is multiplied by a factor below 1 when a call
//! was queued or refused. Its minimum is 1 because many entries may share a target.

use crate::id::Time;
use std::time::Duration;

/// Initial limit of a target that has not reported its concurrency.
const INITIAL_LIMIT: f64 = 8.0;

/// Factor applied to the limit when a call was queued at the target.
const QUEUED_FACTOR: f64 = 0.8;

/// Factor applied to the limit when the target answers that it is at capacity.
const BUSY_FACTOR: f64 = 0.7;

/// Minimum time between two decreases, so that signals of one overload count once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum of the limit, as a multiple of the reported concurrency.
const MAX_OVERCOMMIT: f64 = 2.0;

/// Adaptive limit of the calls in flight at one target.
///
/// The limit is at least 1.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    value: f64,
    reported_concurrency: Option<u32>,
    ceiling: Option<u32>,
    decreased_at: Option<Time>,
    warming_up: bool,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target that has not reported yet.
    pub const fn new() -> Self {
        Self {
            value: INITIAL_LIMIT,
            reported_concurrency: None,
            ceiling: None,
            decreased_at: None,
            warming_up: false,
        }
    }

    /// Returns the maximum number of calls in flight.
    pub fn get(&self) -> u32 {
        let measured = (self.value as u32).max(1);
        self.ceiling
            .map_or(measured, |ceiling| measured.min(ceiling.max(1)))
    }

    /// Returns whether the target is in slow start after [`restart_slowly`](Self::restart_slowly).
    pub const fn is_warming_up(&self) -> bool {
        self.warming_up
    }

    /// Sets the maximum configured by the operators; `None` removes it.
    pub fn set_ceiling(&mut self, ceiling: Option<u32>) {
        self.ceiling = ceiling;
    }

    /// Sets the concurrency that the target reported, and the limit to it if it changed.
    ///
    /// 0 is ignored. During slow start only the upper bound changes.
    pub fn set_reported_concurrency(&mut self, reported_concurrency: u32) {
        if reported_concurrency == 0 || self.reported_concurrency == Some(reported_concurrency) {
            return;
        }
        self.reported_concurrency = Some(reported_concurrency);
        if !self.warming_up {
            self.value = f64::from(reported_concurrency);
        }
    }

    /// Increases the limit after a call that was not queued, with `in_flight` other calls.
    ///
    /// The limit stays as it is while less than half of it is used.
    pub fn increase(&mut self, in_flight: u32) {
        if f64::from(in_flight) * 2.0 < self.value {
            return;
        }
        let step = if self.warming_up {
            1.0
        } else {
            1.0 / self.value
        };
        self.value = (self.value + step).min(self.maximum());
        self.warming_up &= self.value < self.initial();
    }

    /// Decreases the limit after a call was queued at the target.
    pub fn decrease(&mut self, now: Time) {
        self.multiply(now, QUEUED_FACTOR);
    }

    /// Decreases the limit after the target answered that it is at capacity.
    pub fn back_off(&mut self, now: Time) {
        self.multiply(now, BUSY_FACTOR);
    }

    /// Resets the limit to 1 for a target that returns and has to warm up (slow start).
    pub fn restart_slowly(&mut self) {
        self.value = 1.0;
        self.warming_up = true;
    }

    fn multiply(&mut self, now: Time, factor: f64) {
        if self
            .decreased_at
            .is_none_or(|before| now >= before + DECREASE_INTERVAL)
        {
            self.decreased_at = Some(now);
            self.value = (self.value * factor).max(1.0);
        }
    }

    fn initial(&self) -> f64 {
        self.reported_concurrency.map_or(INITIAL_LIMIT, f64::from)
    }

    fn maximum(&self) -> f64 {
        (self.initial() * MAX_OVERCOMMIT).max(1.0)
    }
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self::new()
    }
}
