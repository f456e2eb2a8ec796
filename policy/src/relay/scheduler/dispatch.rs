//! Order of the queues, and refusal of jobs that would miss their deadline.

use super::{
    CALL_TIMEOUT_FACTOR, Call, Command, Item, JobId, OVERDUE_FACTOR, OVERDUE_SLACK, PoolState,
    Refusal, Scheduler, Source,
    call::{Choice, PieceRef, StageRef},
    job::{Job, RunningJob},
    precedence::{Precedence, precedence},
};
use crate::{
    id::{PoolId, Time},
    relay::{plan, stage::StageNumber},
};
use std::{collections::HashMap, time::Duration};

/// Interval between checks for jobs that would miss their deadline.
pub(super) const REVIEW_PERIOD: Duration = Duration::from_millis(100); // a third of a call
/// Queue length in stages from which the sorted front is reused between calls.
const LONG_QUEUE: usize = 100; // several calls; sorting this many takes about 0.1 ms
/// Time for which the sorted front of a long queue is reused.
const FRONT_TTL: Duration = Duration::from_millis(30); // a tenth of a call
/// Maximum number of stages in the sorted front.
const MAX_FRONT_STAGES: usize = 500; // one call to each target of the largest pools
/// Slack that a request needs to count as on time, in mean calls of its slowest pool. Without it, a
/// queue of requests that are all just in time makes each of them slightly late.
const ON_TIME_MARGIN_CALLS: f64 = 0.6;
/// Lead with which a large final result is started before the request's other stages would end, in
/// mean calls. It covers the wait for a target.
const EARLY_SLACK_CALLS: f64 = 0.6;

impl Scheduler {
    /// Requeues the pieces of overdue calls, so that another target can compute them.
    pub(super) fn requeue_overdue(&mut self, now: Time) {
        let mut has_any = false;
        for call in self.calls.values_mut().filter(|call| !call.is_overdue) {
            let taken = now.saturating_sub(call.started);
            if taken < call.expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_SLACK {
                continue;
            }
            call.is_overdue = true;
            has_any = true;
            let ratio = taken.as_secs_f64() / call.nominal.as_secs_f64().max(0.001);
            let pool_state = self.pools.get_mut(&call.pool);
            if let Some(stage_target) =
                pool_state.and_then(|pool_state| pool_state.target_mut(&call.target))
            {
                stage_target.record_overdue(now, ratio);
            }
            for &(job, stage, piece) in &call.items {
                if let Some(running) = self.jobs.get_mut(&job) {
                    running.stages[stage].end_call(piece);
                }
            }
        }
        if has_any {
            self.queue_all_jobs();
        }
    }

    /// Refuses jobs that can't meet their deadline even at best, and drops ready jobs whose
    /// deadline has passed.
    pub(super) fn refuse_late(&mut self, now: Time, out: &mut Vec<Command>) {
        let stage_ends = self.stage_ends();
        let late = self.jobs.values().filter(|running| match running.ready_at {
            Some(_) => false,
            None => {
                now + self.min_remaining(now, running, &stage_ends)
                    + running.job.first_event_latency
                    > running.job.deadline
            }
        });
        let late: Vec<JobId> = late.map(|running| running.job.id).collect();
        for id in late {
            self.refuse(now, id, Refusal::Late, out);
        }
        let expired = self.jobs.values();
        let expired =
            expired.filter(|running| running.ready_at.is_some() && running.job.deadline < now);
        let expired: Vec<JobId> = expired.map(|running| running.job.id).collect();
        for id in expired {
            self.release(id);
        }
        for stage_target in self
            .pools
            .values_mut()
            .flat_map(|pool_state| &mut pool_state.targets)
        {
            stage_target.expire(now);
        }
    }

    /// Sends calls to the idle targets of a pool until none is idle or nothing suitable is queued.
    pub(super) fn dispatch(&mut self, now: Time, pool: &PoolId, out: &mut Vec<Command>) {
        let pool_state = self.pools.get(pool);
        let pool_state = pool_state.filter(|pool_state| pool_state.has_work(now));
        let Some(limits) = pool_state.and_then(|pool_state| pool_state.limits) else {
            return;
        };
        self.sort_front(now, pool);
        while let Some(pool_state) = self.pools.get(pool)
            && pool_state.has_work(now)
        {
            let front = pool_state.sorted_front.as_ref();
            let order = front.map_or(&[][..], |(_, order)| order);
            let Some(choice) = self.build_call(now, pool_state, &limits, order) else {
                return;
            };
            self.send_call(now, pool, &limits, &choice, out);
        }
    }

    /// Sorts the most urgent stages of a pool's queue. The front of a long queue is reused for a while.
    fn sort_front(&mut self, now: Time, pool: &PoolId) {
        let Some(pool_state) = self.pools.get(pool) else {
            return;
        };
        let is_long = pool_state.waiting.len() >= LONG_QUEUE;
        let front = pool_state.sorted_front.as_ref();
        if is_long && front.is_some_and(|(at, _)| now < *at + FRONT_TTL) {
            return;
        }
        let mut order = self.sorted_queue(now, pool_state);
        order.truncate(MAX_FRONT_STAGES);
        if let Some(pool_state) = self.pools.get_mut(pool) {
            pool_state.sorted_front = Some((now, order));
        }
    }

    /// Returns the queued stages of a pool that may run now, the most urgent first.
    fn sorted_queue(&self, now: Time, pool_state: &PoolState) -> Vec<StageRef> {
        let mut order: Vec<(Precedence, StageRef)> = Vec::new();
        for &(job, stage) in &pool_state.waiting {
            let Some(running) = self.jobs.get(&job) else {
                continue;
            };
            // Inputs may have been lost since the stage was queued.
            if running.has_inputs(stage) && !self.is_early(running, stage) {
                order.push((precedence(now, running), (job, stage)));
            }
        }
        order.sort();
        let mut flow = None;
        let order = order.into_iter().map(|(_, entry)| entry);
        let admitted = order.filter(|&(job, stage)| {
            let running = &self.jobs[&job];
            running.is_final(stage)
                || flow
                    .get_or_insert_with(|| self.flow())
                    .admit(running, stage)
        });
        admitted.collect()
    }

    /// Returns whether a large final result would be held in memory until the request's other
    /// stages are done.
    fn is_early(&self, running: &RunningJob, stage: StageNumber) -> bool {
        let spec = &running.job.stages[stage];
        let is_alone = running.job.stages.len() == 1;
        if is_alone || spec.bytes < super::LARGE_RESULT_BYTES || !running.is_final(stage) {
            return false;
        }
        let own = self.expected_call_time(&spec.pool);
        let others = running.critical_path(|other, before| {
            if other == stage {
                before
            } else {
                before + self.expected_call_time(&running.job.stages[other].pool)
            }
        });
        others > own + own.mul_f64(EARLY_SLACK_CALLS)
    }

    /// Recomputes the expected remaining time of a job and its margin.
    pub(super) fn update_remaining(&mut self, id: JobId) {
        let Some(running) = self.jobs.get(&id) else {
            return;
        };
        let remaining = self.expected_remaining(running);
        let on_time_margin = self.on_time_margin(&running.job);
        if let Some(running) = self.jobs.get_mut(&id) {
            running.remaining = remaining;
            running.on_time_margin = on_time_margin;
        }
    }

    /// Returns the slack that a job needs to count as on time.
    pub(super) fn on_time_margin(&self, job: &Job) -> Duration {
        self.longest_call_time(job).mul_f64(ON_TIME_MARGIN_CALLS)
    }

    /// Returns the mean call time of a job's slowest pool.
    pub(super) fn longest_call_time(&self, job: &Job) -> Duration {
        let specs = job.stages.iter().filter(|spec| spec.pieces > 0);
        let call_times = specs.map(|spec| self.expected_call_time(&spec.pool));
        call_times.max().unwrap_or_default()
    }

    /// Returns the expected time to a job's first event without queueing.
    pub(super) fn expected_remaining(&self, running: &RunningJob) -> Duration {
        let stages = &running.job.stages;
        running.critical_path(|stage, before| before + self.expected_call_time(&stages[stage].pool))
            + running.job.first_event_latency
    }

    fn send_call(
        &mut self,
        now: Time,
        pool: &PoolId,
        limits: &plan::BatchLimits,
        choice: &Choice,
        out: &mut Vec<Command>,
    ) {
        let chosen = &choice.pieces;
        let items = chosen.iter().filter_map(|&entry| self.item(now, entry));
        let items: Vec<Item> = items.collect();
        let mut bytes = Vec::with_capacity(chosen.len());
        let pool_state = self.pools.get(pool);
        let domain = pool_state.map(|pool_state| pool_state.targets[choice.target].domain.clone());
        let domain = domain.unwrap_or_default();
        for &(job, stage, piece) in chosen {
            if let Some(running) = self.jobs.get_mut(&job) {
                running.stages[stage].begin_call(piece);
                running.is_begun = true;
                // Later stages run in the domain that holds the results they read.
                running.home_domain.clone_from(&domain);
                bytes.push(running.job.stages[stage].bytes);
            }
        }
        let id = self.next_call;
        self.next_call += 1;
        let jobs = &mut self.jobs;
        let pool_state = self.pools.get_mut(pool).expect("dispatched pool exists");
        let mut called: Vec<StageRef> =
            chosen.iter().map(|&(job, stage, _)| (job, stage)).collect();
        called.sort();
        pool_state.waiting.retain(|entry| {
            let (job, stage) = *entry;
            if called.binary_search(entry).is_err() {
                return true;
            }
            let running = jobs.get_mut(&job);
            running.is_some_and(|running| running.stages[stage].review_queued())
        });
        let stage_target = &mut pool_state.targets[choice.target];
        stage_target.call = Some(id);
        stage_target.spend(now);
        let nominal = limits.call_overhead + limits.piece_time * chosen.len() as u32;
        let usual = nominal.mul_f64(stage_target.slowdown.max(MIN_SLOWDOWN));
        // The pieces of a probe are soon sent to another target if its own has not recovered.
        let expected = if choice.is_probe { nominal } else { usual };
        out.push(Command::Call {
            call: id,
            target: stage_target.id.clone(),
            address: stage_target.address.clone(),
            items,
            timeout: usual.mul_f64(CALL_TIMEOUT_FACTOR) + OVERDUE_SLACK,
        });
        let call = Call {
            pool: pool.clone(),
            target: stage_target.id.clone(),
            items: chosen.clone(),
            bytes,
            started: now,
            nominal,
            expected,
            is_overdue: false,
        };
        self.calls.insert(id, call);
    }

    fn item(&self, now: Time, (job, stage, piece): PieceRef) -> Option<Item> {
        let running = self.jobs.get(&job)?;
        let spec = &running.job.stages[stage];
        let source = if spec.after.is_empty() {
            Source::Key(running.job.key.clone())
        } else {
            Source::Inputs(running.results(spec.after.iter().copied()))
        };
        Some(Item {
            request: running.job.request.clone(),
            stage,
            piece,
            left: running.job.deadline.saturating_sub(now),
            source,
        })
    }

    /// Emits a command for each target that has results to be freed, unless it wants nothing now.
    pub(super) fn send_releases(&mut self, now: Time, out: &mut Vec<Command>) {
        let targets = self
            .pools
            .values_mut()
            .flat_map(|pool_state| &mut pool_state.targets);
        let open = targets.filter(|stage_target| stage_target.is_open(now));
        for stage_target in open.filter(|stage_target| !stage_target.to_free.is_empty()) {
            stage_target.spend(now);
            out.push(Command::Free {
                target: stage_target.id.clone(),
                address: stage_target.address.clone(),
                handles: std::mem::take(&mut stage_target.to_free),
            });
        }
    }

    /// Returns the expected duration of a pool's calls; zero if the pool is unknown.
    pub(super) fn expected_call_time(&self, pool: &str) -> Duration {
        let pool_state = self.pools.get(pool);
        pool_state.map_or(Duration::ZERO, PoolState::expected_call_time)
    }

    /// Returns a lower bound on the time to compute a job's missing results.
    fn min_remaining(
        &self,
        now: Time,
        running: &RunningJob,
        stage_ends: &HashMap<StageRef, Time>,
    ) -> Duration {
        running.critical_path(|stage, before| {
            let spec = &running.job.stages[stage];
            let limits = self
                .pools
                .get(&spec.pool)
                .and_then(|pool_state| pool_state.limits);
            let Some(limits) = limits else {
                return before;
            };
            let waiting = running.stages[stage].waiting();
            if waiting == 0 {
                let end = stage_ends.get(&(running.job.id, stage));
                return before + end.map_or(Duration::ZERO, |end| end.saturating_sub(now));
            }
            let pieces = (spec.pieces as usize).min(limits.max_pieces) as u32;
            before + (limits.call_overhead + limits.piece_time * pieces).mul_f64(MIN_SLOWDOWN)
        })
    }

    /// Returns for each stage when the last of the calls with its pieces is expected to end.
    fn stage_ends(&self) -> HashMap<StageRef, Time> {
        let mut stage_ends: HashMap<StageRef, Time> = HashMap::new();
        for call in self.calls.values() {
            let end = call.started + call.expected;
            for &(job, stage, _) in &call.items {
                let last = stage_ends.entry((job, stage)).or_default();
                *last = end.max(*last);
            }
        }
        stage_ends
    }

    /// Returns the time until each pool of a job has a target that takes calls.
    pub(super) fn time_to_open(&self, now: Time, job: &Job) -> Duration {
        let specs = job.stages.iter().filter(|spec| spec.pieces > 0);
        let pools = specs.filter_map(|spec| self.pools.get(&spec.pool));
        let times = pools.map(|pool_state| pool_state.time_to_open(now));
        times.max().unwrap_or_default()
    }
}

/// Slowdown assumed for the fastest calls. Some stages take a third of the pool's nominal time
/// per piece.
const MIN_SLOWDOWN: f64 = 0.6;
