//! Prefix cache of limited size, and the events that it publishes.

use policy::{host::CacheChange, id::BlockHash};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Bytes of a prompt in one block.
pub const BLOCK: usize = 64;

/// Events that are kept for readers that come late.
const EVENTS: usize = 65_536;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of all bytes up to the end of each whole block.
pub fn blocks(prompt: &str) -> Vec<BlockHash> {
    let mut hash = FNV_OFFSET;
    let mut hashes = Vec::with_capacity(prompt.len() / BLOCK);
    for block in prompt.as_bytes().chunks_exact(BLOCK) {
        hash = block.iter().copied().fold(hash, step);
        hashes.push(hash);
    }
    hashes
}

/// Returns the 64-bit FNV-1a hash of some bytes.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().copied().fold(FNV_OFFSET, step)
}

fn step(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
}

/// Prefix cache that drops the blocks that were used least recently.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    clock: u64,
    used: HashMap<BlockHash, u64>,
    order: BTreeMap<u64, BlockHash>,
    sequence: u64,
    events: BTreeMap<u64, (Instant, CacheChange)>,
}

/// Answer to a reader of the events.
#[derive(Debug, Serialize)]
pub(super) struct Events {
    events: Vec<CacheChange>,
    sequence: u64,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
            sequence: 0,
            events: BTreeMap::new(),
        }
    }

    /// Returns how many blocks from the start of a prompt are held.
    pub(super) fn held(&self, blocks: &[BlockHash]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.used.contains_key(*block))
            .count()
    }

    /// Holds the blocks of a prompt and publishes what changed, but for a lost share of events.
    pub(super) fn store(&mut self, blocks: &[BlockHash], lost: f64, rng: &mut ChaCha8Rng) {
        let mut stored = Vec::new();
        // The last block goes first, so that a prefix outlives what follows it.
        for block in blocks.iter().rev() {
            if !self.touch(*block) {
                stored.push(*block);
            }
        }
        stored.reverse();
        let removed = self.evict();
        for (blocks, kind) in [(stored, Kind::Stored), (removed, Kind::Removed)] {
            if !blocks.is_empty() {
                self.publish(blocks, kind, lost, rng);
            }
        }
    }

    /// Drops all blocks, as a restart does.
    pub(super) fn clear(&mut self) {
        let capacity = self.capacity;
        *self = Self::new(capacity);
    }

    pub(super) fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the events after `after` that are at least `delay` old.
    ///
    /// A reader that knows a later event than there is has outlived a restart and gets all.
    pub(super) fn events(&self, after: u64, delay: Duration) -> Events {
        let after = if after > self.sequence { 0 } else { after };
        let now = Instant::now();
        let published = self
            .events
            .range(after + 1..)
            .take_while(|(_, (at, _))| now.duration_since(*at) >= delay);
        let events: Vec<_> = published.map(|(_, (_, change))| change.clone()).collect();
        let sequence = events.last().map_or(after, sequence_of);
        Events { events, sequence }
    }

    /// Marks a block as used now and returns whether it was held before.
    fn touch(&mut self, block: BlockHash) -> bool {
        self.clock += 1;
        let before = self.used.insert(block, self.clock);
        if let Some(before) = before {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, block);
        before.is_some()
    }

    fn evict(&mut self) -> Vec<BlockHash> {
        let mut removed = Vec::new();
        while self.used.len() > self.capacity
            && let Some((_, block)) = self.order.pop_first()
        {
            self.used.remove(&block);
            removed.push(block);
        }
        removed
    }

    fn publish(&mut self, blocks: Vec<BlockHash>, kind: Kind, lost: f64, rng: &mut ChaCha8Rng) {
        self.sequence += 1;
        let sequence = self.sequence;
        if rng.random_bool(lost.clamp(0.0, 1.0)) {
            return;
        }
        let change = match kind {
            Kind::Stored => CacheChange::Stored { sequence, blocks },
            Kind::Removed => CacheChange::Removed { sequence, blocks },
        };
        self.events.insert(sequence, (Instant::now(), change));
        if self.events.len() > EVENTS {
            self.events.pop_first();
        }
    }
}

#[derive(Clone, Copy)]
enum Kind {
    Stored,
    Removed,
}

fn sequence_of(change: &CacheChange) -> u64 {
    match change {
        CacheChange::Stored { sequence, .. } | CacheChange::Removed { sequence, .. } => *sequence,
    }
}
