//! Callers that come back after a refusal, and the stage time that is spent on requests.

use super::{
    Event, FIRST_EVENT_LATENCY, MIN_ATTEMPT, Refused, Simulation, report::SimulatedCall,
    request_job,
};
use policy::{
    id::{PoolId, Time},
    relay::scheduler::{Command, Handle, Item, ItemError, JobId, Refusal},
};
use std::time::Duration;

impl Simulation {
    pub(super) fn handle_refusal(
        &mut self,
        now: Time,
        id: JobId,
        reason: Refusal,
        retry_after: Duration,
    ) {
        let Some((kind, _, job)) = self.jobs.get(&id) else {
            return;
        };
        let counts = &mut self.report.counts[*kind];
        let left = job.deadline.saturating_sub(now);
        self.report.refusals.push(Refused { reason, left });
        if self.returned.contains(&id) {
            counts.refused_again += 1;
        }
        // Callers wait for a third of their time at most.
        let wait = retry_after.min(left / 3);
        if self.has_returns && left >= wait + MIN_ATTEMPT {
            let is_as_told = wait >= retry_after;
            self.schedule(now + wait, Event::Return(id, is_as_told));
        } else {
            counts.refused += 1;
            self.report.ends.push((now, true));
        }
    }

    /// Submits a refused job again. Its daemon takes it for a new one with less time.
    pub(super) fn come_back(
        &mut self,
        now: Time,
        id: JobId,
        is_as_told: bool,
        out: &mut Vec<Command>,
    ) {
        let (kind, arrived, mut job) = self.jobs[&id].clone();
        self.next += 1;
        job.id.number = self.next;
        job.request = format!("r-{}", self.next).into();
        job.objective = now + Duration::from_secs_f64(self.kinds[kind].objective);
        if is_as_told {
            self.returned.insert(job.id);
            self.report.counts[kind].returned += 1;
        }
        self.jobs.insert(job.id, (kind, arrived, job.clone()));
        self.open.insert(job.id);
        if !self.is_scheduler_lost {
            self.scheduler.submit(now, job, out);
        }
    }

    /// Records the time that a call takes; pieces computed before count as wasted.
    pub(super) fn record_call(
        &mut self,
        now: Time,
        end: Time,
        items: &[Item],
        outcomes: &[(Result<Handle, ItemError>, u64)],
    ) {
        let share = end.saturating_sub(now).as_secs_f64() / items.len().max(1) as f64;
        let mut pool = PoolId::default();
        for (item, (outcome, _)) in items.iter().zip(outcomes) {
            let id = request_job(&item.request);
            pool.clone_from(&self.jobs[&id].2.stages[item.stage].pool);
            self.report.stage_time += share;
            if outcome.is_ok() && self.computed.insert((id, item.stage, item.piece)) {
                *self.report.time_by_job.entry(id).or_default() += share;
            }
        }
        let pieces = items.len();
        self.report.calls.push(SimulatedCall {
            pool,
            start: now,
            end,
            pieces,
        });
    }
    pub(super) fn handle_ready(&mut self, now: Time, id: JobId, handles: &[Handle]) {
        self.open.remove(&id);
        let (kind, arrived, job) = &self.jobs[&id];
        let finals = job
            .stages
            .numbered()
            .filter(|(stage, _)| !job.stages.iter().any(|spec| spec.after.contains(stage)));
        let expected: u32 = finals.map(|(_, spec)| spec.pieces).sum();
        assert_eq!(
            handles.len(),
            expected as usize,
            "final results of a request"
        );
        let objective = *arrived + Duration::from_secs_f64(self.kinds[*kind].objective);
        let is_late = now + FIRST_EVENT_LATENCY > objective;
        let counts = &mut self.report.counts[*kind];
        if is_late {
            counts.late += 1;
        } else {
            counts.on_time += 1;
        }
        self.report.ends.push((now, is_late));
        self.report.record_service(job.workspace.as_ref());
        let used = self.report.time_by_job.remove(&request_job(&job.request));
        self.report.used_time += used.unwrap_or_default();
        self.schedule(now + self.read_time, Event::Read(id));
    }
}
