//! Measurements and settings of one pool.

use crate::{
    estimate::{Histogram, MovingAverage},
    id::Time,
    pool::Pool,
    router::Subset,
};
use std::time::Duration;

/// Weight of one sample in the moving averages of a pool.
const AVERAGE_GAIN: f64 = 0.05;

/// Time constant of [`PoolState::load_decay_seconds`] until a call has ended.
const DEFAULT_DECAY_SECONDS: f64 = 2.0;

const MIN_DECAY_SECONDS: f64 = 0.1;

const MAX_DECAY_SECONDS: f64 = 10.0;

/// Lower bound of the mean ratio of actual to estimated call time.
const MIN_SLOWDOWN: f64 = 0.01;

/// Measurements and settings of one pool.
#[derive(Debug)]
pub(super) struct PoolState {
    pub settings: Pool,
    /// Targets that this entry routes to.
    pub subset: Subset,
    /// Time from the dispatch of a call to its result.
    pub call_time: Histogram,
    /// Time from the dispatch of a call to the first part of its result.
    pub first_part_time: Histogram,
    /// Duration of stages, queueing and retries included.
    pub stage_time: Histogram,
    pub mean_call_seconds: MovingAverage,
    /// Mean ratio of actual to estimated call time.
    pub slowdown: MovingAverage,
    /// Mean number of generated tokens per call.
    pub tokens: MovingAverage,
    /// Mean number of calls of other entries at a target.
    pub other_load: MovingAverage,
    /// Mean reported generation rate of one request, in tokens per second.
    pub token_rate: MovingAverage,
    /// When the last report of any target was received.
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
            mean_call_seconds: MovingAverage::new(AVERAGE_GAIN),
            slowdown: MovingAverage::new(AVERAGE_GAIN),
            tokens: MovingAverage::new(AVERAGE_GAIN),
            other_load: MovingAverage::new(AVERAGE_GAIN),
            token_rate: MovingAverage::new(AVERAGE_GAIN),
            last_report_at: Time::ZERO,
        }
    }

    /// Records a successful call; `slowdown` is the ratio of its actual to its estimated time.
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

    /// Returns the mean ratio of actual to estimated call time.
    pub fn mean_slowdown(&self) -> f64 {
        self.slowdown.get().unwrap_or(1.0).max(MIN_SLOWDOWN)
    }

    /// Returns the time constant with which a report of other entries' load loses its weight.
    ///
    /// It follows the mean call time, since the calls at a target turn over in about that time.
    pub fn load_decay_seconds(&self) -> f64 {
        let mean = self
            .mean_call_seconds
            .get()
            .unwrap_or(DEFAULT_DECAY_SECONDS);
        mean.clamp(MIN_DECAY_SECONDS, MAX_DECAY_SECONDS)
    }

    /// Returns the mean number of calls of other entries at a target.
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
