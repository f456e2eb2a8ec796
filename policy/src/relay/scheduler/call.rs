//! Composition of the next call to a stage target.
//!
//! In a burst, the memory for results limits a pool more than the time of its targets does: a result
//! is held from the start of its own call until its reader's call has ended. Stages therefore leave
//! their home domain for an idle target when their home targets stay busy, and are not split when
//! the parts would hold memory for one another.

use super::{JobId, PoolState, Scheduler};
use crate::{id::Time, relay::plan};
use std::cmp::Reverse;

/// Slowdown relative to the fastest target of the pool above which a target counts as slow.
pub(super) const SLOW_FACTOR: f64 = 2.0; // targets of one pool differ by about 25%

/// Slowdown relative to the median of the pool above which faster targets are preferred.
const SLUGGISH_FACTOR: f64 = 1.2; // targets of one pool differ by about 25%

/// Identifies a piece by job, stage and index within the stage.
pub(super) type PieceRef = (JobId, usize, usize);

/// Whether a call may take only part of a stage's pieces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Split {
    Allowed,
    Refused,
}

impl Scheduler {
    /// Chooses a target, by index, and the pieces of its next call.
    pub(super) fn build_call(
        &self,
        now: Time,
        pool_state: &PoolState,
        limits: &plan::BatchLimits,
        order: &[(JobId, usize)],
    ) -> Option<(usize, Vec<PieceRef>)> {
        let min_slowdown = pool_state
            .targets
            .iter()
            .map(|stage_target| stage_target.slowdown);
        let min_slowdown = min_slowdown.fold(f64::INFINITY, f64::min);
        let idle = idle_by_preference(now, pool_state, limits);
        let home_waits = self.home_waits(now, pool_state, limits, order);
        for index in idle {
            let stage_target = &pool_state.targets[index];
            if stage_target.slowdown > min_slowdown * SLOW_FACTOR
                && !self.is_worth_calling(pool_state, limits, stage_target.slowdown)
            {
                continue;
            }
            let mut room = stage_target.room(limits);
            let mut chosen = Vec::with_capacity(limits.max_pieces);
            let (own, others): (Vec<_>, Vec<_>) = order.iter().copied().partition(|(job, _)| {
                let running = self.jobs.get(job);
                running.is_some_and(|running| running.home_domain == stage_target.domain)
            });
            let batch = limits.max_pieces;
            self.add_pieces(&own, batch, &mut room, Split::Allowed, &mut chosen);
            let is_empty = chosen.is_empty();
            let others = others.into_iter().filter(|entry| {
                let leaves_home = self.leaves_home(*entry, home_waits.get(entry).copied());
                // A call that is sent anyway takes only stages that would wait long at home.
                leaves_home || is_empty && self.reads_little(*entry)
            });
            let others: Vec<(JobId, usize)> = others.collect();
            self.add_pieces(&others, batch, &mut room, Split::Refused, &mut chosen);
            if !chosen.is_empty() {
                return Some((index, chosen));
            }
        }
        None
    }

    /// Returns whether a slow target would complete a call before the other targets would have
    /// drained the queue.
    fn is_worth_calling(
        &self,
        pool_state: &PoolState,
        limits: &plan::BatchLimits,
        slowdown: f64,
    ) -> bool {
        let drain_seconds =
            self.count_waiting(pool_state) as f64 / pool_state.rate(limits, SLOW_FACTOR);
        drain_seconds > limits.full_call_time().as_secs_f64() * (slowdown - 1.0)
    }

    /// Adds whole stages in order while they fit, then, if splitting is allowed, fills the
    /// remaining capacity with parts of stages.
    fn add_pieces(
        &self,
        order: &[(JobId, usize)],
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
            for &(job, stage) in order {
                if chosen.len() >= batch {
                    return;
                }
                let Some(running) = self.jobs.get(&job) else {
                    continue;
                };
                let bytes = running.job.stages[stage].bytes;
                let is_held_back = is_blocked && bytes >= super::LARGE_RESULT_BYTES;
                // Inputs may have been lost since the queue was sorted.
                if is_held_back || !running.has_inputs(stage) {
                    continue;
                }
                let fits = (batch - chosen.len()).min((*room / bytes.max(1)) as usize);
                if fits == 0 {
                    is_blocked |= bytes >= super::LARGE_RESULT_BYTES;
                    continue;
                }
                let waiting = running.stages[stage].waiting();
                let waiting: Vec<usize> = waiting
                    .filter(|&piece| !chosen.contains(&(job, stage, piece)))
                    .collect();
                let is_split = fits < waiting.len();
                // Results of part of a stage hold memory until the rest is done, so a stage is split
                // only to fill a call, and not if its results are large or memory is short.
                let has_room = *room / bytes.max(1) >= waiting.len() as u64;
                let may_split =
                    (has_room && bytes < super::LARGE_RESULT_BYTES) || waiting.len() > batch / 2;
                if is_split && (whole_only || !may_split) {
                    is_blocked |= bytes >= super::LARGE_RESULT_BYTES && !may_split;
                    continue;
                }
                let taken = waiting.into_iter().take(fits);
                for piece in taken {
                    *room -= bytes;
                    chosen.push((job, stage, piece));
                }
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
