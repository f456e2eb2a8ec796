//! Builds at which streams began.
//!
//! Targets of several builds may serve a pool side by side, and what two builds write does not fit
//! together: a stream may go on only at the build that began it. Its caller may take it up at any
//! daemon, usually because the one before has failed. So the build of each stream that may be resumed
//! is kept by the daemon that forwards it and by a few others, and a daemon that does not know it
//! asks those. If nobody knows, the stream goes on only if its pool has had a
//! [single build](super::registry::Registry::single_build) for as long as the stream may have lasted.

use super::registry::Build;
use crate::{
    hash,
    id::{HostId, RequestId, Time},
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

/// Builds of recent streams, by the identifier of the request that brought their first event.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    builds: HashMap<RequestId, (Build, Time)>,
}

impl Origins {
    /// Records the build at which a stream began. `recorded` is the present time, or earlier if
    /// another daemon has recorded it before.
    pub fn insert(&mut self, recorded: Time, stream: RequestId, build: Build) {
        if self.builds.len() >= MAX_STREAMS {
            self.builds
                .retain(|_, (_, earlier)| recorded < *earlier + KEEP_TIME);
        }
        if self.builds.len() < MAX_STREAMS || self.builds.contains_key(&stream) {
            self.builds.insert(stream, (build, recorded));
        }
    }

    /// Returns the recent streams, their builds and how long ago these were recorded.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = (&RequestId, &Build, Duration)> {
        let streams = self.builds.iter().map(move |(stream, (build, recorded))| {
            let age = now.saturating_sub(*recorded);
            (stream, build, age)
        });
        streams.filter(|(_, _, age)| *age < KEEP_TIME)
    }

    /// Returns the build at which a stream began, if it is known. An empty one was recorded in place of
    /// one that turned out to be wrong.
    pub fn get(&self, stream: &str) -> Option<&Build> {
        let build = self.builds.get(stream).map(|(build, _)| build);
        build.filter(|build| !build.is_empty())
    }
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
