//! Answers questions of readiness, of addresses and of metrics.

use super::{accept, body::Body, state::Relay};
use compact_str::CompactString;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use policy::id::DomainId;
use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::{TcpListener, TcpStream};

/// Longest time of a request head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10); // probes come every second
/// Time for which callers keep addresses.
const ADDRESS_KEEP: Duration = Duration::from_secs(2); // a daemon that leaves serves on for longer
/// Addresses of a caller's own domain from which it is given no others.
const MIN_NEAR: usize = 2; // one may be lost at any moment
/// Most addresses of an answer that callers take.
const MAX_ADDRESSES: usize = 64;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Takes connections until the process ends.
pub(super) async fn listen(relay: Rc<Relay>, listener: TcpListener) {
    accept::serve_connections(listener, move |stream| serve(Rc::clone(&relay), stream)).await;
}

async fn serve(relay: Rc<Relay>, stream: TcpStream) {
    let handler = service::service_fn(move |request| {
        let response = relay.answer_question(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), handler);
    if let Err(fault) = connection.await {
        tracing::debug!(%fault, "connection broke");
    }
}

impl Relay {
    fn answer_question(&self, request: &Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if self.dialect.is_ready_path(path) {
            let is_ready = self.is_ready();
            let status = if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return with_status(status);
        }
        if path == METRICS_PATH {
            return Response::new(Body::new(self.metrics.to_text()));
        }
        let Some(seeker) = self.dialect.seeker(path, request.uri().query()) else {
            return with_status(StatusCode::NOT_FOUND);
        };
        let addresses = self.addresses(seeker.domain.as_ref());
        if addresses.is_empty() {
            return with_status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let keep = ADDRESS_KEEP.min(self.settings().address_ttl);
        let mut response = Response::new(Body::new(self.dialect.addresses(&addresses, keep)));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }

    /// Returns the addresses of daemons that take callers, near ones if there are enough.
    fn addresses(&self, domain: Option<&DomainId>) -> Vec<CompactString> {
        let mut all: Vec<(bool, SocketAddr)> = Vec::new();
        let settings = self.settings();
        if self.is_ready() {
            let is_near = domain.is_some_and(|domain| *domain == settings.domain);
            all.push((is_near, settings.front));
        }
        self.links.for_each_peer(|peer| {
            if !peer.is_leaving {
                let is_near = domain.is_some_and(|domain| *domain == peer.profile.domain);
                all.push((is_near, peer.profile.front));
            }
        });
        let near = all.iter().filter(|(is_near, _)| *is_near).count();
        let chosen = all
            .into_iter()
            .filter(|(is_near, _)| *is_near || near < MIN_NEAR);
        let chosen = chosen.take(MAX_ADDRESSES);
        chosen
            .map(|(_, address)| compact_str::format_compact!("{address}"))
            .collect()
    }
}

fn with_status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::new(""));
    *response.status_mut() = status;
    response
}
