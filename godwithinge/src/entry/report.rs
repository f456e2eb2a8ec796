//! Polling of the targets' load and cache reports.
//!
//! Only targets in this entry's routing subsets are polled, those with recent calls more often
//! than idle ones. The rate of all reads together is limited in bytes per second.

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

/// Time between the starts of two reads.
const READ_SPACING: Duration = Duration::from_millis(25);
/// Maximum rate of control traffic in bytes per second; leaves a margin of 1/20 below the limit
/// of 11 KB per second and daemon.
const MAX_CONTROL_RATE: f64 = 10.5e3;
/// Minimum rate of reports in bytes per second, regardless of other control traffic.
const MIN_REPORT_RATE: f64 = 2e3;
/// Maximum rate of reports in bytes per second.
const MAX_REPORT_RATE: f64 = 8e3;
/// Time between two measurements of the other control traffic.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);
/// Kinds of traffic that do not count as other control traffic: reports, claims and checkpoints.
const EXCLUDED_KINDS: [&str; 4] = ["load", "cache", "platform_transactions", "platform_objects"];
/// Factor by which idle targets are read less often than targets in use.
const IDLE_FACTOR: u32 = 10;
/// Time limit of each read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// State of the reads of one target.
#[derive(Clone, Copy, Debug, Default)]
struct ReadState {
    /// Time at which the last read started.
    started_at: Option<Time>,
    /// Whether a read is in progress.
    is_running: bool,
    /// Sequence number of the newest cache change that was read.
    sequence: u64,
}

/// Result of a completed read.
#[derive(Debug)]
struct CompletedRead {
    target: TargetId,
    /// Number of bytes sent and received.
    bytes: usize,
    /// Sequence number of the newest cache change; `None` if no cache report was read.
    sequence: Option<u64>,
}

/// Polls the targets' reports until the daemon stops.
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

/// Reads the load report of a target and, if `after` is given, its cache changes after that number.
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
    // Fails only while the daemon stops.
    let _ = sender.send(CompletedRead {
        target,
        bytes,
        sequence,
    });
}

impl Daemon {
    /// Returns the target whose read is most overdue, and whether it is an engine.
    ///
    /// Marks the read as started; `None` if no read is due.
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

    /// Returns when the next read of a target is due; `None` while one is in progress.
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

    /// Reads a target's load report and passes it to the state machine.
    ///
    /// Returns whether the read succeeded, and the number of bytes sent and received.
    async fn read_load(&self, host: &Host) -> (bool, usize) {
        let target = host.target.clone();
        match self
            .shared
            .targets
            .read_load(&host.address, READ_TIMEOUT)
            .await
        {
            Ok((report, bytes)) => {
                self.count_control("load", bytes);
                self.handle(Event::Load { target, report });
                (true, bytes)
            }
            Err(error) => {
                tracing::debug!(%target, %error, "failed to read load report");
                (false, 0)
            }
        }
    }

    /// Reads the changes of an engine's cache and passes them to the state machine.
    ///
    /// Returns the sequence number of the newest change, `None` if the read failed, and the number
    /// of bytes sent and received.
    async fn read_cache(&self, host: &Host, after: u64) -> (Option<u64>, usize) {
        let targets = &self.shared.targets;
        let Ok((read, bytes)) = targets.read_cache(&host.address, after, READ_TIMEOUT).await else {
            return (None, 0);
        };
        self.count_control("cache", bytes);
        for change in read.events {
            let target = host.target.clone();
            self.handle(Event::Cache { target, change });
        }
        (Some(read.sequence), bytes)
    }

    /// Returns the total bytes of control traffic since the start, without [`EXCLUDED_KINDS`].
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
