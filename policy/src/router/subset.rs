//! Stable subset of a pool's targets, balanced over failure domains.

use crate::{
    hash,
    id::{DomainId, HostId, Time},
    router::TargetState,
};
use std::{cmp::Reverse, collections::HashMap, time::Duration};

/// Time without saturation after which an enlarged subset shrinks.
const SHRINK_DELAY: Duration = Duration::from_secs(30);

/// Minimum time between two enlargements because of targets at capacity.
const MIN_GROW_INTERVAL: Duration = Duration::from_secs(1);

/// Targets of one pool in order of preference; a prefix of them is active.
#[derive(Debug, Default)]
pub(super) struct Subset {
    ranking: Vec<u32>,
    /// Requested size; can exceed the number of targets.
    size: usize,
    /// Number of active targets.
    active: usize,
    /// Time of the last resize, or of the last attempt to grow if there was no further target.
    resized_at: Option<Time>,
    last_chosen: Option<u32>,
}

impl Subset {
    /// Returns the targets that this entry routes to.
    pub fn active(&self) -> &[u32] {
        &self.ranking[..self.active]
    }

    /// Removes all targets; the size is kept for the next [`set`](Self::set).
    pub fn clear(&mut self) {
        self.ranking.clear();
        self.active = 0;
    }

    /// Sets the targets, of which `size` are active, or more while the subset is enlarged.
    pub fn set(&mut self, ranking: Vec<u32>, size: usize) {
        self.size = self.size.max(size);
        self.active = self.size.min(ranking.len());
        self.ranking = ranking;
    }

    /// Doubles the subset and returns whether that added a target.
    pub fn grow(&mut self, now: Time) -> bool {
        let before = self.active;
        self.size = (self.active * 2).max(1);
        self.active = self.size.min(self.ranking.len());
        self.resized_at = Some(now);
        self.active > before
    }

    /// Returns whether enough time has passed to enlarge the subset again.
    pub fn may_grow(&self, now: Time) -> bool {
        self.resized_at
            .is_none_or(|resized_at| now >= resized_at + MIN_GROW_INTERVAL)
    }

    /// Sets the position of the round robin.
    pub const fn set_last_chosen(&mut self, index: u32) {
        self.last_chosen = Some(index);
    }

    /// Returns the first of `candidates` after the last chosen target, in the order of the subset.
    pub fn next_round_robin(&self, candidates: &[u32]) -> u32 {
        let last = self
            .ranking
            .iter()
            .position(|index| Some(*index) == self.last_chosen);
        let after = last.map_or(0, |last| last + 1);
        let rotation = self.ranking[after..].iter().chain(&self.ranking[..after]);
        rotation
            .copied()
            .find(|index| candidates.contains(index))
            .unwrap_or(candidates[0])
    }

    /// Halves an enlarged subset, down to `size`, if it was not saturated for [`SHRINK_DELAY`].
    pub fn shrink(&mut self, now: Time, size: usize) {
        let is_due = self
            .resized_at
            .is_none_or(|resized_at| now >= resized_at + SHRINK_DELAY);
        if self.size > size && is_due {
            self.size = (self.size / 2).max(size);
            self.active = self.size.min(self.ranking.len());
            self.resized_at = Some(now);
        }
    }
}

/// Sorts targets by rendezvous hashing with `identity`, interleaving the failure domains.
///
/// Adding or removing a target only shifts the lower-ranked targets of its own domain.
pub(super) fn rank(members: &mut [u32], targets: &[TargetState], identity: &HostId) {
    let host = |index: &u32| &targets[*index as usize].host;
    let weight = |index: &u32| hash::rendezvous_weight(identity, &host(index).target);
    members.sort_by_cached_key(|index| (Reverse(weight(index)), *index));
    let mut domain_counts: HashMap<&DomainId, usize> = HashMap::new();
    let mut rank_in_domain = HashMap::new();
    for index in members.iter() {
        let position = domain_counts.entry(&host(index).domain).or_default();
        rank_in_domain.insert(*index, *position);
        *position += 1;
    }
    members.sort_by_key(|index| rank_in_domain[index]);
}
