//! Admission of jobs, and refusal of those that have too much work ahead of them.
//!
//! A job is accepted if it is expected to be on time behind the work that has been accepted and has precedence.
//! Jobs that can only be late are accepted while the pools have capacity that others do not ask for.
//! Without this, a burst is accepted as a whole, and work done for jobs that are refused later is lost.

use super::{
    Command, JobId, PoolState, Refusal, Scheduler,
    job::RunningJob,
    precedence::{Class, Precedence, precedence},
};
use crate::id::{PoolId, Time};
use std::{collections::HashMap, time::Duration};

/// Upper bound on the `retry_after` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5); // callers retry after 1/3 of their time
/// Time constant of the mean of the accepted load.
const LOAD_SECONDS: f64 = 2.0; // several calls; bursts last for 5 to 7 s
/// Lower bound on the fraction of a pool that is left for late jobs, since the load is an estimate.
const MIN_SPARE: f64 = 0.1;
/// Width of the due times whose work is summed up.
const DUE_STEP: Duration = Duration::from_millis(100); // a third of a call

/// Missing pieces of each pool.
type Sums = HashMap<PoolId, usize>;

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
    /// Returns whether a new job is accepted.
    pub(super) fn admit(&mut self, now: Time, running: &RunningJob) -> bool {
        let job = &running.job;
        let ahead = self.accepted.before(precedence(now, running));
        let expected = now + self.first_event_behind(now, running, &ahead);
        if expected > job.deadline {
            return false;
        }
        if expected + running.on_time_margin <= job.objective {
            for spec in job.stages.iter().filter(|spec| spec.pieces > 0) {
                if let Some(pool_state) = self.pools.get_mut(&spec.pool) {
                    pool_state.accepted_load.record(now, spec.pieces);
                }
            }
            return true;
        }
        job.is_resubmitted || now + self.late_first_event(now, running) <= job.deadline
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
}
