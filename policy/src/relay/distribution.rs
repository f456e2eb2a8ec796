//! Distribution of the configuration among daemons.
//!
//! A few daemons read a new configuration from the store at once, and then all others want it at the
//! same moment. It may have thousands of routes, and the network links of small daemons take a
//! second for it. Each daemon therefore requests it from one source at a time, and each source
//! serves only as many as its network link can carry; it declines the rest, who find it at those
//! that were served first. So the number of sources grows exponentially however slow they are, and
//! each network link carries one copy in and a few out.

use super::history::Edition;
use crate::{
    hash,
    id::{HostId, Time},
};
use std::{collections::BTreeMap, time::Duration};

/// Time after which a request is repeated at another source if no answer is arriving.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1); // a source that has room sends within milliseconds
/// Time for which a source that declined, or did not answer in time, is not asked again.
const RETRY_DELAY: Duration = Duration::from_millis(200); // transfers take about as long
/// Time for which sources in other domains are not asked. Usually the configuration is available in
/// the own domain by then, and bytes between domains are expensive.
const REMOTE_DELAY: Duration = Duration::from_millis(300);
/// Minimum rate that a source grants each transfer, in bytes per second.
const MIN_TRANSFER_RATE: u64 = 312_500; // 2.5 Mbit/s; a few transfers share a link of 10 Mbit/s

/// Sources of a configuration newer than the one in force, and the request in progress.
#[derive(Clone, Debug)]
pub struct Fetcher {
    own_host: HostId,
    sources: BTreeMap<HostId, Source>,
    /// Source that was asked last and has not answered, and when it was asked.
    pending: Option<(HostId, Time)>,
}

/// A daemon that has announced a configuration.
#[derive(Clone, Debug)]
struct Source {
    edition: Edition,
    is_local: bool,
    /// Earliest time of the next request.
    next_request: Time,
}

impl Fetcher {
    /// Creates a fetcher without sources for the daemon on `own_host`.
    pub fn new(own_host: HostId) -> Self {
        Self {
            own_host,
            sources: BTreeMap::new(),
            pending: None,
        }
    }

    /// Records which edition a daemon has in force. `is_local` tells whether it is in the own
    /// domain.
    pub fn announce(&mut self, now: Time, host: &HostId, edition: Edition, is_local: bool) {
        let delay = if is_local {
            Duration::ZERO
        } else {
            REMOTE_DELAY
        };
        let source = self.sources.entry(host.clone()).or_insert(Source {
            edition,
            is_local,
            next_request: now + delay,
        });
        source.edition = edition;
    }

    /// Records that a source has answered, with its configuration or by declining. If that
    /// configuration is not in force afterwards, the source is asked again later.
    pub fn end_request(&mut self, now: Time, host: &HostId) {
        if let Some(source) = self.sources.get_mut(host) {
            source.next_request = now + RETRY_DELAY;
        }
        self.pending.take_if(|(pending, _)| pending == host);
    }

    /// Removes a source whose link was lost.
    pub fn remove(&mut self, host: &HostId) {
        self.sources.remove(host);
        self.pending.take_if(|(pending, _)| pending == host);
    }

    /// Returns the source to ask now, if one is due, and records the request. `current` is the
    /// edition in force, and `is_receiving` tells whether a large frame of a source is arriving.
    pub fn next_request(
        &mut self,
        now: Time,
        current: Option<&Edition>,
        is_receiving: impl Fn(&HostId) -> bool,
    ) -> Option<HostId> {
        self.sources
            .retain(|_, source| current.is_none_or(|current| source.edition.supersedes(current)));
        if let Some((host, asked_at)) = &self.pending {
            if now < *asked_at + REQUEST_TIMEOUT || is_receiving(host) {
                return None;
            }
            let host = host.clone();
            self.end_request(now, &host);
        }
        let due = self.sources.iter();
        let due = due.filter(|(_, source)| source.next_request <= now);
        // Daemons choose different sources so that these share the load.
        let (host, _) = due.max_by_key(|(host, source)| {
            let weight = hash::rendezvous_weight(&self.own_host, host);
            (source.is_local, weight)
        })?;
        let host = host.clone();
        self.pending = Some((host.clone(), now));
        Some(host)
    }
}

/// Returns how many transfers of the configuration a daemon serves at once over a network link with
/// this rate.
pub fn max_uploads(link_bytes_per_second: u64) -> usize {
    let uploads = link_bytes_per_second / MIN_TRANSFER_RATE;
    usize::try_from(uploads.max(1)).unwrap_or(usize::MAX)
}
