//! Processing of one request until its response.

use super::{
    attempt::Attempts,
    body::Body,
    buffer::Reservation,
    callers::RequestGuard,
    conduct::{JobRefusal, JobRequest, StageResults},
    dialect::RequestMetadata,
    event::{self, RequestSummary},
    outcome::{Reason, Rejection},
    send::{BufferedResponse, SendOutcome, SendProgress, StreamingResponse},
    state::{InFlightGuard, Relay},
    stream,
};
use bytes::Bytes;
use futures::{StreamExt, future, stream::FuturesUnordered};
use http::{Response, StatusCode, Version, request::Parts};
use policy::{
    hash,
    id::{DomainId, HostId, PoolId, TargetId, WorkspaceId},
    relay::{
        crash::{Feature, PayloadHash},
        origin::Origin,
        plan::{Kind, Plan, Route},
        registry::{Registry, Target},
        scheduler::{RequestIdentity, StageSpec},
        selection::{Criteria, PartMemory, Selection},
        stage::StageNumber,
    },
};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time;

/// Maximum number of sends of one request that no target executed.
const MAX_UNEXECUTED_SENDS: u32 = 4; // one more than the smallest pools have targets
/// Fraction of the objective after which a repeatable request is hedged with a second send.
const HEDGE_FRACTION: f64 = 0.8;
/// Time from the last stage result to the first event, without the prefill.
const FIRST_EVENT_LATENCY: Duration = Duration::from_millis(50); // round trips and result fetch
/// Prefill throughput of a target in tokens per second when part of the prompt is cached.
const PREFILL_RATE: f64 = 50_000.0; // yields the sites' median prefill times of 70 to 180 ms
/// Minimum remaining time for a send; with less, a target has no chance to respond.
const MIN_REMAINING: Duration = Duration::from_millis(5);
/// `retry-after` if the pool has no target or is full, or if the stages did not finish in time.
pub(super) const POOL_RETRY_AFTER: Duration = Duration::from_millis(300); // a few typical plain requests
/// `retry-after` of a daemon that is shutting down; the caller retries at another one.
pub(super) const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(20); // about the time to reconnect
/// `retry-after` if no target of a stream's build is left. One that crashed is back in seconds.
const BUILD_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Interval at which a daemon that is leaving reviews whether a request that waits can be sent in time.
const LATEST_SEND_REVIEW_INTERVAL: Duration = Duration::from_millis(50);
/// Reason that is logged for a request with a complete response.
pub(super) const ANSWERED: &str = "answered";
/// Minimum number of shared prompt tokens for which stages run preferably in the domain of the
/// target that caches them.
const MIN_SHARED_TOKENS: u32 = 1_000; // prefill of fewer takes less than a tenth of a stage call

/// An admitted request.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    pub relay: Rc<Relay>,
    pub head: Parts,
    pub body: Bytes,
    /// Memory of the body, which may have to be sent again until the end.
    pub _memory: Reservation,
    pub metadata: RequestMetadata,
    pub plan: Rc<Plan>,
    pub route: Arc<Route>,
    pub workspace: Option<WorkspaceId>,
    pub priority: u8,
    pub arrived: Instant,
    /// Earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    /// Hash of the payload, followed by those of the shared parts of the prompt.
    pub features: Vec<Feature>,
    /// Whether it is sent to find out whether it crashes its target.
    pub is_tried: Cell<bool>,
    /// Where the stream began and has to go on; absent before its first event.
    pub origin: RefCell<Option<Origin>>,
    /// Whether the stream began at a target whose build is not known.
    pub is_build_unknown: Cell<bool>,
    pub stats: RequestStats,
    /// Keeps the connection from counting as idle until the whole response has been produced.
    pub connection: RequestGuard,
    pub _flight: InFlightGuard,
}

/// Figures that are logged at the end of a request; if the caller disconnects, on drop.
#[derive(Debug, Default)]
pub(super) struct RequestStats {
    pub sends: Cell<u32>,
    /// Target of the latest send.
    pub target: RefCell<TargetId>,
    /// When the latest send had its connection.
    pub last_send: Cell<Option<Instant>>,
    /// Number of sends that a target may have executed.
    pub possible_runs: Cell<u32>,
    /// Host through which the latest send went; empty if it was direct.
    pub via: RefCell<HostId>,
    /// Total time spent on stages, including reruns.
    pub stage_time: Cell<Duration>,
    /// Time from arrival to the first byte of the response.
    pub first_byte: Cell<Option<Duration>>,
    ended: Cell<bool>,
}

impl ActiveRequest {
    /// Processes the request and returns the response to the caller.
    pub async fn run(self) -> Response<Body> {
        let this = Rc::new(self);
        let response = tokio::select! {
            response = this.respond() => response,
            () = this.relay.until_last_call() => Err(this.given_up()),
            () = this.until_too_late() => Err(this.given_up()),
        };
        response.unwrap_or_else(|rejection| {
            this.end(
                Some(rejection.reason.status()),
                rejection.reason.into(),
                rejection.retry_after,
            );
            rejection.into_response()
        })
    }

    /// Returns the rejection of a request that has no response when the daemon ends.
    fn given_up(&self) -> Rejection {
        if self.stats.possible_runs.get() == 0 {
            return Rejection::new(Reason::Leaving).with_retry_after(LEAVING_RETRY_AFTER);
        }
        Rejection::new(Reason::Broken)
    }

    /// Returns until when the request may be sent to a target; `None` if at any time.
    fn latest_send(&self) -> Option<Instant> {
        let last_call = self.relay.last_call()?;
        if self.route.is_repeatable() {
            return None;
        }
        let timeout = self.route.timeout;
        let limit = self.metadata.deadline.unwrap_or(timeout).min(timeout);
        let [deadline, last_call] =
            [self.arrived + limit, last_call].map(|at| self.relay.time_of(at));
        let run_times = self.relay.run_times.borrow();
        let latest = run_times.latest_send(&self.route.name, deadline, last_call);
        latest.map(|latest| self.relay.instant_of(latest))
    }

    fn is_too_late(&self) -> bool {
        self.latest_send().is_some_and(|at| at <= Instant::now())
    }

    /// Waits until the daemon is about to end and the request may not be sent any more, unless a target
    /// may have executed it.
    async fn until_too_late(&self) {
        if self.route.is_repeatable() {
            return future::pending().await;
        }
        self.relay.until_leaving().await;
        while self.stats.possible_runs.get() > 0 || !self.is_too_late() {
            time::sleep(LATEST_SEND_REVIEW_INTERVAL).await;
        }
    }

    async fn respond(self: &Rc<Self>) -> Result<Response<Body>, Rejection> {
        self.check_features()?;
        let mut attempts = Attempts::default();
        match self.route.kind {
            Kind::Streaming => self.respond_streaming(&mut attempts).await,
            Kind::Idempotent | Kind::NonIdempotent => self.respond_buffered(&mut attempts).await,
        }
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns when the caller gives up if it has not received an event since `since`.
    pub(super) fn event_deadline(&self, since: Instant) -> Instant {
        let timeout = self.route.first_event_timeout();
        timeout.map_or(self.deadline, |timeout| self.deadline.min(since + timeout))
    }

    /// Logs and counts the end of the request; repeated calls have no effect.
    pub fn end(&self, status: Option<StatusCode>, reason: &str, retry_after: Option<Duration>) {
        if self.stats.ended.replace(true) {
            return;
        }
        let is_complete = reason == ANSWERED;
        self.record_run(is_complete);
        if is_complete {
            self.record_completion();
        }
        let kind: &'static str = self.route.kind.into();
        let code = status.map_or("0".to_owned(), |status| status.as_u16().to_string());
        let metrics = &self.relay.metrics;
        metrics
            .requests
            .with_label_values(&[kind, &code, reason])
            .inc();
        if let Some(first) = self.stats.first_byte.get() {
            let first_byte = metrics.first_byte_seconds.with_label_values(&[kind]);
            first_byte.observe(first.as_secs_f64());
        }
        event::request_ended(&RequestSummary {
            request: &self.metadata.id,
            route: &self.route.name,
            workspace: self.workspace.as_deref().unwrap_or_default(),
            status,
            reason,
            target: &self.stats.target.borrow(),
            via: &self.stats.via.borrow(),
            sends: self.stats.sends.get(),
            stages_duration: self.stats.stage_time.get(),
            first_event: self.stats.first_byte.get(),
            objective: self.route.objective,
            total: self.arrived.elapsed(),
            remaining: self.remaining(),
            retry_after,
            revision: self.plan.revision,
        });
    }

    fn record_run(&self, is_complete: bool) {
        if self.route.is_repeatable() || self.stats.possible_runs.get() == 0 {
            return;
        }
        if let Some(sent_at) = self.stats.last_send.get() {
            let mut run_times = self.relay.run_times.borrow_mut();
            run_times.record(&self.route.name, sent_at.elapsed(), is_complete);
        }
    }

    /// Sends a request whose response is buffered, and hedges it if it is repeatable and slow.
    async fn respond_buffered(
        self: &Rc<Self>,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, Rejection> {
        let progress = SendProgress::default();
        let mut sends = FuturesUnordered::new();
        let mut failure: Option<BufferedResponse> = None;
        let hedge_at = self.arrived + self.route.objective.mul_f64(HEDGE_FRACTION);
        let mut may_hedge = self.route.is_repeatable();
        loop {
            if sends.is_empty() {
                self.wait_for_room(attempts, false).await;
                let target = match self.next_target(attempts, None) {
                    Ok(target) => target,
                    Err(rejection) => return self.failure_or(failure, rejection),
                };
                sends.push(self.send(target, None, None, &progress));
            }
            tokio::select! {
                outcome = sends.next() => {
                    let Some((target, elapsed, outcome)) = outcome else {
                        continue;
                    };
                    match outcome {
                        SendOutcome::Buffered(response) if !response.status.is_server_error()
                            || !self.route.is_repeatable() =>
                        {
                            return Ok(self.forward(response));
                        }
                        SendOutcome::Buffered(response) => {
                            let is_pending = !sends.is_empty();
                            let result = "error";
                            self.record_failed_send(attempts, &target, result, elapsed, is_pending);
                            failure = Some(response);
                        }
                        SendOutcome::Streaming(_) => {}
                        failed => {
                            let result = attempts.record(&failed);
                            let is_pending = !sends.is_empty();
                            self.record_failed_send(attempts, &target, result, elapsed, is_pending);
                        }
                    }
                }
                () = time::sleep_until(hedge_at.into()), if may_hedge => {
                    may_hedge = false;
                    // A response whose end is being checked comes sooner than that of another target.
                    let may_send = !progress.has_body.get();
                    if may_send && let Ok(target) = self.next_target(attempts, None) {
                        sends.push(self.send(target, None, None, &progress));
                    }
                }
                () = time::sleep_until(self.deadline.into()) => {
                    return self.failure_or(failure, Rejection::new(Reason::Timeout));
                }
            }
        }
    }

    /// Returns the error response of a target if there is one, otherwise the rejection.
    fn failure_or(
        &self,
        failure: Option<BufferedResponse>,
        rejection: Rejection,
    ) -> Result<Response<Body>, Rejection> {
        failure
            .map(|response| self.forward(response))
            .ok_or(rejection)
    }

    fn forward(&self, buffered: BufferedResponse) -> Response<Body> {
        self.stats.first_byte.set(Some(self.arrived.elapsed()));
        self.end(Some(buffered.status), ANSWERED, None);
        if let Some(memory) = buffered.memory {
            self.connection.hold_response(memory);
        }
        let mut response = Response::new(Body::new(buffered.body));
        *response.status_mut() = buffered.status;
        *response.headers_mut() = buffered.headers;
        response
    }

    /// Runs the stages and sends the request until a target starts its response.
    async fn respond_streaming(
        self: &Rc<Self>,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, Rejection> {
        if let Some(resumption) = &self.metadata.resumption {
            self.find_origin(resumption).await?;
        }
        let (target_response, results) = self.start_response(attempts, None).await?;
        match target_response {
            TargetResponse::Buffered(response) => Ok(self.forward(response)),
            TargetResponse::Streaming(stream) => {
                // The results can be released: the target has read them before its first event.
                drop(results);
                self.stats.first_byte.set(Some(self.arrived.elapsed()));
                self.record_first_event(&stream.target);
                let mut response = Response::new(Body::Whole(None));
                let head = stream.reader.response();
                *response.status_mut() = head.status();
                *response.headers_mut() = self.relay.dialect.response_headers(head.headers());
                let attempts = std::mem::take(attempts);
                let chunks = stream::body_stream(Rc::clone(self), *stream, attempts);
                *response.body_mut() = match self.head.version {
                    Version::HTTP_10 => {
                        let buffer = stream::whole_body(&self.relay, chunks).await?;
                        let (bytes, memory) = buffer.into_parts();
                        self.connection.hold_response(memory);
                        Body::new(bytes)
                    }
                    _ => Body::from_stream(chunks),
                };
                Ok(response)
            }
        }
    }

    /// Runs the stages of the request as a job of the leader's scheduler. The caller is waiting for an
    /// event since `since`.
    pub(super) async fn run_stages(
        self: &Rc<Self>,
        since: Instant,
    ) -> Result<StageResults, Rejection> {
        let started = Instant::now();
        let stages = self.route.stages.iter_enumerated();
        let stages = stages.map(|(number, stage)| StageSpec {
            pool: stage.pool.clone(),
            after: stage.after.clone(),
            bytes: stage.bytes,
            pieces: self.piece_count(number),
        });
        let due = self.event_deadline(since);
        let due = self.latest_send().map_or(due, |at| at.min(due));
        let due = due.saturating_duration_since(started);
        let aim = self.arrived + self.route.objective;
        let request = JobRequest {
            request: self.metadata.id.clone(),
            identity: self.identity(),
            key: self.metadata.piece_key.clone(),
            priority: self.priority,
            time_to_objective: aim.saturating_duration_since(started),
            time_to_deadline: due,
            first_event_latency: FIRST_EVENT_LATENCY
                + Duration::from_secs_f64(f64::from(self.metadata.prompt_tokens) / PREFILL_RATE),
            preferred_domain: self.expected_domain(),
            stages: stages.collect(),
            workspace: self.workspace.clone(),
            is_resubmitted: false,
        };
        let made = tokio::select! {
            made = time::timeout(due, self.relay.run_stages(request)) => made,
            rejection = self.wait_until_crashing() => return Err(rejection),
        };
        let late = JobRefusal {
            reason: Reason::Late,
            retry_after: POOL_RETRY_AFTER,
        };
        let made = made.unwrap_or(Err(late));
        self.stats
            .stage_time
            .set(self.stats.stage_time.get() + started.elapsed());
        let result = if made.is_ok() { "made" } else { "refused" };
        let histogram = self
            .relay
            .metrics
            .stage_seconds
            .with_label_values(&[result]);
        histogram.observe(started.elapsed().as_secs_f64());
        made.map_err(|refused| Rejection::new(refused.reason).with_retry_after(refused.retry_after))
    }

    /// Returns what the caller's other attempts at this request have in common with it: payload, prompt and input.
    fn identity(&self) -> RequestIdentity {
        let parts = self.metadata.parts.iter().map(|part| part.id.as_str());
        let texts: Vec<&str> = std::iter::once(self.metadata.piece_key.as_str())
            .chain(parts)
            .collect();
        hash::texts(&texts) ^ self.features[0].rotate_left(1)
    }

    /// Selects the target of the next send and counts the send.
    ///
    /// Fails if no target is available, or if the attempts, the remaining time or the retry budget
    /// do not allow another send.
    pub(super) fn next_target(
        &self,
        attempts: &mut Attempts,
        results_domain: Option<&DomainId>,
    ) -> Result<Target, Rejection> {
        let (pool, target) = self.select_target(attempts, results_domain, |selection| {
            event::target_chosen(&self.metadata.id, selection);
            selection.target.clone()
        })?;
        if attempts.delivered == 0 {
            if !std::mem::replace(&mut attempts.has_earned, true) {
                self.relay.record_first_send(&pool);
            }
        } else if !self.relay.try_take_retry(&pool) {
            return Err(self.after_pauses(&pool, attempts.failure()));
        }
        attempts.delivered += 1;
        attempts.possibly_executed += 1;
        attempts.tried.push(target.id.clone());
        Ok(target)
    }

    /// Returns whether the request could be sent to another target.
    pub(super) fn can_move(&self, attempts: &Attempts, results_domain: Option<&DomainId>) -> bool {
        let selected = self.select_target(attempts, results_domain, |_| ());
        selected.is_ok_and(|(pool, ())| self.relay.has_retry(&pool))
    }

    /// Selects the target of the next send, apart from the retry budget, and applies `read` to the
    /// selection.
    fn select_target<T>(
        &self,
        attempts: &Attempts,
        results_domain: Option<&DomainId>,
        read: impl FnOnce(&Selection<'_>) -> T,
    ) -> Result<(PoolId, T), Rejection> {
        let may_have_executed = attempts.possibly_executed > 0;
        let pool = self.pool(may_have_executed)?;
        let checked = self.check_features();
        if may_have_executed && (checked.is_err() || self.is_tried.get()) {
            // The status of other rejections says that the request was not executed.
            return Err(Rejection::new(Reason::Broken));
        }
        checked?;
        if !may_have_executed && self.is_too_late() {
            return Err(self.given_up());
        }
        let is_exhausted = may_have_executed
            && (!self.route.is_repeatable()
                || attempts.possibly_executed >= self.route.max_attempts);
        if is_exhausted
            || attempts.not_executed >= MAX_UNEXECUTED_SENDS
            || self.is_rejected(&pool, attempts)
        {
            return Err(self.after_pauses(&pool, attempts.failure()));
        }
        if self.remaining() < MIN_REMAINING {
            let reason = if may_have_executed {
                Reason::Timeout
            } else {
                Reason::Late
            };
            return Err(Rejection::new(reason));
        }
        let selected = self.choose(&pool, attempts, results_domain, read);
        let selected = selected.ok_or_else(|| {
            let rejection = match *self.origin.borrow() {
                _ if may_have_executed || attempts.not_executed > 0 => attempts.failure(),
                Some(_) => Rejection::new(Reason::NoBuild).with_retry_after(BUILD_RETRY_AFTER),
                None => Rejection::new(Reason::NoTarget).with_retry_after(POOL_RETRY_AFTER),
            };
            self.after_pauses(&pool, rejection)
        })?;
        Ok((pool, selected))
    }

    /// Returns the pool of the request in the current configuration, which may be newer than the
    /// one that admitted the request. A request that a target may have executed is not denied any
    /// more, and stays with the configuration that admitted it if the newer one would not, or if its
    /// stream began there.
    pub(super) fn pool(&self, may_have_executed: bool) -> Result<PoolId, Rejection> {
        let plan = self.relay.plan().ok_or(Rejection::new(Reason::NoPlan))?;
        let no_route = Rejection::new(Reason::NoRoute);
        if plan.revision == self.plan.revision {
            return self.pool_in(&self.route).ok_or(no_route);
        }
        let host = host(&self.head);
        let admitted = plan.admit(&host, self.head.uri.path(), self.metadata.key.as_deref());
        let pool = match admitted {
            Ok((route, _)) => self.pool_in(route).ok_or(no_route),
            Err(denial) => Err(denial.into()),
        };
        match self.pool_in(&self.route) {
            Some(earlier) if may_have_executed && (pool.is_err() || self.began_in(&earlier)) => {
                Ok(earlier)
            }
            _ => pool,
        }
    }

    /// Returns the pool of the request in `route`: that in which its stream began, if the route uses it.
    fn pool_in(&self, route: &Route) -> Option<PoolId> {
        let origin = self.origin.borrow();
        let began = origin.as_ref().and_then(|origin| origin.pool.as_ref());
        let began = began.filter(|pool| route.uses(pool));
        began.or_else(|| route.pool_for(self.stream())).cloned()
    }

    /// Returns whether the stream is known to have begun in a pool.
    fn began_in(&self, pool: &PoolId) -> bool {
        let origin = self.origin.borrow();
        let began = origin.as_ref().and_then(|origin| origin.pool.as_ref());
        began == Some(pool)
    }

    /// Returns the domain of the target that the request would be sent to now, if its prompt has at
    /// least [`MIN_SHARED_TOKENS`] shared tokens.
    fn expected_domain(&self) -> Option<DomainId> {
        let shared = self.metadata.shared_parts().iter();
        let tokens: u32 = shared.map(|part| part.tokens).sum();
        if tokens < MIN_SHARED_TOKENS {
            return None;
        }
        let pool = self.pool(false).ok()?;
        self.choose(&pool, &Attempts::default(), None, |selection| {
            selection.target.domain.clone()
        })
    }

    /// Selects a target and applies `read` to the selection.
    pub(super) fn choose<T>(
        &self,
        pool: &PoolId,
        attempts: &Attempts,
        results_domain: Option<&DomainId>,
        read: impl FnOnce(&Selection<'_>) -> T,
    ) -> Option<T> {
        let settings = self.relay.settings();
        let waits = self.relay.rates.cold_waits(self.relay.now());
        let criteria = Criteria {
            parts: &self.metadata.parts,
            large_results: results_domain.map(|domain| (domain, self.largest_stage_bytes())),
            domain: Some(&settings.domain),
            tried: &attempts.tried,
            max_in_flight: self.max_target_connections(pool).max(1),
            events: self.metadata.answer_tokens,
            time_left: Some(self.remaining()),
            memory: self.part_memory(pool),
            draw: hash::bytes(self.metadata.id.as_bytes()),
            waits: &waits,
        };
        let registry = self.relay.registry();
        let selector = self.relay.target_selector();
        let open = self.relay.open_targets(&registry, &selector, pool);
        let targets = registry
            .ready(pool)
            .filter(|target| self.fits_build(&registry, target))
            .filter(|target| self.relay.closed_until(target).is_none())
            .filter(|target| open.as_ref().is_none_or(|open| open.contains(&target.id)));
        let selection = selector.choose(self.relay.now(), targets, &criteria);
        selection.as_ref().map(read)
    }

    /// Returns whether the request may be sent to a target as far as its stream's build is concerned.
    pub(super) fn fits_build(&self, registry: &Registry, target: &Target) -> bool {
        if self.is_build_unknown.get() {
            return false;
        }
        match &*self.origin.borrow() {
            Some(origin) => target.build == origin.build && !registry.has_ended(target),
            // After a loss of all daemons, only the records tell where the stream can have begun.
            None if self.route.is_resumable => {
                let records = self.relay.build_records();
                records.may_begin(&target.pool, &target.build)
            }
            None => true,
        }
    }

    /// Returns the memory for parts of prompts that each target of a pool has, if it is configured.
    fn part_memory(&self, pool: &PoolId) -> Option<PartMemory> {
        let plan = self.relay.plan()?;
        Some(PartMemory {
            tokens: plan.pool(pool)?.memory_tokens?,
            daemons: self.relay.links.count() as u32 + 1,
        })
    }

    /// Returns this daemon's share of the connections to one target of a pool.
    pub(super) fn max_target_connections(&self, pool: &PoolId) -> u32 {
        let members = self.relay.links.count() as u32 + 1;
        let plan = self.relay.plan();
        let pool = plan.as_ref().and_then(|plan| plan.pool(pool));
        pool.map_or(u32::MAX, |pool| pool.max_connections) / members
    }

    /// Returns the size in bytes of the results of the request's largest stage.
    fn largest_stage_bytes(&self) -> u64 {
        let stages = self.route.stages.iter_enumerated();
        let bytes = stages.map(|(number, stage)| stage.bytes * u64::from(self.piece_count(number)));
        bytes.max().unwrap_or_default()
    }

    /// Returns the number of pieces of a stage; 0 if the caller does not state it.
    fn piece_count(&self, stage: StageNumber) -> u32 {
        let counts = &self.metadata.piece_counts;
        counts.get(stage).copied().unwrap_or_default()
    }

    /// Counts and logs a send that returned no response to forward.
    pub(super) fn record_failed_send(
        &self,
        attempts: &Attempts,
        target: &Target,
        result: &str,
        elapsed: Duration,
        is_send_pending: bool,
    ) {
        let next = if is_send_pending { "wait" } else { "decide" };
        let pool = self
            .relay
            .metrics
            .sends
            .with_label_values(&[&target.pool, result]);
        pool.inc();
        event::send_failed(&self.metadata.id, &target.id, result, elapsed, next);
        tracing::debug!(
            runs = attempts.possibly_executed,
            idle = attempts.not_executed,
            "sends so far"
        );
    }
}

/// A response that a target has started.
#[derive(Debug)]
pub(super) enum TargetResponse {
    /// The response was received completely.
    Buffered(BufferedResponse),
    /// The response is a stream whose first events were received.
    Streaming(Box<StreamingResponse>),
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.end(None, "caller_left", None);
    }
}

/// Returns the lowercase host name of a request without the port.
pub(super) fn host(head: &Parts) -> String {
    let header = head.headers.get(http::header::HOST);
    let header = header.and_then(|host| host.to_str().ok());
    let host = header.or(head.uri.host()).unwrap_or_default();
    let name = host.split(':').next().unwrap_or_default();
    name.to_ascii_lowercase()
}

/// Returns a hash of the method, path, workspace and body, by which requests that crash targets are
/// recognized.
pub(super) fn payload_hash(
    head: &Parts,
    workspace: Option<&WorkspaceId>,
    body: &[u8],
) -> PayloadHash {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let workspace = workspace.map_or("", |workspace| workspace.as_str());
    hash::texts(&[head.method.as_str(), path, workspace]) ^ hash::bytes(body).rotate_left(1)
}
