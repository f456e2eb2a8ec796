//! Rate at which jobs are begun.
//!
//! The stages of a job run in several pools. If first stages ran whenever their own pool has an idle target,
//! results would pile up before the slowest pool of the chain and take memory there. A stage is therefore
//! started only while the work that is on its way to each later pool of its job is less than that pool needs to
//! stay busy until the results arrive. Work counts from the start of the call that makes its input, not from
//! the time at which it can be sent: otherwise nothing seems to be on its way for the duration of a call, too
//! much is started at once, and the pools are alternately idle and overloaded.

use super::{PoolState, Scheduler, job::RunningJob};
use crate::{
    id::PoolId,
    relay::stage::{ByStage, StageNumber},
};

/// Work that waits at a pool when it arrives as expected, in mean calls of the pool. It covers calls that
/// start later than expected and targets that are slower.
const RESERVE_CALLS: f64 = 1.2;

/// Work on its way to each pool.
#[derive(Debug)]
pub(super) struct Flow<'a> {
    pools: Vec<PoolFlow<'a>>,
}

/// Work on its way to a pool, in seconds.
#[derive(Debug)]
struct PoolFlow<'a> {
    pool: &'a PoolId,
    seconds_per_piece: f64,
    call_time: f64,
    /// Pieces whose inputs are made or being made.
    near: f64,
    /// All pieces of jobs that have been begun.
    begun: f64,
}

impl Scheduler {
    /// Returns the work on its way to each pool.
    pub(super) fn flow(&self) -> Flow<'_> {
        let pools = self.pools.iter().map(|(pool, pool_state)| PoolFlow {
            pool,
            seconds_per_piece: pool_state.usual_seconds_per_piece(),
            call_time: PoolState::expected_call_time(pool_state).as_secs_f64(),
            near: 0.0,
            begun: 0.0,
        });
        let mut flow = Flow {
            pools: pools.collect(),
        };
        let begun = self.jobs.values();
        for running in begun.filter(|running| running.is_begun && running.ready_at.is_none()) {
            flow.add(running);
        }
        flow
    }
}

impl<'a> Flow<'a> {
    fn add(&mut self, running: &RunningJob) {
        for (stage, spec) in running.job.stages.numbered() {
            let waiting = running.stages[stage].waiting();
            if waiting == 0 || spec.after.is_empty() {
                continue;
            }
            let Some(pool) = self.pool_mut(&spec.pool) else {
                continue;
            };
            let seconds = waiting as f64 * pool.seconds_per_piece;
            pool.begun += seconds;
            let mut after = spec.after.iter();
            if after.all(|&from| running.stages[from].waiting() == 0) {
                pool.near += seconds;
            }
        }
    }

    fn pool(&self, pool: &PoolId) -> Option<&PoolFlow<'a>> {
        self.pools.iter().find(|known| known.pool == pool)
    }

    fn pool_mut(&mut self, pool: &PoolId) -> Option<&mut PoolFlow<'a>> {
        self.pools.iter_mut().find(|known| known.pool == pool)
    }

    /// Returns whether a queued stage may start, and if so adds the work that follows from it.
    pub fn admit(&mut self, running: &RunningJob, stage: StageNumber) -> bool {
        if !self.has_room(running, stage) {
            return false;
        }
        for (later, spec) in running.job.stages.numbered() {
            let is_reader = spec.after.contains(&stage);
            let waiting = running.stages[later].waiting() as f64;
            if let Some(pool) = self.pool_mut(&spec.pool) {
                let seconds = waiting * pool.seconds_per_piece;
                if is_reader {
                    pool.near += seconds;
                }
                if !running.is_begun && !spec.after.is_empty() {
                    pool.begun += seconds;
                }
            }
        }
        true
    }

    /// Returns whether the pools of the stages that follow need more work when it arrives.
    fn has_room(&self, running: &RunningJob, stage: StageNumber) -> bool {
        let stages = &running.job.stages;
        // Times at which each stage ends.
        let mut ends: ByStage<f64> = std::iter::repeat_n(0.0, stages.len()).collect();
        for later in stages.in_order() {
            let spec = &stages[later];
            let inputs = spec.after.iter().map(|&from| ends[from]);
            let arrival = inputs.fold(0.0, f64::max);
            let Some(pool) = self.pool(&spec.pool) else {
                continue;
            };
            let follows = arrival > 0.0 && running.stages[later].waiting() > 0;
            if later == stage || follows {
                ends[later] = arrival + pool.call_time;
            }
            let most = arrival + pool.call_time * RESERVE_CALLS;
            let is_full = if spec.after.contains(&stage) {
                pool.near > most
            } else {
                !running.is_begun && pool.begun > most
            };
            if follows && is_full {
                return false;
            }
        }
        true
    }
}
