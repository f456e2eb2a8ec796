//! Reads of the host list and of the table.

use super::Daemon;
use crate::{peer::List, table::Poll};
use policy::{Event, host::Host};
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::time::{self, MissedTickBehavior};

/// Time between two sweeps of what ended.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the host list again and again.
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
                daemon.links().set_list(Arc::new(List { version, hosts }));
                daemon.set_hosts(list.hosts);
            }
            Err(error) => {
                tracing::warn!(%error, "host list was not read");
                daemon.links().seek_list();
            }
        }
    }
}

/// Reads the table of weights and limits again and again.
pub(super) async fn table(daemon: Daemon) {
    let mut ticks = ticks(daemon.settings().entry.table_poll);
    let mut poll = Poll::new(daemon.shared.platform.clone());
    loop {
        ticks.tick().await;
        let held = daemon.links().revision();
        match poll.read().await {
            Ok(Some(table)) => daemon.offer(table, held),
            Ok(None) => {}
            Err(error) => tracing::warn!(%error, "table was not read"),
        }
    }
}

/// Drops again and again what ended a while ago.
pub(super) async fn sweep(daemon: Daemon) {
    let mut ticks = ticks(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        let keep = daemon.settings().entry.outcome_retention;
        let now = daemon.now();
        let mut state = daemon.state();
        state.feeds.sweep(now, keep);
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

pub(super) fn ticks(interval: Duration) -> time::Interval {
    let mut ticks = time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
