//! Composition of the next call to a stage target.
//!
//! In a burst, the memory for results limits a pool more than the time of its targets does: a result
//! is held from the start of its own call until its reader's call has ended. Stages therefore leave
//! their home domain for an idle target when their home targets stay busy, and are not split when
//! the parts would hold memory for one another.
//!
//! Targets that have become slow are avoided unless the queue is so long that they help. Now and then
//! they are tried with a small call, since nothing else would show that they have recovered.

use super::{JobId, PoolState, Scheduler, job::RunningJob, target::StageTarget};
use crate::{
    id::Time,
    relay::{plan, stage::StageNumber},
};
use std::cmp::Reverse;

/// Slowdown relative to the fastest target of the pool above which a target counts as slow.
pub(super) const SLOW_FACTOR: f64 = 2.0; // targets of one pool differ by about 25%

/// Slowdown relative to the median of the pool above which faster targets are preferred.
const SLUGGISH_FACTOR: f64 = 1.2; // targets of one pool differ by about 25%

/// Identifies a stage of a job.
pub(super) type StageRef = (JobId, StageNumber);

/// Identifies a piece by job, stage and number within the stage.
pub(super) type PieceRef = (JobId, StageNumber, usize);

/// The next call to a target of a pool.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    /// Index of the target.
    pub target: usize,
    pub pieces: Vec<PieceRef>,
    /// Whether it shows if a slow target has recovered.
    pub is_probe: bool,
}

/// A queued stage that a call may carry.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    running: &'a RunningJob,
    stage: StageNumber,
    /// Number of pieces to be sent.
    waiting: usize,
    /// Whether it does not wait for a target in its home domain.
    leaves_home: bool,
    /// Whether it transfers little data when it runs in another domain.
    reads_little: bool,
}

impl Candidate<'_> {
    /// Returns whether a target is in the home domain of the stage's job.
    fn is_at_home(&self, stage_target: &StageTarget) -> bool {
        self.running.home_domain == stage_target.domain
    }
}

/// Whether a call may take only part of a stage's pieces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Split {
    Allowed,
    Refused,
}

impl Scheduler {
    /// Chooses a target and the pieces of its next call.
    pub(super) fn build_call(
        &self,
        now: Time,
        pool_state: &PoolState,
        limits: &plan::BatchLimits,
        order: &[StageRef],
    ) -> Option<Choice> {
        let max_slowdown = self.max_slowdown(pool_state, limits);
        let idle = idle_by_preference(now, pool_state, limits);
        if idle.is_empty() {
            return None;
        }
        let candidates = self.candidates(now, pool_state, limits, max_slowdown, order);
        for target in idle {
            let stage_target = &pool_state.targets[target];
            let is_probe = stage_target.slowdown > max_slowdown;
            if is_probe && !stage_target.is_probe_due(now) {
                continue;
            }
            let pieces = if is_probe {
                probe_pieces(stage_target, limits, &candidates)
            } else {
                usual_pieces(stage_target, limits, &candidates)
            };
            if !pieces.is_empty() {
                return Some(Choice {
                    target,
                    pieces,
                    is_probe,
                });
            }
        }
        None
    }

    /// Returns the queued stages of a pool that have their inputs, in order.
    fn candidates(
        &self,
        now: Time,
        pool_state: &PoolState,
        limits: &plan::BatchLimits,
        max_slowdown: f64,
        order: &[StageRef],
    ) -> Vec<Candidate<'_>> {
        let mut homes = self.home_targets(now, pool_state, max_slowdown);
        let call_time = pool_state.expected_call_time();
        let mut candidates = Vec::with_capacity(order.len());
        for &(id, stage) in order {
            let Some(running) = self.jobs.get(&id) else {
                continue;
            };
            let waiting = running.stages[stage].waiting();
            let mut homes = homes.iter_mut();
            let home = homes.find(|home| *home.domain == running.home_domain);
            let home_wait = home.map(|home| home.queue(now, waiting, limits));
            // Inputs may have been lost, and pieces sent, since the queue was sorted.
            if waiting == 0 || !running.has_inputs(stage) {
                continue;
            }
            candidates.push(Candidate {
                running,
                stage,
                waiting,
                leaves_home: running.leaves_home(stage, home_wait, call_time),
                reads_little: running.reads_little(stage),
            });
        }
        candidates
    }

    /// Returns the slowdown up to which targets get usual calls: a slower one would complete its call only
    /// after the others have drained the queue.
    pub(super) fn max_slowdown(&self, pool_state: &PoolState, limits: &plan::BatchLimits) -> f64 {
        let slowdowns = pool_state.targets.iter().map(|target| target.slowdown);
        let fastest = slowdowns.clone().fold(f64::INFINITY, f64::min);
        let usual = fastest * SLOW_FACTOR;
        if slowdowns.fold(0.0, f64::max) <= usual {
            return usual;
        }
        let drain_seconds =
            self.count_waiting(pool_state) as f64 / pool_state.rate(limits, SLOW_FACTOR);
        usual.max(1.0 + drain_seconds / limits.full_call_time().as_secs_f64())
    }
}

/// Returns the pieces of a call to a target that is not slow.
fn usual_pieces(
    stage_target: &StageTarget,
    limits: &plan::BatchLimits,
    candidates: &[Candidate<'_>],
) -> Vec<PieceRef> {
    let batch = limits.max_pieces;
    let mut room = stage_target.room(limits);
    let mut pieces = Vec::with_capacity(batch);
    let own = candidates
        .iter()
        .filter(|candidate| candidate.is_at_home(stage_target));
    add_pieces(&own, batch, &mut room, Split::Allowed, &mut pieces);
    let is_empty = pieces.is_empty();
    let others = candidates.iter().filter(|candidate| {
        // A call that is sent anyway takes only stages that would wait long at home.
        !candidate.is_at_home(stage_target)
            && (candidate.leaves_home || is_empty && candidate.reads_little)
    });
    add_pieces(&others, batch, &mut room, Split::Refused, &mut pieces);
    pieces
}

/// Returns the pieces of a call that shows whether a slow target has recovered: those of the least urgent
/// stage of its domain, which bears the risk.
fn probe_pieces(
    stage_target: &StageTarget,
    limits: &plan::BatchLimits,
    candidates: &[Candidate<'_>],
) -> Vec<PieceRef> {
    let mut room = stage_target.room(limits);
    let mut pieces = Vec::new();
    let mut own = candidates
        .iter()
        .filter(|candidate| candidate.is_at_home(stage_target));
    let last = own.next_back().into_iter();
    add_pieces(
        &last,
        limits.max_pieces,
        &mut room,
        Split::Refused,
        &mut pieces,
    );
    pieces
}

/// Adds whole stages in order while they fit, then, if splitting is allowed, fills the remaining capacity
/// with parts of stages.
fn add_pieces<'a>(
    candidates: &(impl Iterator<Item = &'a Candidate<'a>> + Clone),
    batch: usize,
    room: &mut u64,
    split: Split,
    chosen: &mut Vec<PieceRef>,
) {
    // A large result that does not fit yet blocks large results of less urgent stages, which
    // would otherwise take the memory it waits for.
    let mut is_blocked = false;
    let passes: &[bool] = match split {
        Split::Allowed => &[true, false],
        Split::Refused => &[true],
    };
    for &whole_only in passes {
        for candidate in candidates.clone() {
            if chosen.len() >= batch {
                return;
            }
            let (id, stage) = (candidate.running.job.id, candidate.stage);
            let bytes = candidate.running.job.stages[stage].bytes;
            let is_large = bytes >= super::LARGE_RESULT_BYTES;
            let is_chosen = chosen.iter().any(|&(job, of, _)| (job, of) == (id, stage));
            if is_blocked && is_large || is_chosen {
                continue;
            }
            let room_pieces = *room / bytes.max(1);
            let fits = (batch - chosen.len()).min(room_pieces as usize);
            if fits == 0 {
                is_blocked |= is_large;
                continue;
            }
            let waiting = candidate.waiting;
            // Results of part of a stage hold memory until the rest is done, so a stage is split
            // only to fill a call, and not if its results are large or memory is short.
            let has_room = room_pieces >= waiting as u64;
            let may_split = (has_room && !is_large) || waiting > batch / 2;
            if fits < waiting && (whole_only || !may_split) {
                is_blocked |= is_large && !may_split;
                continue;
            }
            for piece in candidate.running.stages[stage].waiting_indices().take(fits) {
                *room -= bytes;
                chosen.push((id, stage, piece));
            }
        }
    }
}

/// Returns the indices of a pool's idle targets, those with the most memory for results first, and
/// sluggish ones last.
///
/// A target is sluggish compared with the median, not with each other target, which would be no order:
/// of three targets, the first may be as fast as the second, and the second as the third, although the
/// third is sluggish compared with the first.
fn idle_by_preference(now: Time, pool_state: &PoolState, limits: &plan::BatchLimits) -> Vec<usize> {
    let max_slowdown = median_slowdown(pool_state) * SLUGGISH_FACTOR;
    let targets = pool_state.targets.iter().enumerate();
    let idle = targets.filter(|(_, stage_target)| stage_target.is_idle(now));
    let mut idle: Vec<usize> = idle.map(|(index, _)| index).collect();
    idle.sort_by_cached_key(|&index| {
        let stage_target = &pool_state.targets[index];
        let is_sluggish = stage_target.slowdown > max_slowdown;
        (is_sluggish, Reverse(stage_target.room(limits)))
    });
    idle
}

fn median_slowdown(pool_state: &PoolState) -> f64 {
    let targets = pool_state.targets.iter();
    let mut slowdowns: Vec<f64> = targets.map(|target| target.slowdown).collect();
    let middle = slowdowns.len() / 2;
    if slowdowns.is_empty() {
        return 1.0;
    }
    *slowdowns.select_nth_unstable_by(middle, f64::total_cmp).1
}
