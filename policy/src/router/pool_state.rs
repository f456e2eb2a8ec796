//! What a router knows of one pool.

use crate::{
    estimate::{Average, Histogram},
    id::Time,
    pool::Pool,
    router::Subset,
};
use std::time::Duration;

/// Weight of one call or report in the averages of a pool.
const AVERAGE_GAIN: f64 = 0.05;

/// Time in which the load that others cause is no longer known, before a call has ended, in seconds.
const DEFAULT_DECAY_SECONDS: f64 = 2.0;

/// Shortest such time, in seconds.
const MIN_DECAY_SECONDS: f64 = 0.1;

/// Longest such time, in seconds.
const MAX_DECAY_SECONDS: f64 = 10.0;

/// Smallest ratio of the time of calls to what was expected.
const MIN_SLOWDOWN: f64 = 0.01;

/// What a router knows of one pool.
#[derive(Debug)]
pub(super) struct PoolState {
    /// Settings of the pool.
    pub settings: Pool,
    /// Targets that this entry works with.
    pub subset: Subset,
    /// Time of calls from dispatch to result.
    pub call_time: Histogram,
    /// Time of calls from dispatch to the first part of the result.
    pub first_part_time: Histogram,
    /// Time of whole stages, waiting included.
    pub stage_time: Histogram,
    /// Mean time of calls, in seconds.
    pub mean_call_seconds: Average,
    /// Mean ratio of the time of calls to what was expected.
    pub slowdown: Average,
    /// Mean number of tokens that a call generates.
    pub tokens: Average,
    /// Mean load of a target by other entries.
    pub other_load: Average,
    /// Mean of the reported tokens a second of one request.
    pub token_rate: Average,
    /// When the last report of any target came.
    pub last_report_at: Time,
}

impl PoolState {
    pub fn new(settings: Pool) -> Self {
        Self {
            settings,
            subset: Subset::default(),
            call_time: Histogram::new(),
            first_part_time: Histogram::new(),
            stage_time: Histogram::new(),
            mean_call_seconds: Average::new(AVERAGE_GAIN),
            slowdown: Average::new(AVERAGE_GAIN),
            tokens: Average::new(AVERAGE_GAIN),
            other_load: Average::new(AVERAGE_GAIN),
            token_rate: Average::new(AVERAGE_GAIN),
            last_report_at: Time::ZERO,
        }
    }

    /// Notes a call that took `seconds`, and `slowdown` times what was expected, if that is known.
    pub fn record_success(&mut self, seconds: f64, slowdown: Option<f64>, tokens: u32) {
        if tokens > 0 {
            self.tokens.add(f64::from(tokens));
        }
        self.call_time.add(Duration::from_secs_f64(seconds));
        self.mean_call_seconds.add(seconds);
        if let Some(slowdown) = slowdown {
            self.slowdown.add(slowdown);
        }
    }

    /// Returns how much longer than expected calls usually take.
    pub fn mean_slowdown(&self) -> f64 {
        self.slowdown.get().unwrap_or(1.0).max(MIN_SLOWDOWN)
    }

    /// Returns the time in which the load that others cause at a target is no longer known.
    ///
    /// Calls come and go within about the time that one takes.
    pub fn load_decay_seconds(&self) -> f64 {
        let mean = self
            .mean_call_seconds
            .get()
            .unwrap_or(DEFAULT_DECAY_SECONDS);
        mean.clamp(MIN_DECAY_SECONDS, MAX_DECAY_SECONDS)
    }

    /// Returns the mean load of a target by other entries.
    pub fn mean_other_load(&self) -> f64 {
        self.other_load.get().unwrap_or(0.0)
    }

    pub fn record_report(&mut self, now: Time, other_load: f64, token_rate: f64) {
        if token_rate > 0.0 {
            self.token_rate.add(token_rate);
        }
        self.last_report_at = now;
        self.other_load.add(other_load);
    }
}
