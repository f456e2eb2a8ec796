//! Prometheus metrics of the entry daemon.

use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the buckets of duration histograms.
const DURATION_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 30.0,
];

/// Metrics of the entry daemon, with the registry that holds them. Clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Number of finished requests by pipeline and outcome.
    pub outcomes: IntCounterVec,
    /// Number of requests answered in full by their deadline, by pipeline.
    pub attained: IntCounterVec,
    /// Number of submitted requests by pipeline.
    pub submitted: IntCounterVec,
    /// Time from submission to the final outcome by pipeline.
    pub request_seconds: HistogramVec,
    /// Time that targets spent on calls, in seconds, by pool and use: `useful` for calls that
    /// succeeded, `wasted` for others.
    pub stage_seconds: GaugeVec,
    /// Number of generated tokens by pool and use (`useful` or `wasted`).
    pub stage_tokens: IntCounterVec,
    /// Number of ended calls by pool and result.
    pub calls: IntCounterVec,
    /// Number of ended calls by target and result.
    pub target_calls: IntCounterVec,
    /// Number of calls in flight by target.
    pub target_in_flight: IntGaugeVec,
    /// Number of decisions by pool and choice.
    pub decisions: IntCounterVec,
    /// Number of requests without a final outcome.
    pub in_flight: IntGauge,
    /// Number of stages queued by pool.
    pub queued_stages: IntGaugeVec,
    /// Revision of the table of weights and limits in force.
    pub table_revision: IntGauge,
    /// Number of requests to the platform about a claim row, by kind (label `ask`) and reply.
    pub claim_requests: IntCounterVec,
    /// Number of settlements and releases of claims that are not yet written to the platform.
    pub unwritten_settlements: IntGauge,
    /// Size of control traffic in bytes, by kind.
    pub control_bytes: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics with value zero.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let registrar = Registrar(&registry);
        Ok(Self {
            outcomes: registrar.counter_vec(
                "requests",
                "Requests by outcome",
                &["pipeline", "outcome"],
            )?,
            attained: registrar.counter_vec(
                "attained",
                "Requests answered in time",
                &["pipeline"],
            )?,
            submitted: registrar.counter_vec("submitted", "Requests submitted", &["pipeline"])?,
            request_seconds: registrar.histogram_vec(
                "request_seconds",
                "Time to the outcome",
                &["pipeline"],
            )?,
            stage_seconds: registrar.float_gauge_vec(
                "stage_seconds",
                "Target seconds",
                &["pool", "use"],
            )?,
            stage_tokens: registrar.counter_vec(
                "stage_tokens",
                "Generated tokens",
                &["pool", "use"],
            )?,
            calls: registrar.counter_vec("calls", "Calls by result", &["pool", "result"])?,
            target_calls: registrar.counter_vec(
                "target_calls",
                "Calls by result",
                &["target", "result"],
            )?,
            target_in_flight: registrar.gauge_vec(
                "target_in_flight",
                "Calls in flight",
                &["target"],
            )?,
            decisions: registrar.counter_vec(
                "decisions",
                "Decisions by choice",
                &["pool", "choice"],
            )?,
            in_flight: registrar.gauge("in_flight", "Requests without an outcome")?,
            queued_stages: registrar.gauge_vec("queue", "Stages that wait", &["pool"])?,
            table_revision: registrar.gauge("table_revision", "Revision of the table")?,
            claim_requests: registrar.counter_vec(
                "claims",
                "Claim asks by reply",
                &["ask", "reply"],
            )?,
            unwritten_settlements: registrar.gauge("unsettled", "Settlements to be written")?,
            control_bytes: registrar.counter_vec("control_bytes", "Control traffic", &["kind"])?,
            registry,
        })
    }

    /// Records the final outcome of a request, reached `seconds` after its submission. `attained`
    /// is whether it was answered in full by its deadline.
    pub fn record_outcome(&self, pipeline: &str, outcome: &str, seconds: f64, attained: bool) {
        self.outcomes.with_label_values(&[pipeline, outcome]).inc();
        self.request_seconds
            .with_label_values(&[pipeline])
            .observe(seconds);
        if attained {
            self.attained.with_label_values(&[pipeline]).inc();
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn to_text(&self) -> Result<String, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Returns the registry, for registering further metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }
}

/// Creates metrics with prefix `gwi_` and registers them. Suffix `_total` is added to counters.
struct Registrar<'a>(&'a Registry);

impl Registrar<'_> {
    fn opts(name: &str, help: &str) -> Opts {
        Opts::new(name, help).namespace("gwi")
    }

    fn counter_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        let name = format!("{name}_total");
        let metric = IntCounterVec::new(Self::opts(&name, help), labels)?;
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn gauge_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, prometheus::Error> {
        let metric = IntGaugeVec::new(Self::opts(name, help), labels)?;
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn float_gauge_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<GaugeVec, prometheus::Error> {
        let metric = GaugeVec::new(Self::opts(name, help), labels)?;
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let metric = IntGauge::with_opts(Self::opts(name, help))?;
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn histogram_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<HistogramVec, prometheus::Error> {
        let opts =
            HistogramOpts::from(Self::opts(name, help)).buckets(DURATION_BUCKETS_SECONDS.to_vec());
        let metric = HistogramVec::new(opts, labels)?;
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}
