//! What a request needs from its stages, and how far it has come.

use crate::id::{DomainId, PoolId, RequestId, TargetId, Time};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Names a result at the target that made it.
pub type Handle = CompactString;

/// Names a job on one board.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId {
    /// Daemon that asked for the job, by a number that the board's owner gives it.
    pub origin: u64,
    /// Number that the daemon gave the job.
    pub number: u64,
}

/// Pieces of one stage that a request needs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageSpec {
    /// Pool that makes the pieces.
    pub pool: PoolId,
    /// Stages whose results each piece reads.
    pub after: Vec<usize>,
    /// Approximate size of one result in bytes.
    pub bytes: u64,
    /// Number of pieces; 0 leaves the stage out.
    pub pieces: u32,
}

/// All stages of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Name of the job.
    pub id: JobId,
    /// Identifier of the request.
    pub request: RequestId,
    /// Key of the pieces that read no results.
    pub key: CompactString,
    /// Rank, 0 first.
    pub priority: u8,
    /// When the request's first event is due for its full worth.
    pub objective: Time,
    /// When the caller leaves.
    pub deadline: Time,
    /// Time from the last result to the first event.
    pub first_event_latency: Duration,
    /// Domain that the request's target is expected in.
    pub preferred_domain: Option<DomainId>,
    /// The stages, each after those that it reads.
    pub stages: Vec<StageSpec>,
}

/// Where the results of a job are.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredResult {
    pub handle: Handle,
    pub target: TargetId,
    pub domain: DomainId,
    /// When the target drops the result.
    pub expires_at: Time,
}

/// One piece on its way.
#[derive(Clone, Debug, Default)]
pub(super) struct Piece {
    pub result: Option<StoredResult>,
    /// Calls that carry the piece and are not overdue.
    pub calls: u32,
}

/// One stage on its way.
#[derive(Clone, Debug)]
pub(super) struct StageState {
    pub pieces: Vec<Piece>,
    pub is_freed: bool,
    /// Whether the stage is in its pool's queue.
    pub is_queued: bool,
    /// When the stage came into its pool's queue.
    pub queued_at: Time,
}

/// A job on its way.
#[derive(Clone, Debug)]
pub(super) struct RunningJob {
    pub job: Job,
    pub stages: Vec<StageState>,
    /// Domain whose targets make the pieces, unless others are idle.
    pub home_domain: DomainId,
    /// Usual time to the first event, as of the last change or look.
    pub remaining: Duration,
    /// When all results were made.
    pub ready_at: Option<Time>,
    /// Pieces that failed so far.
    pub failures: u32,
}

impl Piece {
    pub fn is_waiting(&self) -> bool {
        self.result.is_none() && self.calls == 0
    }
}

impl StageState {
    pub fn is_done(&self) -> bool {
        self.pieces.iter().all(|piece| piece.result.is_some())
    }

    pub fn waiting(&self) -> impl Iterator<Item = usize> {
        let pieces = self.pieces.iter().enumerate();
        pieces.filter_map(|(index, piece)| piece.is_waiting().then_some(index))
    }
}

impl RunningJob {
    pub fn new(job: Job, home_domain: DomainId) -> Self {
        let stages = job.stages.iter().map(|spec| StageState {
            pieces: vec![Piece::default(); spec.pieces as usize],
            is_freed: false,
            is_queued: false,
            queued_at: Time::ZERO,
        });
        Self {
            home_domain,
            remaining: Duration::ZERO,
            stages: stages.collect(),
            job,
            ready_at: None,
            failures: 0,
        }
    }

    /// Adds the pieces that are not made to those of each pool.
    pub fn add_missing_pieces(&self, sums: &mut HashMap<PoolId, usize>) {
        for (spec, stage) in self.job.stages.iter().zip(&self.stages) {
            let missing = stage.pieces.iter().filter(|piece| piece.result.is_none());
            match sums.get_mut(&spec.pool) {
                Some(sum) => *sum += missing.count(),
                None => drop(sums.insert(spec.pool.clone(), missing.count())),
            }
        }
    }

    /// Lets the pieces wait again whose results are lost, with the freed inputs that they need.
    pub fn discard_results(&mut self, is_lost: impl Fn(&StoredResult) -> bool) -> bool {
        let mut has_any = false;
        for stage in (0..self.stages.len()).rev() {
            if self.stages[stage].is_freed {
                continue;
            }
            for piece in &mut self.stages[stage].pieces {
                if piece.result.as_ref().is_some_and(&is_lost) {
                    piece.result = None;
                    has_any = true;
                }
            }
            if !self.stages[stage].is_done() {
                for from in self.job.stages[stage].after.clone() {
                    if self.stages[from].is_freed {
                        self.reset_stage(from);
                    }
                }
            }
        }
        has_any
    }

    /// Lets all pieces of a stage wait again.
    pub fn reset_stage(&mut self, stage: usize) {
        let stage = &mut self.stages[stage];
        stage.is_freed = false;
        for piece in &mut stage.pieces {
            piece.result = None;
        }
    }

    /// Returns whether no stage reads the results of `stage`.
    pub fn is_final(&self, stage: usize) -> bool {
        let mut specs = self.job.stages.iter();
        !specs.any(|spec| spec.pieces > 0 && spec.after.contains(&stage))
    }

    /// Returns whether all inputs of `stage` are made.
    pub fn has_inputs(&self, stage: usize) -> bool {
        let after = self.job.stages[stage].after.iter();
        after.copied().all(|from| self.stages[from].is_done())
    }

    /// Returns the bytes that all pieces of a stage read.
    pub fn read_bytes(&self, stage: usize) -> u64 {
        let spec = &self.job.stages[stage];
        let inputs = spec.after.iter().map(|&from| {
            let from = &self.job.stages[from];
            from.bytes * u64::from(from.pieces)
        });
        inputs.sum::<u64>() * u64::from(spec.pieces)
    }

    /// Returns the results of several stages in order.
    pub fn results(&self, stages: impl Iterator<Item = usize>) -> Vec<Handle> {
        stages
            .flat_map(|stage| self.stages[stage].pieces.iter())
            .filter_map(|piece| piece.result.as_ref().map(|result| result.handle.clone()))
            .collect()
    }

    /// Returns all final results in order.
    pub fn final_results(&self) -> Vec<Handle> {
        let stages = 0..self.stages.len();
        self.results(stages.filter(|&stage| self.is_final(stage)))
    }

    /// Returns the domain that holds most bytes of the final results, if these are large.
    pub fn large_result_domain(&self) -> Option<DomainId> {
        let stages = (0..self.stages.len()).filter(|&stage| self.is_final(stage));
        let heavy =
            stages.filter(|&stage| self.job.stages[stage].bytes >= super::LARGE_RESULT_BYTES);
        let mut sums: Vec<(DomainId, usize)> = Vec::new();
        for result in heavy
            .flat_map(|stage| &self.stages[stage].pieces)
            .filter_map(|piece| piece.result.as_ref())
        {
            match sums.iter_mut().find(|(domain, _)| *domain == result.domain) {
                Some((_, count)) => *count += 1,
                None => sums.push((result.domain.clone(), 1)),
            }
        }
        let most = sums.into_iter().max_by_key(|&(_, count)| count);
        most.map(|(domain, _)| domain)
    }

    /// Returns the time to the last result; `end` gives when a stage that is not made ends, from
    /// when its inputs are.
    pub fn critical_path(&self, end: impl Fn(usize, Duration) -> Duration) -> Duration {
        let mut stage_ends: Vec<Duration> = Vec::with_capacity(self.stages.len());
        for (stage, spec) in self.job.stages.iter().enumerate() {
            let before = spec
                .after
                .iter()
                .filter_map(|&from| stage_ends.get(from).copied());
            let before = before.max().unwrap_or_default();
            stage_ends.push(if self.stages[stage].is_done() {
                before
            } else {
                end(stage, before)
            });
        }
        stage_ends.into_iter().max().unwrap_or_default()
    }
}
