//! Adaptive limit of the calls in flight at one target.
//!
//! The limit follows the gradient between the time that a call should take and the time that it
//! took: while calls take no longer than expected, the limit grows by the root of itself, which
//! keeps a short queue at the target; when they take longer, it shrinks in proportion.

use crate::id::Time;
use std::time::Duration;

/// Limit of a target that has reported no width.
const FIRST_LIMIT: f64 = 8.0;

/// Stretch of the service time that is not held against a target.
const TOLERANCE: f64 = 1.5;

/// Smallest part of the limit that one sample leaves.
const STEEPEST: f64 = 0.5;

/// Weight of one sample.
const GAIN: f64 = 0.2;

/// Part of the limit that is left when a target answers that it is full.
const BACK_OFF: f64 = 0.7;

/// Time in which several answers of being full count once.
const BACK_OFF_PAUSE: Duration = Duration::from_millis(100);

/// Multiple of the reported width that the limit never exceeds.
const WIDEST: f64 = 2.0;

/// Adaptive limit of the calls in flight at one target; at least 1.
#[derive(Clone, Debug)]
pub struct Limit {
    value: f64,
    width: Option<u32>,
    ceiling: Option<u32>,
    backed_off: Option<Time>,
    cold: bool,
}

impl Limit {
    /// Creates the limit of a target that is not known yet.
    pub const fn new() -> Self {
        Self {
            value: FIRST_LIMIT,
            width: None,
            ceiling: None,
            backed_off: None,
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

    /// Takes in a call that took `stretch` times the expected time with `in_flight` others.
    pub fn sample(&mut self, stretch: f64, in_flight: u32) {
        let gradient = (TOLERANCE / stretch.max(f64::EPSILON)).clamp(STEEPEST, 1.0);
        let goal = self.value * gradient + self.value.sqrt();
        let grows = goal > self.value;
        if grows && f64::from(in_flight) * 2.0 < self.value {
            return;
        }
        let gain = if self.cold { 1.0 } else { GAIN };
        self.value = (self.value + gain * (goal - self.value)).clamp(1.0, self.widest());
        self.cold &= self.value < self.start();
    }

    /// Takes in that the target answered that it is full.
    pub fn back_off(&mut self, now: Time) {
        let soon = self
            .backed_off
            .is_some_and(|before| now < before + BACK_OFF_PAUSE);
        if !soon {
            self.backed_off = Some(now);
            self.value = (self.value * BACK_OFF).max(1.0);
        }
    }

    /// Starts again from 1, for a target that comes back and has to warm up.
    pub fn restart(&mut self) {
        self.value = 1.0;
        self.cold = true;
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
