//! Index of the prompt blocks that targets hold in their prefix caches.
//!
//! A block is noted when a prompt that contains it is sent to a target, and corrected by the
//! target's own events, which come late and with gaps. After a gap, what was known of the target
//! counts half.

use crate::{
    host::CacheChange,
    id::{BlockHash, Time},
};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Blocks that the index remembers.
const CAPACITY: usize = 65_536;

/// Targets that the index remembers for one block.
const HOLDERS: usize = 4;

/// Age up to which an event may be older than what was sent since.
const EVENT_LAG: Duration = Duration::from_secs(2);

/// Confidence that is left in an entry after each gap.
const GAP_DECAY: f64 = 0.5;

/// Gaps after which an entry counts for nothing.
const LOST_GAPS: u32 = 16;

/// Index of the prompt blocks that targets hold.
#[derive(Debug, Default)]
pub(super) struct Index {
    blocks: HashMap<BlockHash, Block>,
    ages: VecDeque<(BlockHash, u64)>,
    clock: u64,
    caches: Vec<Cache>,
}

/// State of one target's event stream.
#[derive(Clone, Copy, Debug, Default)]
struct Cache {
    sequence: Option<u64>,
    gaps: u32,
}

#[derive(Clone, Debug, Default)]
struct Block {
    touched: u64,
    holders: [Option<Holder>; HOLDERS],
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    target: u32,
    gaps: u32,
    /// Until when events of removal may be older than what was sent.
    guarded: Time,
}

impl Index {
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a prompt was sent to a target.
    pub fn sent(&mut self, now: Time, target: u32, blocks: &[BlockHash]) {
        for &block in blocks {
            self.hold(now + EVENT_LAG, target, block);
        }
    }

    /// Takes in an event of a target's cache.
    pub fn change(&mut self, now: Time, target: u32, change: &CacheChange) {
        let (CacheChange::Stored { sequence, blocks } | CacheChange::Removed { sequence, blocks }) =
            change;
        let cache = self.cache(target);
        let gap = cache.sequence.is_some_and(|last| *sequence != last + 1);
        cache.sequence = Some(*sequence);
        cache.gaps += u32::from(gap);
        for &block in blocks {
            match change {
                CacheChange::Stored { .. } => self.hold(now, target, block),
                CacheChange::Removed { .. } => self.release(now, target, block),
            }
        }
    }

    /// Forgets what a target held.
    pub fn forget(&mut self, target: u32) {
        let cache = self.cache(target);
        cache.gaps += LOST_GAPS;
        cache.sequence = None;
    }

    /// Returns how many blocks of a prompt a target is expected to hold.
    ///
    /// # Performance
    ///
    /// Logarithmic in the length of the prompt: a cache that holds a block is taken to hold the
    /// blocks before it.
    pub fn held(&self, target: u32, blocks: &[BlockHash]) -> f64 {
        let depth = blocks.partition_point(|block| self.confidence(target, *block) > 0.0);
        let last = depth.checked_sub(1).and_then(|last| blocks.get(last));
        last.map_or(0.0, |block| depth as f64 * self.confidence(target, *block))
    }

    /// Returns the targets that hold the longest part of a prompt.
    pub fn holders(&self, blocks: &[BlockHash]) -> impl Iterator<Item = u32> {
        let depth = blocks.partition_point(|block| self.blocks.contains_key(block));
        let last = depth.checked_sub(1).and_then(|last| blocks.get(last));
        last.and_then(|block| self.blocks.get(block))
            .into_iter()
            .flat_map(|block| block.holders)
            .flatten()
            .map(|holder| holder.target)
    }

    fn confidence(&self, target: u32, block: BlockHash) -> f64 {
        let holder = self
            .blocks
            .get(&block)
            .and_then(|block| block.holder(target));
        let gaps = self
            .caches
            .get(target as usize)
            .map_or(0, |cache| cache.gaps);
        holder.map_or(0.0, |holder| match gaps - holder.gaps {
            lost if lost >= LOST_GAPS => 0.0,
            lost => GAP_DECAY.powi(lost.cast_signed()),
        })
    }

    fn cache(&mut self, target: u32) -> &mut Cache {
        let index = target as usize;
        if self.caches.len() <= index {
            self.caches.resize(index + 1, Cache::default());
        }
        &mut self.caches[index]
    }

    fn hold(&mut self, guarded: Time, target: u32, hash: BlockHash) {
        self.clock += 1;
        let holder = Holder {
            target,
            gaps: self.cache(target).gaps,
            guarded,
        };
        let block = self.blocks.entry(hash).or_default();
        if block.touched == 0 {
            self.ages.push_back((hash, self.clock));
        }
        block.touched = self.clock;
        block.insert(holder);
        self.evict();
    }

    fn release(&mut self, now: Time, target: u32, hash: BlockHash) {
        if let Some(block) = self.blocks.get_mut(&hash) {
            block.remove(target, now);
        }
    }

    /// Drops the blocks that were touched least recently, until the index fits its capacity.
    fn evict(&mut self) {
        while self.blocks.len() > CAPACITY
            && let Some((hash, seen)) = self.ages.pop_front()
        {
            match self.blocks.get(&hash).map(|block| block.touched) {
                Some(touched) if touched != seen => self.ages.push_back((hash, touched)),
                _ => drop(self.blocks.remove(&hash)),
            }
        }
    }
}

impl Block {
    fn holder(&self, target: u32) -> Option<&Holder> {
        self.holders
            .iter()
            .flatten()
            .find(|holder| holder.target == target)
    }

    /// Puts a holder in its own place, a free one or that of the oldest.
    fn insert(&mut self, holder: Holder) {
        let place = self.holders.iter_mut().min_by_key(|place| match place {
            Some(known) if known.target == holder.target => (0, Time::ZERO),
            None => (1, Time::ZERO),
            Some(known) => (2, known.guarded),
        });
        if let Some(place) = place {
            *place = Some(holder);
        }
    }

    /// Removes a holder, unless the prompt was sent so recently that the event may be older.
    fn remove(&mut self, target: u32, now: Time) {
        for place in &mut self.holders {
            let removed =
                place.is_some_and(|holder| holder.target == target && now >= holder.guarded);
            if removed {
                *place = None;
            }
        }
    }
}
