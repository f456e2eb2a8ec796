//! Prometheus metrics of the planner, and the HTTP server that exposes them.

use crate::log;
use dropshot::{
    ApiDescription, Body, BuildError, ConfigDropshot, HttpError, HttpServer, RequestContext,
    ServerBuilder, endpoint,
};
use http::{Response, header};
use prometheus::{Encoder, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use std::net::SocketAddr;

/// Metrics of the planner.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// 1 while this planner holds the lease, otherwise 0.
    pub lease_held: IntGauge,
    /// Fencing token of the last lease that this planner held; 0 before the first.
    pub fence: IntGauge,
    /// Number of live engines of the region in the last host list.
    pub engines: IntGauge,
    /// Number of orders sent, by reason.
    pub orders: IntCounterVec,
    /// Number of orders ended, by answer.
    pub answers: IntCounterVec,
}

impl Metrics {
    /// Creates metrics with a registry of their own.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let opts = |name: &str, help: &str| Opts::new(name, help).namespace("gwi_planner");
        let created = Self {
            registry: Registry::new(),
            lease_held: IntGauge::with_opts(opts("lease_held", "Whether the lease is held"))?,
            fence: IntGauge::with_opts(opts("fence", "Fence of the last lease held"))?,
            engines: IntGauge::with_opts(opts("engines", "Engines of the region"))?,
            orders: IntCounterVec::new(opts("orders_total", "Orders given"), &["reason"])?,
            answers: IntCounterVec::new(opts("answers_total", "Orders ended"), &["answer"])?,
        };
        let registry = &created.registry;
        registry.register(Box::new(created.lease_held.clone()))?;
        registry.register(Box::new(created.fence.clone()))?;
        registry.register(Box::new(created.engines.clone()))?;
        registry.register(Box::new(created.orders.clone()))?;
        registry.register(Box::new(created.answers.clone()))?;
        Ok(created)
    }

    fn to_text(&self) -> Result<String, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

/// Returns the metrics in the Prometheus text format.
#[endpoint {
    method = GET,
    path = "/metrics",
}]
async fn metrics(context: RequestContext<Metrics>) -> Result<Response<Body>, HttpError> {
    let text = context.context().to_text();
    let text = text.map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let response = Response::builder().header(header::CONTENT_TYPE, "text/plain; version=0.0.4");
    Ok(response.body(text.into())?)
}

/// Starts the HTTP server for `GET /metrics`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
///
/// # Panics
///
/// Does not panic, as there is only one endpoint to register.
pub(super) fn serve(
    context: Metrics,
    address: SocketAddr,
) -> Result<HttpServer<Metrics>, BuildError> {
    let mut api = ApiDescription::new();
    api.register(metrics)
        .expect("the only endpoint has no conflicts");
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, context, log::logger())
        .config(config)
        .start()
}
