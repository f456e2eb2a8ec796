//! Reads of the targets' reports.
//!
//! Only the targets that this entry works with are read, those with recent calls more often than
//! idle ones, and never more in a second than the control traffic permits.

use super::{Daemon, poll, state::State};
use policy::{
    Event,
    host::Host,
    id::{TargetId, Time},
    pool::Kind,
};
use std::{collections::HashMap, time::Duration};
use tokio::sync::mpsc;

/// Shortest time between two reads of any targets' reports; it bounds the control traffic.
const SPACING: Duration = Duration::from_millis(50);
/// Reads of a target in use for each read of an idle one.
const IDLE_FACTOR: u32 = 10;
/// Longest time of reading a target's report.
const TIMEOUT: Duration = Duration::from_millis(500);

/// What is known of the reads of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Read {
    /// When the last read began.
    at: Option<Time>,
    /// Whether a read is under way.
    is_running: bool,
    /// Number of the newest change of the cache that was read.
    sequence: u64,
}

/// End of a read, with the number of the newest change of the cache if that was read.
type End = (TargetId, Option<u64>);

/// Reads the targets' reports for as long as the daemon runs.
pub(super) async fn run(daemon: Daemon) {
    let mut reads: HashMap<TargetId, Read> = HashMap::new();
    let (sender, mut ended) = mpsc::unbounded_channel::<End>();
    let mut ticks = poll::ticks(SPACING);
    loop {
        ticks.tick().await;
        while let Ok((target, sequence)) = ended.try_recv() {
            let read = reads.entry(target).or_default();
            read.is_running = false;
            read.sequence = sequence.unwrap_or(read.sequence);
        }
        if let Some((host, engine)) = daemon.due(&mut reads) {
            let after = engine.then(|| reads[&host.target].sequence);
            tokio::spawn(read(daemon.clone(), host, after, sender.clone()));
        }
    }
}

/// Reads one target's reports.
async fn read(daemon: Daemon, host: Host, after: Option<u64>, ended: mpsc::UnboundedSender<End>) {
    let sequence = daemon.read_reports(&host, after).await;
    // The receiver ends with the daemon.
    let _ = ended.send((host.target, sequence));
}

impl Daemon {
    /// Returns the target whose read is due for the longest time, and whether it is an engine.
    fn due(&self, reads: &mut HashMap<TargetId, Read>) -> Option<(Host, bool)> {
        let now = self.now();
        let mut state = self.state();
        let pools = self.settings().pools.iter();
        let targets = pools.flat_map(|pool| {
            let targets = state.core.router().subset(&pool.name);
            targets.map(move |target| (target, pool.kind))
        });
        let due = targets.filter_map(|(target, kind)| {
            let at = self.due_at(&state, reads.get(target), target)?;
            (at <= now).then_some((at, target, kind))
        });
        let (_, target, kind) = due.min_by_key(|(at, ..)| *at)?;
        let host = state.hosts.get(target)?.clone();
        state.used.remove(&host.target);
        if reads.len() > state.hosts.len() {
            reads.retain(|target, _| state.hosts.contains_key(target));
        }
        drop(state);
        let read = reads.entry(host.target.clone()).or_default();
        read.at = Some(now);
        read.is_running = true;
        Some((host, kind == Kind::Engine))
    }

    /// Returns when a target's reports are to be read; `None` while they are being read.
    fn due_at(&self, state: &State, read: Option<&Read>, target: &TargetId) -> Option<Time> {
        let read = read.copied().unwrap_or_default();
        if read.is_running {
            return None;
        }
        let interval = self.settings().entry.load_poll;
        let is_used = state.used.contains(target) || state.core.router().in_flight(target) > 0;
        let wait = if is_used {
            interval
        } else {
            interval * IDLE_FACTOR
        };
        Some(read.at.map_or(Time::ZERO, |at| at + wait))
    }

    /// Hands over a target's reports and returns the number of the newest change of its cache.
    async fn read_reports(&self, host: &Host, after: Option<u64>) -> Option<u64> {
        let targets = &self.shared.targets;
        let target = host.target.clone();
        match targets.load(&host.address, TIMEOUT).await {
            Ok((report, bytes)) => {
                self.count_control("load", bytes);
                self.handle(Event::Load { target, report });
            }
            Err(error) => {
                tracing::debug!(target = %host.target, %error, "load was not read");
                return None;
            }
        }
        let read = targets.cache(&host.address, after?, TIMEOUT).await;
        let (read, bytes) = read.ok()?;
        self.count_control("cache", bytes);
        for change in read.events {
            let target = host.target.clone();
            self.handle(Event::Cache { target, change });
        }
        Some(read.sequence)
    }

    fn count_control(&self, kind: &str, bytes: usize) {
        let counter = &self.metrics().control_bytes;
        counter.with_label_values(&[kind]).inc_by(bytes as u64);
    }
}
