//! Polling of the host list and the table, and periodic housekeeping.

use super::Daemon;
use crate::{peer::HostList, table::Poller};
use policy::{Event, host::Host};
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::time::{self, MissedTickBehavior};

/// Time between two runs of [`housekeeping`].
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the platform for the host list.
///
/// While the platform cannot be reached, the peers are asked for a newer list instead.
pub(super) async fn hosts(daemon: Daemon) {
    let mut ticks = ticks(daemon.settings().entry.hosts_poll);
    let mut version = None;
    loop {
        ticks.tick().await;
        match daemon.shared.platform.hosts().await {
            Ok(list) if version == Some(list.version) => {}
            Ok(list) => {
                version = Some(list.version);
                let (version, hosts) = (list.version, list.hosts.clone());
                daemon
                    .links()
                    .set_host_list(Arc::new(HostList { version, hosts }));
                daemon.set_hosts(list.hosts);
            }
            Err(error) => {
                tracing::warn!(%error, "failed to read host list");
                daemon.links().request_host_list();
            }
        }
    }
}

/// Polls the platform for the table of weights and limits.
pub(super) async fn table(daemon: Daemon) {
    let mut ticks = ticks(daemon.settings().entry.table_poll);
    let mut poll = Poller::new(daemon.shared.platform.clone());
    loop {
        ticks.tick().await;
        let held = daemon.links().revision();
        match poll.read().await {
            Ok(Some(table)) => daemon.offer_table(table, held),
            Ok(None) => {}
            Err(error) => tracing::warn!(%error, "failed to read table"),
        }
    }
}

/// Evicts expired response buffers, and updates the gauges and the load reported to peers.
pub(super) async fn housekeeping(daemon: Daemon) {
    let mut ticks = ticks(HOUSEKEEPING_INTERVAL);
    loop {
        ticks.tick().await;
        let keep = daemon.settings().entry.outcome_retention;
        let now = daemon.now();
        let mut state = daemon.state();
        state.buffers.evict_expired(now, keep);
        let in_flight = state.core.in_flight();
        for (pool, count) in state.core.queued() {
            let gauge = daemon
                .metrics()
                .queued_stages
                .with_label_values(&[pool.as_str()]);
            gauge.set((count as u64).cast_signed());
        }
        drop(state);
        daemon
            .metrics()
            .in_flight
            .set((in_flight as u64).cast_signed());
        let capacity = daemon.settings().entry.max_queue_len as f32;
        daemon.links().set_load(in_flight as f32 / capacity);
    }
}

impl Daemon {
    /// Replaces the host list and closes idle connections to targets that are no longer on it.
    pub(super) fn set_hosts(&self, hosts: Vec<Host>) {
        let by_name = hosts.iter().map(|host| (host.target.clone(), host.clone()));
        let by_name: HashMap<_, _> = by_name.collect();
        let addresses: Vec<_> = by_name.values().map(|host| host.address.clone()).collect();
        self.shared
            .targets
            .retain(|address| addresses.iter().any(|known| known == address));
        self.state().hosts = by_name;
        tracing::info!(targets = hosts.len(), "hosts in force");
        self.handle(Event::Hosts { hosts });
    }
}

/// Returns a timer that delays later ticks after a missed one instead of catching up.
pub(super) fn ticks(interval: Duration) -> time::Interval {
    let mut ticks = time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
