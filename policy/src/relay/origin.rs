//! Builds at which streams began.
//!
//! Targets of several builds may serve a pool side by side, and what two builds write does not fit
//! together: a stream may go on only at the build that began it. Its caller may take it up at any
//! daemon, usually because the one before has failed. So the build of each stream that may be resumed
//! is kept by the daemon that forwards it and by a few others, and a daemon that does not know it
//! asks those. While a pool has several builds, the daemons also store them for the case that all of them
//! end at once. If nobody knows, the stream goes on only if its pool has had a
//! [single build](super::registry::Registry::single_build) for as long as the stream may have lasted.

use super::registry::Build;
use crate::{
    hash,
    id::{HostId, PoolId, RequestId, Time},
};
use std::{cmp::Reverse, collections::HashMap, time::Duration};

/// Number of daemons, besides the one that forwards a stream, that keep its build. The daemon that
/// forwards it may fail together with another one.
const KEEPERS: usize = 2;
/// Number of daemons that are asked for the build of a stream. More than keep it, since daemons that
/// have joined or failed since change the order.
const ASKED_DAEMONS: usize = 4;
/// Time for which the build of a stream is kept; a few times the longest timeouts of routes.
const KEEP_TIME: Duration = Duration::from_secs(60);
/// Number of streams from which expired ones are dropped.
const MAX_STREAMS: usize = 16_384; // at about 100 bytes each, less than 2 MB

/// Time for which a stream that is complete is [stored](Origins::stored); its last bytes may not arrive.
const COMPLETION_GRACE: Duration = Duration::from_secs(2);
/// Maximum number of streams that one daemon stores, of 12 bytes each at most.
pub const MAX_STORED_STREAMS: usize = 5_000; // the store's rows hold 64 KiB

/// Hash of a stream's identifier.
pub type StreamHash = u64;

/// Builds of recent streams, by the identifier of the request that brought their first event.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    streams: HashMap<RequestId, Origin>,
}

#[derive(Clone, Debug)]
struct Origin {
    build: Build,
    recorded: Time,
    /// Pool of the stream if this daemon forwards it.
    pool: Option<PoolId>,
    completed: Option<Time>,
}

impl Origins {
    /// Records the build at which a stream began, as a peer tells. `recorded` is the present time, or
    /// earlier if the peer recorded it before.
    pub fn insert(&mut self, recorded: Time, stream: RequestId, build: Build) {
        let known = self.streams.get(&stream);
        let pool = known.and_then(|known| known.pool.clone());
        self.insert_origin(recorded, stream, build, pool);
    }

    /// Records the build at which a stream of `pool` began that this daemon forwards.
    pub fn insert_forwarded(&mut self, now: Time, stream: RequestId, build: Build, pool: PoolId) {
        self.insert_origin(now, stream, build, Some(pool));
    }

    fn insert_origin(
        &mut self,
        recorded: Time,
        stream: RequestId,
        build: Build,
        pool: Option<PoolId>,
    ) {
        if self.streams.len() >= MAX_STREAMS {
            self.streams
                .retain(|_, origin| recorded < origin.recorded + KEEP_TIME);
        }
        if self.streams.len() < MAX_STREAMS || self.streams.contains_key(&stream) {
            let origin = Origin {
                build,
                recorded,
                pool,
                completed: None,
            };
            self.streams.insert(stream, origin);
        }
    }

    /// Records that all of a stream was forwarded.
    pub fn record_completion(&mut self, now: Time, stream: &str) {
        if let Some(origin) = self.streams.get_mut(stream) {
            origin.completed = Some(now);
        }
    }

    /// Returns the recent streams, their builds and how long ago these were recorded.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = (&RequestId, &Build, Duration)> {
        let streams = self.streams.iter().map(move |(stream, origin)| {
            let age = now.saturating_sub(origin.recorded);
            (stream, &origin.build, age)
        });
        streams.filter(|(_, _, age)| *age < KEEP_TIME)
    }

    /// Returns the streams whose builds have to be known even if all daemons are lost: those that this
    /// daemon forwards, that may still be taken up, and whose pools have several builds. They began at
    /// most `max_age` ago. The order stays the same while they do.
    pub fn stored(
        &self,
        now: Time,
        max_age: Duration,
        is_divided: impl Fn(&PoolId) -> bool,
    ) -> Vec<(StreamHash, &PoolId, &Build)> {
        let mut stored: Vec<_> = self
            .streams
            .iter()
            .filter_map(|(stream, origin)| {
                let pool = origin.pool.as_ref()?;
                let is_open = origin
                    .completed
                    .is_none_or(|at| now < at + COMPLETION_GRACE);
                let is_recent = now.saturating_sub(origin.recorded) <= max_age;
                let is_stored =
                    is_open && is_recent && !origin.build.is_empty() && is_divided(pool);
                is_stored.then(|| (origin, stream_hash(stream), pool))
            })
            .collect();
        stored.sort_unstable_by_key(|(origin, stream, _)| (Reverse(origin.recorded), *stream));
        stored.truncate(MAX_STORED_STREAMS);
        let stored = stored.into_iter();
        stored
            .map(|(origin, stream, pool)| (stream, pool, &origin.build))
            .collect()
    }

    /// Returns the build at which a stream began, if it is known. An empty one was recorded in place of
    /// one that turned out to be wrong.
    pub fn get(&self, stream: &str) -> Option<&Build> {
        let build = self.streams.get(stream).map(|origin| &origin.build);
        build.filter(|build| !build.is_empty())
    }
}

/// Returns the hash by which a stream is stored.
pub fn stream_hash(stream: &str) -> StreamHash {
    hash::bytes(stream.as_bytes())
}

/// Returns the daemons that keep the build of a stream for the daemon that forwards it and is linked
/// to `peers`.
pub fn keepers(stream: &str, peers: Vec<HostId>) -> Vec<HostId> {
    nearest(stream, peers, KEEPERS)
}

/// Returns the daemons to ask for the build of a stream.
pub fn asked_daemons(stream: &str, peers: Vec<HostId>) -> Vec<HostId> {
    nearest(stream, peers, ASKED_DAEMONS)
}

/// Returns the first `count` daemons in the order of rendezvous hashing, on which all daemons agree.
fn nearest(stream: &str, mut peers: Vec<HostId>, count: usize) -> Vec<HostId> {
    peers.sort_by_cached_key(|host| Reverse(hash::rendezvous_weight(stream, host)));
    peers.truncate(count);
    peers
}
