//! Which daemons read the tables of the store for all others, and how often.
//!
//! The entries of a large site's targets change many times a second, so that each call of a feed
//! returns at once, and what the calls cost grows with the number of readers and with how often each
//! of them calls, whatever the load. A few readers are enough for a fleet of any size. They are in
//! different domains, since a domain may lose its path to the store. How often they call follows from
//! the time within which a change has to be known.
//!
//! When no reader has recent tables, hundreds of daemons would turn to the store in the same moment.
//! They stand in by turns instead: a few of them, then a few more.

use crate::{
    hash,
    id::{DomainId, HostId},
};
use std::{cmp::Reverse, collections::HashSet, time::Duration};

/// Number of daemons that read, each in another domain if there are as many: two may be lost at once.
pub const READERS: usize = 3;
/// Number of daemons that stand in at the same time.
const TURN_SIZE: usize = 3;
/// Time between two turns: a read and the heartbeat that tells of it.
const TURN_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which all daemons stand in.
const MAX_TURN_DELAY: Duration = Duration::from_secs(1);
/// Maximum time for which a feed call waits.
const MAX_FEED_WAIT: Duration = Duration::from_secs(10);

/// A daemon that may read.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Host of the daemon.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// CPU share in cores.
    pub cpu: f64,
}

/// The daemons of a fleet in the order in which they read.
#[derive(Clone, Debug, Default)]
pub struct Order(Vec<HostId>);

impl Order {
    /// Sorts daemons that are not leaving: the largest one of each domain first, then the others.
    /// Daemons that know the same candidates agree on the order.
    pub fn new(mut candidates: Vec<Candidate>) -> Self {
        candidates.sort_by_cached_key(|candidate| {
            let millicores = (candidate.cpu * 1e3) as u64;
            Reverse((millicores, hash::texts(&["reader", &candidate.host])))
        });
        let mut domains = HashSet::new();
        let (mut order, others): (Vec<_>, Vec<_>) = candidates
            .iter()
            .partition(|candidate| domains.insert(&candidate.domain));
        order.extend(others);
        let hosts = order.into_iter().map(|candidate| candidate.host.clone());
        Self(hosts.collect())
    }

    /// Returns whether a daemon is one of the readers.
    pub fn is_reader(&self, host: &HostId) -> bool {
        self.0.iter().take(READERS).any(|reader| reader == host)
    }

    /// Returns the place of a daemon. One that is not in the order comes after all others.
    pub fn place(&self, host: &HostId) -> usize {
        let place = self.0.iter().position(|candidate| candidate == host);
        place.unwrap_or(self.0.len())
    }

    /// Returns how long no daemon of an earlier place has had recent tables when this one stands in.
    pub fn stand_in_delay(&self, host: &HostId) -> Duration {
        let turn = self.place(host).saturating_sub(READERS) / TURN_SIZE;
        let delay = TURN_INTERVAL.saturating_mul(u32::try_from(turn).unwrap_or(u32::MAX));
        delay.min(MAX_TURN_DELAY)
    }
}

/// How often a reader calls the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// Time for which the store holds a feed call open when there are no changes. Together with the
    /// timeout of a call, it bounds how long a silent connection hides a change.
    pub feed_wait: Duration,
    /// Minimum interval between two calls of a feed.
    pub min_interval: Duration,
    /// Age of a reader's tables from which its peers no longer rely on them.
    pub max_table_age: Duration,
}

/// [`Schedule::feed_wait`] as a fraction of the time within which a change has to be known.
const FEED_WAIT_SHARE: f64 = 0.35;
/// The same for [`Schedule::min_interval`]. The readers call at different times.
const MIN_INTERVAL_SHARE: f64 = 0.2;
/// The same for [`Schedule::max_table_age`]: two rounds of a feed.
const MAX_TABLE_AGE_SHARE: f64 = 0.85;

impl Schedule {
    /// Creates the schedule for changes that have to be known everywhere within `bound`.
    pub fn new(bound: Duration) -> Self {
        Self {
            feed_wait: bound.mul_f64(FEED_WAIT_SHARE).min(MAX_FEED_WAIT),
            min_interval: bound.mul_f64(MIN_INTERVAL_SHARE),
            max_table_age: bound.mul_f64(MAX_TABLE_AGE_SHARE),
        }
    }
}
