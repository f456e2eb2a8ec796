//! The targets of one pool, what waits for them, and how fast they carry it.

use super::{JobId, target::StageTarget};
use crate::{
    id::{TargetId, Time},
    relay::plan,
};
use std::time::Duration;

/// Share of the rate of full calls that a pool reaches, since room and deaths leave gaps.
const UTILIZATION: f64 = 0.85;

/// Targets of one pool and the stages that wait for them.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolState {
    pub limits: Option<plan::BatchLimits>,
    pub targets: Vec<StageTarget>,
    pub waiting: Vec<(JobId, usize)>,
    /// Usual time of a call in seconds.
    pub mean_call_seconds: Option<f64>,
    /// The front of a long queue, and when it was sorted.
    pub sorted_front: Option<(Time, Vec<(JobId, usize)>)>,
}

impl PoolState {
    /// Returns a target of the pool.
    pub fn target_mut(&mut self, target: &TargetId) -> Option<&mut StageTarget> {
        self.targets
            .iter_mut()
            .find(|stage_target| stage_target.id == *target)
    }

    /// Returns the pieces a second that full calls carry, without targets slower than `slow`.
    pub fn rate(&self, limits: &plan::BatchLimits, max_slowdown: f64) -> f64 {
        let targets = self
            .targets
            .iter()
            .filter(|stage_target| stage_target.slowdown < max_slowdown);
        let speeds: f64 = targets
            .map(|stage_target| 1.0 / stage_target.slowdown.max(0.1))
            .sum();
        (speeds * limits.batch as f64 / limits.full_call_time().as_secs_f64()).max(MIN_RATE)
    }

    /// Returns the time in which full calls carry a number of pieces.
    pub fn drain_time_for(&self, pieces: usize) -> Duration {
        let Some(limits) = &self.limits else {
            return Duration::ZERO;
        };
        let seconds = pieces as f64 / (self.rate(limits, f64::INFINITY) * UTILIZATION);
        Duration::from_secs_f64(seconds.min(MAX_DRAIN_SECONDS))
    }
}

/// Least rate of a pool in pieces a second, against division by zero.
const MIN_RATE: f64 = 0.1;
/// Longest time of draining that is worked out, in seconds.
const MAX_DRAIN_SECONDS: f64 = 60.0;

impl plan::BatchLimits {
    /// Returns the time of a full call.
    pub fn full_call_time(&self) -> Duration {
        self.call + self.item * self.batch as u32
    }
}
