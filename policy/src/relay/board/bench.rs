//! The targets of one pool, what waits for them, and how fast they carry it.

use super::{JobId, press::Press};
use crate::{
    id::{TargetId, Time},
    relay::plan,
};
use std::time::Duration;

/// Share of the rate of full calls that a pool reaches, since room and deaths leave gaps.
const REACHED: f64 = 0.85;

/// Targets of one pool and the stages that wait for them.
#[derive(Clone, Debug, Default)]
pub(super) struct Bench {
    pub limits: Option<plan::Press>,
    pub presses: Vec<Press>,
    pub waiting: Vec<(JobId, usize)>,
    /// Usual time of a call in seconds.
    pub usual: Option<f64>,
    /// The front of a long queue, and when it was sorted.
    pub front: Option<(Time, Vec<(JobId, usize)>)>,
}

impl Bench {
    /// Returns a target of the pool.
    pub fn press(&mut self, target: &TargetId) -> Option<&mut Press> {
        self.presses.iter_mut().find(|press| press.id == *target)
    }

    /// Returns the pieces a second that full calls carry, without targets slower than `slow`.
    pub fn rate(&self, limits: &plan::Press, slow: f64) -> f64 {
        let presses = self.presses.iter().filter(|press| press.pace < slow);
        let paces: f64 = presses.map(|press| 1.0 / press.pace.max(0.1)).sum();
        (paces * limits.batch as f64 / limits.full().as_secs_f64()).max(MIN_RATE)
    }

    /// Returns the time in which full calls carry a number of pieces.
    pub fn drain(&self, pieces: usize) -> Duration {
        let Some(limits) = &self.limits else {
            return Duration::ZERO;
        };
        let seconds = pieces as f64 / (self.rate(limits, f64::INFINITY) * REACHED);
        Duration::from_secs_f64(seconds.min(MAX_DRAIN))
    }
}

/// Least rate of a pool in pieces a second, against division by zero.
const MIN_RATE: f64 = 0.1;
/// Longest time of draining that is worked out, in seconds.
const MAX_DRAIN: f64 = 60.0;

impl plan::Press {
    /// Returns the time of a full call.
    pub fn full(&self) -> Duration {
        self.call + self.item * self.batch as u32
    }
}
