//! Stable subset of a pool's targets, spread over failure domains.

use crate::{
    hash,
    id::{DomainId, HostId, Time},
    router::TargetState,
};
use std::{cmp::Reverse, collections::HashMap, time::Duration};

/// Time without saturation after which a widened subset shrinks again.
const SHRINK_DELAY: Duration = Duration::from_secs(30);

/// Time between two widenings for want of room.
const MIN_GROW_INTERVAL: Duration = Duration::from_secs(1);

/// Targets of one pool in the order of preference, of which the first ones are in use.
#[derive(Debug, Default)]
pub(super) struct Subset {
    ranking: Vec<u32>,
    size: usize,
    active: usize,
    resized_at: Option<Time>,
    last_chosen: Option<u32>,
}

impl Subset {
    /// Returns the targets in use.
    pub fn active(&self) -> &[u32] {
        &self.ranking[..self.active]
    }

    /// Removes all targets; the width is kept for the next [`set`](Self::set).
    pub fn clear(&mut self) {
        self.ranking.clear();
        self.active = 0;
    }

    /// Sets the targets, of which `size` are used, or more while the subset is widened.
    pub fn set(&mut self, ranking: Vec<u32>, size: usize) {
        self.size = self.size.max(size);
        self.active = self.size.min(ranking.len());
        self.ranking = ranking;
    }

    /// Doubles the subset, and returns whether that brought another target.
    pub fn grow(&mut self, now: Time) -> bool {
        let before = self.active;
        self.size = (self.active * 2).max(1);
        self.active = self.size.min(self.ranking.len());
        self.resized_at = Some(now);
        self.active > before
    }

    /// Returns whether the subset may be widened again for want of room.
    pub fn may_grow(&self, now: Time) -> bool {
        self.resized_at
            .is_none_or(|resized_at| now >= resized_at + MIN_GROW_INTERVAL)
    }

    /// Notes the target that was chosen last.
    pub const fn set_last_chosen(&mut self, index: u32) {
        self.last_chosen = Some(index);
    }

    /// Returns the one of `candidates`, in the order of the subset, that follows the last choice.
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

    /// Halves a widened subset, down to `size`, after a time without saturation.
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

/// Sorts targets by rendezvous hashing with `identity`, taking one of each domain in turn.
///
/// A target that comes or goes moves only the targets behind it in its own domain.
pub(super) fn rank(members: &mut [u32], targets: &[TargetState], identity: &HostId) {
    let host = |index: &u32| &targets[*index as usize].host;
    let weight = |index: &u32| rendezvous_weight(identity, &host(index).target);
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

/// Returns the weight of a target for an entry; the highest ones are preferred.
fn rendezvous_weight(identity: &HostId, target: &str) -> u64 {
    let mut x = hash::texts(&[identity, target]);
    // Finalizer of MurmurHash3, since FNV-1a mixes its last bytes too little for an order.
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
