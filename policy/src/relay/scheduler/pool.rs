//! Scheduler state of one pool: its stage targets, its queue and its throughput.

use super::{
    Scheduler, admission::AcceptedLoad, call::StageRef, job::RunningJob, shares::Shares,
    target::StageTarget, workspaces::Workspaces,
};
use crate::{
    id::{DomainId, TargetId, Time},
    relay::{plan, rate::Pace},
};
use std::{collections::BTreeSet, time::Duration};

/// Fraction of the throughput of full calls that a pool sustains, until it is measured. Targets without
/// memory for results and crashed targets leave gaps between calls.
const UTILIZATION: f64 = 0.85;
/// Bounds on the measured fraction, so that a wrong measurement still lets jobs through.
const UTILIZATION_RANGE: (f64, f64) = (0.7, 1.0);
/// Time constant of the measured fraction.
const UTILIZATION_SECONDS: f64 = 3.0; // several calls; fewer are too few in small pools

/// Weight of the latest call in the mean call duration of a pool.
const CALL_TIME_WEIGHT: f64 = 0.1;
/// Time without a call from which the mean call duration decays.
const CALL_TIME_REVIEW_PERIOD: Duration = Duration::from_millis(500); // longer than most gaps between calls
/// Time in which it comes half as close to the nominal duration.
const CALL_TIME_HALF_LIFE: Duration = Duration::from_secs(1);

/// Stage targets of one pool and the stages queued for them.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolState {
    pub limits: Option<plan::BatchLimits>,
    pub targets: Vec<StageTarget>,
    /// Targets in evacuated domains, which get no calls and no releases of results.
    pub evacuated: Vec<StageTarget>,
    /// Stages with pieces to be sent, in order of arrival.
    pub waiting: Vec<StageRef>,
    /// Exponentially weighted mean duration of a call in seconds.
    pub mean_call_seconds: Option<f64>,
    /// When a call last changed that mean, or it was last [reviewed](Self::review_call_time).
    pub call_time_reviewed_at: Time,
    /// Whether a call could be made at once although the rates of all targets are limited.
    pub has_spare_rate: bool,
    /// Most urgent stages of the queue, and when they were sorted.
    pub sorted_front: Option<(Time, Vec<StageRef>)>,
    /// Work for jobs that were accepted to be on time.
    pub accepted_load: AcceptedLoad,
    /// Measured throughput.
    pub throughput: Throughput,
    /// Shares of the kinds of requests that are accepted.
    shares: Shares,
    /// Shares of the workspaces in them.
    workspaces: Workspaces,
}

/// Throughput of a pool while it has a queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Throughput {
    /// Pieces completed since the last review.
    pub completed: usize,
    reviewed_at: Time,
    /// Whether the pool had a queue at that time.
    had_queue: bool,
    /// Difference of the measured fraction of the throughput of full calls from [`UTILIZATION`].
    excess: f64,
}

impl PoolState {
    /// Measures the throughput if the pool has had a queue since the last review. Otherwise the measured
    /// fraction approaches the usual one, as it would else refuse the jobs that could correct it.
    pub fn review_throughput(&mut self, now: Time, has_queue: bool) {
        let Some(limits) = self.limits else {
            return;
        };
        let elapsed = now
            .saturating_sub(self.throughput.reviewed_at)
            .as_secs_f64();
        let full = self.rate(&limits, f64::INFINITY);
        let throughput = &mut self.throughput;
        let weight = 1.0 - (-elapsed / UTILIZATION_SECONDS).exp();
        if has_queue && throughput.had_queue && elapsed > 0.0 {
            let measured = throughput.completed as f64 / elapsed / full;
            throughput.excess += weight * (measured - UTILIZATION - throughput.excess);
        } else {
            throughput.excess -= weight * throughput.excess;
        }
        throughput.completed = 0;
        throughput.reviewed_at = now;
        throughput.had_queue = has_queue;
    }

    /// Returns the fraction of the throughput of full calls that the pool sustains.
    fn utilization(&self) -> f64 {
        let (least, most) = UTILIZATION_RANGE;
        (UTILIZATION + self.throughput.excess).clamp(least, most)
    }

    /// Returns whether no other kind or workspace has a smaller share of the pool, or it has enough for all.
    pub fn allows(&self, now: Time, running: &RunningJob) -> bool {
        let workspace = running.job.workspace.as_ref();
        self.shares.allow(now, running.kind)
            && workspace.is_none_or(|workspace| self.workspaces.allow(now, workspace))
    }

    /// Records a new request and whether it was accepted.
    pub fn record_request(&mut self, now: Time, running: &RunningJob, is_accepted: bool) {
        self.shares.record(now, running.kind, is_accepted);
        if let Some(workspace) = &running.job.workspace {
            self.workspaces.record(now, workspace, is_accepted);
        }
    }

    /// Records that a request that was accepted is refused, or accepted after it was refused.
    pub fn correct_request(&mut self, now: Time, running: &RunningJob, is_accepted: bool) {
        self.shares.correct(now, running.kind, is_accepted);
        if let Some(workspace) = &running.job.workspace {
            self.workspaces.correct(now, workspace, is_accepted);
        }
    }

    /// Records that the pool is too short for a request.
    pub fn record_shortage(&mut self, now: Time, running: &RunningJob) {
        self.shares.record_shortage(now, running.kind);
        if let Some(workspace) = &running.job.workspace {
            self.workspaces.record_shortage(now, workspace);
        }
    }

    /// Returns a target, which may be in an evacuated domain.
    pub fn target_mut(&mut self, target: &TargetId) -> Option<&mut StageTarget> {
        self.all_mut()
            .find(|stage_target| stage_target.id == *target)
    }

    /// Returns all targets, those in evacuated domains last.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut StageTarget> {
        self.targets.iter_mut().chain(&mut self.evacuated)
    }

    /// Adds a target that the pool does not have.
    pub fn add_target(&mut self, target: StageTarget, is_evacuated: bool) {
        if is_evacuated {
            self.evacuated.push(target);
        } else {
            self.targets.push(target);
        }
    }

    /// Removes a target. Returns whether it was the last one that gets calls.
    pub fn remove_target(&mut self, target: &TargetId) -> bool {
        let had_any = !self.targets.is_empty();
        self.targets
            .retain(|stage_target| stage_target.id != *target);
        self.evacuated
            .retain(|stage_target| stage_target.id != *target);
        had_any && self.targets.is_empty()
    }

    /// Sets which domains are evacuated. Returns whether the last target that gets calls is now in one of
    /// them.
    pub fn set_evacuated(&mut self, now: Time, domains: &BTreeSet<DomainId>) -> bool {
        let had_any = !self.targets.is_empty();
        let is_evacuated = |target: &mut StageTarget| domains.contains(&target.domain);
        let mut returned: Vec<StageTarget> = self
            .evacuated
            .extract_if(.., |target| !is_evacuated(target))
            .collect();
        for stage_target in &mut returned {
            stage_target.end_evacuation(now);
        }
        let evacuated = self.targets.extract_if(.., is_evacuated);
        self.evacuated.extend(evacuated);
        self.targets.append(&mut returned);
        had_any && self.targets.is_empty()
    }

    /// Returns whether stages are queued and a target is idle.
    pub fn has_work(&self, now: Time) -> bool {
        let mut targets = self.targets.iter();
        !self.waiting.is_empty() && targets.any(|stage_target| stage_target.is_idle(now))
    }

    /// Returns the time until the first target takes calls again, if all of them want none for a while;
    /// zero otherwise.
    pub fn time_to_open(&self, now: Time) -> Duration {
        let ends = self.targets.iter().map(StageTarget::open_at);
        let first = ends.min().unwrap_or_default();
        first.saturating_sub(now)
    }

    /// Returns the mean duration of a call, or before the first call the nominal duration of a
    /// half-full one. If the rates of all targets are limited, it includes the wait for the next call.
    pub fn expected_call_time(&self) -> Duration {
        let call_time = self
            .mean_call_seconds
            .map_or_else(|| self.nominal_call_time(), Duration::from_secs_f64);
        call_time + self.pace_interval()
    }

    /// Returns the nominal duration of a half-full call.
    fn nominal_call_time(&self) -> Duration {
        let limits = self.limits.as_ref();
        limits.map_or(Duration::ZERO, |limits| {
            limits.call_overhead + limits.piece_time * (limits.max_pieces as u32 / 2)
        })
    }

    /// Records the duration of a call.
    pub fn record_call_time(&mut self, now: Time, taken: Duration) {
        let taken = taken.as_secs_f64();
        let mean = self.mean_call_seconds.get_or_insert(taken);
        *mean += CALL_TIME_WEIGHT * (taken - *mean);
        self.call_time_reviewed_at = now;
    }

    /// Lets a mean above the nominal duration decay while the pool has nothing to do. It refuses jobs,
    /// and without jobs no call would correct it.
    pub fn review_call_time(&mut self, now: Time) {
        let has_calls = self.targets.iter().any(|target| target.call.is_some());
        let is_idle = !has_calls && self.waiting.is_empty();
        // A limit would refuse the jobs whose calls could show that it has ended.
        self.has_spare_rate = is_idle && self.targets.iter().any(|target| target.is_open(now));
        let age = now.saturating_sub(self.call_time_reviewed_at);
        if age < CALL_TIME_REVIEW_PERIOD {
            return;
        }
        self.call_time_reviewed_at = now;
        let nominal = self.nominal_call_time().as_secs_f64();
        if let Some(mean) = self.mean_call_seconds.as_mut()
            && is_idle
            && *mean > nominal
        {
            let periods = age.as_secs_f64() / CALL_TIME_HALF_LIFE.as_secs_f64();
            *mean = nominal + (*mean - nominal) * 0.5_f64.powf(periods);
        }
    }

    /// Returns the mean time between two calls that the limits of all targets allow; zero if a target
    /// has none.
    fn pace_interval(&self) -> Duration {
        if self.has_spare_rate {
            return Duration::ZERO;
        }
        let rates = self.targets.iter();
        let rates = rates.map(|target| target.pace.as_ref().map(Pace::rate));
        let sum: Option<f64> = rates.sum();
        let rate = sum.filter(|rate| *rate > 0.0);
        rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(rate.recip()))
    }

    /// Returns the throughput of full calls in pieces per second, without targets whose slowdown
    /// is `max_slowdown` or more.
    pub fn rate(&self, limits: &plan::BatchLimits, max_slowdown: f64) -> f64 {
        let targets = self
            .targets
            .iter()
            .filter(|stage_target| stage_target.slowdown < max_slowdown);
        let call_rates: f64 = targets
            .map(|stage_target| {
                let slowdown = stage_target.slowdown.max(0.1);
                stage_target.call_rate(limits.full_call_time().mul_f64(slowdown))
            })
            .sum();
        (call_rates * limits.max_pieces as f64).max(MIN_RATE)
    }

    /// Returns the estimated time to process `pieces` in full calls.
    pub fn drain_time_for(&self, pieces: usize) -> Duration {
        let seconds = pieces as f64 * self.seconds_per_piece();
        Duration::from_secs_f64(seconds.min(MAX_DRAIN_SECONDS))
    }

    /// Same as [`Self::seconds_per_piece`] with the usual throughput. Work for a pool is started at this
    /// rate: at the measured one, a pool that was given too little would be given even less.
    pub fn usual_seconds_per_piece(&self) -> f64 {
        let limits = self.limits.as_ref();
        limits.map_or(0.0, |limits| {
            (self.rate(limits, f64::INFINITY) * UTILIZATION).recip()
        })
    }

    /// Returns the estimated time to process one piece in full calls; zero if the pool has no limits.
    pub fn seconds_per_piece(&self) -> f64 {
        let limits = self.limits.as_ref();
        limits.map_or(0.0, |limits| {
            (self.rate(limits, f64::INFINITY) * self.utilization()).recip()
        })
    }
}

/// Lower bound on the rate of a pool in pieces per second, to avoid division by zero.
const MIN_RATE: f64 = 0.1;
/// Upper bound on the estimated drain time.
const MAX_DRAIN_SECONDS: f64 = 60.0;

impl plan::BatchLimits {
    /// Returns the nominal duration of a call with the maximum number of pieces.
    pub fn full_call_time(&self) -> Duration {
        self.call_overhead + self.piece_time * self.max_pieces as u32
    }
}

impl Scheduler {
    pub(super) fn review_throughput(&mut self, now: Time) {
        let queued: Vec<bool> = self
            .pools
            .values()
            .map(|pool| self.has_queue(pool))
            .collect();
        for (pool_state, has_queue) in self.pools.values_mut().zip(queued) {
            pool_state.review_throughput(now, has_queue);
            pool_state.workspaces.prune(now);
        }
    }

    /// Returns whether stages that may start fill a call to half of a pool's targets. Fewer do not keep all
    /// of them busy.
    fn has_queue(&self, pool_state: &PoolState) -> bool {
        let Some((_, front)) = &pool_state.sorted_front else {
            return false;
        };
        let pieces = front.iter().map(|&stage| self.waiting_pieces(stage));
        let batch = pool_state.limits.map_or(0, |limits| limits.max_pieces);
        pieces.sum::<usize>() > batch * pool_state.targets.len() / 2
    }
}
