//! HTTP server for the requests of callers.

use super::{
    accept,
    body::Body,
    buffer::Reservation,
    callers::{Activity, BodyGuard, CallerStream, RequestGuard},
    crash,
    outcome::{Reason, Rejection},
    run::{self, ActiveRequest, RequestStats},
    state::{InFlightGuard, Relay, UnansweredGuard},
};
use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, Response, Version, header, request::Parts};
use http_body_util::BodyExt;
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use policy::relay::memory::Share;
use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

/// Maximum time between two frames of a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2); // the largest body takes tens of ms
/// The same while other bodies find no memory. Clients that stop short of the end of their bodies would hold it for
/// most of the time.
const SHORT_BODY_TIMEOUT: Duration = Duration::from_millis(300); // a lost packet is sent again within 200 ms
/// Time after a body found no memory during which memory counts as short.
const SHORTAGE_PERIOD: Duration = Duration::from_secs(1); // the retry delay of refused callers
/// Head size in bytes, head timeout and idle timeout that apply until a configuration is loaded;
/// the values that users usually configure.
const DEFAULT_LIMITS: (usize, Duration, Duration) =
    (16_384, Duration::from_secs(3), Duration::from_secs(15));
/// Interval at which connections are checked for idleness.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum buffer size for request heads that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Accepts connections until the process ends.
pub(super) async fn listen(relay: Rc<Relay>, listener: TcpListener) {
    let crowded = Rc::clone(&relay);
    let is_crowded = move || crowded.has_many_callers();
    let serve = move |stream| serve(Rc::clone(&relay), stream);
    accept::serve_bounded_connections(listener, serve, is_crowded).await;
}

/// Serves one connection until either side closes it.
async fn serve(relay: Rc<Relay>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(fault = %error, "failed to set TCP_NODELAY, closing connection");
        return;
    }
    let Some(place) = relay.admit_caller() else {
        return;
    };
    let activity = Rc::clone(&place.activity);
    let (header_bytes, header_timeout, _) = limits(&relay);
    let handler = {
        let (relay, activity) = (Rc::clone(&relay), Rc::clone(&activity));
        service::service_fn(move |request| {
            let (relay, activity) = (Rc::clone(&relay), Rc::clone(&activity));
            async move { Ok::<_, Infallible>(handle(relay, activity, request).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper starts this timeout at the end of the previous response, so it also limits the idle
        // time.
        .header_read_timeout(header_timeout + MAX_IDLE_TIMEOUT)
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(CallerStream::new(stream, &activity)), handler);
    tokio::pin!(connection);
    let mut idle_check = time::interval(IDLE_CHECK_INTERVAL);
    let mut closing = pin!(relay.until_closing());
    let mut is_closing = false;
    loop {
        tokio::select! {
            // Reads a request that has arrived before the connection is checked for idleness.
            biased;
            result = &mut connection => {
                if let Err(error) = result {
                    tracing::debug!(fault = %error, "connection failed");
                }
                return;
            }
            () = &mut closing, if !is_closing => {
                is_closing = true;
                // The first request may be on its way; its response closes the connection.
                if activity.has_carried_request() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            _ = idle_check.tick() => {
                if let Some(reason) = overdue(&relay, &activity) {
                    relay.record_closed_caller(reason);
                    return;
                }
                let (_, _, idle_timeout) = limits(&relay);
                if activity.is_idle_for(idle_timeout) {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = activity.until_closed() => {
                if !activity.is_unused() {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Returns why a connection has to be closed although its caller has not ended what it began.
fn overdue(relay: &Relay, activity: &Activity) -> Option<&'static str> {
    let (_, header_timeout, idle_timeout) = limits(relay);
    if activity.is_head_late(header_timeout) {
        return Some("head_timeout");
    }
    // A head that follows another request at once is not noticed until the connection counts as idle.
    if activity.is_idle_for(idle_timeout + header_timeout) {
        return Some("idle_timeout");
    }
    activity
        .is_unread_for(idle_timeout)
        .then_some("unread_timeout")
}

/// Maximum idle time of a connection, whatever the configuration says.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

fn limits(relay: &Relay) -> (usize, Duration, Duration) {
    relay.plan().map_or(DEFAULT_LIMITS, |plan| {
        let limits = plan.limits;
        (
            limits.header_bytes,
            limits.header_timeout,
            limits.idle_timeout,
        )
    })
}

async fn handle(
    relay: Rc<Relay>,
    activity: Rc<Activity>,
    request: Request<Incoming>,
) -> Response<Body> {
    let guard = activity.begin_request(&relay);
    // The caller may have meant bytes after a chunked body as part of that body, so the connection
    // is not reused.
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let unanswered = UnansweredGuard::new(&relay);
    let mut response = respond(Rc::clone(&relay), request, guard).await;
    drop(unanswered);
    if is_chunked || relay.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn respond(
    relay: Rc<Relay>,
    request: Request<Incoming>,
    guard: RequestGuard,
) -> Response<Body> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    match admit(&relay, head, body, arrived, guard).await {
        Ok(request) => request.run().await,
        Err(rejection) => rejection.into_response(),
    }
}

/// Validates a request and reads its body.
async fn admit(
    relay: &Rc<Relay>,
    head: Parts,
    body: Incoming,
    arrived: Instant,
    guard: RequestGuard,
) -> Result<ActiveRequest, Rejection> {
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
            Rejection::new(Reason::NoPlan).with_retry_after(NO_PLAN_RETRY_AFTER),
            "",
        )
    })?;
    let is_supported_version = matches!(head.version, Version::HTTP_11 | Version::HTTP_10);
    let metadata = relay
        .dialect
        .parse_request(&head)
        .ok()
        .filter(|_| is_supported_version);
    let metadata = metadata.ok_or_else(|| reject(Rejection::new(Reason::Malformed), ""))?;
    let key = metadata.key.as_deref();
    let admitted = plan.admit(&run::host(&head), head.uri.path(), key);
    let (route, workspace) = admitted.map_err(|denial| reject(denial.into(), &metadata.id))?;
    let leaving = Rejection::new(Reason::Leaving).with_retry_after(run::LEAVING_RETRY_AFTER);
    if relay.is_closing() {
        return Err(reject(leaving, &metadata.id));
    }
    let timeout = route.timeout;
    let deadline = arrived
        + metadata
            .deadline
            .map_or(timeout, |deadline| deadline.min(timeout));
    // A request that can't be served before the process ends is refused for want of time.
    let deadline = relay.last_call().map_or(deadline, |at| at.min(deadline));
    let mut memory = Reservation::new(relay, Share::Requests);
    let length = usize::try_from(hyper::body::Body::size_hint(&body).lower());
    let reading = guard.begin_body(length.unwrap_or(usize::MAX));
    let mut incoming = body;
    let body = tokio::select! {
        body = read_body(relay, &mut incoming, plan.limits.body_bytes, deadline, &mut memory) => body,
        () = reading.until_ended() => Err(Rejection::new(Reason::BodyTimeout)),
        () = relay.until_last_call() => Err(leaving),
    };
    let body = match body {
        Ok(body) => body,
        Err(rejection) => {
            let is_sent_on = !head.headers.contains_key(header::EXPECT);
            if rejection.reason == Reason::NoMemory && is_sent_on {
                reading.release_memory();
                let relay = Rc::clone(relay);
                tokio::task::spawn_local(discard(relay, incoming, plan.limits.body_bytes, reading));
            }
            return Err(reject(rejection, &metadata.id));
        }
    };
    drop(reading);
    if relay.is_closing() {
        // The body has ended too late for the request to be passed on.
        return Err(reject(leaving, &metadata.id));
    }
    let name = workspace.map(|workspace| workspace.name.clone());
    let priority = workspace.and_then(|workspace| workspace.priority);
    let payload = run::payload_hash(&head, name.as_ref(), &body);
    Ok(ActiveRequest {
        features: crash::features(payload, metadata.shared_parts()),
        priority: priority.unwrap_or(route.priority),
        route: Arc::clone(route),
        relay: Rc::clone(relay),
        workspace: name,
        stats: RequestStats::default(),
        is_tried: Cell::new(false),
        origin: RefCell::default(),
        is_build_unknown: Cell::new(false),
        connection: guard,
        _flight: flight,
        plan: Rc::clone(&plan),
        head,
        body,
        _memory: memory,
        metadata,
        arrived,
        deadline,
    })
}

/// `retry-after` of a daemon that has not loaded a configuration.
const NO_PLAN_RETRY_AFTER: Duration = Duration::from_millis(300); // a start takes tens of ms

/// `retry-after` if there is no memory for a request body. Bodies are kept until the end of their streams.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum time for which the body of a request that was rejected before is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a request body of at most `limit` bytes, and takes the memory for it before it arrives if its
/// length is known.
async fn read_body(
    relay: &Relay,
    body: &mut Incoming,
    limit: usize,
    deadline: Instant,
    memory: &mut Reservation,
) -> Result<Bytes, Rejection> {
    let too_large = Rejection::new(Reason::TooLarge);
    let no_memory = Rejection::new(Reason::NoMemory).with_retry_after(NO_MEMORY_RETRY_AFTER);
    let timed_out = Rejection::new(Reason::BodyTimeout);
    let length = hyper::body::Body::size_hint(body).lower();
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > limit {
        return Err(too_large);
    }
    while !memory.try_grow(length) {
        if !relay.end_slow_body() {
            relay.record_refused_body();
            return Err(no_memory);
        }
        // The task of the body that was ended returns its memory.
        tokio::task::yield_now().await;
    }
    let mut bytes = BytesMut::with_capacity(length);
    loop {
        let frame = next_frame(relay, body, deadline).await.ok_or(timed_out)?;
        let Some(frame) = frame else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|_broken| timed_out)?;
        if let Some(data) = frame.data_ref() {
            let size = bytes.len() + data.len();
            if size > limit {
                return Err(too_large);
            }
            if size > bytes.capacity() {
                // The buffer doubles, and exists twice while it is moved.
                let grown = size.next_power_of_two().min(limit);
                if !memory.try_grow_unannounced(grown + bytes.len(), limit) {
                    relay.record_refused_body();
                    return Err(no_memory);
                }
                bytes.reserve(grown - bytes.len());
                memory.shrink(bytes.capacity());
            }
            bytes.extend_from_slice(data);
        }
    }
}

/// Returns the next frame of a request body; `None` if it does not arrive in time. While memory is short, less
/// time is left to it.
async fn next_frame(
    relay: &Relay,
    body: &mut Incoming,
    deadline: Instant,
) -> Option<Option<Result<Frame<Bytes>, hyper::Error>>> {
    let end = deadline.min(Instant::now() + BODY_TIMEOUT);
    loop {
        let next = end.min(Instant::now() + SHORT_BODY_TIMEOUT);
        if let Ok(frame) = time::timeout_at(next.into(), body.frame()).await {
            return Some(frame);
        }
        if next >= end || relay.has_refused_body(SHORTAGE_PERIOD) {
            return None;
        }
    }
}

/// Reads the rest of the body of a request that has been rejected, and keeps nothing of it. Closing the
/// connection instead would reset it, and the caller might not get the response.
async fn discard(relay: Rc<Relay>, mut body: Incoming, limit: usize, _reading: BodyGuard) {
    let end = Instant::now() + DISCARD_TIMEOUT;
    let mut read = 0;
    while read <= limit {
        let next = end.min(Instant::now() + BODY_TIMEOUT);
        let frame = time::timeout_at(next.into(), body.frame()).await;
        let Ok(Some(Ok(frame))) = frame else { return };
        let length = frame.data_ref().map_or(0, Bytes::len);
        read += length;
        let wait = relay.record_discard(length);
        if Instant::now() + wait >= end {
            return;
        }
        if !wait.is_zero() {
            time::sleep(wait).await;
        }
    }
}
