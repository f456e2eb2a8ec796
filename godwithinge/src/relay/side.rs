//! HTTP server for readiness probes, metrics and the addresses of daemons.

use super::{accept, body::Body, state::Relay};
use compact_str::CompactString;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use policy::id::DomainId;
use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::{TcpListener, TcpStream};

/// Maximum time to receive a request head, and to wait for it on an idle connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10); // probes arrive every second
/// Maximum time for which callers cache addresses; a daemon that shuts down serves requests for
/// longer.
const MAX_ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Number of addresses in a caller's own domain from which it is given no others.
const MIN_LOCAL_ADDRESSES: usize = 2; // one daemon may fail at any time
/// Maximum number of addresses that callers accept in a response.
const MAX_ADDRESSES: usize = 64;
const METRICS_PATH: &str = "/metrics";

/// Accepts connections until the process ends.
pub(super) async fn listen(relay: Rc<Relay>, listener: TcpListener) {
    accept::serve_connections(listener, move |stream| serve(Rc::clone(&relay), stream)).await;
}

async fn serve(relay: Rc<Relay>, stream: TcpStream) {
    let handler = service::service_fn(move |request| {
        let response = relay.respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), handler);
    if let Err(error) = connection.await {
        tracing::debug!(fault = %error, "connection failed");
    }
}

impl Relay {
    fn respond(&self, request: &Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if self.dialect.is_ready_path(path) {
            let is_ready = self.is_ready();
            let status = if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return empty_response(status);
        }
        if path == METRICS_PATH {
            let memory = self.settings().memory_bytes;
            self.metrics.set_memory(&self.memory_usage_mut(), memory);
            return Response::new(Body::new(self.metrics.encode()));
        }
        let Some(query) = self
            .dialect
            .parse_directory_query(path, request.uri().query())
        else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let addresses = self.addresses(query.domain.as_ref());
        if addresses.is_empty() {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let ttl = MAX_ADDRESS_TTL.min(self.settings().address_ttl);
        let mut response = Response::new(Body::new(self.dialect.encode_addresses(&addresses, ttl)));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }

    /// Returns the addresses of daemons that accept requests; only those in `domain` if there are
    /// enough of them.
    fn addresses(&self, domain: Option<&DomainId>) -> Vec<CompactString> {
        let mut all: Vec<(bool, SocketAddr)> = Vec::new();
        let settings = self.settings();
        if self.is_ready() {
            let is_local = domain.is_some_and(|domain| *domain == settings.domain);
            all.push((is_local, settings.front_address));
        }
        self.links.for_each_peer(|peer| {
            if !peer.is_leaving {
                let is_local = domain.is_some_and(|domain| *domain == peer.profile.domain);
                all.push((is_local, peer.profile.front));
            }
        });
        let local = all.iter().filter(|(is_local, _)| *is_local).count();
        let chosen = all
            .into_iter()
            .filter(|(is_local, _)| *is_local || local < MIN_LOCAL_ADDRESSES);
        let chosen = chosen.take(MAX_ADDRESSES);
        chosen
            .map(|(_, address)| compact_str::format_compact!("{address}"))
            .collect()
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::new(""));
    *response.status_mut() = status;
    response
}
