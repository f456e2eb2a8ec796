//! Placement of jobs in domains.
//!
//! Each piece of a stage reads all results of the preceding stage, so a chain of stages that
//! crosses domains transfers megabytes per request. Each job is therefore assigned to a home
//! domain, the one with the shortest queues. An idle target in another domain takes a stage only if
//! that transfers little data, or if the stage has been queued for about the duration of a call.

use super::{
    LARGE_RESULT_BYTES, Scheduler,
    job::{Job, RunningJob},
};
use crate::id::{DomainId, PoolId, Time};
use std::{collections::HashMap, time::Duration};

/// Largest input of a stage that may run in another domain without waiting.
const MAX_REMOTE_READ_BYTES: u64 = 200_000; // several times the results of a small stage
/// Time for which a stage is reserved for the targets of its home domain.
const HOME_DOMAIN_WAIT: Duration = Duration::from_millis(200); // most of a call
/// Time for which a stage with large results is reserved for the targets of its home domain.
const LARGE_RESULT_WAIT: Duration = Duration::from_millis(150); // cheaper to move than a chain
/// Cost reduction in seconds for the domain where the request's target is expected.
const PREFERRED_DOMAIN_BONUS: f64 = 0.25; // about the time to prefill the prompt again
/// Cost in seconds of a pool that has no targets in a domain.
const NO_TARGET_COST: f64 = 1.0; // each of its stages crosses domains

impl Scheduler {
    /// Returns the domain with the shortest queues in the job's pools, favouring its preferred
    /// domain. Ties go to the domain that sorts first.
    pub(super) fn choose_home_domain(&self, job: &Job) -> DomainId {
        let specs = job.stages.iter().filter(|spec| spec.pieces > 0);
        let pools: Vec<&PoolId> = specs.map(|spec| &spec.pool).collect();
        let mut costs: HashMap<&DomainId, f64> = HashMap::new();
        let pool_states = pools.iter().filter_map(|pool| self.pools.get(*pool));
        for stage_target in pool_states.flat_map(|pool_state| &pool_state.targets) {
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

    /// Returns the seconds that a domain's targets in `pool` need for the domain's own load.
    fn domain_drain_seconds(&self, pool: &PoolId, domain: &DomainId) -> f64 {
        let Some(pool_state) = self.pools.get(pool) else {
            return 0.0;
        };
        let Some(limits) = &pool_state.limits else {
            return 0.0;
        };
        let targets = pool_state
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
        pieces * limits.full_call_time().as_secs_f64() / (limits.max_pieces as f64 * speeds)
    }

    /// Recomputes the number of missing pieces for each pool and home domain.
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

    /// Adds the pieces of a new job to the load of its home domain.
    pub(super) fn add_load(&mut self, running: &RunningJob) {
        for spec in &running.job.stages {
            let key = (spec.pool.clone(), running.home_domain.clone());
            *self.load_by_domain.entry(key).or_default() += spec.pieces as usize;
        }
    }
}

/// Returns whether a target outside the job's home domain may run the stage.
pub(super) fn may_move(now: Time, running: &RunningJob, stage: usize) -> bool {
    let is_small = running.job.stages[stage].bytes < LARGE_RESULT_BYTES
        && running.read_bytes(stage) <= MAX_REMOTE_READ_BYTES;
    is_small || has_waited(now, running, stage)
}

/// Returns whether the stage has used up its wait for a target in the home domain.
pub(super) fn has_waited(now: Time, running: &RunningJob, stage: usize) -> bool {
    let is_large = running.job.stages[stage].bytes >= LARGE_RESULT_BYTES;
    let wait = if is_large {
        LARGE_RESULT_WAIT
    } else {
        HOME_DOMAIN_WAIT
    };
    now.saturating_sub(running.stages[stage].queued_at) >= wait
}
