//! Reads of the targets' reports.
//!
//! Only the targets that this entry works with are read, those with recent calls more often than
//! idle ones, and all of them together within a budget of bytes a second.

use super::{Daemon, poll, state::State};
use policy::{
    Event,
    allowance::Allowance,
    host::Host,
    id::{TargetId, Time},
    pool::Kind,
};
use prometheus::{
    core::Collector,
    proto::{LabelPair, MetricFamily},
};
use std::{collections::HashMap, time::Duration};
use tokio::sync::mpsc;

/// Time between the begin of two reads.
const READ_SPACING: Duration = Duration::from_millis(25);
/// Bytes of control traffic in a second; a twentieth is left of the 11 KB that a daemon may take.
const MAX_CONTROL_RATE: f64 = 10.5e3;
/// Bytes of reports in a second at least, whatever the other control traffic takes.
const MIN_REPORT_RATE: f64 = 2e3;
/// Bytes of reports in a second at most.
const MAX_REPORT_RATE: f64 = 8e3;
/// Time between two looks at the other control traffic.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);
/// Kinds of traffic that are no control beside the reports: reports, claims and kept results.
const EXCLUDED_KINDS: [&str; 4] = ["load", "cache", "platform_transactions", "platform_objects"];
/// Reads of a target in use for each read of an idle one.
const IDLE_FACTOR: u32 = 10;
/// Longest time of reading a target's report.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// What is known of the reads of one target.
#[derive(Clone, Copy, Debug, Default)]
struct ReadState {
    /// When the last read began.
    started_at: Option<Time>,
    /// Whether a read is under way.
    is_running: bool,
    /// Number of the newest change of the cache that was read.
    sequence: u64,
}

/// Result of a read.
#[derive(Debug)]
struct CompletedRead {
    target: TargetId,
    /// Bytes that were sent and received.
    bytes: usize,
    /// Number of the newest change of the cache, if that was read.
    sequence: Option<u64>,
}

/// Reads the targets' reports for as long as the daemon runs.
pub(super) async fn run(daemon: Daemon) {
    let mut reads: HashMap<TargetId, ReadState> = HashMap::new();
    let (sender, mut completed) = mpsc::unbounded_channel::<CompletedRead>();
    let mut ticks = poll::ticks(READ_SPACING);
    let mut allowance = Allowance::new(MAX_CONTROL_RATE, MIN_REPORT_RATE, MAX_REPORT_RATE);
    let mut observed_at = Time::ZERO;
    loop {
        ticks.tick().await;
        let now = daemon.now();
        if now >= observed_at + OBSERVATION_INTERVAL {
            allowance.observe(now, daemon.other_control_bytes());
            observed_at = now;
        }
        while let Ok(end) = completed.try_recv() {
            allowance.spend(end.bytes);
            let read = reads.entry(end.target).or_default();
            read.is_running = false;
            read.sequence = end.sequence.unwrap_or(read.sequence);
        }
        if allowance.has_credit(now)
            && let Some((host, engine)) = daemon.next_due(&mut reads)
        {
            let after = engine.then(|| reads[&host.target].sequence);
            tokio::spawn(read(daemon.clone(), host, after, sender.clone()));
        }
    }
}

/// Reads one target's reports.
async fn read(
    daemon: Daemon,
    host: Host,
    after: Option<u64>,
    sender: mpsc::UnboundedSender<CompletedRead>,
) {
    let (load, mut bytes) = daemon.read_load(&host).await;
    let mut sequence = None;
    if let Some(after) = after.filter(|_| load) {
        let (newest, more) = daemon.read_cache(&host, after).await;
        sequence = newest;
        bytes += more;
    }
    let target = host.target;
    // The receiver ends with the daemon.
    let _ = sender.send(CompletedRead {
        target,
        bytes,
        sequence,
    });
}

impl Daemon {
    /// Returns the target whose read is due for the longest time, and whether it is an engine.
    fn next_due(&self, reads: &mut HashMap<TargetId, ReadState>) -> Option<(Host, bool)> {
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
        state.recently_called.remove(&host.target);
        if reads.len() > state.hosts.len() {
            reads.retain(|target, _| state.hosts.contains_key(target));
        }
        drop(state);
        let read = reads.entry(host.target.clone()).or_default();
        read.started_at = Some(now);
        read.is_running = true;
        Some((host, kind == Kind::Engine))
    }

    /// Returns when a target's reports are to be read; `None` while they are being read.
    fn due_at(&self, state: &State, read: Option<&ReadState>, target: &TargetId) -> Option<Time> {
        let read = read.copied().unwrap_or_default();
        if read.is_running {
            return None;
        }
        let interval = self.settings().entry.load_poll;
        let is_in_use =
            state.recently_called.contains(target) || state.core.router().in_flight(target) > 0;
        let wait = if is_in_use {
            interval
        } else {
            interval * IDLE_FACTOR
        };
        Some(read.started_at.map_or(Time::ZERO, |at| at + wait))
    }

    /// Hands over a target's load; returns whether it could be read, and the bytes of that.
    async fn read_load(&self, host: &Host) -> (bool, usize) {
        let target = host.target.clone();
        match self.shared.targets.load(&host.address, READ_TIMEOUT).await {
            Ok((report, bytes)) => {
                self.count_control("load", bytes);
                self.handle(Event::Load { target, report });
                (true, bytes)
            }
            Err(error) => {
                tracing::debug!(%target, %error, "load was not read");
                (false, 0)
            }
        }
    }

    /// Hands over the changes of an engine's cache; returns the number of the newest, if they
    /// could be read, and the bytes of that.
    async fn read_cache(&self, host: &Host, after: u64) -> (Option<u64>, usize) {
        let targets = &self.shared.targets;
        let Ok((read, bytes)) = targets.cache(&host.address, after, READ_TIMEOUT).await else {
            return (None, 0);
        };
        self.count_control("cache", bytes);
        for change in read.events {
            let target = host.target.clone();
            self.handle(Event::Cache { target, change });
        }
        (Some(read.sequence), bytes)
    }

    /// Returns the bytes of control traffic so far but for the reports.
    fn other_control_bytes(&self) -> u64 {
        let families = self.metrics().control_bytes.collect();
        let metrics = families.iter().flat_map(MetricFamily::get_metric);
        let others = metrics.filter(|metric| {
            let mut kinds = metric.get_label().iter().map(LabelPair::value);
            !kinds.any(|kind| EXCLUDED_KINDS.contains(&kind))
        });
        others
            .map(|metric| metric.get_counter().get_value() as u64)
            .sum()
    }

    fn count_control(&self, kind: &str, bytes: usize) {
        let counter = &self.metrics().control_bytes;
        counter.with_label_values(&[kind]).inc_by(bytes as u64);
    }
}
