//! Adaptive limit of the calls in flight at one target.
//!
//! The limit grows by about one for each round of calls that did not wait at the target, and
//! shrinks by a part when one did (additive increase, multiplicative decrease). It goes down to 1,
//! since many entries may share a target.

use crate::id::Time;
use std::time::Duration;

/// Limit of a target that has reported no width.
const INITIAL_LIMIT: f64 = 8.0;

/// Part of the limit that is left when a call had to wait at the target.
const QUEUED_FACTOR: f64 = 0.8;

/// Part of the limit that is left when a target answers that it is full.
const BUSY_FACTOR: f64 = 0.7;

/// Time in which several signs of being full count once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Multiple of the reported width that the limit never exceeds.
const MAX_OVERCOMMIT: f64 = 2.0;

/// Adaptive limit of the calls in flight at one target; at least 1.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    value: f64,
    reported_concurrency: Option<u32>,
    ceiling: Option<u32>,
    decreased_at: Option<Time>,
    warming_up: bool,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target that is not known yet.
    pub const fn new() -> Self {
        Self {
            value: INITIAL_LIMIT,
            reported_concurrency: None,
            ceiling: None,
            decreased_at: None,
            warming_up: false,
        }
    }

    /// Returns the calls that may be in flight.
    pub fn get(&self) -> u32 {
        let measured = (self.value as u32).max(1);
        self.ceiling
            .map_or(measured, |ceiling| measured.min(ceiling.max(1)))
    }

    /// Returns whether the target is being eased in.
    pub const fn is_warming_up(&self) -> bool {
        self.warming_up
    }

    /// Sets the most calls in flight that the operators permit.
    pub fn set_ceiling(&mut self, ceiling: Option<u32>) {
        self.ceiling = ceiling;
    }

    /// Takes in the width that the target reported; the first one is where the limit starts.
    pub fn set_reported_concurrency(&mut self, reported_concurrency: u32) {
        if reported_concurrency == 0 || self.reported_concurrency == Some(reported_concurrency) {
            return;
        }
        self.reported_concurrency = Some(reported_concurrency);
        if !self.warming_up {
            self.value = f64::from(reported_concurrency);
        }
    }

    /// Takes in a call that did not wait at the target, with `in_flight` others.
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

    /// Takes in a call that had to wait at the target.
    pub fn decrease(&mut self, now: Time) {
        self.multiply(now, QUEUED_FACTOR);
    }

    /// Takes in that the target answered that it is full.
    pub fn back_off(&mut self, now: Time) {
        self.multiply(now, BUSY_FACTOR);
    }

    /// Starts again from 1, for a target that comes back and has to warm up.
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
