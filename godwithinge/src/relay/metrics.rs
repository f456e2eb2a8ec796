//! Counters and histograms of a daemon that forwards requests.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bounds of the buckets of times, in seconds; around the objectives of the sites' requests.
const TIME_BUCKETS: [f64; 14] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1.1, 1.8, 2.5, 4.0, 6.0, 20.0,
];

/// Counters and histograms.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    registry: Registry,
    /// Requests by kind, status and reason.
    pub requests: IntCounterVec,
    /// Time to the first byte of the answer, by kind.
    pub first_byte_seconds: HistogramVec,
    /// Time in stages, by whether they were made.
    pub stage_seconds: HistogramVec,
    /// Sends to targets by result.
    pub sends: IntCounterVec,
    /// Calls to stage targets by result.
    pub stage_calls: IntCounterVec,
    /// Pieces in those calls.
    pub pieces: IntCounter,
    /// Calls of the store by table and result.
    pub store_calls: IntCounterVec,
    links: IntGauge,
    revision: IntGauge,
    /// Requests without an answer.
    pub in_flight: IntGauge,
}

impl Metrics {
    /// Creates metrics that are all zero.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have one name.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let opts = Opts::new(name, help).namespace("gwi_relay");
            let metric = IntCounterVec::new(opts, labels).expect("a valid name");
            let registered = registry.register(Box::new(metric.clone()));
            registered.expect("a new name");
            metric
        };
        let histogram = |name: &str, help: &str, label: &str| {
            let opts = HistogramOpts::new(name, help).namespace("gwi_relay");
            let opts = opts.buckets(TIME_BUCKETS.to_vec());
            let metric = HistogramVec::new(opts, &[label]).expect("a valid name");
            let registered = registry.register(Box::new(metric.clone()));
            registered.expect("a new name");
            metric
        };
        let gauge = |name: &str, help: &str| {
            let opts = Opts::new(name, help).namespace("gwi_relay");
            let metric = IntGauge::with_opts(opts).expect("a valid name");
            let registered = registry.register(Box::new(metric.clone()));
            registered.expect("a new name");
            metric
        };
        let pieces = IntCounter::with_opts(
            Opts::new("pieces_total", "Pieces in calls to stage targets").namespace("gwi_relay"),
        );
        let pieces = pieces.expect("a valid name");
        let registered = registry.register(Box::new(pieces.clone()));
        registered.expect("a new name");
        Self {
            requests: counter("requests_total", "Requests", &["kind", "status", "reason"]),
            first_byte_seconds: histogram("first_byte_seconds", "Time to the first byte", "kind"),
            stage_seconds: histogram("stages_seconds", "Time in stages", "result"),
            sends: counter("sends_total", "Sends to targets", &["pool", "result"]),
            stage_calls: counter("calls_total", "Calls to stage targets", &["pool", "result"]),
            pieces,
            store_calls: counter(
                "store_calls_total",
                "Calls of the store",
                &["table", "result"],
            ),
            links: gauge("links", "Daemons that are linked"),
            revision: gauge("revision", "Revision of the configuration"),
            in_flight: gauge("in_flight", "Requests without an answer"),
            registry,
        }
    }

    /// Sets how many daemons are linked.
    pub fn set_links(&self, count: usize) {
        self.links.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the revision of the configuration.
    pub fn set_revision(&self, revision: u64) {
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn encode(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::warn!(fault = %error, "metrics can't be encoded");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
