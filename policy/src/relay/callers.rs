//! Connections of callers: how many a daemon keeps, and which one it closes first when there are too many.
//!
//! Callers may keep connections open without sending or reading anything. Each connection needs a descriptor
//! and memory, so that their number has a bound. Beyond it, connections that are of least use to their callers
//! are closed in favor of new ones.

use super::memory::{CONNECTION_BYTES, Share};
use crate::id::Time;
use std::{cmp::Reverse, time::Duration};
use strum::{EnumIter, IntoStaticStr};

/// Descriptors that are kept for files and listeners.
const RESERVED_DESCRIPTORS: u64 = 200; // as the platform states
/// Minimum number of connections, whatever the limits are.
const MIN_CONNECTIONS: u64 = 16;
/// Longest time that callers give a request. A body that would take longer can't be part of a request that is
/// answered in time.
const MAX_BODY_TIME: Duration = Duration::from_secs(20);
/// Time that a body may still need while others find no memory. A body of 4 MiB takes 3.4 s over a link of
/// 10 Mbit/s, the slowest one of the platform.
const MAX_REST_TIME: Duration = Duration::from_secs(4);
/// Age from which the rate of a body is known.
const MIN_BODY_AGE: Duration = Duration::from_millis(300);
/// Rate in bytes a second at which the bodies of rejected requests are discarded, all of them together. Many of them
/// would otherwise take the processor time that accepted bodies need.
const DISCARD_RATE: f64 = 16e6;
/// Number of bytes that are discarded without a wait. One rejected upload is not delayed.
const DISCARD_BURST: f64 = 16e6;
/// Time without a byte, or at too low a rate, after which a body counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What a connection does, in the order in which connections are closed; the name is a label value.
#[derive(Clone, Copy, Debug, EnumIter, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// A part of a request head has arrived.
    Head,
    /// Nothing has arrived yet.
    New,
    /// The caller does not read its response.
    Unread,
    /// The caller does not go on with the body of its request, or too slowly for any deadline.
    Stalled,
    /// The last response was sent.
    Idle,
    /// The body of a request arrives, or a request is served. Such a connection is not closed: if new ones closed
    /// it, no body would arrive whole while many clients connect again and again.
    Busy,
}

/// Progress of a request body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Bytes that are to arrive, or for which memory is taken.
    pub expected: u64,
    /// Bytes that have arrived.
    pub received: u64,
    /// Time since the head of the request.
    pub age: Duration,
    /// Time since the last byte.
    pub silence: Duration,
}

impl Progress {
    /// Returns the time until the body is complete if the rest arrives at the same rate; `None` if nothing has
    /// arrived.
    fn rest_time(&self) -> Option<Duration> {
        let rest = self.expected.saturating_sub(self.received);
        (self.received > 0).then(|| self.age.mul_f64(rest as f64 / self.received as f64))
    }

    /// Returns whether the body arrives too slowly to keep its memory while others find none.
    fn is_slow(&self) -> bool {
        let rest_time = self.rest_time();
        self.age >= MIN_BODY_AGE && rest_time.is_none_or(|rest_time| rest_time > MAX_REST_TIME)
    }

    /// Returns whether the body has stalled, or arrives so slowly that its request can't be answered before any
    /// deadline.
    pub fn is_stalled(&self) -> bool {
        if self.silence >= STALL_TIME {
            return true;
        }
        let needed = u128::from(self.expected) * self.age.as_millis();
        let made = u128::from(self.received) * MAX_BODY_TIME.as_millis();
        self.age >= STALL_TIME && made < needed
    }
}

/// Pace at which the bodies of rejected requests are discarded.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscardPace {
    /// When all that was discarded would have been read at the rate.
    drained_at: Time,
}

impl DiscardPace {
    /// Records that `bytes` were discarded, and returns the wait before more of the same body is read.
    pub fn record(&mut self, now: Time, bytes: usize) -> Duration {
        let taken = Duration::from_secs_f64(bytes as f64 / DISCARD_RATE);
        self.drained_at = self.drained_at.max(now) + taken;
        let burst = Duration::from_secs_f64(DISCARD_BURST / DISCARD_RATE);
        self.drained_at.saturating_sub(now + burst)
    }
}

/// Returns how many connections of callers a daemon keeps that has `memory` bytes and, if its machine limits
/// them, `descriptors`. Half of the descriptors are left for the requests on these connections, each of which
/// may need a connection to a target.
pub fn max_connections(memory: u64, descriptors: Option<u64>) -> usize {
    let by_memory = Share::Connections.size(memory) / CONNECTION_BYTES;
    let by_descriptors = descriptors.map_or(u64::MAX, |descriptors| {
        descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2
    });
    let bound = by_memory.min(by_descriptors).max(MIN_CONNECTIONS);
    usize::try_from(bound).unwrap_or(usize::MAX)
}

/// Returns the slowest of the bodies that arrive too slowly to keep their memory while others find none.
pub fn slowest_body<K>(bodies: impl Iterator<Item = (K, Progress)>) -> Option<K> {
    let slow = bodies.filter(|(_, progress)| progress.is_slow());
    let slowest = slow.max_by_key(|(_, progress)| progress.rest_time().unwrap_or(Duration::MAX));
    slowest.map(|(key, _)| key)
}

/// Returns the connection that is closed first, given what each one does and for how long; `None` if all of
/// them are busy.
pub fn first_to_close<K>(connections: impl Iterator<Item = (K, Phase, Duration)>) -> Option<K> {
    let closable = connections.filter(|(_, phase, _)| *phase != Phase::Busy);
    let first = closable.min_by_key(|(_, phase, age)| (*phase, Reverse(*age)));
    first.map(|(key, _, _)| key)
}
