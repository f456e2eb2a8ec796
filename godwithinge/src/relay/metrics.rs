//! Prometheus metrics of the relay.

use super::frame::Frame;
use policy::relay::memory::{Share, Usage};
use prometheus::{
    Counter, Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder, core::Collector,
};
use strum::{IntoEnumIterator, IntoStaticStr};

/// Upper bounds of the histogram buckets in seconds, spread around the objectives of the sites'
/// requests.
const TIME_BUCKETS: [f64; 14] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1.1, 1.8, 2.5, 4.0, 6.0, 20.0,
];

/// Direction of a frame on a link.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Direction {
    /// From the peer to this daemon.
    Received,
    /// From this daemon to the peer.
    Sent,
}

/// Side of a tunnel to a target.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum TunnelSide {
    /// This daemon opens it through a peer.
    Client,
    /// This daemon forwards its bytes for a peer.
    Server,
}

/// Registry of the metrics.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    registry: Registry,
    /// Finished requests by kind, status and reason.
    pub requests: IntCounterVec,
    /// Time to the first byte of the response by kind.
    pub first_byte_seconds: HistogramVec,
    /// Time spent on stages by whether they succeeded.
    pub stage_seconds: HistogramVec,
    /// Failed sends to targets by pool and result.
    pub sends: IntCounterVec,
    /// Requests whose target crashed while it executed them, by pool.
    pub target_crashes: IntCounterVec,
    /// Pauses that targets asked for, by pool.
    pub pauses: IntCounterVec,
    /// Answers of targets that limit the rate of their requests, by pool.
    pub rate_limited_sends: IntCounterVec,
    /// Questions whether a request may be sent to such a target, by pool and answer.
    permits: IntCounterVec,
    /// Targets that said that they leave, by whether they told this daemon or a peer.
    pub departures: IntCounterVec,
    /// Requests for which no target with a limit on rejections had room, by pool and whether they
    /// found some after a wait.
    pub room_waits: IntCounterVec,
    /// Ends of streams of targets by framing and result.
    pub stream_ends: IntCounterVec,
    /// Checks of targets' processes after ends that they did not declare, by result.
    pub end_checks: IntCounterVec,
    /// Silences of targets during calls by what follows from them.
    pub silences: IntCounterVec,
    /// Calls to stage targets by pool and result.
    pub stage_calls: IntCounterVec,
    /// Pieces in calls to stage targets.
    pub pieces: IntCounter,
    /// Time in which the scheduler ran, in seconds. Other tasks of the daemon wait meanwhile.
    pub scheduler_seconds: Counter,
    /// Panics of tasks.
    pub panics: IntCounter,
    /// Reads of the store by table and result.
    pub store_calls: IntCounterVec,
    /// Streams that callers take up, by the source of their build.
    pub resumptions: IntCounterVec,
    /// Frames on links by kind and direction.
    link_frames: IntCounterVec,
    /// Encoded size of frames on links by kind and direction.
    link_bytes: IntCounterVec,
    /// Tunnels to targets by side and result.
    tunnels: IntCounterVec,
    partitioned: IntGauge,
    quarantined: IntGauge,
    rate_limited_targets: IntGauge,
    pub holds: HoldMetrics,
    links: IntGauge,
    revision: IntGauge,
    /// Requests that are not finished.
    pub in_flight: IntGauge,
    memory: MemoryMetrics,
    /// Connections of callers that were closed or refused, by reason.
    pub closed_callers: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics with their initial value of zero.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name or if a name is invalid.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntCounterVec::new(opts(name, help), labels))
        };
        let histogram = |name: &str, help: &str, label: &str| {
            let opts = HistogramOpts::new(name, help).namespace("gwi_relay");
            let opts = opts.buckets(TIME_BUCKETS.to_vec());
            register(&registry, HistogramVec::new(opts, &[label]))
        };
        let gauge = |name, help| register(&registry, IntGauge::with_opts(opts(name, help)));
        let total = |name, help| register(&registry, IntCounter::with_opts(opts(name, help)));
        let seconds = |name, help| register(&registry, Counter::with_opts(opts(name, help)));
        Self {
            requests: counter("requests_total", "Requests", &["kind", "status", "reason"]),
            first_byte_seconds: histogram("first_byte_seconds", "Time to the first byte", "kind"),
            stage_seconds: histogram("stages_seconds", "Time in stages", "result"),
            sends: counter("sends_total", "Sends to targets", &["pool", "result"]),
            target_crashes: counter(
                "target_crashes_total",
                "Requests whose target crashed",
                &["pool"],
            ),
            pauses: counter("pauses_total", "Pauses that targets asked for", &["pool"]),
            rate_limited_sends: counter(
                "rate_limited_sends_total",
                "Answers of targets that limit the rate of their requests",
                &["pool"],
            ),
            permits: counter(
                "permits_total",
                "Permits for requests to targets that limit their rate",
                &["pool", "result"],
            ),
            departures: counter(
                "departures_total",
                "Targets that said that they leave",
                &["source"],
            ),
            room_waits: counter(
                "room_waits_total",
                "Requests that waited for room at targets that bear few rejections",
                &["pool", "result"],
            ),
            stream_ends: counter(
                "stream_ends_total",
                "Ends of streams of targets",
                &["framing", "result"],
            ),
            end_checks: counter(
                "end_checks_total",
                "Checks of targets after ends that they did not declare",
                &["process"],
            ),
            silences: counter("silences_total", "Silences of targets", &["next"]),
            stage_calls: counter("calls_total", "Calls to stage targets", &["pool", "result"]),
            pieces: total("pieces_total", "Pieces in calls to stage targets"),
            scheduler_seconds: seconds("scheduler_seconds_total", "Time in the scheduler"),
            panics: total("panics_total", "Panics of tasks"),
            store_calls: counter(
                "store_calls_total",
                "Calls of the store",
                &["table", "result"],
            ),
            resumptions: counter(
                "resumptions_total",
                "Streams that callers take up",
                &["source"],
            ),
            link_frames: counter(
                "link_frames_total",
                "Frames on links between daemons",
                &["frame", "direction"],
            ),
            link_bytes: counter(
                "link_bytes_total",
                "Bytes of frames on links between daemons",
                &["frame", "direction"],
            ),
            tunnels: counter(
                "tunnels_total",
                "Tunnels to targets through other daemons",
                &["side", "result"],
            ),
            partitioned: gauge(
                "partitioned",
                "Whether the daemon reaches no target by itself",
            ),
            quarantined: gauge("quarantined", "Features of requests that are refused"),
            rate_limited_targets: gauge(
                "rate_limited_targets",
                "Targets that limit the rate of their requests",
            ),
            holds: HoldMetrics::new(&registry),
            links: gauge("links", "Daemons that are linked"),
            revision: gauge("revision", "Revision of the configuration"),
            in_flight: gauge("in_flight", "Requests without an answer"),
            memory: MemoryMetrics::new(&registry),
            closed_callers: closed_callers(&registry),
            registry,
        }
    }

    /// Sets the number of linked daemons.
    pub fn set_links(&self, count: usize) {
        self.links.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a tunnel that was opened, or failed to open.
    pub fn record_tunnel(&self, side: TunnelSide, result: &str) {
        let labels: [&str; 2] = [side.into(), result];
        self.tunnels.with_label_values(&labels).inc();
    }

    /// Sets whether this daemon is partitioned from all targets.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.partitioned.set(is_partitioned.into());
    }

    /// Sets the number of features whose requests are refused.
    pub fn set_quarantined(&self, count: usize) {
        self.quarantined
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a permit that was asked for.
    pub fn record_permit(&self, pool: &str, result: &str) {
        self.permits.with_label_values(&[pool, result]).inc();
    }

    /// Sets the number of targets that limit the rate of their requests.
    pub fn set_rate_limited_targets(&self, count: usize) {
        self.rate_limited_targets
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a frame that was received or will be sent, and its encoded size.
    pub fn record_frame(&self, frame: &Frame, direction: Direction, bytes: usize) {
        let labels: [&str; 2] = [frame.into(), direction.into()];
        self.link_frames.with_label_values(&labels).inc();
        self.link_bytes
            .with_label_values(&labels)
            .inc_by(bytes as u64);
    }

    /// Sets how much is taken from the shares of a daemon's `memory` bytes.
    pub fn set_memory(&self, usage: &Usage, memory: u64) {
        for share in Share::iter() {
            let label: [&str; 1] = [share.into()];
            let set = |gauge: &IntGaugeVec, bytes| {
                let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
                gauge.with_label_values(&label).set(bytes);
            };
            set(&self.memory.taken, usage.taken(share));
            set(&self.memory.limit, share.size(memory));
        }
    }

    /// Sets the revision of the current configuration.
    pub fn set_revision(&self, revision: u64) {
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::warn!(fault = %error, "failed to encode metrics");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Memory that is taken from each share, and the size of the share.
#[derive(Clone, Debug)]
struct MemoryMetrics {
    taken: IntGaugeVec,
    limit: IntGaugeVec,
}

impl MemoryMetrics {
    fn new(registry: &Registry) -> Self {
        Self {
            taken: share_gauge(registry, "memory_bytes", "Memory that is taken"),
            limit: share_gauge(registry, "memory_limit_bytes", "Size of a share"),
        }
    }
}

/// Metrics about what keeps requests from targets that accept them.
#[derive(Clone, Debug)]
pub(super) struct HoldMetrics {
    evacuated_domains: IntGauge,
    cold_targets: IntGauge,
    held_sends: IntCounterVec,
}

impl HoldMetrics {
    fn new(registry: &Registry) -> Self {
        let gauge = |name, help| register(registry, IntGauge::with_opts(opts(name, help)));
        let held_sends = opts(
            "held_sends_total",
            "Requests held back from a selected target",
        );
        let held_sends = IntCounterVec::new(held_sends, &["pool", "reason"]);
        Self {
            evacuated_domains: gauge("evacuated_domains", "Failure domains that are evacuated"),
            cold_targets: gauge("cold_targets", "Targets with a limit since they are cold"),
            held_sends: register(registry, held_sends),
        }
    }

    /// Sets the number of failure domains that are evacuated.
    pub fn set_evacuated_domains(&self, count: usize) {
        self.evacuated_domains
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of targets with a limit since they are cold.
    pub fn set_cold_targets(&self, count: usize) {
        self.cold_targets
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a request that is held back from a selected target.
    pub fn record_held_send(&self, pool: &str, reason: &str) {
        self.held_sends.with_label_values(&[pool, reason]).inc();
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("gwi_relay")
}

/// Adds a metric with a value for each share of the memory.
fn share_gauge(registry: &Registry, name: &str, help: &str) -> IntGaugeVec {
    register(registry, IntGaugeVec::new(opts(name, help), &["share"]))
}

fn closed_callers(registry: &Registry) -> IntCounterVec {
    let help = "Connections of callers that were closed or refused";
    let opts = opts("closed_callers_total", help);
    register(registry, IntCounterVec::new(opts, &["reason"]))
}

/// Adds a new metric to a registry and returns it.
///
/// # Panics
///
/// Panics if another metric has the same name or if the name is invalid.
fn register<M: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> M {
    let metric = metric.expect("metric name is valid");
    let registered = registry.register(Box::new(metric.clone()));
    registered.expect("metric name is unique");
    metric
}
