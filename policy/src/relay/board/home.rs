//! Which domain makes the pieces of a job.
//!
//! Load pattern: each piece of a stage reads all results of the stage before, so a chain that crosses
//! domains moves megabytes a request. A job is at home in the domain where its queues are
//! shortest, and an idle target elsewhere takes a stage of it only if that moves little, or the
//! stage has waited for about a call.

use super::{
    Board, HEAVY_BYTES,
    job::{Job, Running},
};
use crate::id::{DomainId, PoolId, Time};
use std::{collections::HashMap, time::Duration};

/// Bytes up to which a stage is made in another domain at once.
const CHEAP_BYTES: u64 = 200_000; // the results of a small stage, some times over
/// Time for which a stage waits for the targets of its home.
const HOME_WAIT: Duration = Duration::from_millis(200); // most of a call
/// Time for which a large result waits for the targets of its home.
const HEAVY_WAIT: Duration = Duration::from_millis(150); // moving it costs less than a chain
/// Advantage of the domain that the request's target is expected in.
const HINT_ADVANTAGE: f64 = 0.25; // seconds; reading the prompt anew takes about as long
/// Seconds that a pool without targets in a domain counts for.
const MISSING_COST: f64 = 1.0; // each of its stages crosses domains

impl Board {
    /// Returns the domain in which a job's pools have the shortest queues.
    pub(super) fn choose_home(&self, job: &Job) -> DomainId {
        let needs = job.stages.iter().filter(|need| need.pieces > 0);
        let pools: Vec<&PoolId> = needs.map(|need| &need.pool).collect();
        let mut costs: HashMap<&DomainId, f64> = HashMap::new();
        let benches = pools.iter().filter_map(|pool| self.pools.get(*pool));
        for press in benches.flat_map(|bench| &bench.presses) {
            costs.entry(&press.domain).or_default();
        }
        for (domain, cost) in &mut costs {
            for pool in &pools {
                *cost += self.domain_wait(pool, domain);
            }
            if job.hint.as_ref() == Some(*domain) {
                *cost -= HINT_ADVANTAGE;
            }
        }
        let best = costs
            .into_iter()
            .min_by(|(a, cost), (b, other)| cost.total_cmp(other).then(a.cmp(b)));
        best.map(|(domain, _)| domain.clone()).unwrap_or_default()
    }

    /// Returns the seconds in which a domain's targets of a pool make what is at home there.
    fn domain_wait(&self, pool: &PoolId, domain: &DomainId) -> f64 {
        let Some(bench) = self.pools.get(pool) else {
            return 0.0;
        };
        let Some(limits) = &bench.limits else {
            return 0.0;
        };
        let presses = bench.presses.iter().filter(|press| press.domain == *domain);
        let paces: f64 = presses.map(|press| 1.0 / press.pace.max(0.1)).sum();
        if paces <= 0.0 {
            return MISSING_COST;
        }
        let load = self.load.get(&(pool.clone(), domain.clone()));
        let pieces = load.copied().unwrap_or_default() as f64;
        pieces * limits.full().as_secs_f64() / (limits.batch as f64 * paces)
    }

    /// Counts anew the pieces that each domain has to make.
    pub(super) fn count_load(&mut self) {
        self.load.clear();
        for running in self.jobs.values().filter(|running| running.ready.is_none()) {
            for (need, stage) in running.job.stages.iter().zip(&running.stages) {
                let missing = stage.pieces.iter().filter(|piece| piece.made.is_none());
                let key = (need.pool.clone(), running.home.clone());
                *self.load.entry(key).or_default() += missing.count();
            }
        }
    }

    /// Adds the pieces of a new job to those of its home.
    pub(super) fn add_load(&mut self, running: &Running) {
        for need in &running.job.stages {
            let key = (need.pool.clone(), running.home.clone());
            *self.load.entry(key).or_default() += need.pieces as usize;
        }
    }
}

/// Returns whether a target may make a stage of a job that is at home elsewhere.
pub(super) fn may_move(now: Time, running: &Running, stage: usize) -> bool {
    let is_cheap =
        running.job.stages[stage].bytes < HEAVY_BYTES && running.read_bytes(stage) <= CHEAP_BYTES;
    is_cheap || has_waited(now, running, stage)
}

/// Returns whether a stage has waited for the targets of its home long enough.
pub(super) fn has_waited(now: Time, running: &Running, stage: usize) -> bool {
    let is_heavy = running.job.stages[stage].bytes >= HEAVY_BYTES;
    let wait = if is_heavy { HEAVY_WAIT } else { HOME_WAIT };
    now.saturating_sub(running.stages[stage].since) >= wait
}
