//! Placement of jobs in domains.
//!
//! Each piece of a stage reads all results of the preceding stage, so a chain of stages that
//! crosses domains transfers megabytes per request. Each job is therefore assigned to a home
//! domain, the one with the shortest queues. An idle target in another domain takes a stage only if
//! that transfers little data, or if the targets of the home domain stay busy for most of a call.

use super::{
    LARGE_RESULT_BYTES, Scheduler,
    job::{Job, RunningJob},
    pool::PoolState,
};
use crate::{
    id::{DomainId, PoolId, Time},
    relay::{plan, stage::StageNumber},
};
use std::{collections::HashMap, time::Duration};

/// Largest input of a stage that may run in another domain without waiting.
const MAX_REMOTE_READ_BYTES: u64 = 200_000; // several times the results of a small stage
/// Longest wait for a target of the home domain, as a fraction of the pool's mean call time.
const MAX_HOME_WAIT: f64 = 0.6;
/// Same as [`MAX_HOME_WAIT`] for a stage with large results, which are cheaper to move than a chain.
const MAX_HOME_WAIT_LARGE: f64 = 0.45;
/// Cost reduction in seconds for the domain where the request's target is expected.
const PREFERRED_DOMAIN_BONUS: f64 = 0.25; // about the time to prefill the prompt again
/// Cost in seconds of a pool that has no targets in a domain.
const NO_TARGET_COST: f64 = 1.0; // each of its stages crosses domains

/// A pool's targets in one domain, and the pieces that wait for them.
#[derive(Clone, Debug)]
pub(super) struct Home<'a> {
    pub domain: &'a DomainId,
    /// When each target is expected to be idle, in order.
    idle_times: Vec<Time>,
    pieces_ahead: usize,
}

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
                let key = (spec.pool.clone(), running.home_domain.clone());
                *self.load_by_domain.entry(key).or_default() += stage.missing();
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

    /// Returns the targets of a pool by domain, without those whose slowdown is more than `max_slowdown`,
    /// which stages do not wait for.
    pub(super) fn home_targets<'a>(
        &self,
        now: Time,
        pool_state: &'a PoolState,
        max_slowdown: f64,
    ) -> Vec<Home<'a>> {
        let mut homes: Vec<Home<'a>> = Vec::new();
        let targets = pool_state.targets.iter();
        for stage_target in targets.filter(|target| target.slowdown <= max_slowdown) {
            let call = stage_target.call.and_then(|call| self.calls.get(&call));
            let call_end = call.map_or(now, |call| call.started + call.expected);
            let idle_at = call_end.max(stage_target.paused_until).max(now);
            let mut known = homes.iter_mut();
            match known.find(|home| *home.domain == stage_target.domain) {
                Some(home) => home.idle_times.push(idle_at),
                None => homes.push(Home {
                    domain: &stage_target.domain,
                    idle_times: vec![idle_at],
                    pieces_ahead: 0,
                }),
            }
        }
        for home in &mut homes {
            home.idle_times.sort();
        }
        homes
    }
}

impl Home<'_> {
    /// Queues the pieces of a stage behind those queued so far, and returns how long they wait for a
    /// target.
    pub(super) fn queue(
        &mut self,
        now: Time,
        pieces: usize,
        limits: &plan::BatchLimits,
    ) -> Duration {
        let calls = self.pieces_ahead / limits.max_pieces.max(1);
        self.pieces_ahead += pieces;
        let rounds = (calls / self.idle_times.len()) as u32;
        let idle_at = self.idle_times[calls % self.idle_times.len()];
        (idle_at + limits.full_call_time() * rounds).saturating_sub(now)
    }
}

impl RunningJob {
    /// Returns whether a stage does not wait for a target in its home domain. `home_wait` is absent
    /// if that domain has none; `call_time` is the expected duration of a call.
    pub(super) fn leaves_home(
        &self,
        stage: StageNumber,
        home_wait: Option<Duration>,
        call_time: Duration,
    ) -> bool {
        let fraction = if self.job.stages[stage].bytes >= LARGE_RESULT_BYTES {
            MAX_HOME_WAIT_LARGE
        } else {
            MAX_HOME_WAIT
        };
        home_wait.is_none_or(|wait| wait > call_time.mul_f64(fraction))
    }

    /// Returns whether running a stage outside of its home domain transfers little data.
    pub(super) fn reads_little(&self, stage: StageNumber) -> bool {
        self.job.stages[stage].bytes < LARGE_RESULT_BYTES
            && self.read_bytes(stage) <= MAX_REMOTE_READ_BYTES
    }
}
