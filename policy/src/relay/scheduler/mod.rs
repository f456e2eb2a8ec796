//! Pieces of all daemons, gathered into calls for the targets of stages.
//!
//! Load pattern: a stage target runs one call at a time, and a call costs far more than a piece. Many
//! daemons that each fill calls with their own pieces leave calls four fifths empty, so one
//! daemon conducts: it holds the queue of each pool, fills a call when a target falls idle, and
//! counts the room for results. In a burst of one kind of request the queue decides who is served:
//! requests that can still be on time by rank, then late ones by deadline. What can't be made any
//! more, or waits behind too much to be, is refused at once.

mod dispatch;
mod job;
mod locality;
mod message;
mod pool;
mod reply;
mod target;

pub use self::{
    job::{Handle, Job, JobId, StageSpec},
    message::{Command, Item, ItemError, PoolStats, Refusal, Reply, Source},
};

use self::{
    job::{RunningJob, StoredResult},
    pool::PoolState,
    target::StageTarget,
};
use crate::{
    id::{DomainId, PoolId, TargetId, Time},
    relay::{
        plan,
        roster::{Change, Target},
    },
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

/// Number of a call to a stage target.
pub type CallId = u64;

/// Size from which a result is made late and read in its own domain.
const LARGE_RESULT_BYTES: u64 = 500_000; // between the stages of 60 kB and of 1.5 MB that sites have
/// Failed pieces after which a job is given up.
const MAX_FAILED_PIECES: u32 = 12; // three calls' worth of a usual request's pieces
/// Calls' times after which a call is overdue.
const OVERDUE_FACTOR: f64 = 1.7; // times vary by a quarter between targets and stages
/// Time beside [`OVERDUE`] for the network and a busy daemon.
const OVERDUE_SLACK: Duration = Duration::from_millis(100);
/// Calls' times after which a call is given up.
const CALL_TIMEOUT_FACTOR: f64 = 6.0; // slow targets take four to five times as long
/// Weight of the latest call in a pool's usual time.
const CALL_TIME_WEIGHT: f64 = 0.1;

/// Queues and targets of all stages.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    jobs: BTreeMap<JobId, RunningJob>,
    pools: BTreeMap<PoolId, PoolState>,
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    /// When late jobs were looked over.
    last_review: Time,
    /// Pools for which a call may be filled now.
    dirty_pools: BTreeSet<PoolId>,
    /// Pieces of each pool that the jobs of each class and rank still need.
    missing_by_rank: BTreeMap<(u8, u8), HashMap<PoolId, usize>>,
    /// Whether results were lost whose pieces do not wait again yet.
    has_lost_results: bool,
    /// Pieces of each pool that the jobs at home in each domain still need.
    load_by_domain: HashMap<(PoolId, DomainId), usize>,
}

#[derive(Clone, Debug)]
struct Call {
    pool: PoolId,
    target: TargetId,
    items: Vec<(JobId, usize, usize)>,
    bytes: Vec<u64>,
    started: Time,
    nominal: Duration,
    expected: Duration,
    is_overdue: bool,
}

impl Scheduler {
    /// Creates a board without pools.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the limits of a plan's stage pools.
    pub fn set_plan(&mut self, plan: &plan::Plan) {
        for pool in plan.pools() {
            self.pool_state(&pool.name).limits = pool.batch_limits;
        }
    }

    /// Takes in a change of the targets.
    pub fn apply_target_change(&mut self, change: &Change) {
        match change {
            Change::Added(target) => self.add_target(target),
            Change::Draining(target) => self.remove_target(target, false),
            Change::Gone(target) => self.remove_target(target, true),
        }
    }

    /// Takes a job, or refuses it at once if its deadline can't be met.
    pub fn submit(&mut self, now: Time, job: Job, out: &mut Vec<Command>) {
        let id = job.id;
        let home_domain = self.choose_home_domain(&job);
        let mut running = RunningJob::new(job, home_domain);
        let unserved = running.job.stages.iter();
        let mut unserved = unserved.filter(|spec| spec.pieces > 0);
        if unserved.any(|spec| !self.is_served(&spec.pool)) {
            let refusal = self.refusal(now, &running, Refusal::NoTarget);
            return out.push(refusal);
        }
        running.remaining = self.expected_remaining(&running);
        if now + self.estimated_first_event(now, &running) > running.job.deadline {
            let refusal = self.refusal(now, &running, Refusal::Backlog);
            return out.push(refusal);
        }
        self.add_load(&running);
        self.add_to_rank(now, &running);
        self.jobs.insert(id, running);
        self.advance(now, id, out);
        self.dispatch_dirty_pools(now, out);
    }

    /// Forgets a job, whether its caller left or its results were read.
    pub fn release(&mut self, now: Time, id: JobId, out: &mut Vec<Command>) {
        self.drop_job(id);
        self.dispatch_dirty_pools(now, out);
    }

    /// Forgets all jobs of one daemon that are not ready.
    pub fn release_origin(&mut self, now: Time, origin: u64, out: &mut Vec<Command>) {
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(id, running)| id.origin == origin && running.ready_at.is_none());
        let jobs: Vec<JobId> = jobs.map(|(id, _)| *id).collect();
        for id in jobs {
            self.drop_job(id);
        }
        self.dispatch_dirty_pools(now, out);
    }

    /// Takes in what came of a call.
    pub fn reply(&mut self, now: Time, id: CallId, reply: Reply, out: &mut Vec<Command>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        for &(job, stage, piece) in &call.items {
            if let Some(running) = self.jobs.get_mut(&job) {
                let piece = &mut running.stages[stage].pieces[piece];
                if !call.is_overdue {
                    piece.calls = piece.calls.saturating_sub(1);
                }
            }
        }
        match reply {
            Reply::Items(items) if items.len() == call.items.len() => {
                self.apply_item_results(now, &call, items, out);
            }
            Reply::Items(_) | Reply::Lost => self.handle_failed_call(now, &call, true),
            Reply::Full | Reply::Unreached => self.handle_failed_call(now, &call, false),
            Reply::Replaced => {
                let state = self.pool_state(&call.pool);
                state
                    .targets
                    .retain(|stage_target| stage_target.id != call.target);
            }
        }
        for job in call.jobs() {
            self.advance(now, job, out);
        }
        self.dirty_pools.insert(call.pool);
        self.dispatch_dirty_pools(now, out);
    }

    /// Notes that a target has freed results.
    pub fn record_freed(
        &mut self,
        now: Time,
        target: &TargetId,
        handles: &[Handle],
        out: &mut Vec<Command>,
    ) {
        for (pool, state) in &mut self.pools {
            if let Some(stage_target) = state.target_mut(target) {
                stage_target.remove_freed(handles);
                self.dirty_pools.insert(pool.clone());
            }
        }
        self.dispatch_dirty_pools(now, out);
    }

    /// Does what the time asks for: gives up, sends calls, frees results.
    pub fn poll(&mut self, now: Time, out: &mut Vec<Command>) {
        self.requeue_overdue(now);
        if now >= self.last_review + dispatch::REVIEW_PERIOD {
            self.last_review = now;
            self.discard_expired_results(now);
            self.refuse_late(now, out);
            self.refuse_backlogged(now, out);
        }
        self.dirty_pools.extend(self.pools.keys().cloned());
        self.dispatch_dirty_pools(now, out);
    }

    /// Fills calls where something changed, and sends away what is to be freed.
    fn dispatch_dirty_pools(&mut self, now: Time, out: &mut Vec<Command>) {
        for pool in std::mem::take(&mut self.dirty_pools) {
            self.dispatch(now, &pool, out);
        }
        self.send_releases(out);
    }

    /// Returns how many pieces wait in a pool.
    pub fn backlog(&self, pool: &str) -> usize {
        let state = self.pools.get(pool);
        state.map_or(0, |state| self.count_waiting(state))
    }

    fn count_waiting(&self, state: &PoolState) -> usize {
        let waiting = state.waiting.iter();
        waiting
            .map(|&(job, stage)| self.waiting_pieces(job, stage))
            .sum()
    }

    /// Returns the state of each pool that has targets or waiting pieces.
    pub fn pool_stats(&self, now: Time) -> Vec<PoolStats> {
        let pool_stats = self.pools.iter().filter_map(|(pool, state)| {
            let limits = state.limits?;
            let busy = state
                .targets
                .iter()
                .filter(|stage_target| stage_target.call.is_some());
            let paused = state.targets.iter();
            let paused = paused
                .filter(|stage_target| stage_target.call.is_none() && !stage_target.is_idle(now));
            let room = state
                .targets
                .iter()
                .map(|stage_target| stage_target.room(&limits));
            let calls = state
                .targets
                .iter()
                .filter_map(|stage_target| stage_target.call);
            let carried = calls.filter_map(|call| Some(self.calls.get(&call)?.items.len()));
            Some(PoolStats {
                pool: pool.clone(),
                waiting: self.backlog(pool),
                targets: state.targets.len(),
                busy: busy.count(),
                carried: carried.sum(),
                paused: paused.count(),
                room: room.sum(),
                call_time: Duration::from_secs_f64(state.mean_call_seconds.unwrap_or_default()),
            })
        });
        pool_stats.collect()
    }

    /// Returns how many jobs are neither ready nor given up.
    pub fn unfinished_jobs(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|running| running.ready_at.is_none()).count()
    }

    fn pool_state(&mut self, pool: &PoolId) -> &mut PoolState {
        self.pools.entry(pool.clone()).or_default()
    }

    fn is_served(&self, pool: &str) -> bool {
        let state = self.pools.get(pool);
        state.is_some_and(|state| state.limits.is_some() && !state.targets.is_empty())
    }

    fn add_target(&mut self, target: &Target) {
        let state = self.pool_state(&target.pool);
        let known = state.targets.iter_mut();
        match known
            .into_iter()
            .find(|stage_target| stage_target.id == target.id)
        {
            Some(stage_target) if stage_target.address == target.address => {}
            Some(stage_target) => *stage_target = StageTarget::new(target),
            None => state.targets.push(StageTarget::new(target)),
        }
    }

    /// Takes a target out; if it has ended, its results are made again.
    fn remove_target(&mut self, target: &Target, has_ended: bool) {
        let state = self.pool_state(&target.pool);
        state
            .targets
            .retain(|stage_target| stage_target.id != target.id);
        if has_ended {
            self.discard_target_results(&target.id);
        }
    }

    /// Lets the pieces wait again whose results ended with their target.
    fn discard_target_results(&mut self, target: &TargetId) {
        let unready = self.jobs.values_mut();
        for running in unready.filter(|running| running.ready_at.is_none()) {
            self.has_lost_results |= running.discard_results(|result| result.target == *target);
        }
    }

    /// Lets the pieces wait again whose results have lapsed before they were read.
    fn discard_expired_results(&mut self, now: Time) {
        let mut has_any = std::mem::take(&mut self.has_lost_results);
        let unready = self.jobs.values_mut();
        for running in unready.filter(|running| running.ready_at.is_none()) {
            has_any |= running.discard_results(|result| result.expires_at <= now + FETCH_MARGIN);
        }
        if has_any {
            self.queue_all_jobs(now);
        }
    }

    fn waiting_pieces(&self, job: JobId, stage: usize) -> usize {
        let running = self.jobs.get(&job);
        running.map_or(0, |running| running.stages[stage].waiting().count())
    }

    /// Puts each stage that has inputs and waiting pieces into its pool's queue.
    fn queue_all_jobs(&mut self, now: Time) {
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in jobs {
            self.queue_job(now, job);
        }
    }

    fn queue_job(&mut self, now: Time, id: JobId) {
        let Some(running) = self.jobs.get_mut(&id) else {
            return;
        };
        if running.ready_at.is_some() {
            return;
        }
        for stage in 0..running.stages.len() {
            let is_open =
                running.has_inputs(stage) && running.stages[stage].waiting().next().is_some();
            let pool = running.job.stages[stage].pool.clone();
            if is_open
                && let Some(state) = self.pools.get_mut(&pool)
                && !running.stages[stage].is_queued
            {
                running.stages[stage].is_queued = true;
                running.stages[stage].queued_at = now;
                state.waiting.push((id, stage));
                self.dirty_pools.insert(pool);
            }
        }
    }

    /// Queues what a job can do next, or hands it back if all is made.
    fn advance(&mut self, now: Time, id: JobId, out: &mut Vec<Command>) {
        let Some(running) = self.jobs.get_mut(&id) else {
            return;
        };
        if running.ready_at.is_some() {
            return;
        }
        if running.failures > MAX_FAILED_PIECES {
            return self.refuse(now, id, Refusal::Failed, out);
        }
        if running.stages.iter().all(job::StageState::is_done) {
            running.ready_at = Some(now);
            out.push(Command::Ready {
                job: id,
                handles: running.final_results(),
                domain: running.large_result_domain(),
            });
        }
        self.free_inputs(id);
        self.update_remaining(id);
        self.queue_job(now, id);
    }

    /// Frees the results of stages that all of their readers have read.
    fn free_inputs(&mut self, id: JobId) {
        let Some(running) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut to_free = Vec::new();
        for stage in 0..running.stages.len() {
            let specs = running.job.stages.iter().enumerate();
            let mut readers = specs.filter(|(_, spec)| spec.after.contains(&stage));
            let is_read = !running.is_final(stage)
                && readers.all(|(reader, _)| running.stages[reader].is_done());
            if is_read && !running.stages[stage].is_freed {
                running.stages[stage].is_freed = true;
                let pool = running.job.stages[stage].pool.clone();
                let pieces = running.stages[stage].pieces.iter();
                let result = pieces.filter_map(|piece| piece.result.clone());
                to_free.extend(result.map(|result| (pool.clone(), result)));
            }
        }
        self.release_results(to_free);
    }

    fn release_results(&mut self, to_free: Vec<(PoolId, StoredResult)>) {
        for (pool, result) in to_free {
            let state = self.pools.get_mut(&pool);
            if let Some(stage_target) = state.and_then(|state| state.target_mut(&result.target)) {
                stage_target.release(&result.handle);
            }
        }
    }

    fn drop_job(&mut self, id: JobId) {
        let Some(running) = self.jobs.remove(&id) else {
            return;
        };
        let stages = running.job.stages.iter().zip(&running.stages);
        let to_free = stages
            .filter(|(_, stage)| !stage.is_freed)
            .flat_map(|(spec, stage)| {
                let result = stage.pieces.iter().filter_map(|piece| piece.result.clone());
                result.map(|result| (spec.pool.clone(), result))
            });
        let to_free = to_free.collect();
        self.release_results(to_free);
        for state in self.pools.values_mut() {
            state.waiting.retain(|&(job, _)| job != id);
        }
    }

    fn refuse(&mut self, now: Time, id: JobId, reason: Refusal, out: &mut Vec<Command>) {
        let Some(running) = self.jobs.get(&id) else {
            return;
        };
        let refusal = self.refusal(now, running, reason);
        self.drop_job(id);
        out.push(refusal);
    }

    /// Returns the refusal of a job with the times that speak for it.
    fn refusal(&self, now: Time, running: &RunningJob, reason: Refusal) -> Command {
        let retry_after = match reason {
            Refusal::NoTarget => NO_TARGET_RETRY_AFTER,
            Refusal::Backlog | Refusal::Late | Refusal::Failed => self.drain_time(running),
        };
        Command::Refuse {
            job: running.job.id,
            request: running.job.request.clone(),
            reason,
            expected: self.estimated_first_event(now, running),
            left: running.job.deadline.saturating_sub(now),
            retry_after,
        }
    }
}

/// Retry time where a pool has no target.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1); // a replaced target registers within about a second
/// Time in which a target reads its inputs.
const FETCH_MARGIN: Duration = Duration::from_millis(50); // the largest take some milliseconds on its link
/// Time for which room that a target lacked counts as taken.
const ROOM_RESERVATION: Duration = Duration::from_millis(500); // results are read within about this time

impl Call {
    fn jobs(&self) -> Vec<JobId> {
        let mut jobs: Vec<JobId> = self.items.iter().map(|&(job, _, _)| job).collect();
        jobs.dedup();
        jobs
    }
}
