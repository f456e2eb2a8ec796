//! Which domain makes the pieces of a job.
//!
//! Load pattern: each piece of a stage reads all results of the stage before, so a chain that crosses
//! domains moves megabytes a request. A job is at home in the domain where its queues are
//! shortest, and an idle target elsewhere takes a stage of it only if that moves little, or the
//! stage has waited for about a call.

use super::{
    LARGE_RESULT_BYTES, Scheduler,
    job::{Job, RunningJob},
};
use crate::id::{DomainId, PoolId, Time};
use std::{collections::HashMap, time::Duration};

/// Bytes up to which a stage is made in another domain at once.
const MAX_REMOTE_READ_BYTES: u64 = 200_000; // the results of a small stage, some times over
/// Time for which a stage waits for the targets of its home.
const HOME_DOMAIN_WAIT: Duration = Duration::from_millis(200); // most of a call
/// Time for which a large result waits for the targets of its home.
const LARGE_RESULT_WAIT: Duration = Duration::from_millis(150); // moving it costs less than a chain
/// Advantage of the domain that the request's target is expected in.
const PREFERRED_DOMAIN_BONUS: f64 = 0.25; // seconds; reading the prompt anew takes about as long
/// Seconds that a pool without targets in a domain counts for.
const NO_TARGET_COST: f64 = 1.0; // each of its stages crosses domains

impl Scheduler {
    /// Returns the domain in which a job's pools have the shortest queues.
    pub(super) fn choose_home_domain(&self, job: &Job) -> DomainId {
        let specs = job.stages.iter().filter(|spec| spec.pieces > 0);
        let pools: Vec<&PoolId> = specs.map(|spec| &spec.pool).collect();
        let mut costs: HashMap<&DomainId, f64> = HashMap::new();
        let states = pools.iter().filter_map(|pool| self.pools.get(*pool));
        for stage_target in states.flat_map(|state| &state.targets) {
            costs.entry(&stage_target.domain).or_default();
        }
        for (domain, cost) in &mut costs {
            for pool in &pools {
                *cost += self.domain_drain_seconds(pool, domain);
            }
            if job.preferred_domain.as_ref() == Some(*domain) {
                *cost -= PREFERRED_DOMAIN_BONUS;
            }
        }
        let best = costs
            .into_iter()
            .min_by(|(a, cost), (b, other)| cost.total_cmp(other).then(a.cmp(b)));
        best.map(|(domain, _)| domain.clone()).unwrap_or_default()
    }

    /// Returns the seconds in which a domain's targets of a pool make what is at home there.
    fn domain_drain_seconds(&self, pool: &PoolId, domain: &DomainId) -> f64 {
        let Some(state) = self.pools.get(pool) else {
            return 0.0;
        };
        let Some(limits) = &state.limits else {
            return 0.0;
        };
        let targets = state
            .targets
            .iter()
            .filter(|stage_target| stage_target.domain == *domain);
        let speeds: f64 = targets
            .map(|stage_target| 1.0 / stage_target.slowdown.max(0.1))
            .sum();
        if speeds <= 0.0 {
            return NO_TARGET_COST;
        }
        let load = self.load_by_domain.get(&(pool.clone(), domain.clone()));
        let pieces = load.copied().unwrap_or_default() as f64;
        pieces * limits.full_call_time().as_secs_f64() / (limits.batch as f64 * speeds)
    }

    /// Counts anew the pieces that each domain has to make.
    pub(super) fn recount_load(&mut self) {
        self.load_by_domain.clear();
        for running in self
            .jobs
            .values()
            .filter(|running| running.ready_at.is_none())
        {
            for (spec, stage) in running.job.stages.iter().zip(&running.stages) {
                let missing = stage.pieces.iter().filter(|piece| piece.result.is_none());
                let key = (spec.pool.clone(), running.home_domain.clone());
                *self.load_by_domain.entry(key).or_default() += missing.count();
            }
        }
    }

    /// Adds the pieces of a new job to those of its home.
    pub(super) fn add_load(&mut self, running: &RunningJob) {
        for spec in &running.job.stages {
            let key = (spec.pool.clone(), running.home_domain.clone());
            *self.load_by_domain.entry(key).or_default() += spec.pieces as usize;
        }
    }
}

/// Returns whether a target may make a stage of a job that is at home elsewhere.
pub(super) fn may_move(now: Time, running: &RunningJob, stage: usize) -> bool {
    let is_small = running.job.stages[stage].bytes < LARGE_RESULT_BYTES
        && running.read_bytes(stage) <= MAX_REMOTE_READ_BYTES;
    is_small || has_waited(now, running, stage)
}

/// Returns whether a stage has waited for the targets of its home long enough.
pub(super) fn has_waited(now: Time, running: &RunningJob, stage: usize) -> bool {
    let is_large = running.job.stages[stage].bytes >= LARGE_RESULT_BYTES;
    let wait = if is_large {
        LARGE_RESULT_WAIT
    } else {
        HOME_DOMAIN_WAIT
    };
    now.saturating_sub(running.stages[stage].queued_at) >= wait
}
