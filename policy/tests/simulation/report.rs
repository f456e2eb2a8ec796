//! Outcome of a simulation.

use super::workload::workspace;
use policy::{
    id::{PoolId, TargetId, Time, WorkspaceId},
    relay::scheduler::{JobId, Refusal},
};
use std::{collections::HashMap, time::Duration};

/// Number of requests of one kind by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub submitted: u32,
    pub on_time: u32,
    pub late: u32,
    /// Requests whose callers gave up after a refusal.
    pub refused: u32,
    /// Attempts after the time that the refusal before named, and how many of them were refused.
    pub returned: u32,
    pub refused_again: u32,
}

/// A call to a stage target.
#[derive(Clone, Debug)]
pub(super) struct SimulatedCall {
    pub pool: PoolId,
    pub start: Time,
    pub end: Time,
    pub pieces: usize,
}

/// A refused job.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    pub reason: Refusal,
    /// Time left until its deadline.
    pub left: Duration,
}

/// Outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub counts: [Counts; 3],
    pub refusals: Vec<Refused>,
    /// Jobs that were open when the scheduler abandoned them.
    pub abandoned: usize,
    /// Pieces whose inputs no longer existed.
    pub expired_inputs: u32,
    /// Pieces without memory for their result.
    pub without_room: u32,
    /// Pieces that were sent with too few inputs.
    pub missing_inputs: u32,
    /// When calls and releases of results were sent to each target.
    pub sends: HashMap<TargetId, Vec<Time>>,
    /// When each request ended, and whether it was late or refused.
    pub(super) ends: Vec<(Time, bool)>,
    pub(super) calls: Vec<SimulatedCall>,
    /// Requests of each workspace that were submitted and served.
    by_workspace: HashMap<WorkspaceId, (u32, u32)>,
    /// Time of all calls in seconds, and its part for the results of delivered jobs.
    pub(super) stage_time: f64,
    pub(super) used_time: f64,
    /// Time for the jobs that have not ended.
    pub(super) time_by_job: HashMap<JobId, f64>,
}

impl Report {
    /// Returns the fraction of a kind's requests that were served on time.
    pub fn on_time(&self, kind: usize) -> f64 {
        let counts = self.counts[kind];
        f64::from(counts.on_time) / f64::from(counts.submitted.max(1))
    }

    /// Returns the fraction of a kind's requests that were served, on time or late.
    pub fn served(&self, kind: usize) -> f64 {
        let counts = self.counts[kind];
        f64::from(counts.on_time + counts.late) / f64::from(counts.submitted.max(1))
    }

    pub(super) fn record_submission(&mut self, workspace: &WorkspaceId) {
        let counts = self.by_workspace.entry(workspace.clone());
        counts.or_default().0 += 1;
    }

    pub(super) fn record_service(&mut self, workspace: Option<&WorkspaceId>) {
        if let Some(counts) = workspace.and_then(|name| self.by_workspace.get_mut(name)) {
            counts.1 += 1;
        }
    }

    /// Returns the fraction of the requests of each workspace that were served, in their order.
    pub fn served_by_workspace(&self) -> Vec<f64> {
        let workspaces = (0..self.by_workspace.len()).map(workspace);
        let counts = workspaces.map(|name| self.by_workspace[&name]);
        counts
            .map(|(submitted, served)| f64::from(served) / f64::from(submitted))
            .collect()
    }

    /// Returns the number of refused requests.
    pub fn refused(&self) -> u32 {
        self.counts.iter().map(|counts| counts.refused).sum()
    }

    /// Returns the fraction of the stage time that was spent on results that were never used.
    pub fn unused_stage_time(&self) -> f64 {
        1.0 - self.used_time / self.stage_time.max(f64::EPSILON)
    }

    /// Returns the fraction of callers that were refused again although they came back as told.
    pub fn refused_again(&self) -> f64 {
        let counts = self.counts.iter();
        let returned: u32 = counts.clone().map(|counts| counts.returned).sum();
        let again: u32 = counts.map(|counts| counts.refused_again).sum();
        f64::from(again) / f64::from(returned.max(1))
    }

    /// Returns the mean number of targets of a pool that run calls in a period, and the pieces a second.
    pub fn throughput(&self, pool: usize, begin: Time, end: Time) -> (f64, f64) {
        let pool = super::pool(pool);
        let calls = self.calls.iter().filter(|call| call.pool == pool);
        let (mut busy, mut pieces) = (0.0, 0.0);
        for call in calls {
            let inside = call.end.min(end).saturating_sub(call.start.max(begin));
            let taken = call.end.saturating_sub(call.start).as_secs_f64();
            busy += inside.as_secs_f64();
            pieces += call.pieces as f64 * inside.as_secs_f64() / taken;
        }
        let length = end.saturating_sub(begin).as_secs_f64();
        (busy / length, pieces / length)
    }

    /// Returns the fraction of late or refused requests among those that ended after `time`.
    pub fn late_after(&self, time: Time) -> f64 {
        let ends = self.ends.iter().filter(|(at, _)| *at > time);
        let (all, late) = ends.fold((0.0, 0.0), |(all, late), (_, is_late)| {
            (all + 1.0, late + f64::from(u8::from(*is_late)))
        });
        late / f64::max(all, 1.0)
    }
}
