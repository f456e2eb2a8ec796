//! Pieces of all daemons, gathered into calls for the targets of stages.
//!
//! Load pattern: a stage target runs one call at a time, and a call costs far more than a piece. Many
//! daemons that each fill calls with their own pieces leave calls four fifths empty, so one
//! daemon conducts: it holds the queue of each pool, fills a call when a target falls idle, and
//! counts the room for results. In a burst of one kind of request the queue decides who is served:
//! requests that can still be on time by rank, then late ones by deadline. What can't be made any
//! more, or waits behind too much to be, is refused at once.

mod bench;
mod dispatch;
mod home;
mod job;
mod message;
mod press;
mod result;

pub use self::{
    job::{Handle, Job, JobId, Need},
    message::{Command, Item, Refusal, Reply, Source, View, Why},
};

use self::{
    bench::Bench,
    job::{Made, Running},
    press::Press,
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
const HEAVY_BYTES: u64 = 500_000; // between the stages of 60 kB and of 1.5 MB that sites have
/// Failed pieces after which a job is given up.
const MAX_FAILURES: u32 = 12; // three calls' worth of a usual request's pieces
/// Calls' times after which a call is overdue.
const OVERDUE: f64 = 1.7; // times vary by a quarter between targets and stages
/// Time beside [`OVERDUE`] for the network and a busy daemon.
const OVERDUE_SLACK: Duration = Duration::from_millis(100);
/// Calls' times after which a call is given up.
const LOST: f64 = 6.0; // slow targets take four to five times as long
/// Weight of the latest call in a pool's usual time.
const TIME_WEIGHT: f64 = 0.1;

/// Queues and targets of all stages.
#[derive(Clone, Debug, Default)]
pub struct Board {
    jobs: BTreeMap<JobId, Running>,
    pools: BTreeMap<PoolId, Bench>,
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    /// When late jobs were looked over.
    reviewed: Time,
    /// Pools for which a call may be filled now.
    touched: BTreeSet<PoolId>,
    /// Pieces of each pool that the jobs of each class and rank still need.
    ranks: BTreeMap<(u8, u8), HashMap<PoolId, usize>>,
    /// Whether results were lost whose pieces do not wait again yet.
    has_lost: bool,
    /// Pieces of each pool that the jobs at home in each domain still need.
    load: HashMap<(PoolId, DomainId), usize>,
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

impl Board {
    /// Creates a board without pools.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the limits of a plan's stage pools.
    pub fn set_plan(&mut self, plan: &plan::Plan) {
        for pool in plan.pools() {
            self.bench(&pool.name).limits = pool.press;
        }
    }

    /// Takes in a change of the targets.
    pub fn change(&mut self, change: &Change) {
        match change {
            Change::Added(target) => self.add(target),
            Change::Draining(target) => self.retire(target, false),
            Change::Gone(target) => self.retire(target, true),
        }
    }

    /// Takes a job, or refuses it at once if its deadline can't be met.
    pub fn submit(&mut self, now: Time, job: Job, out: &mut Vec<Command>) {
        let id = job.id;
        let home = self.choose_home(&job);
        let mut running = Running::new(job, home);
        let unserved = running.job.stages.iter();
        let mut unserved = unserved.filter(|need| need.pieces > 0);
        if unserved.any(|need| !self.is_served(&need.pool)) {
            let refusal = self.refusal(now, &running, Refusal::NoTarget);
            return out.push(refusal);
        }
        running.rest = self.rest(&running);
        if now + self.likely(now, &running) > running.job.due {
            let refusal = self.refusal(now, &running, Refusal::Backlog);
            return out.push(refusal);
        }
        self.add_load(&running);
        self.add_rank(now, &running);
        self.jobs.insert(id, running);
        self.advance(now, id, out);
        self.settle(now, out);
    }

    /// Forgets a job, whether its caller left or its results were read.
    pub fn release(&mut self, now: Time, id: JobId, out: &mut Vec<Command>) {
        self.drop_job(id);
        self.settle(now, out);
    }

    /// Forgets all jobs of one daemon that are not ready.
    pub fn release_origin(&mut self, now: Time, origin: u64, out: &mut Vec<Command>) {
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(id, running)| id.origin == origin && running.ready.is_none());
        let jobs: Vec<JobId> = jobs.map(|(id, _)| *id).collect();
        for id in jobs {
            self.drop_job(id);
        }
        self.settle(now, out);
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
                self.take_items(now, &call, items, out);
            }
            Reply::Items(_) | Reply::Lost => self.fail(now, &call, true),
            Reply::Full | Reply::Unreached => self.fail(now, &call, false),
            Reply::Replaced => {
                let bench = self.bench(&call.pool);
                bench.presses.retain(|press| press.id != call.target);
            }
        }
        for job in call.jobs() {
            self.advance(now, job, out);
        }
        self.touched.insert(call.pool);
        self.settle(now, out);
    }

    /// Notes that a target has freed results.
    pub fn freed(
        &mut self,
        now: Time,
        target: &TargetId,
        handles: &[Handle],
        out: &mut Vec<Command>,
    ) {
        for (pool, bench) in &mut self.pools {
            if let Some(press) = bench.press(target) {
                press.note_freed(handles);
                self.touched.insert(pool.clone());
            }
        }
        self.settle(now, out);
    }

    /// Does what the time asks for: gives up, sends calls, frees results.
    pub fn poll(&mut self, now: Time, out: &mut Vec<Command>) {
        self.mark_overdue(now);
        if now >= self.reviewed + dispatch::REVIEW_PERIOD {
            self.reviewed = now;
            self.drop_lapsed(now);
            self.give_up(now, out);
            self.review(now, out);
        }
        self.touched.extend(self.pools.keys().cloned());
        self.settle(now, out);
    }

    /// Fills calls where something changed, and sends away what is to be freed.
    fn settle(&mut self, now: Time, out: &mut Vec<Command>) {
        for pool in std::mem::take(&mut self.touched) {
            self.dispatch(now, &pool, out);
        }
        self.flush(out);
    }

    /// Returns how many pieces wait in a pool.
    pub fn backlog(&self, pool: &str) -> usize {
        let bench = self.pools.get(pool);
        bench.map_or(0, |bench| self.count_waiting(bench))
    }

    fn count_waiting(&self, bench: &Bench) -> usize {
        let waiting = bench.waiting.iter();
        waiting.map(|&(job, stage)| self.waiting(job, stage)).sum()
    }

    /// Returns the state of each pool that has targets or waiting pieces.
    pub fn views(&self, now: Time) -> Vec<View> {
        let views = self.pools.iter().filter_map(|(pool, bench)| {
            let limits = bench.limits?;
            let busy = bench.presses.iter().filter(|press| press.call.is_some());
            let paused = bench.presses.iter();
            let paused = paused.filter(|press| press.call.is_none() && !press.is_idle(now));
            let room = bench.presses.iter().map(|press| press.room(&limits));
            let calls = bench.presses.iter().filter_map(|press| press.call);
            let carried = calls.filter_map(|call| Some(self.calls.get(&call)?.items.len()));
            Some(View {
                pool: pool.clone(),
                waiting: self.backlog(pool),
                targets: bench.presses.len(),
                busy: busy.count(),
                carried: carried.sum(),
                paused: paused.count(),
                room: room.sum(),
                usual: Duration::from_secs_f64(bench.usual.unwrap_or_default()),
            })
        });
        views.collect()
    }

    /// Returns how many jobs are neither ready nor given up.
    pub fn unfinished(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|running| running.ready.is_none()).count()
    }

    fn bench(&mut self, pool: &PoolId) -> &mut Bench {
        self.pools.entry(pool.clone()).or_default()
    }

    fn is_served(&self, pool: &str) -> bool {
        let bench = self.pools.get(pool);
        bench.is_some_and(|bench| bench.limits.is_some() && !bench.presses.is_empty())
    }

    fn add(&mut self, target: &Target) {
        let bench = self.bench(&target.pool);
        let known = bench.presses.iter_mut();
        match known.into_iter().find(|press| press.id == target.id) {
            Some(press) if press.address == target.address => {}
            Some(press) => *press = Press::new(target),
            None => bench.presses.push(Press::new(target)),
        }
    }

    /// Takes a target out; if it has ended, its results are made again.
    fn retire(&mut self, target: &Target, has_ended: bool) {
        let bench = self.bench(&target.pool);
        bench.presses.retain(|press| press.id != target.id);
        if has_ended {
            self.lose_results(&target.id);
        }
    }

    /// Lets the pieces wait again whose results ended with their target.
    fn lose_results(&mut self, target: &TargetId) {
        let unready = self.jobs.values_mut();
        for running in unready.filter(|running| running.ready.is_none()) {
            self.has_lost |= running.forget(|made| made.target == *target);
        }
    }

    /// Lets the pieces wait again whose results have lapsed before they were read.
    fn drop_lapsed(&mut self, now: Time) {
        let mut has_any = std::mem::take(&mut self.has_lost);
        let unready = self.jobs.values_mut();
        for running in unready.filter(|running| running.ready.is_none()) {
            has_any |= running.forget(|made| made.until <= now + FETCH);
        }
        if has_any {
            self.queue_all(now);
        }
    }

    fn waiting(&self, job: JobId, stage: usize) -> usize {
        let running = self.jobs.get(&job);
        running.map_or(0, |running| running.stages[stage].waiting().count())
    }

    /// Puts each stage that has inputs and waiting pieces into its pool's queue.
    fn queue_all(&mut self, now: Time) {
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in jobs {
            self.queue(now, job);
        }
    }

    fn queue(&mut self, now: Time, id: JobId) {
        let Some(running) = self.jobs.get_mut(&id) else {
            return;
        };
        if running.ready.is_some() {
            return;
        }
        for stage in 0..running.stages.len() {
            let is_open =
                running.has_inputs(stage) && running.stages[stage].waiting().next().is_some();
            let pool = running.job.stages[stage].pool.clone();
            if is_open
                && let Some(bench) = self.pools.get_mut(&pool)
                && !running.stages[stage].is_queued
            {
                running.stages[stage].is_queued = true;
                running.stages[stage].since = now;
                bench.waiting.push((id, stage));
                self.touched.insert(pool);
            }
        }
    }

    /// Queues what a job can do next, or hands it back if all is made.
    fn advance(&mut self, now: Time, id: JobId, out: &mut Vec<Command>) {
        let Some(running) = self.jobs.get_mut(&id) else {
            return;
        };
        if running.ready.is_some() {
            return;
        }
        if running.failures > MAX_FAILURES {
            return self.refuse(now, id, Refusal::Failed, out);
        }
        if running.stages.iter().all(job::Progress::is_made) {
            running.ready = Some(now);
            out.push(Command::Ready {
                job: id,
                handles: running.final_results(),
                domain: running.heavy_domain(),
            });
        }
        self.free_inputs(id);
        self.refresh(id);
        self.queue(now, id);
    }

    /// Frees the results of stages that all of their readers have read.
    fn free_inputs(&mut self, id: JobId) {
        let Some(running) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut unwanted = Vec::new();
        for stage in 0..running.stages.len() {
            let needs = running.job.stages.iter().enumerate();
            let mut readers = needs.filter(|(_, need)| need.after.contains(&stage));
            let is_read = !running.is_final(stage)
                && readers.all(|(reader, _)| running.stages[reader].is_made());
            if is_read && !running.stages[stage].is_freed {
                running.stages[stage].is_freed = true;
                let pool = running.job.stages[stage].pool.clone();
                let pieces = running.stages[stage].pieces.iter();
                let made = pieces.filter_map(|piece| piece.made.clone());
                unwanted.extend(made.map(|made| (pool.clone(), made)));
            }
        }
        self.free(unwanted);
    }

    fn free(&mut self, unwanted: Vec<(PoolId, Made)>) {
        for (pool, made) in unwanted {
            let bench = self.pools.get_mut(&pool);
            if let Some(press) = bench.and_then(|bench| bench.press(&made.target)) {
                press.free(&made.handle);
            }
        }
    }

    fn drop_job(&mut self, id: JobId) {
        let Some(running) = self.jobs.remove(&id) else {
            return;
        };
        let stages = running.job.stages.iter().zip(&running.stages);
        let unwanted = stages
            .filter(|(_, stage)| !stage.is_freed)
            .flat_map(|(need, stage)| {
                let made = stage.pieces.iter().filter_map(|piece| piece.made.clone());
                made.map(|made| (need.pool.clone(), made))
            });
        let unwanted = unwanted.collect();
        self.free(unwanted);
        for bench in self.pools.values_mut() {
            bench.waiting.retain(|&(job, _)| job != id);
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
    fn refusal(&self, now: Time, running: &Running, reason: Refusal) -> Command {
        let retry_after = match reason {
            Refusal::NoTarget => NO_TARGET_PAUSE,
            Refusal::Backlog | Refusal::Late | Refusal::Failed => self.drain_time(running),
        };
        Command::Refuse {
            job: running.job.id,
            request: running.job.request.clone(),
            reason,
            expected: self.likely(now, running),
            left: running.job.due.saturating_sub(now),
            retry_after,
        }
    }
}

/// Retry time where a pool has no target.
const NO_TARGET_PAUSE: Duration = Duration::from_secs(1); // a replaced target registers within about a second
/// Time in which a target reads its inputs.
const FETCH: Duration = Duration::from_millis(50); // the largest take some milliseconds on its link
/// Time for which room that a target lacked counts as taken.
const ROOM_PAUSE: Duration = Duration::from_millis(500); // results are read within about this time

impl Call {
    fn jobs(&self) -> Vec<JobId> {
        let mut jobs: Vec<JobId> = self.items.iter().map(|&(job, _, _)| job).collect();
        jobs.dedup();
        jobs
    }
}
