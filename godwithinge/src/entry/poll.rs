//! Reads of the host list, the table and the targets' reports.

use super::Daemon;
use crate::table::Poll;
use policy::{Event, host::Host, id::TargetId, pool::Kind};
use std::{collections::HashMap, time::Duration};
use tokio::time::{self, MissedTickBehavior};

/// Shortest time between two reads of any targets' reports; it bounds the control traffic.
const REPORT_SPACING: Duration = Duration::from_millis(50);
/// Longest time of reading a target's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two sweeps of what ended.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the host list again and again.
pub(super) async fn hosts(daemon: Daemon) {
    let mut ticks = ticks(daemon.settings().entry.hosts_poll);
    let mut known: Option<Vec<Host>> = None;
    loop {
        ticks.tick().await;
        match daemon.shared.platform.hosts().await {
            Ok(list) if known.as_ref() != Some(&list.hosts) => {
                known = Some(list.hosts.clone());
                daemon.set_hosts(list.hosts);
            }
            Ok(_) => {}
            Err(error) => tracing::warn!(%error, "host list was not read"),
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

/// Reads the targets' reports in turn.
pub(super) async fn loads(daemon: Daemon) {
    let mut seen: HashMap<TargetId, u64> = HashMap::new();
    loop {
        let targets = daemon.targets();
        let interval = daemon.settings().entry.load_poll;
        let spacing = interval / (targets.len() as u32).max(1);
        let mut ticks = ticks(spacing.max(REPORT_SPACING));
        let (sender, mut sequences) = tokio::sync::mpsc::unbounded_channel();
        for (target, engine) in targets {
            ticks.tick().await;
            let after = engine.then(|| seen.get(&target.target).copied().unwrap_or(0));
            let (daemon, sender) = (daemon.clone(), sender.clone());
            tokio::spawn(async move {
                if let Some(sequence) = read_target(&daemon, &target, after).await {
                    let _ = sender.send((target.target, sequence));
                }
            });
        }
        drop(sender);
        ticks.tick().await;
        while let Ok((target, sequence)) = sequences.try_recv() {
            seen.insert(target, sequence);
        }
    }
}

/// Drops again and again what ended a while ago.
pub(super) async fn sweep(daemon: Daemon) {
    let mut ticks = ticks(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        let keep = daemon.settings().entry.remember;
        let now = daemon.now();
        let mut state = daemon.state();
        state.feeds.sweep(now, keep);
        let in_flight = state.core.in_flight();
        for (pool, count) in state.core.queued() {
            let gauge = daemon.metrics().queue.with_label_values(&[pool.as_str()]);
            gauge.set((count as u64).cast_signed());
        }
        drop(state);
        daemon
            .metrics()
            .in_flight
            .set((in_flight as u64).cast_signed());
        let capacity = daemon.settings().entry.queue as f32;
        daemon.links().set_load(in_flight as f32 / capacity);
    }
}

/// Reads a target's reports and returns the number of the newest change of its cache.
async fn read_target(daemon: &Daemon, host: &Host, after: Option<u64>) -> Option<u64> {
    let targets = &daemon.shared.targets;
    let target = host.target.clone();
    match targets.load(&host.address, REPORT_TIMEOUT).await {
        Ok((report, bytes)) => {
            daemon.count_control("load", bytes);
            daemon.handle(Event::Load { target, report });
        }
        Err(error) => {
            tracing::debug!(target = %host.target, %error, "load was not read");
            return None;
        }
    }
    let after = after?;
    let (read, bytes) = targets
        .cache(&host.address, after, REPORT_TIMEOUT)
        .await
        .ok()?;
    daemon.count_control("cache", bytes);
    for change in read.events {
        let target = host.target.clone();
        daemon.handle(Event::Cache { target, change });
    }
    Some(read.sequence)
}

impl Daemon {
    fn set_hosts(&self, hosts: Vec<Host>) {
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

    /// Returns the targets to read reports of, and whether they are engines.
    fn targets(&self) -> Vec<(Host, bool)> {
        let engines = self.settings().pools.iter();
        let engines = engines.filter(|pool| pool.kind == Kind::Engine);
        let engines: Vec<_> = engines.map(|pool| pool.name.clone()).collect();
        let state = self.state();
        let hosts = state.hosts.values().cloned();
        hosts
            .map(|host| {
                let engine = engines.contains(&host.pool);
                (host, engine)
            })
            .collect()
    }

    fn count_control(&self, kind: &str, bytes: usize) {
        self.metrics()
            .control_bytes
            .with_label_values(&[kind])
            .inc_by(bytes as u64);
    }
}

fn ticks(interval: Duration) -> time::Interval {
    let mut ticks = time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
