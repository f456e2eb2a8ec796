//! Sending of a request to a target, and evaluation of the outcome.

use super::{
    buffer::{Buffer, Reservation, TooLarge},
    dialect::{ForwardingMetadata, RequestMetadata, ResponseMetadata},
    outcome,
    pace::PaceMeter,
    run::ActiveRequest,
    sse::{self, Interruption},
    state::Relay,
};
use crate::http::{self as pool, Reuse};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::Full;
use policy::{
    id::{TargetId, Time},
    relay::{
        ending::last_ended_start,
        plan::Kind,
        registry::{Start, Target},
        scheduler::Handle,
        sse::EventId,
    },
};
use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};
/// Prefill throughput of a loaded target in tokens per second.
const MIN_PREFILL_RATE: f64 = 20_000.0; // half that of an idle engine
/// Request body size above which an error response closes its connection, since the target may
/// not have read the whole body.
const LARGE_BODY_BYTES: usize = 16 << 10; // may exceed the receive buffer of a target
/// Minimum number of connections per daemon and target for which connections are reused. With
/// fewer, the idle connections of some daemons would make a target reset new ones of others.
const MIN_CONNECTIONS_FOR_REUSE: u32 = 5; // a daemon keeps a few idle ones to a busy target

/// Outcome of one send.
#[derive(Debug)]
pub(super) enum SendOutcome {
    /// The complete response was received.
    Buffered(BufferedResponse),
    /// The head and the first events of a stream were received.
    Streaming(Box<StreamingResponse>),
    /// No connection could be established.
    Unreached,
    /// The target must not be sent requests any more, so that nothing was sent.
    Withdrawn,
    /// The target reports that it did not execute the request.
    NotExecuted(StatusCode),
    /// A refusal that does not show that the target did not execute the request: it may be that of an
    /// earlier request, or does not say so.
    Unproven(StatusCode),
    /// The target may have executed the request but returned no valid response; holds the label of
    /// the cause.
    Failed(&'static str),
}

impl SendOutcome {
    /// Returns whether it is an answer of a target that is in no trouble.
    pub fn is_answer(&self) -> bool {
        match self {
            Self::Buffered(response) => !response.status.is_server_error(),
            Self::Streaming(_) => true,
            Self::Unreached
            | Self::Withdrawn
            | Self::NotExecuted(_)
            | Self::Unproven(_)
            | Self::Failed(_) => false,
        }
    }
}

/// A complete response of a target.
#[derive(Debug)]
pub(super) struct BufferedResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Memory of the body; absent if it is empty.
    pub memory: Option<Reservation>,
}

impl BufferedResponse {
    /// Returns whether it is a stream whose declared end came before any event.
    pub fn is_empty_stream(&self) -> bool {
        self.status.is_success() && self.body.is_empty()
    }
}

/// A stream whose first events were received.
#[derive(Debug)]
pub(super) struct StreamingResponse {
    /// Reads the events after the first ones.
    pub reader: sse::Reader,
    /// The first events.
    pub first: Bytes,
    pub target: Target,
    /// When the first events were received.
    pub begun_at: Instant,
    pub pace: PaceMeter,
    pub _call: CallGuard,
}

/// How far a send has got.
#[derive(Debug, Default)]
pub(super) struct SendProgress {
    /// When it had a connection; before that, no byte of the request is sent.
    pub connected_at: Cell<Option<Instant>>,
    /// Whether the head of the response was received.
    pub has_head: Cell<bool>,
    /// Whether a body was received whose end is being checked, or was.
    pub has_body: Cell<bool>,
}

/// Counts a call as in flight at its target until dropped.
#[derive(Debug)]
pub(super) struct CallGuard {
    relay: Rc<Relay>,
    target: TargetId,
}

impl ActiveRequest {
    /// Sends the request to a target and returns the target, the elapsed time and the outcome.
    pub(super) async fn send(
        self: &Rc<Self>,
        target: Target,
        inputs: Option<&[Handle]>,
        last_event_id: Option<EventId>,
        progress: &SendProgress,
    ) -> (Target, Duration, SendOutcome) {
        let asked = Instant::now();
        let max_wait = self.max_permit_wait(&target, inputs.is_some());
        if !self.wait_for_permit(&target, max_wait).await {
            return (target, asked.elapsed(), SendOutcome::Withdrawn);
        }
        // The wait for a permit says nothing of the target's speed.
        let started = Instant::now();
        let sent_at = self.relay.now();
        self.stats.sends.set(self.stats.sends.get() + 1);
        self.stats.target.borrow_mut().clone_from(&target.id);
        let relay = &self.relay;
        let call = CallGuard::new(relay, &target, &self.metadata);
        let forwarding = ForwardingMetadata {
            target: &target.id,
            remaining: Some(self.remaining()),
            workspace: self.workspace.as_ref(),
            inputs,
            last_event_id,
        };
        let mut request = http::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = relay.dialect.forward_headers(&self.head, &forwarding);
        // A pooled connection may turn out to be closed, and then the request has to be resent.
        let reuse = if self.route.is_repeatable() {
            Reuse::Newest
        } else {
            Reuse::Never
        };
        let runs = &self.stats.possible_runs;
        let has_connection = Cell::new(false);
        let connected = || {
            if !has_connection.replace(true) {
                runs.set(runs.get() + 1);
            }
            let now = Some(Instant::now());
            self.stats.last_send.set(now);
            progress.connected_at.set(now);
        };
        let sent = relay.send_to_target(&target.id, &target.address, request, reuse, connected);
        let outcome = match sent.await {
            Ok(response) => {
                progress.has_head.set(true);
                let via = response.via().unwrap_or_default();
                *self.stats.via.borrow_mut() = via.into();
                self.receive(response, &target, sent_at, call, last_event_id, progress)
                    .await
            }
            Err(pool::Error::Connect(_)) => SendOutcome::Unreached,
            Err(pool::Error::Withdrawn) => SendOutcome::Withdrawn,
            Err(
                pool::Error::Broken(_)
                | pool::Error::Early
                | pool::Error::Status(_)
                | pool::Error::Timeout
                | pool::Error::TooLong,
            ) => SendOutcome::Failed("broken"),
        };
        let has_not_run = matches!(
            outcome,
            SendOutcome::Unreached | SendOutcome::Withdrawn | SendOutcome::NotExecuted(_)
        );
        if has_connection.get() && has_not_run {
            runs.set(runs.get() - 1);
        }
        self.record_outcome(&target, &outcome, started.elapsed());
        (target, started.elapsed(), outcome)
    }

    /// Receives a complete response to a request that was sent at `sent_at`, or a stream up to its
    /// first event.
    async fn receive(
        &self,
        mut response: pool::Response,
        target: &Target,
        sent_at: Time,
        call: CallGuard,
        last_event_id: Option<EventId>,
        progress: &SendProgress,
    ) -> SendOutcome {
        let status = response.status();
        let metadata = self
            .relay
            .dialect
            .parse_response_headers(status, response.headers());
        if let Some((running, waiting)) = metadata.load {
            let now = self.relay.now();
            let mut selector = self.relay.target_selector_mut();
            selector.record_load(now, &target.id, running, waiting);
        }
        if let Some(factor) = metadata.load_factor {
            let now = self.relay.now();
            let mut selector = self.relay.target_selector_mut();
            let performance = selector.performance_mut();
            performance.record_factor(now, &target.pool, &target.id, factor);
        }
        self.relay.record_limit(target, status, &metadata);
        self.relay.record_rate(target, sent_at, &metadata);
        self.relay
            .record_notice(&target.id, status, &metadata, response.via());
        let is_reused = response.is_reused();
        let is_refusal = metadata.is_not_executed || outcome::is_promise(status);
        let is_attributed = metadata.id.is_some() || !is_reused;
        if is_refusal && !(metadata.is_not_executed && is_attributed) {
            return SendOutcome::Unproven(status);
        }
        if !self.is_valid_response(&metadata, status, response.headers(), is_reused) {
            return SendOutcome::Failed("foreign");
        }
        if metadata.is_not_executed {
            // The response body is not needed, and the connection may still be sending the request
            // body, so it is dropped.
            return SendOutcome::NotExecuted(status);
        }
        if status.is_success() && self.route.kind == Kind::Streaming {
            if self.max_target_connections(&target.pool) < MIN_CONNECTIONS_FOR_REUSE {
                response.disable_reuse();
            }
            return self
                .receive_stream(response, target, call, last_event_id)
                .await;
        }
        if self.max_target_connections(&target.pool) < MIN_CONNECTIONS_FOR_REUSE {
            response.disable_reuse();
        }
        let headers = self.relay.dialect.response_headers(response.headers());
        let is_early_response = self.body.len() > LARGE_BODY_BYTES && !status.is_success();
        if is_early_response {
            response.disable_reuse();
        }
        let is_end_declared = response.framing().is_end_declared();
        let (body, memory) = match self.receive_body(response).await {
            Ok(buffer) => buffer.into_parts(),
            Err(result) => return SendOutcome::Failed(result),
        };
        progress.has_body.set(!is_end_declared);
        if !is_end_declared && !self.check_end(target).await.confirms_end() {
            return SendOutcome::Failed(Interruption::Undeclared.into());
        }
        SendOutcome::Buffered(BufferedResponse {
            status,
            headers,
            body,
            memory: Some(memory),
        })
    }

    /// Receives the body of a response; fails with the label of the cause.
    async fn receive_body(&self, mut response: pool::Response) -> Result<Buffer, &'static str> {
        let mut buffer = Buffer::new(&self.relay);
        while let Some(chunk) = response.chunk().await.map_err(|_broken| "broken")? {
            buffer.push(&chunk).map_err(|TooLarge| "too_large")?;
        }
        Ok(buffer)
    }

    /// Receives a stream up to its first event, or to its end if it has none.
    async fn receive_stream(
        &self,
        response: pool::Response,
        target: &Target,
        call: CallGuard,
        last_event_id: Option<EventId>,
    ) -> SendOutcome {
        let resumption = self.metadata.resumption.as_ref();
        let received = resumption.and_then(|resumption| resumption.last_event);
        let mut reader = sse::Reader::new(response, last_event_id.or(received));
        match reader.next(self.deadline).await {
            Ok(Some(_)) if !self.may_go_on_at(target).await => SendOutcome::Failed("replaced"),
            Ok(Some(first)) => {
                let mut pace = PaceMeter::new(&self.relay, target);
                pace.record(reader.last_id());
                SendOutcome::Streaming(Box::new(StreamingResponse {
                    reader,
                    first,
                    target: target.clone(),
                    begun_at: Instant::now(),
                    pace,
                    _call: call,
                }))
            }
            Ok(None) => {
                let response = reader.response();
                SendOutcome::Buffered(BufferedResponse {
                    status: response.status(),
                    headers: self.relay.dialect.response_headers(response.headers()),
                    body: Bytes::new(),
                    memory: None,
                })
            }
            Err(interruption) => {
                let result = interruption.into();
                self.record_stream_end(target, result, &reader);
                SendOutcome::Failed(result)
            }
        }
    }

    /// Returns whether a stream that has begun may go on with what a target has sent. Its process may have
    /// been replaced by one whose entry is not known yet, and which no daemon has seen start.
    async fn may_go_on_at(&self, target: &Target) -> bool {
        if self.origin.borrow().is_none() {
            return true;
        }
        let is_replaced = || self.relay.registry().may_be_replaced(target);
        if is_replaced() {
            return false;
        }
        let started = self.relay.ask_start(target).await;
        if let Some(ended) = started.and_then(|started| last_ended_start(target, started)) {
            let ending = Start {
                target: target.id.clone(),
                started_unix_ms: ended,
            };
            self.relay.apply_ending(ending, "resumption");
        }
        // An entry may also have arrived meanwhile.
        !is_replaced()
    }

    /// Returns whether a response belongs to this request and was not altered on its way from the
    /// target.
    fn is_valid_response(
        &self,
        metadata: &ResponseMetadata,
        status: StatusCode,
        headers: &HeaderMap,
        is_reused: bool,
    ) -> bool {
        // A success on a reused connection without an identifier may be that of an earlier request.
        let is_matching = match &metadata.id {
            Some(id) => *id == self.metadata.id,
            None => !(is_reused && status.is_success()),
        };
        let is_complete = !status.is_success()
            || metadata.has_server_stamp && !headers.contains_key(http::header::CONTENT_ENCODING);
        is_matching && is_complete
    }

    /// Returns the time in which a loaded target reads the prompt.
    pub(super) fn prefill_time(&self) -> Duration {
        Duration::from_secs_f64(f64::from(self.metadata.prompt_tokens) / MIN_PREFILL_RATE)
    }

    /// Updates the statistics of a target with the outcome of a send.
    fn record_outcome(&self, target: &Target, outcome: &SendOutcome, elapsed: Duration) {
        let now = self.relay.now();
        let mut selector = self.relay.target_selector_mut();
        let elapsed = elapsed.saturating_sub(self.prefill_time());
        match outcome {
            SendOutcome::Buffered(response) => {
                let is_success = !response.status.is_server_error();
                selector.record_answer(&target.id, is_success, elapsed);
                if response.status.is_success() && !response.body.is_empty() {
                    self.record_served();
                }
            }
            SendOutcome::Streaming(_) => {
                selector.record_answer(&target.id, true, elapsed);
                self.relay.record_activity(&target.id);
            }
            SendOutcome::Unreached => {
                selector.record_failure(now, &target.id);
                drop(selector);
                self.relay.check_for_crash(target, None);
            }
            SendOutcome::NotExecuted(StatusCode::MISDIRECTED_REQUEST) => {
                selector.record_failure(now, &target.id);
            }
            SendOutcome::NotExecuted(_) | SendOutcome::Unproven(_) => {
                selector.record_answer(&target.id, false, elapsed);
            }
            SendOutcome::Withdrawn => {}
            SendOutcome::Failed(_) => {
                selector.record_failure(now, &target.id);
                drop(selector);
                self.check_for_crash(target, false);
            }
        }
    }
}

impl CallGuard {
    fn new(relay: &Rc<Relay>, target: &Target, metadata: &RequestMetadata) -> Self {
        let now = relay.now();
        relay
            .target_selector_mut()
            .start_call(now, target, &metadata.parts);
        relay.start_limited_call(target);
        Self {
            relay: Rc::clone(relay),
            target: target.id.clone(),
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.relay.target_selector_mut().end_call(&self.target);
        self.relay.rejection_watch.notify();
    }
}
