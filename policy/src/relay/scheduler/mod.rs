//! Central batch scheduler that combines the pieces of all daemons into calls to stage targets.
//!
//! A stage target runs one call at a time, and the fixed cost of a call is far higher than the
//! cost of a piece. If each of many daemons filled calls with its own pieces only, calls would be
//! 80% empty. One daemon, the leader, therefore keeps the queue of each pool, fills a call when a
//! target becomes idle, and accounts for the memory that results take on the targets.
//!
//! In a burst of one kind of request, a job is accepted if it is expected to be on time behind the work
//! accepted before (`admission`). First come jobs that have been begun, then those that can still meet their
//! objective, then late ones (`precedence`). Jobs are begun at the rate of the slowest pool of their stages
//! (`flow`). Jobs that can no longer meet their deadline, or have not been begun and have too much work ahead of
//! them to do so, are refused at once.

mod admission;
mod call;
mod dispatch;
mod flow;
mod job;
mod locality;
mod message;
mod pool;
mod precedence;
mod refusals;
mod reply;
mod shares;
mod stages;
mod target;
mod throttle;
mod workspaces;

pub use self::{
    job::{Handle, Job, JobId, RequestIdentity},
    message::{Command, Item, ItemError, PoolStats, Refusal, Reply, Source},
    stages::{StageSpec, Stages, renumber},
    throttle::Throttle,
};

use self::{
    admission::Accepted,
    call::{PieceRef, StageRef},
    job::{RunningJob, StoredResult},
    pool::PoolState,
    precedence::precedence,
    refusals::Refusals,
    target::StageTarget,
};
use crate::{
    id::{DomainId, PoolId, TargetId, Time},
    relay::{
        plan,
        rate::Rate,
        registry::{Target, TargetChange},
    },
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

/// Identifies a call to a stage target; unique within one scheduler.
pub type CallId = u64;

/// Size from which a result is computed as late as possible and read in its own domain.
const LARGE_RESULT_BYTES: u64 = 500_000; // stages of the sites have results of 60 kB or 1.5 MB
/// Number of failed pieces after which a job is refused.
const MAX_FAILED_PIECES: u32 = 12; // three calls with the pieces of a typical request
/// Multiple of its expected duration after which a call is overdue.
const OVERDUE_FACTOR: f64 = 1.7; // durations vary by 25% between targets and stages
/// Allowance for network latency and a busy daemon, in addition to [`OVERDUE_FACTOR`].
const OVERDUE_SLACK: Duration = Duration::from_millis(100);
/// Multiple of its expected duration after which a call times out.
const CALL_TIMEOUT_FACTOR: f64 = 6.0; // slow targets take four to five times as long

/// Queues, jobs and calls of all pools that serve stages.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    jobs: BTreeMap<JobId, RunningJob>,
    pools: BTreeMap<PoolId, PoolState>,
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    /// When jobs were last checked against their deadlines.
    last_review: Time,
    /// Pools to be dispatched because a target, their queue or their memory changed.
    dirty_pools: BTreeSet<PoolId>,
    /// Missing pieces of the accepted jobs.
    accepted: Accepted,
    /// Refused requests whose callers may come back.
    refusals: Refusals,
    /// Pools whose last targets accept no new work, and whose jobs have not been refused yet.
    abandoned_pools: BTreeSet<PoolId>,
    /// Whether results were lost whose pieces have not been queued again yet.
    has_lost_results: bool,
    /// Missing pieces by pool and home domain of their jobs.
    load_by_domain: HashMap<(PoolId, DomainId), usize>,
    /// Jobs that were refused so that others get their share.
    share_refusals: u64,
    /// Domains whose targets get no calls and no releases of results.
    evacuated_domains: BTreeSet<DomainId>,
}

/// A call in progress.
#[derive(Clone, Debug)]
struct Call {
    pool: PoolId,
    target: TargetId,
    items: Vec<PieceRef>,
    /// Approximate size of the result of each item.
    bytes: Vec<u64>,
    started: Time,
    /// Duration by the limits of the pool.
    nominal: Duration,
    /// Duration that takes the target's slowdown into account.
    expected: Duration,
    is_overdue: bool,
}

impl Scheduler {
    /// Creates a scheduler without pools.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the batch limits of the plan's pools.
    pub fn set_plan(&mut self, plan: &plan::Plan) {
        for pool in plan.pools() {
            self.pool_state(&pool.name).limits = pool.batch_limits;
        }
    }

    /// Applies a change to the set of targets.
    pub fn apply_target_change(&mut self, change: &TargetChange) {
        match change {
            TargetChange::Added(target) => self.add_target(target),
            TargetChange::Draining(target) => self.remove_target(target, false),
            TargetChange::Gone(target) => self.remove_target(target, true),
        }
    }

    /// Accepts a job, or refuses it at once if a pool has no target or the deadline can't be met.
    pub fn submit(&mut self, now: Time, mut job: Job, out: &mut Vec<Command>) {
        let id = job.id;
        let returned = self.refusals.take(now, job.identity);
        if let Some(returned) = returned {
            job.objective = job.objective.min(returned.objective);
        }
        self.review_call_times(now);
        let home_domain = self.choose_home_domain(&job);
        let mut running = RunningJob::new(now, job, home_domain);
        if let Some(returned) = returned {
            running.kind = returned.kind;
        }
        let unserved = running.job.stages.iter();
        let mut unserved = unserved.filter(|spec| spec.pieces > 0);
        if unserved.any(|spec| !self.is_served(&spec.pool)) {
            let refusal = self.refusal(now, &running, Refusal::NoTarget);
            return out.push(refusal);
        }
        running.remaining = self.expected_remaining(&running);
        running.on_time_margin = self.on_time_margin(&running.job);
        if !self.admit(now, &running, returned) {
            let refusal = self.refusal(now, &running, Refusal::Backlog);
            return out.push(refusal);
        }
        self.add_load(&running);
        self.accepted.add(precedence(now, &running), &running);
        self.jobs.insert(id, running);
        self.advance(now, id, out);
    }

    fn review_call_times(&mut self, now: Time) {
        for pool_state in self.pools.values_mut() {
            pool_state.review_call_time(now);
        }
    }

    /// Drops all jobs of one daemon that are not ready.
    pub fn release_origin(&mut self, origin: u64) {
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(id, running)| id.origin == origin && running.ready_at.is_none());
        let jobs: Vec<JobId> = jobs.map(|(id, _)| *id).collect();
        for id in jobs {
            self.release(id);
        }
    }

    /// Refuses all jobs that are not ready and forgets all calls, as after a fault of the scheduler itself.
    /// Targets count as idle, and their memory as taken by the results of the calls until these expire.
    pub fn abandon_jobs(&mut self, now: Time, out: &mut Vec<Command>) {
        for (_, call) in std::mem::take(&mut self.calls) {
            let pool_state = self.pool_state(&call.pool);
            let result_ttl = pool_state.limits.map(|limits| limits.result_ttl);
            if let Some(stage_target) = pool_state.target_mut(&call.target) {
                let expires_at = call.started + call.expected + result_ttl.unwrap_or_default();
                stage_target.reserve(call.bytes.iter().sum(), expires_at);
            }
        }
        for pool_state in self.pools.values_mut() {
            pool_state.sorted_front = None;
            for stage_target in pool_state.all_mut() {
                stage_target.call = None;
            }
        }
        let jobs = self.jobs.values();
        let unready = jobs.filter(|running| running.ready_at.is_none());
        let unready: Vec<JobId> = unready.map(|running| running.job.id).collect();
        for job in unready {
            self.refuse(now, job, Refusal::Failed, out);
        }
        self.accepted.clear(now);
        self.dirty_pools.clear();
    }

    /// Handles the reply to a call. Replies to unknown calls are ignored.
    pub fn reply(&mut self, now: Time, id: CallId, reply: Reply, out: &mut Vec<Command>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        for &(job, stage, piece) in &call.items {
            if let Some(running) = self.jobs.get_mut(&job)
                && !call.is_overdue
            {
                running.stages[stage].end_call(piece);
            }
        }
        match reply {
            Reply::Items(items) if items.len() == call.items.len() => {
                self.apply_item_results(now, &call, items, out);
            }
            Reply::Items(_) | Reply::Lost => self.handle_failed_call(now, &call, true),
            Reply::Full | Reply::Unreached => self.handle_failed_call(now, &call, false),
            Reply::Replaced => {
                self.pool_state(&call.pool).remove_target(&call.target);
            }
        }
        for job in call.jobs() {
            self.advance(now, job, out);
        }
        self.dirty_pools.insert(call.pool);
    }

    /// Records that a target has freed results.
    pub fn record_freed(&mut self, target: &TargetId, handles: &[Handle]) {
        for (pool, pool_state) in &mut self.pools {
            if let Some(stage_target) = pool_state.target_mut(target) {
                stage_target.remove_freed(handles);
                self.dirty_pools.insert(pool.clone());
            }
        }
    }

    /// Performs time-based work: requeues overdue calls, refuses jobs and drops expired results.
    pub fn poll(&mut self, now: Time, out: &mut Vec<Command>) {
        self.requeue_overdue(now);
        self.refuse_abandoned(now, out);
        if now >= self.last_review + dispatch::REVIEW_PERIOD {
            self.last_review = now;
            self.review_call_times(now);
            self.prune_queues();
            self.review_throughput(now);
            self.discard_expired_results(now);
            self.refuse_late(now, out);
            self.refuse_backlogged(now, out);
        }
        self.dirty_pools.extend(self.pools.keys().cloned());
    }

    /// Sends calls to the idle targets of the pools that changed since the last time, and emits pending
    /// releases of results. To be called after each event, or after several of them: see [`Throttle`].
    pub fn dispatch_calls(&mut self, now: Time, out: &mut Vec<Command>) {
        for pool in std::mem::take(&mut self.dirty_pools) {
            self.dispatch(now, &pool, out);
        }
        self.send_releases(now, out);
    }

    /// Returns the number of queued pieces in a pool.
    pub fn backlog(&self, pool: &str) -> usize {
        let pool_state = self.pools.get(pool);
        pool_state.map_or(0, |pool_state| self.count_waiting(pool_state))
    }

    fn count_waiting(&self, pool_state: &PoolState) -> usize {
        let waiting = pool_state.waiting.iter();
        waiting.map(|&stage| self.waiting_pieces(stage)).sum()
    }

    /// Sends a target nothing until the end of a pause that it asked for.
    pub fn pause_target(&mut self, target: &Target, end: Time) {
        let pool_state = self.pools.get_mut(&target.pool);
        if let Some(paused) = pool_state.and_then(|pool_state| pool_state.target_mut(&target.id)) {
            paused.closed_until = paused.closed_until.max(end);
        }
    }

    /// Sends a target no more than `rate` requests a second: calls and releases of results.
    pub fn limit_target(&mut self, now: Time, target: &Target, rate: Option<Rate>) {
        let pool_state = self.pools.get_mut(&target.pool);
        if let Some(limited) = pool_state.and_then(|pool_state| pool_state.target_mut(&target.id)) {
            limited.set_rate(now, rate);
        }
    }

    /// Discards what is saved up of the rates of targets, as long as another daemon leads.
    pub fn hold_rates(&mut self, now: Time) {
        let targets = self.pools.values_mut();
        let targets = targets.flat_map(PoolState::all_mut);
        for pace in targets.filter_map(|stage_target| stage_target.pace.as_mut()) {
            pace.hold(now);
        }
    }

    /// Forgets all failed calls, which were those of this daemon's network.
    pub fn clear_failures(&mut self) {
        for (pool, pool_state) in &mut self.pools {
            for stage_target in pool_state.all_mut() {
                stage_target.clear_failures();
            }
            self.dirty_pools.insert(pool.clone());
        }
    }

    /// Returns statistics of each pool that serves stages.
    pub fn pool_stats(&self, now: Time) -> Vec<PoolStats> {
        let pool_stats = self.pools.iter().filter_map(|(pool, pool_state)| {
            let limits = pool_state.limits?;
            let busy = pool_state
                .targets
                .iter()
                .filter(|stage_target| stage_target.call.is_some());
            let paused = pool_state.targets.iter();
            let paused = paused
                .filter(|stage_target| stage_target.call.is_none() && !stage_target.is_idle(now));
            let max_slowdown = self.max_slowdown(pool_state, &limits);
            let targets = pool_state.targets.iter();
            let slow = targets.filter(|stage_target| stage_target.slowdown > max_slowdown);
            let room = pool_state
                .targets
                .iter()
                .map(|stage_target| stage_target.room(&limits));
            let calls = pool_state
                .targets
                .iter()
                .filter_map(|stage_target| stage_target.call);
            let carried = calls.filter_map(|call| Some(self.calls.get(&call)?.items.len()));
            Some(PoolStats {
                pool: pool.clone(),
                waiting: self.backlog(pool),
                targets: pool_state.targets.len(),
                busy: busy.count(),
                carried: carried.sum(),
                paused: paused.count(),
                slow: slow.count(),
                room: room.sum(),
                call_time: Duration::from_secs_f64(
                    pool_state.mean_call_seconds.unwrap_or_default(),
                ),
            })
        });
        pool_stats.collect()
    }

    /// Returns the number of jobs that are not ready.
    pub fn unfinished_jobs(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|running| running.ready_at.is_none()).count()
    }

    /// Returns how many jobs were refused, although there was room, so that other kinds and workspaces get their share.
    pub fn share_refusals(&self) -> u64 {
        self.share_refusals
    }

    fn pool_state(&mut self, pool: &PoolId) -> &mut PoolState {
        self.pools.entry(pool.clone()).or_default()
    }

    fn is_served(&self, pool: &str) -> bool {
        let pool_state = self.pools.get(pool);
        pool_state
            .is_some_and(|pool_state| pool_state.limits.is_some() && !pool_state.targets.is_empty())
    }

    fn add_target(&mut self, target: &Target) {
        let is_evacuated = self.evacuated_domains.contains(&target.domain);
        let pool_state = self.pool_state(&target.pool);
        let Some(stage_target) = pool_state.target_mut(&target.id) else {
            return pool_state.add_target(StageTarget::new(target), is_evacuated);
        };
        let has_moved = stage_target.domain != target.domain;
        if stage_target.address == target.address
            && stage_target.started_unix_ms == target.started_unix_ms
            && !has_moved
        {
            return;
        }
        // It holds nothing of before.
        *stage_target = StageTarget::new(target);
        if has_moved {
            pool_state.remove_target(&target.id);
            pool_state.add_target(StageTarget::new(target), is_evacuated);
        }
        self.discard_target_results(&target.id);
    }

    /// Removes a target. If it has ended, its results are lost and computed again.
    fn remove_target(&mut self, target: &Target, has_ended: bool) {
        let is_last = self.pool_state(&target.pool).remove_target(&target.id);
        if has_ended {
            self.discard_target_results(&target.id);
        } else if is_last {
            self.abandoned_pools.insert(target.pool.clone());
        }
    }

    /// Sets which domains are evacuated. Their targets get no calls and no releases of results, and no
    /// stage waits for them. Calls in progress go on, and stored results are read from there.
    pub fn set_evacuated(&mut self, now: Time, domains: BTreeSet<DomainId>) {
        for (pool, pool_state) in &mut self.pools {
            if pool_state.set_evacuated(now, &domains) {
                self.abandoned_pools.insert(pool.clone());
            }
            self.dirty_pools.insert(pool.clone());
        }
        self.evacuated_domains = domains;
    }

    /// Discards the results of a target that has ended.
    fn discard_target_results(&mut self, target: &TargetId) {
        let unready = self.jobs.values_mut();
        for running in unready.filter(|running| running.ready_at.is_none()) {
            self.has_lost_results |= running.discard_results(|result| result.target == *target);
        }
    }

    /// Discards results that expire before they can be read, and queues all pieces whose results
    /// were lost.
    fn discard_expired_results(&mut self, now: Time) {
        let mut has_any = std::mem::take(&mut self.has_lost_results);
        let unready = self.jobs.values_mut();
        for running in unready.filter(|running| running.ready_at.is_none()) {
            has_any |= running.discard_results(|result| result.expires_at <= now + FETCH_MARGIN);
        }
        if has_any {
            self.queue_all_jobs();
        }
    }

    fn waiting_pieces(&self, (job, stage): StageRef) -> usize {
        let running = self.jobs.get(&job);
        running.map_or(0, |running| running.stages[stage].waiting())
    }

    /// Queues each stage that has its inputs and pieces to be sent.
    fn queue_all_jobs(&mut self) {
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in jobs {
            self.queue_job(job);
        }
    }

    /// Removes the stages from the queues whose pieces were computed meanwhile.
    fn prune_queues(&mut self) {
        let jobs = &mut self.jobs;
        for pool_state in self.pools.values_mut() {
            pool_state.waiting.retain(|(job, stage)| {
                let running = jobs.get_mut(job);
                running.is_some_and(|running| running.stages[*stage].review_queued())
            });
        }
    }

    fn queue_job(&mut self, id: JobId) {
        let Some(running) = self.jobs.get_mut(&id) else {
            return;
        };
        if running.ready_at.is_some() {
            return;
        }
        for stage in running.stages.keys() {
            let is_open = running.has_inputs(stage) && running.stages[stage].waiting() > 0;
            let pool = running.job.stages[stage].pool.clone();
            if is_open
                && let Some(pool_state) = self.pools.get_mut(&pool)
                && !running.stages[stage].is_queued
            {
                running.stages[stage].is_queued = true;
                pool_state.waiting.push((id, stage));
                self.dirty_pools.insert(pool);
            }
        }
    }

    /// Queues the next stages of a job, or reports it as ready once all results are stored.
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
        self.queue_job(id);
    }

    /// Releases the results of stages whose readers are all done.
    fn free_inputs(&mut self, id: JobId) {
        let Some(running) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut to_free = Vec::new();
        for stage in running.stages.keys() {
            let specs = running.job.stages.numbered();
            let mut readers = specs.filter(|(_, spec)| spec.after.contains(&stage));
            let is_read = !running.is_final(stage)
                && readers.all(|(reader, _)| running.stages[reader].is_done());
            if is_read && !running.stages[stage].is_freed {
                running.stages[stage].is_freed = true;
                let pool = running.job.stages[stage].pool.clone();
                let results = running.stages[stage].results().cloned();
                to_free.extend(results.map(|result| (pool.clone(), result)));
            }
        }
        self.release_results(to_free);
    }

    fn release_results(&mut self, to_free: Vec<(PoolId, StoredResult)>) {
        for (pool, result) in to_free {
            let pool_state = self.pools.get_mut(&pool);
            if let Some(stage_target) =
                pool_state.and_then(|pool_state| pool_state.target_mut(&result.target))
            {
                stage_target.release(&result.handle);
            }
        }
    }

    /// Drops a job because its caller disconnected or its results were read.
    pub fn release(&mut self, id: JobId) {
        let Some(running) = self.jobs.remove(&id) else {
            return;
        };
        let stages = running.job.stages.iter().zip(&running.stages);
        let to_free = stages
            .filter(|(_, stage)| !stage.is_freed)
            .flat_map(|(spec, stage)| {
                let results = stage.results().cloned();
                results.map(|result| (spec.pool.clone(), result))
            });
        let to_free = to_free.collect();
        self.release_results(to_free);
        for pool_state in self.pools.values_mut() {
            pool_state.waiting.retain(|&(job, _)| job != id);
        }
    }
}

/// Time before expiry from which a result is too old to be read by another target.
const FETCH_MARGIN: Duration = Duration::from_millis(50); // the largest transfers take a few ms
/// Time for which memory that a target reported as full counts as taken, in mean calls: the wait for
/// a reader and its call.
const ROOM_RESERVATION_CALLS: f64 = 2.0;

impl Call {
    fn jobs(&self) -> Vec<JobId> {
        let mut jobs: Vec<JobId> = self.items.iter().map(|&(job, _, _)| job).collect();
        jobs.dedup();
        jobs
    }
}
