//! Index of the prompt blocks in the prefix caches of targets.
//!
//! A block is recorded as soon as a prompt that contains it is sent to a target. Cache events of
//! the target correct the index later; they can be delayed or lost. Each gap in their sequence
//! numbers halves the confidence in the older entries of the target.

use crate::{
    host::CacheChange,
    id::{BlockHash, Time},
};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Capacity of the index; the least recently used blocks are evicted.
const MAX_BLOCKS: usize = 65_536;

const MAX_HOLDERS_PER_BLOCK: usize = 4;

/// Longest delay of a cache event. Within this time after a prompt was sent, a removal event may
/// precede the prompt and is ignored.
const MAX_EVENT_LAG: Duration = Duration::from_secs(2);

/// Factor by which each gap reduces the confidence in an entry.
const GAP_CONFIDENCE: f64 = 0.5;

/// Gaps after which an entry is ignored.
const EXPIRY_GAPS: u32 = 16;

/// Index of the prompt blocks in the prefix caches of targets.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    blocks: HashMap<BlockHash, Block>,
    /// Blocks with the clock value at which they were queued; stale entries are requeued.
    eviction_queue: VecDeque<(BlockHash, u64)>,
    /// Logical clock that advances with each recorded block.
    clock: u64,
    /// Event streams by target index.
    streams: Vec<EventStream>,
}

/// Position in the cache events of one target.
#[derive(Clone, Copy, Debug, Default)]
struct EventStream {
    sequence: Option<u64>,
    /// Gaps seen so far.
    gaps: u32,
}

#[derive(Clone, Debug, Default)]
struct Block {
    last_used: u64,
    holders: [Option<Holder>; MAX_HOLDERS_PER_BLOCK],
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    target: u32,
    /// Gaps in the target's events when the entry was recorded.
    gaps: u32,
    /// Time until which removal events are ignored, since they may precede the prompt.
    protected_until: Time,
}

impl PrefixIndex {
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the blocks of a prompt that was sent to a target.
    pub fn record_sent(&mut self, now: Time, target: u32, blocks: &[BlockHash]) {
        for &block in blocks {
            self.add_holder(now + MAX_EVENT_LAG, target, block);
        }
    }

    /// Applies a cache event of a target.
    pub fn apply(&mut self, now: Time, target: u32, change: &CacheChange) {
        let (CacheChange::Stored { sequence, blocks } | CacheChange::Removed { sequence, blocks }) =
            change;
        let stream = self.stream(target);
        let is_gap = stream.sequence.is_some_and(|last| *sequence != last + 1);
        stream.sequence = Some(*sequence);
        stream.gaps += u32::from(is_gap);
        for &block in blocks {
            match change {
                CacheChange::Stored { .. } => self.add_holder(now, target, block),
                CacheChange::Removed { .. } => self.remove_holder(now, target, block),
            }
        }
    }

    /// Invalidates all entries of a target.
    pub fn clear_target(&mut self, target: u32) {
        let stream = self.stream(target);
        stream.gaps += EXPIRY_GAPS;
        stream.sequence = None;
    }

    /// Returns the expected number of blocks of a prompt that a target has cached.
    ///
    /// # Performance
    ///
    /// Logarithmic in the length of the prompt: a cache that holds a block is assumed to hold all
    /// blocks before it.
    pub fn cached_blocks(&self, target: u32, blocks: &[BlockHash]) -> f64 {
        let depth = blocks.partition_point(|block| self.confidence(target, *block) > 0.0);
        let last = depth.checked_sub(1).and_then(|last| blocks.get(last));
        last.map_or(0.0, |block| depth as f64 * self.confidence(target, *block))
    }

    /// Returns the targets that cache the longest indexed prefix of a prompt.
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
            .streams
            .get(target as usize)
            .map_or(0, |stream| stream.gaps);
        holder.map_or(0.0, |holder| match gaps - holder.gaps {
            missed if missed >= EXPIRY_GAPS => 0.0,
            missed => GAP_CONFIDENCE.powi(missed.cast_signed()),
        })
    }

    fn stream(&mut self, target: u32) -> &mut EventStream {
        let index = target as usize;
        if self.streams.len() <= index {
            self.streams.resize(index + 1, EventStream::default());
        }
        &mut self.streams[index]
    }

    fn add_holder(&mut self, protected_until: Time, target: u32, hash: BlockHash) {
        self.clock += 1;
        let holder = Holder {
            target,
            gaps: self.stream(target).gaps,
            protected_until,
        };
        let block = self.blocks.entry(hash).or_default();
        if block.last_used == 0 {
            self.eviction_queue.push_back((hash, self.clock));
        }
        block.last_used = self.clock;
        block.insert(holder);
        self.evict();
    }

    fn remove_holder(&mut self, now: Time, target: u32, hash: BlockHash) {
        if let Some(block) = self.blocks.get_mut(&hash) {
            block.remove(target, now);
        }
    }

    /// Evicts the least recently used blocks until the index fits its capacity.
    fn evict(&mut self) {
        while self.blocks.len() > MAX_BLOCKS
            && let Some((hash, queued_at)) = self.eviction_queue.pop_front()
        {
            match self.blocks.get(&hash).map(|block| block.last_used) {
                Some(last_used) if last_used != queued_at => {
                    self.eviction_queue.push_back((hash, last_used));
                }
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

    /// Stores a holder in the slot of the same target, else in a free one, else in the oldest.
    fn insert(&mut self, holder: Holder) {
        let slot = self.holders.iter_mut().min_by_key(|slot| match slot {
            Some(existing) if existing.target == holder.target => (0, Time::ZERO),
            None => (1, Time::ZERO),
            Some(existing) => (2, existing.protected_until),
        });
        if let Some(slot) = slot {
            *slot = Some(holder);
        }
    }

    /// Removes a holder, unless the prompt was sent so recently that the event may precede it.
    fn remove(&mut self, target: u32, now: Time) {
        for slot in &mut self.holders {
            let removed =
                slot.is_some_and(|holder| holder.target == target && now >= holder.protected_until);
            if removed {
                *slot = None;
            }
        }
    }
}
