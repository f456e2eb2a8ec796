//! Where streams began: the pool, and the build of its target.
//!
//! Targets of several builds may serve a pool side by side, and what two builds write does not fit
//! together: a stream may go on only at the build that began it, and in the pool that has it. Its caller may
//! take it up at any daemon, usually because the one before has failed, and with another identifier. So the
//! origin of each stream that may be resumed is kept by the daemon that forwards it and by a few others, and a
//! daemon that does not know it asks those. While several builds are possible, the daemons also store the
//! origins for the case that all of them end at once. If nobody knows, the stream goes on only if all
//! [pools in which it can have begun](super::route_history) have had the same
//! [single build](super::registry::Registry::single_build) for as long as the stream may have lasted.

use super::registry::Build;
use crate::{
    hash,
    id::{HostId, PoolId, RequestId, Time},
};
use std::{cmp::Reverse, collections::HashMap, time::Duration};

/// Number of daemons, besides the one that forwards a stream, that keep its origin. The daemon that
/// forwards it may fail together with another one.
const KEEPERS: usize = 2;
/// Number of daemons that are asked for the origin of a stream. More than keep it, since daemons that
/// have joined or failed since change the order.
const ASKED_DAEMONS: usize = 4;
/// Time for which the origin of a stream is kept; a few times the longest timeouts of routes.
const KEEP_TIME: Duration = Duration::from_secs(60);
/// Number of streams from which expired ones are dropped.
const MAX_STREAMS: usize = 16_384; // at about 100 bytes each, less than 2 MB

/// Time for which a stream that is complete is [stored](Origins::stored); its last bytes may not arrive.
const COMPLETION_GRACE: Duration = Duration::from_secs(2);
/// Maximum number of streams that one daemon stores, of 12 bytes each at most.
pub const MAX_STORED_STREAMS: usize = 5_000; // the store's rows hold 64 KiB

/// Hash of a stream's identifier.
pub type StreamHash = u64;

/// Where a stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Pool of the target that brought the first event; `None` if it is not known, as from daemons of
    /// earlier versions.
    pub pool: Option<PoolId>,
    /// Build of that target; empty in place of one that turned out to be wrong.
    pub build: Build,
}

/// Origins of recent streams, by the identifier of the request that brought their first event.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    streams: HashMap<RequestId, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    origin: Origin,
    recorded: Time,
    /// Whether this daemon forwards the stream.
    is_forwarded: bool,
    completed: Option<Time>,
}

impl Origins {
    /// Records where a stream began, as a peer tells. `recorded` is the present time, or earlier if the peer
    /// recorded it before.
    pub fn insert(&mut self, recorded: Time, stream: RequestId, mut origin: Origin) {
        let known = self.streams.get(&stream);
        let is_forwarded = known.is_some_and(|known| known.is_forwarded);
        let known = known.map(|known| &known.origin);
        if let Some(known) = known.filter(|known| known.build == origin.build) {
            origin.pool = origin.pool.or(known.pool.clone());
        }
        self.insert_entry(recorded, stream, origin, is_forwarded);
    }

    /// Records where a stream began that this daemon forwards.
    pub fn insert_forwarded(&mut self, now: Time, stream: RequestId, origin: Origin) {
        self.insert_entry(now, stream, origin, true);
    }

    fn insert_entry(
        &mut self,
        recorded: Time,
        stream: RequestId,
        origin: Origin,
        is_forwarded: bool,
    ) {
        if self.streams.len() >= MAX_STREAMS {
            self.streams
                .retain(|_, entry| recorded < entry.recorded + KEEP_TIME);
        }
        if self.streams.len() < MAX_STREAMS || self.streams.contains_key(&stream) {
            let entry = Entry {
                origin,
                recorded,
                is_forwarded,
                completed: None,
            };
            self.streams.insert(stream, entry);
        }
    }

    /// Records that all of a stream was forwarded.
    pub fn record_completion(&mut self, now: Time, stream: &str) {
        if let Some(entry) = self.streams.get_mut(stream) {
            entry.completed = Some(now);
        }
    }

    /// Returns the recent streams, where they began and how long ago that was recorded.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = (&RequestId, &Origin, Duration)> {
        let streams = self.streams.iter().map(move |(stream, entry)| {
            let age = now.saturating_sub(entry.recorded);
            (stream, &entry.origin, age)
        });
        streams.filter(|(_, _, age)| *age < KEEP_TIME)
    }

    /// Returns the streams whose origins have to be known even if all daemons are lost: those that this
    /// daemon forwards, that may still be taken up, and that can have begun at several builds, as
    /// `is_ambiguous` says of their pools. They began at most `max_age` ago. The order stays the same while
    /// they do.
    pub fn stored(
        &self,
        now: Time,
        max_age: Duration,
        is_ambiguous: impl Fn(&PoolId) -> bool,
    ) -> Vec<(StreamHash, &PoolId, &Build)> {
        let mut stored: Vec<_> = self
            .streams
            .iter()
            .filter_map(|(stream, entry)| {
                let Origin { pool, build } = &entry.origin;
                let pool = pool.as_ref().filter(|_| entry.is_forwarded)?;
                let is_open = entry.completed.is_none_or(|at| now < at + COMPLETION_GRACE);
                let is_recent = now.saturating_sub(entry.recorded) <= max_age;
                let is_stored = is_open && is_recent && !build.is_empty() && is_ambiguous(pool);
                is_stored.then(|| (entry.recorded, (stream_hash(stream), pool, build)))
            })
            .collect();
        stored.sort_unstable_by_key(|(recorded, (stream, ..))| (Reverse(*recorded), *stream));
        stored.truncate(MAX_STORED_STREAMS);
        stored.into_iter().map(|(_, stream)| stream).collect()
    }

    /// Returns where a stream began, if it is known.
    pub fn get(&self, stream: &str) -> Option<&Origin> {
        let origin = self.streams.get(stream).map(|entry| &entry.origin);
        origin.filter(|origin| !origin.build.is_empty())
    }
}

/// Returns the hash by which a stream is stored.
pub fn stream_hash(stream: &str) -> StreamHash {
    hash::bytes(stream.as_bytes())
}

/// Returns the daemons that keep the origin of a stream for the daemon that forwards it and is linked
/// to `peers`.
pub fn keepers(stream: &str, peers: Vec<HostId>) -> Vec<HostId> {
    nearest(stream, peers, KEEPERS)
}

/// Returns the daemons to ask for the origin of a stream.
pub fn asked_daemons(stream: &str, peers: Vec<HostId>) -> Vec<HostId> {
    nearest(stream, peers, ASKED_DAEMONS)
}

/// Returns the first `count` daemons in the order of rendezvous hashing, on which all daemons agree.
fn nearest(stream: &str, mut peers: Vec<HostId>, count: usize) -> Vec<HostId> {
    peers.sort_by_cached_key(|host| Reverse(hash::rendezvous_weight(stream, host)));
    peers.truncate(count);
    peers
}
