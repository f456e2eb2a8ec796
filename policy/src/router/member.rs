//! What a router knows of one pool.

use crate::{
    estimate::{Histogram, MovingAverage},
    id::Time,
    pool::Pool,
    router::Subset,
};
use std::time::Duration;

/// Weight of one call or report in the averages of a pool.
const GAIN: f64 = 0.05;

/// Time in which the load that others cause is no longer known, before a call has ended, in seconds.
const FIRST_FADE: f64 = 2.0;

/// Shortest such time, in seconds.
const SHORTEST_FADE: f64 = 0.1;

/// Longest such time, in seconds.
const LONGEST_FADE: f64 = 10.0;

/// Smallest ratio of the time of calls to what was expected.
const SHORTEST_STRETCH: f64 = 0.01;

/// What a router knows of one pool.
#[derive(Debug)]
pub(super) struct Member {
    /// Settings of the pool.
    pub settings: Pool,
    /// Targets that this entry works with.
    pub subset: Subset,
    /// Time of calls from dispatch to result.
    pub service: Histogram,
    /// Time of calls from dispatch to the first part of the result.
    pub first: Histogram,
    /// Time of whole stages, waiting included.
    pub stage: Histogram,
    /// Mean time of calls, in seconds.
    pub mean: MovingAverage,
    /// Mean ratio of the time of calls to what was expected.
    pub stretch: MovingAverage,
    /// Mean number of tokens that a call generates.
    pub tokens: MovingAverage,
    /// Mean load of a target by other entries.
    pub others: MovingAverage,
    /// Mean of the reported tokens a second of one request.
    pub rate: MovingAverage,
    /// When the last report of any target came.
    pub last_report: Time,
}

impl Member {
    pub fn new(settings: Pool) -> Self {
        Self {
            settings,
            subset: Subset::default(),
            service: Histogram::new(),
            first: Histogram::new(),
            stage: Histogram::new(),
            mean: MovingAverage::new(GAIN),
            stretch: MovingAverage::new(GAIN),
            tokens: MovingAverage::new(GAIN),
            others: MovingAverage::new(GAIN),
            rate: MovingAverage::new(GAIN),
            last_report: Time::ZERO,
        }
    }

    /// Notes a call that took `seconds`, and `stretch` times what was expected, if that is known.
    pub fn done(&mut self, seconds: f64, stretch: Option<f64>, tokens: u32) {
        if tokens > 0 {
            self.tokens.add(f64::from(tokens));
        }
        self.service.add(Duration::from_secs_f64(seconds));
        self.mean.add(seconds);
        if let Some(stretch) = stretch {
            self.stretch.add(stretch);
        }
    }

    /// Returns how much longer than expected calls usually take.
    pub fn usual_stretch(&self) -> f64 {
        self.stretch.get().unwrap_or(1.0).max(SHORTEST_STRETCH)
    }

    /// Returns the time in which the load that others cause at a target is no longer known.
    ///
    /// Calls come and go within about the time that one takes.
    pub fn fade(&self) -> f64 {
        let mean = self.mean.get().unwrap_or(FIRST_FADE);
        mean.clamp(SHORTEST_FADE, LONGEST_FADE)
    }

    /// Returns the mean load of a target by other entries.
    pub fn usual_others(&self) -> f64 {
        self.others.get().unwrap_or(0.0)
    }

    pub fn reported(&mut self, now: Time, others: f64, rate: f64) {
        if rate > 0.0 {
            self.rate.add(rate);
        }
        self.last_report = now;
        self.others.add(others);
    }
}
