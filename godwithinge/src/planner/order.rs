//! Sending of orders to engines.

use super::clock::Clock;
use crate::http::{Pool, Request, Reuse};
use bytes::Bytes;
use compact_str::CompactString;
use http::{Method, StatusCode};
use http_body_util::Full;
use policy::{
    host::Role,
    id::{AdapterId, ModelId, Time},
    lease::FencingToken,
    placement::{Answer, Order},
};
use serde::Serialize;
use std::{net::SocketAddr, time::Duration};
use tokio::time;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// JSON body of an order.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    fence: FencingToken,
    seen: &'a [ModelId],
    models: &'a [ModelId],
    adapters: &'a [AdapterId],
    role: Role,
}

/// Time limits for sending an order.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Latest time at which sending may start, so that the order ends before the lease expires.
    pub(super) latest_start: Time,
    /// Maximum duration of the request.
    pub(super) timeout: Duration,
}

/// Sends an order and returns its result.
///
/// Nothing is sent if the latest start has passed. The order goes over a new connection.
pub(super) async fn send(
    connections: &Pool,
    clock: Clock,
    address: SocketAddr,
    order: &Order,
    limits: Limits,
) -> Answer {
    let Some(request) = request(order) else {
        return Answer::Lapsed;
    };
    let address = CompactString::from(address.to_string());
    let exchange = async {
        if clock.now() > limits.latest_start {
            return Answer::Lapsed;
        }
        let Ok(response) = connections.send(&address, request, Reuse::Never).await else {
            return Answer::Unavailable;
        };
        let status = response.status();
        // The connection can only be reused after the body has been read to its end.
        let _ = response.bytes(MAX_RESPONSE_BYTES).await;
        answer(status)
    };
    time::timeout(limits.timeout, exchange)
        .await
        .unwrap_or(Answer::Unavailable)
}

fn answer(status: StatusCode) -> Answer {
    match status {
        StatusCode::CONFLICT => Answer::Refused,
        StatusCode::PRECONDITION_FAILED => Answer::Mismatch,
        status if status.is_success() => Answer::Accepted,
        _ => Answer::Unavailable,
    }
}

fn request(order: &Order) -> Option<Request> {
    let body = OrderBody {
        fence: order.fence,
        seen: &order.seen,
        models: &order.models,
        adapters: &order.adapters,
        role: order.role,
    };
    let body = serde_json::to_vec(&body).ok()?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = "/orders".parse().ok()?;
    Some(request)
}
