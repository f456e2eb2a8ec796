//! Adaptive limit of the calls in flight at one target.
//!
//! The limit grows by about one for each round of calls that did not wait at the target, and
//! shrinks by a part when one did (additive increase, multiplicative decrease). It goes down to 1,
//! since many entries may share a target.

use crate::id::Time;
use std::time::Duration;

/// Limit of a target that has reported no width.
const FIRST_LIMIT: f64 = 8.0;

/// Part of the limit that is left when a call had to wait at the target.
const SHRINK: f64 = 0.8;

/// Part of the limit that is left when a target answers that it is full.
const BACK_OFF: f64 = 0.7;

/// Time in which several signs of being full count once.
const PAUSE: Duration = Duration::from_millis(100);

/// Multiple of the reported width that the limit never exceeds.
const WIDEST: f64 = 2.0;

/// Adaptive limit of the calls in flight at one target; at least 1.
#[derive(Clone, Debug)]
pub struct Limit {
    value: f64,
    width: Option<u32>,
    ceiling: Option<u32>,
    shrunk: Option<Time>,
    cold: bool,
}

impl Limit {
    /// Creates the limit of a target that is not known yet.
    pub const fn new() -> Self {
        Self {
            value: FIRST_LIMIT,
            width: None,
            ceiling: None,
            shrunk: None,
            cold: false,
        }
    }

    /// Returns the calls that may be in flight.
    pub fn get(&self) -> u32 {
        let measured = (self.value as u32).max(1);
        self.ceiling
            .map_or(measured, |ceiling| measured.min(ceiling.max(1)))
    }

    /// Returns whether the target is being eased in.
    pub const fn is_cold(&self) -> bool {
        self.cold
    }

    /// Sets the most calls in flight that the operators permit.
    pub fn set_ceiling(&mut self, ceiling: Option<u32>) {
        self.ceiling = ceiling;
    }

    /// Takes in the width that the target reported; the first one is where the limit starts.
    pub fn set_width(&mut self, width: u32) {
        if width == 0 || self.width == Some(width) {
            return;
        }
        self.width = Some(width);
        if !self.cold {
            self.value = f64::from(width);
        }
    }

    /// Takes in a call that did not wait at the target, with `in_flight` others.
    pub fn grow(&mut self, in_flight: u32) {
        if f64::from(in_flight) * 2.0 < self.value {
            return;
        }
        let step = if self.cold { 1.0 } else { 1.0 / self.value };
        self.value = (self.value + step).min(self.widest());
        self.cold &= self.value < self.start();
    }

    /// Takes in a call that had to wait at the target.
    pub fn shrink(&mut self, now: Time) {
        self.scale(now, SHRINK);
    }

    /// Takes in that the target answered that it is full.
    pub fn back_off(&mut self, now: Time) {
        self.scale(now, BACK_OFF);
    }

    /// Starts again from 1, for a target that comes back and has to warm up.
    pub fn restart(&mut self) {
        self.value = 1.0;
        self.cold = true;
    }

    fn scale(&mut self, now: Time, factor: f64) {
        if self.shrunk.is_none_or(|before| now >= before + PAUSE) {
            self.shrunk = Some(now);
            self.value = (self.value * factor).max(1.0);
        }
    }

    fn start(&self) -> f64 {
        self.width.map_or(FIRST_LIMIT, f64::from)
    }

    fn widest(&self) -> f64 {
        (self.start() * WIDEST).max(1.0)
    }
}

impl Default for Limit {
    fn default() -> Self {
        Self::new()
    }
}
