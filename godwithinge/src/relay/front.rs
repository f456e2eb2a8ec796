//! Takes callers' requests.

use super::{
    accept,
    body::Body,
    outcome::{Reason, Rejection},
    run::{self, Story, Ticket},
    state::{InFlightGuard, Relay},
};
use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, Response, Version, header, request::Parts};
use http_body_util::BodyExt;
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    cell::Cell,
    convert::Infallible,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

/// Longest time without a part of a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2); // the largest body takes some tens of milliseconds
/// Limits on callers before a configuration is known; the users' usual ones.
const FIRST_LIMITS: (usize, Duration, Duration) =
    (16_384, Duration::from_secs(3), Duration::from_secs(15));
/// Period in which idle connections are looked over.
const IDLE_PERIOD: Duration = Duration::from_secs(1);
/// Smallest buffer that the server library takes for heads, in bytes.
const MIN_BUFFER: usize = 8_192;

/// What one connection does.
#[derive(Debug)]
struct Use {
    in_flight: Cell<usize>,
    last: Cell<Instant>,
}

/// Takes connections until the process ends.
pub(super) async fn listen(relay: Rc<Relay>, listener: TcpListener) {
    accept::serve_connections(listener, move |stream| serve(Rc::clone(&relay), stream)).await;
}

/// Serves one connection until either side closes it.
async fn serve(relay: Rc<Relay>, stream: TcpStream) {
    if let Err(fault) = stream.set_nodelay(true) {
        tracing::debug!(%fault, "connection ended at once");
        return;
    }
    let (header_bytes, header_timeout, _) = limits(&relay);
    let used = Rc::new(Use {
        in_flight: Cell::new(0),
        last: Cell::new(Instant::now()),
    });
    let handler = {
        let (relay, used) = (Rc::clone(&relay), Rc::clone(&used));
        service::service_fn(move |request| {
            let (relay, used) = (Rc::clone(&relay), Rc::clone(&used));
            async move { Ok::<_, Infallible>(handle(relay, used, request).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library's time runs from the end of the last answer, so it bounds idle time too.
        .header_read_timeout(header_timeout + MAX_IDLE)
        .max_buf_size(header_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), handler);
    tokio::pin!(connection);
    let mut period = time::interval(IDLE_PERIOD);
    loop {
        tokio::select! {
            end = &mut connection => {
                if let Err(fault) = end {
                    tracing::debug!(%fault, "connection broke");
                }
                return;
            }
            _ = period.tick() => {
                let (_, _, idle_timeout) = limits(&relay);
                let is_idle = used.in_flight.get() == 0 && used.last.get().elapsed() > idle_timeout;
                if is_idle || relay.is_closing() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Longest idle time that a connection is given whatever the configuration says.
const MAX_IDLE: Duration = Duration::from_secs(120);

fn limits(relay: &Relay) -> (usize, Duration, Duration) {
    relay.plan().map_or(FIRST_LIMITS, |plan| {
        let limits = plan.limits;
        (
            limits.header_bytes,
            limits.header_timeout,
            limits.idle_timeout,
        )
    })
}

async fn handle(relay: Rc<Relay>, used: Rc<Use>, request: Request<Incoming>) -> Response<Body> {
    used.in_flight.set(used.in_flight.get() + 1);
    let busy = Busy(Rc::clone(&used));
    // Bytes behind a chunked body may have been meant as a part of it by the caller.
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = respond(Rc::clone(&relay), request, busy).await;
    if is_chunked || relay.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Counts a request of a connection until it is dropped.
#[derive(Debug)]
pub(super) struct Busy(Rc<Use>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.last.set(Instant::now());
    }
}

async fn respond(relay: Rc<Relay>, request: Request<Incoming>, _busy: Busy) -> Response<Body> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    match ticket(&relay, head, body, arrived).await {
        Ok(ticket) => ticket.run().await,
        Err(rejection) => rejection.into_response(),
    }
}

/// Checks a request and reads its body.
async fn ticket(
    relay: &Rc<Relay>,
    head: Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<Ticket, Rejection> {
    let flight = InFlightGuard::new(relay);
    let reject = |rejection: Rejection, id: &str| {
        let reason: &'static str = rejection.reason.into();
        tracing::info!(
            request = id,
            reason,
            path = head.uri.path(),
            "request rejected"
        );
        let status = rejection.reason.status();
        let labels = ["unknown", status.as_str(), reason];
        relay.metrics.requests.with_label_values(&labels).inc();
        rejection
    };
    let plan = relay.plan();
    let plan = plan.ok_or_else(|| {
        reject(
            Rejection::new(Reason::NoPlan).with_retry_after(NO_PLAN_RETRY),
            "",
        )
    })?;
    let is_known = matches!(head.version, Version::HTTP_11 | Version::HTTP_10);
    let ask = relay.dialect.ask(&head).ok().filter(|_| is_known);
    let ask = ask.ok_or_else(|| reject(Rejection::new(Reason::Malformed), ""))?;
    let key = ask.key.as_deref();
    let admitted = plan.admit(&run::host(&head), head.uri.path(), key);
    let (route, workspace) = admitted.map_err(|denial| reject(denial.into(), &ask.id))?;
    if relay.is_closing() {
        let leaving = Rejection::new(Reason::Leaving).with_retry_after(LEAVING_RETRY);
        return Err(reject(leaving, &ask.id));
    }
    let timeout = route.timeout;
    let due = arrived
        + ask
            .deadline
            .map_or(timeout, |deadline| deadline.min(timeout));
    let body = read(body, plan.limits.body_bytes, due).await;
    let body = body.map_err(|reason| reject(Rejection::new(reason), &ask.id))?;
    let name = workspace.map(|workspace| workspace.name.clone());
    let priority = workspace.and_then(|workspace| workspace.priority);
    Ok(Ticket {
        payload: run::payload(&head, name.as_ref(), &body),
        priority: priority.unwrap_or(route.priority),
        route: Arc::clone(route),
        relay: Rc::clone(relay),
        workspace: name,
        story: Story::default(),
        _flight: flight,
        plan: Rc::clone(&plan),
        head,
        body,
        ask,
        arrived,
        due,
    })
}

/// When a caller of a daemon that ends comes back, to another one.
const LEAVING_RETRY: Duration = Duration::from_millis(20); // a new connection takes about as long
/// When a caller comes back to a daemon that knows no configuration.
const NO_PLAN_RETRY: Duration = Duration::from_millis(300); // a start takes some tens of milliseconds

async fn read(mut body: Incoming, limit: usize, due: Instant) -> Result<Bytes, Reason> {
    let mut whole = BytesMut::new();
    let hint = hyper::body::Body::size_hint(&body);
    if hint.lower() > limit as u64 {
        return Err(Reason::TooLarge);
    }
    whole.reserve(hint.lower() as usize);
    loop {
        let until = due.min(Instant::now() + BODY_TIMEOUT);
        let frame = time::timeout_at(until.into(), body.frame()).await;
        let Some(frame) = frame.map_err(|_elapsed| Reason::BodyTimeout)? else {
            return Ok(whole.freeze());
        };
        let frame = frame.map_err(|_broken| Reason::BodyTimeout)?;
        if let Some(data) = frame.data_ref() {
            if whole.len() + data.len() > limit {
                return Err(Reason::TooLarge);
            }
            whole.extend_from_slice(data);
        }
    }
}
