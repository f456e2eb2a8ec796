//! Stable subset of a pool's targets, spread over failure domains.

use crate::{
    hash,
    id::{DomainId, HostId, Time},
    router::Target,
};
use std::{cmp::Reverse, collections::HashMap, time::Duration};

/// Time without saturation after which a widened subset shrinks again.
const SHRINK_AFTER: Duration = Duration::from_secs(30);

/// Time between two widenings for want of room.
const WIDEN_PAUSE: Duration = Duration::from_secs(1);

/// Targets of one pool in the order of preference, of which the first ones are in use.
#[derive(Debug, Default)]
pub(super) struct Subset {
    order: Vec<u32>,
    size: usize,
    active: usize,
    widened: Option<Time>,
    last: Option<u32>,
}

impl Subset {
    /// Returns the targets in use.
    pub fn active(&self) -> &[u32] {
        &self.order[..self.active]
    }

    /// Removes all targets; the width is kept for the next [`set`](Self::set).
    pub fn clear(&mut self) {
        self.order.clear();
        self.active = 0;
    }

    /// Sets the targets, of which `size` are used, or more while the subset is widened.
    pub fn set(&mut self, order: Vec<u32>, size: usize) {
        self.size = self.size.max(size);
        self.active = self.size.min(order.len());
        self.order = order;
    }

    /// Doubles the subset, and returns whether that brought another target.
    pub fn widen(&mut self, now: Time) -> bool {
        let before = self.active;
        self.size = (self.active * 2).max(1);
        self.active = self.size.min(self.order.len());
        self.widened = Some(now);
        self.active > before
    }

    /// Returns whether the subset may be widened again for want of room.
    pub fn may_widen(&self, now: Time) -> bool {
        self.widened
            .is_none_or(|widened| now >= widened + WIDEN_PAUSE)
    }

    /// Notes the target that was chosen last.
    pub const fn set_last(&mut self, index: u32) {
        self.last = Some(index);
    }

    /// Returns the one of `roomy`, in the order of the subset, that follows the last choice.
    pub fn next_of(&self, roomy: &[u32]) -> u32 {
        let last = self
            .order
            .iter()
            .position(|index| Some(*index) == self.last);
        let after = last.map_or(0, |last| last + 1);
        let turn = self.order[after..].iter().chain(&self.order[..after]);
        turn.copied()
            .find(|index| roomy.contains(index))
            .unwrap_or(roomy[0])
    }

    /// Halves a widened subset, down to `size`, after a time without saturation.
    pub fn settle(&mut self, now: Time, size: usize) {
        let quiet = self
            .widened
            .is_none_or(|widened| now >= widened + SHRINK_AFTER);
        if self.size > size && quiet {
            self.size = (self.size / 2).max(size);
            self.active = self.size.min(self.order.len());
            self.widened = Some(now);
        }
    }
}

/// Sorts targets by rendezvous hashing with `identity`, taking one of each domain in turn.
///
/// A target that comes or goes moves only the targets behind it in its own domain.
pub(super) fn order(members: &mut [u32], targets: &[Target], identity: &HostId) {
    let host = |index: &u32| &targets[*index as usize].host;
    let weight = |index: &u32| rendezvous(identity, &host(index).target);
    members.sort_by_cached_key(|index| (Reverse(weight(index)), *index));
    let mut turns: HashMap<&DomainId, usize> = HashMap::new();
    let mut turn_of = HashMap::new();
    for index in members.iter() {
        let turn = turns.entry(&host(index).domain).or_default();
        turn_of.insert(*index, *turn);
        *turn += 1;
    }
    members.sort_by_key(|index| turn_of[index]);
}

/// Returns the weight of a target for an entry; the highest ones are preferred.
fn rendezvous(identity: &HostId, target: &str) -> u64 {
    let mut x = hash::texts(&[identity, target]);
    // Finalizer of MurmurHash3, since FNV-1a mixes its last bytes too little for an order.
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
