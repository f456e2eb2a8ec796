//! Admission of jobs, and refusal of those that have too much work ahead of them.
//!
//! A job is accepted if it is expected to be on time behind the work that has been accepted and has precedence.
//! Jobs that can only be late are accepted while the pools have capacity that others do not ask for.
//! Without this, a burst is accepted as a whole, and work done for jobs that are refused later is lost.

use super::{
    Command, JobId, PoolState, Refusal, Scheduler,
    job::RunningJob,
    precedence::{Class, Precedence, precedence},
    refusals::Returned,
};
use crate::id::{PoolId, Time};
use std::{collections::HashMap, time::Duration};

/// Upper bound on the `retry_after` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5); // callers retry after 1/3 of their time
/// `retry_after` of a refusal because a pool has no target.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1); // a replacement registers in ~1 s
/// Callers wait for Retry-After up to this fraction of their remaining time.
const HONORED_FRACTION: u32 = 3;
/// Time beyond that fraction that is named to callers who cannot be served in time.
const UNTIMELY: Duration = Duration::from_millis(100);
/// Time constant of the mean of the accepted load.
const LOAD_SECONDS: f64 = 2.0; // several calls; bursts last for 5 to 7 s
/// Lower bound on the fraction of a pool that is left for late jobs, since the load is an estimate.
const MIN_SPARE: f64 = 0.1;
/// Width of the due times whose work is summed up.
const DUE_STEP: Duration = Duration::from_millis(100); // a third of a call

/// Missing pieces of each pool.
pub(super) type Sums = HashMap<PoolId, usize>;

/// Missing pieces of the accepted jobs by precedence, as of the last review and with the jobs since.
#[derive(Clone, Debug, Default)]
pub(super) struct Accepted {
    by_precedence: std::collections::BTreeMap<(Class, u128), Sums>,
    reviewed_at: Time,
}

impl Accepted {
    pub fn clear(&mut self, now: Time) {
        self.by_precedence.clear();
        self.reviewed_at = now;
    }

    /// Adds the pieces of a job.
    pub fn add(&mut self, precedence: Precedence, running: &RunningJob) {
        let sums = self.by_precedence.entry(step(precedence)).or_default();
        running.add_missing_pieces(sums);
    }

    /// Adds pieces that are reserved for a caller who comes back.
    fn add_pieces(&mut self, precedence: Precedence, pieces: &Sums, fraction: f64) {
        let sums = self.by_precedence.entry(step(precedence)).or_default();
        for (pool, pieces) in pieces {
            let pieces = (*pieces as f64 * fraction).round() as usize;
            *sums.entry(pool.clone()).or_default() += pieces;
        }
    }

    /// Returns the pieces of each pool that have precedence.
    fn before(&self, precedence: Precedence) -> Sums {
        sum(self
            .by_precedence
            .range(..=step(precedence))
            .map(|(_, sums)| sums))
    }

    fn all(&self) -> Sums {
        sum(self.by_precedence.values())
    }
}

fn step((class, due): Precedence) -> (Class, u128) {
    (class, due.as_millis() / DUE_STEP.as_millis())
}

fn sum<'a>(all: impl Iterator<Item = &'a Sums>) -> Sums {
    let mut total = Sums::new();
    for (pool, pieces) in all.flatten() {
        match total.get_mut(pool) {
            Some(sum) => *sum += pieces,
            None => drop(total.insert(pool.clone(), *pieces)),
        }
    }
    total
}

/// Work of a pool for jobs that were accepted to be on time, in pieces a second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AcceptedLoad {
    pieces_per_second: f64,
    updated_at: Time,
}

impl AcceptedLoad {
    fn record(&mut self, now: Time, pieces: u32) {
        self.pieces_per_second = self.at(now) + f64::from(pieces) / LOAD_SECONDS;
        self.updated_at = now;
    }

    fn at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.pieces_per_second * (-age / LOAD_SECONDS).exp()
    }
}

impl Scheduler {
    /// Returns whether a new job is accepted. `returned` states what is known of it if it was refused before.
    pub(super) fn admit(
        &mut self,
        now: Time,
        running: &RunningJob,
        returned: Option<Returned>,
    ) -> bool {
        let job = &running.job;
        let ahead = self.accepted.before(precedence(now, running));
        let expected = now + self.first_event_behind(now, running, &ahead);
        let is_promised =
            job.is_resubmitted || returned.is_some_and(|returned| returned.is_as_told);
        let is_on_time = expected + running.on_time_margin <= job.objective;
        let has_room = expected <= job.deadline
            && (is_on_time
                || is_promised
                || now + self.late_first_event(now, running) <= job.deadline);
        let is_allowed = is_promised || self.allows_share(now, running);
        let is_accepted = has_room && is_allowed;
        self.share_refusals += u64::from(has_room && !is_allowed);
        if !has_room && let Some(pool) = self.shortest_pool(running) {
            self.pool_state(&pool).record_shortage(now, running);
        }
        let is_feasible = now + running.remaining <= job.objective;
        for spec in job.stages.iter().filter(|spec| spec.pieces > 0) {
            let Some(pool_state) = self.pools.get_mut(&spec.pool) else {
                continue;
            };
            if is_accepted && is_on_time {
                pool_state.accepted_load.record(now, spec.pieces);
            }
            match returned {
                None if is_feasible && !job.is_resubmitted => {
                    pool_state.record_request(now, running, is_accepted);
                }
                Some(_) if is_accepted => pool_state.correct_request(now, running, true),
                _ => {}
            }
        }
        is_accepted
    }

    /// Returns whether no other kind or workspace has a smaller share of the pools of a job, or they have enough
    /// for all.
    fn allows_share(&self, now: Time, running: &RunningJob) -> bool {
        let specs = running.job.stages.iter().filter(|spec| spec.pieces > 0);
        let mut pools = specs.filter_map(|spec| self.pools.get(&spec.pool));
        pools.all(|pool_state| pool_state.allows(now, running))
    }

    /// Records that a job that was accepted is refused.
    pub(super) fn record_shortage(&mut self, now: Time, running: &RunningJob) {
        for spec in running.job.stages.iter().filter(|spec| spec.pieces > 0) {
            let pool_state = self.pool_state(&spec.pool);
            pool_state.correct_request(now, running, false);
        }
        if let Some(pool) = self.shortest_pool(running) {
            self.pool_state(&pool).record_shortage(now, running);
        }
    }

    /// Returns the pool of a job that needs the longest for the accepted work.
    fn shortest_pool(&self, running: &RunningJob) -> Option<PoolId> {
        let missing = self.accepted.all();
        let specs = running.job.stages.iter().filter(|spec| spec.pieces > 0);
        let drains = specs.filter_map(|spec| {
            let pool_state = self.pools.get(&spec.pool)?;
            let pieces = missing.get(&spec.pool).copied().unwrap_or_default();
            Some((pool_state.drain_time_for(pieces), &spec.pool))
        });
        drains.max().map(|(_, pool)| pool.clone())
    }

    /// Returns after which time a refused caller may come back, and reserves work for it if that is soon enough.
    pub(super) fn book_retry(&mut self, now: Time, running: &RunningJob) -> Duration {
        let drain = self.drain_time(now, running);
        let longest_wait = running.job.deadline.saturating_sub(now) / HONORED_FRACTION;
        let Some(pool) = self.shortest_pool(running) else {
            return drain;
        };
        let earliest =
            now + self.longest_call_time(&running.job) + self.time_to_open(now, &running.job);
        let on_time = running.job.objective;
        let on_time = on_time.saturating_sub(running.remaining + running.on_time_margin);
        let mut pieces = Sums::new();
        running.add_missing_pieces(&mut pieces);
        let pieces = pieces.get(&pool).copied().unwrap_or_default();
        let work = self.pool_state(&pool).drain_time_for(pieces);
        let latest = on_time.min(now + longest_wait);
        let reserved = self
            .refusals
            .reserve(running, &pool, work, (earliest, latest));
        if let Some(at) = reserved {
            return at.saturating_sub(now);
        }
        self.refusals.remember(running);
        drain.max(longest_wait + UNTIMELY)
    }

    /// Returns the expected time to the first event of a job that waits behind all accepted work and that of
    /// jobs which are accepted meanwhile.
    fn late_first_event(&self, now: Time, running: &RunningJob) -> Duration {
        let mut ahead = self.accepted.all();
        for (pool, pieces) in &mut ahead {
            if let Some(pool_state) = self.pools.get(pool) {
                let load = pool_state.accepted_load.at(now) * pool_state.seconds_per_piece();
                *pieces = (*pieces as f64 / (1.0 - load).max(MIN_SPARE)) as usize;
            }
        }
        self.first_event_behind(now, running, &ahead)
    }

    /// Refuses jobs that can't be on time and would miss their deadline too, because of the work
    /// ahead of them in the queues.
    pub(super) fn refuse_backlogged(&mut self, now: Time, out: &mut Vec<Command>) {
        self.recount_load();
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in jobs {
            self.update_remaining(id);
        }
        let unready = self
            .jobs
            .values()
            .filter(|running| running.ready_at.is_none());
        let mut queue: Vec<(Precedence, JobId)> = unready
            .map(|running| (precedence(now, running), running.job.id))
            .collect();
        queue.sort();
        self.accepted.clear(now);
        let (return_rate, reserved) = self.refusals.review(now);
        for (objective, pieces) in reserved {
            self.accepted
                .add_pieces((Class::OnTime, objective), pieces, return_rate);
        }
        let mut ahead = Sums::new();
        let mut backlogged = Vec::new();
        for (precedence, job) in queue {
            let running = &self.jobs[&job];
            if precedence.0 == Class::Late
                && now + self.first_event_behind(now, running, &ahead) > running.job.deadline
            {
                backlogged.push(job);
            } else {
                self.accepted.add(precedence, running);
                running.add_missing_pieces(&mut ahead);
            }
        }
        for job in backlogged {
            self.refuse(now, job, Refusal::Backlog, out);
        }
    }

    /// Returns the expected time to a new job's first event if all work that has precedence is done first.
    ///
    /// The amount of work is that of the last review plus the jobs submitted since.
    pub(super) fn estimated_first_event(&self, now: Time, running: &RunningJob) -> Duration {
        let ahead = self.accepted.before(precedence(now, running));
        self.first_event_behind(now, running, &ahead)
    }

    /// Returns the expected time to a job's first event with `ahead` pieces queued before it in
    /// each pool.
    fn first_event_behind(&self, now: Time, running: &RunningJob, ahead: &Sums) -> Duration {
        let age = now.saturating_sub(self.accepted.reviewed_at);
        let end = running.critical_path(|stage, before| {
            let pool = &running.job.stages[stage].pool;
            let pieces = ahead.get(pool).copied().unwrap_or_default();
            let wait = self.pools.get(pool).map_or(Duration::ZERO, |pool_state| {
                let drain = pool_state.drain_time_for(pieces).saturating_sub(age);
                pool_state.time_to_open(now) + drain
            });
            before.max(wait) + self.expected_call_time(pool)
        });
        end + running.job.first_event_latency
    }

    /// Returns the time until the queues of a job's pools have drained, as of the last review, and until
    /// the pools take calls.
    pub(super) fn drain_time(&self, now: Time, running: &RunningJob) -> Duration {
        let missing = self.accepted.all();
        let drains = running.job.stages.iter().filter_map(|spec| {
            let pool_state = self.pools.get(&spec.pool)?;
            let pieces = missing.get(&spec.pool).copied().unwrap_or_default();
            Some(PoolState::drain_time_for(pool_state, pieces))
        });
        let longest = drains.max().unwrap_or_default();
        let shortest = self.longest_call_time(&running.job);
        longest.max(shortest).min(MAX_RETRY_AFTER) + self.time_to_open(now, &running.job)
    }

    /// Refuses the jobs with pieces to be sent to pools that only have targets that leave or are in
    /// evacuated domains. One that crashed may be back in time.
    pub(super) fn refuse_abandoned(&mut self, now: Time, out: &mut Vec<Command>) {
        for pool in std::mem::take(&mut self.abandoned_pools) {
            let jobs = self
                .jobs
                .values()
                .filter(|running| running.ready_at.is_none() && running.has_waiting_pieces(&pool));
            let jobs: Vec<JobId> = jobs.map(|running| running.job.id).collect();
            for job in jobs {
                if !self.is_served(&pool) {
                    self.refuse(now, job, Refusal::NoTarget, out);
                }
            }
        }
    }

    pub(super) fn refuse(&mut self, now: Time, id: JobId, reason: Refusal, out: &mut Vec<Command>) {
        let Some(running) = self.jobs.get(&id).cloned() else {
            return;
        };
        if reason == Refusal::Backlog {
            self.record_shortage(now, &running);
        }
        let refusal = self.refusal(now, &running, reason);
        self.release(id);
        out.push(refusal);
    }

    /// Returns the refusal of a job, with the expected and remaining times behind it.
    pub(super) fn refusal(&mut self, now: Time, running: &RunningJob, reason: Refusal) -> Command {
        let retry_after = match reason {
            Refusal::NoTarget => NO_TARGET_RETRY_AFTER,
            Refusal::Backlog => self.book_retry(now, running),
            Refusal::Late | Refusal::Failed => self.drain_time(now, running),
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
