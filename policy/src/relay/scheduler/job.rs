//! Jobs: the stages that a request needs, and their progress.

use super::{shares::Kind, stages::Stages};
use crate::{
    id::{DomainId, PoolId, RequestId, TargetId, Time, WorkspaceId},
    relay::stage::{ByStage, StageNumber},
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Identifies a result on the target that stores it.
pub type Handle = CompactString;

/// Hash of what all attempts of a caller at the same request have in common.
pub type RequestIdentity = u64;

/// Identifies a job within one scheduler.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId {
    /// Daemon that submitted the job, as numbered by the owner of the scheduler.
    pub origin: u64,
    /// Number of the job, unique for its origin.
    pub number: u64,
}

/// All stages of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Identifier of the job.
    pub id: JobId,
    /// Identifier of the request.
    pub request: RequestId,
    /// What the attempts of a caller at the same request have in common.
    pub identity: RequestIdentity,
    /// Input key for the pieces of stages that read no results.
    pub key: CompactString,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Latest time of the first event for the request to count as on time.
    pub objective: Time,
    /// When the caller gives up.
    pub deadline: Time,
    /// Expected time from the last result to the first event.
    pub first_event_latency: Duration,
    /// Domain in which the request's own target is expected, if known.
    pub preferred_domain: Option<DomainId>,
    /// Stages of the request.
    pub stages: Stages,
    /// Workspace of the request, if it has one.
    pub workspace: Option<WorkspaceId>,
    /// Whether an earlier scheduler may have accepted the job.
    pub is_resubmitted: bool,
}

/// Location of a result.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredResult {
    pub handle: Handle,
    pub target: TargetId,
    pub domain: DomainId,
    /// When the target discards the result.
    pub expires_at: Time,
}

/// Progress of one piece.
#[derive(Clone, Debug, Default)]
struct Piece {
    /// Absent until computed, and again if the result is lost.
    result: Option<StoredResult>,
    /// Number of calls that carry the piece and are not overdue.
    calls: u32,
}

/// Progress of one stage.
#[derive(Clone, Debug)]
pub(super) struct StageState {
    pieces: Vec<Piece>,
    /// Number of pieces without a result.
    missing: usize,
    /// Number of pieces to be sent.
    waiting: usize,
    /// Whether the results were released after all of their readers were done.
    pub is_freed: bool,
    /// Whether the stage is in its pool's queue.
    pub is_queued: bool,
}

/// A job in progress.
#[derive(Clone, Debug)]
pub(super) struct RunningJob {
    pub job: Job,
    pub stages: ByStage<StageState>,
    /// When the job was submitted.
    pub submitted_at: Time,
    /// Kind of its request.
    pub kind: Kind,
    /// Whether a piece has been sent, so that work would be lost if the job were refused.
    pub is_begun: bool,
    /// Domain whose targets are preferred for the pieces.
    pub home_domain: DomainId,
    /// Expected time to the first event without queueing, as of the last progress or review.
    pub remaining: Duration,
    /// Slack that the job needs to count as on time.
    pub on_time_margin: Duration,
    /// When the last result was stored; absent while the job is in progress.
    pub ready_at: Option<Time>,
    /// Number of failed pieces so far.
    pub failures: u32,
}

impl Piece {
    fn is_waiting(&self) -> bool {
        self.result.is_none() && self.calls == 0
    }
}

impl StageState {
    fn new(pieces: u32) -> Self {
        let pieces = pieces as usize;
        Self {
            pieces: vec![Piece::default(); pieces],
            missing: pieces,
            waiting: pieces,
            is_freed: false,
            is_queued: false,
        }
    }

    pub fn is_done(&self) -> bool {
        self.missing == 0
    }

    /// Returns the number of pieces without a result.
    pub fn missing(&self) -> usize {
        self.missing
    }

    /// Returns the number of pieces to be sent.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the indices of the pieces to be sent.
    pub fn waiting_indices(&self) -> impl Iterator<Item = usize> {
        let pieces = self.pieces.iter().enumerate();
        pieces.filter_map(|(index, piece)| piece.is_waiting().then_some(index))
    }

    pub fn results(&self) -> impl Iterator<Item = &StoredResult> {
        self.pieces.iter().filter_map(|piece| piece.result.as_ref())
    }

    /// Updates and returns whether the stage, which is queued, still has pieces to be sent.
    pub fn review_queued(&mut self) -> bool {
        self.is_queued = self.waiting > 0;
        self.is_queued
    }

    /// Records that a call carries a piece.
    pub fn begin_call(&mut self, piece: usize) {
        self.update(piece, |piece| piece.calls += 1);
    }

    /// Records that a call that carried a piece has ended or is overdue.
    pub fn end_call(&mut self, piece: usize) {
        self.update(piece, |piece| piece.calls = piece.calls.saturating_sub(1));
    }

    /// Stores the result of a piece, or returns it if the piece already has one.
    pub fn store(&mut self, piece: usize, result: StoredResult) -> Option<StoredResult> {
        if self.pieces[piece].result.is_some() {
            return Some(result);
        }
        self.update(piece, |piece| piece.result = Some(result));
        None
    }

    /// Discards the results that are lost, and returns whether there were any.
    fn discard(&mut self, is_lost: impl Fn(&StoredResult) -> bool) -> bool {
        let missing = self.missing;
        for index in 0..self.pieces.len() {
            if self.pieces[index].result.as_ref().is_some_and(&is_lost) {
                self.update(index, |piece| piece.result = None);
            }
        }
        self.missing > missing
    }

    /// Discards all results.
    pub fn reset(&mut self) {
        self.is_freed = false;
        self.discard(|_| true);
    }

    /// Changes a piece and counts it anew.
    fn update(&mut self, index: usize, change: impl FnOnce(&mut Piece)) {
        let piece = &mut self.pieces[index];
        self.missing -= usize::from(piece.result.is_none());
        self.waiting -= usize::from(piece.is_waiting());
        change(piece);
        self.missing += usize::from(piece.result.is_none());
        self.waiting += usize::from(piece.is_waiting());
    }
}

impl RunningJob {
    pub fn new(now: Time, job: Job, home_domain: DomainId) -> Self {
        let stages = job.stages.iter().map(|spec| StageState::new(spec.pieces));
        Self {
            submitted_at: now,
            kind: Kind::new(now, &job),
            is_begun: false,
            home_domain,
            remaining: Duration::ZERO,
            on_time_margin: Duration::ZERO,
            stages: stages.collect(),
            job,
            ready_at: None,
            failures: 0,
        }
    }

    /// Adds the number of missing pieces to the sum of each pool.
    pub fn add_missing_pieces(&self, sums: &mut HashMap<PoolId, usize>) {
        for (spec, stage) in self.job.stages.iter().zip(&self.stages) {
            match sums.get_mut(&spec.pool) {
                Some(sum) => *sum += stage.missing(),
                None => drop(sums.insert(spec.pool.clone(), stage.missing())),
            }
        }
    }

    /// Returns whether a pool has to be sent pieces of the job.
    pub fn has_waiting_pieces(&self, pool: &PoolId) -> bool {
        let mut stages = self.job.stages.iter().zip(&self.stages);
        stages.any(|(spec, stage)| spec.pool == *pool && stage.waiting() > 0)
    }

    /// Discards the results that are lost, and resets the stages whose released results are needed
    /// to compute them again. Returns whether any result was discarded.
    pub fn discard_results(&mut self, is_lost: impl Fn(&StoredResult) -> bool) -> bool {
        let mut has_any = false;
        for stage in self.job.stages.in_order().rev() {
            if self.stages[stage].is_freed {
                continue;
            }
            has_any |= self.stages[stage].discard(&is_lost);
            if !self.stages[stage].is_done() {
                for &from in &self.job.stages[stage].after {
                    if self.stages[from].is_freed {
                        self.stages[from].reset();
                    }
                }
            }
        }
        has_any
    }

    /// Returns whether no stage reads the results of `stage`.
    pub fn is_final(&self, stage: StageNumber) -> bool {
        let mut specs = self.job.stages.iter();
        !specs.any(|spec| spec.pieces > 0 && spec.after.contains(&stage))
    }

    /// Returns whether all inputs of `stage` are available.
    pub fn has_inputs(&self, stage: StageNumber) -> bool {
        let after = self.job.stages[stage].after.iter();
        after.copied().all(|from| self.stages[from].is_done())
    }

    /// Returns the bytes that the pieces of a stage read in total.
    pub fn read_bytes(&self, stage: StageNumber) -> u64 {
        let spec = &self.job.stages[stage];
        let inputs = spec.after.iter().map(|&from| {
            let from = &self.job.stages[from];
            from.bytes * u64::from(from.pieces)
        });
        inputs.sum::<u64>() * u64::from(spec.pieces)
    }

    /// Returns the handles of the results of several stages in order.
    pub fn results(&self, stages: impl Iterator<Item = StageNumber>) -> Vec<Handle> {
        stages
            .flat_map(|stage| self.stages[stage].results())
            .map(|result| result.handle.clone())
            .collect()
    }

    /// Returns the handles of all final results in order.
    pub fn final_results(&self) -> Vec<Handle> {
        let stages = self.stages.keys();
        self.results(stages.filter(|&stage| self.is_final(stage)))
    }

    /// Returns the domain that holds the most large final results, if there are any.
    pub fn large_result_domain(&self) -> Option<DomainId> {
        let stages = self.stages.keys().filter(|&stage| self.is_final(stage));
        let heavy =
            stages.filter(|&stage| self.job.stages[stage].bytes >= super::LARGE_RESULT_BYTES);
        let mut sums: Vec<(DomainId, usize)> = Vec::new();
        for result in heavy.flat_map(|stage| self.stages[stage].results()) {
            match sums.iter_mut().find(|(domain, _)| *domain == result.domain) {
                Some((_, count)) => *count += 1,
                None => sums.push((result.domain.clone(), 1)),
            }
        }
        let most = sums.into_iter().max_by_key(|&(_, count)| count);
        most.map(|(domain, _)| domain)
    }

    /// Returns the time until the last stage is done. `end` maps an unfinished stage and the time
    /// at which its inputs are available to the time at which it is done.
    pub fn critical_path(&self, end: impl Fn(StageNumber, Duration) -> Duration) -> Duration {
        let mut stage_ends: ByStage<Duration> =
            std::iter::repeat_n(Duration::ZERO, self.stages.len()).collect();
        for stage in self.job.stages.in_order() {
            let inputs = self.job.stages[stage].after.iter();
            let before = inputs.map(|&from| stage_ends[from]).max();
            let before = before.unwrap_or_default();
            stage_ends[stage] = if self.stages[stage].is_done() {
                before
            } else {
                end(stage, before)
            };
        }
        stage_ends.into_iter().max().unwrap_or_default()
    }
}
