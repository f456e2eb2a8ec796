//! Carries one request to its answer.

use super::{
    body::Body,
    conduct::{JobRefusal, JobRequest, StageResults},
    dialect::Ask,
    event::{self, RequestSummary},
    outcome::{Reason, Rejection},
    send::{Answer, Begun, Sent},
    state::{InFlightGuard, Relay},
    stream,
};
use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use http::{Response, StatusCode, request::Parts};
use policy::{
    hash,
    id::{DomainId, PoolId, TargetId, WorkspaceId},
    relay::{
        crash::PayloadHash as Payload,
        plan::{Kind, Plan, Route},
        registry::Target,
        scheduler::StageSpec,
        selection::{Criteria, Selection},
    },
};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time;

/// Sends of one request that reached no target or were turned away.
const MAX_IDLE_SENDS: u32 = 4; // the targets of the smallest pools and one more
/// Share of the objective after which a repeatable request is sent a second time.
const HEDGE_SHARE: f64 = 0.8;
/// Time from the last result to the first event beside reading the prompt.
const TAIL: Duration = Duration::from_millis(50); // round trips, and the fetch of the results
/// Tokens of a prompt that a target reads in a second, with some of them kept.
const TAIL_RATE: f64 = 50_000.0; // gives the median of 70 to 180 ms that the sites' prompts take
/// Time that a target is given at least; less can't be an offer.
const MIN_LEFT: Duration = Duration::from_millis(5);
/// When a caller comes back whose pool has no target or is full.
const FULL_RETRY: Duration = Duration::from_millis(300); // a few times the usual work of plain requests
/// Tokens of shared parts from which the target that keeps them decides where stages are made.
const LONG_PROMPT: u32 = 1_000; // reading fewer takes less than a tenth of a call
/// Times that stages are made anew because results were gone.
const MAX_REMAKES: u32 = 2;

/// A request on its way.
#[derive(Debug)]
pub(super) struct Ticket {
    pub relay: Rc<Relay>,
    pub head: Parts,
    pub body: Bytes,
    pub ask: Ask,
    pub plan: Rc<Plan>,
    pub route: Arc<Route>,
    pub workspace: Option<WorkspaceId>,
    pub priority: u8,
    pub arrived: Instant,
    /// When the caller or the route's timeout ends the request.
    pub due: Instant,
    pub payload: Payload,
    pub story: Story,
    pub _flight: InFlightGuard,
}

/// What is logged of a request at its end; a caller that left is logged when this is dropped.
#[derive(Debug, Default)]
pub(super) struct Story {
    pub sends: Cell<u32>,
    pub target: RefCell<TargetId>,
    pub stages: Cell<Duration>,
    pub first: Cell<Option<Duration>>,
    ended: Cell<bool>,
}

/// What earlier sends of a request came to.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub tried: Vec<TargetId>,
    /// Sends that may have run.
    pub runs: u32,
    /// Sends that did not run.
    pub idle: u32,
    /// Arrivals at targets.
    pub arrivals: u32,
}

impl Tally {
    /// Takes in what came of a send that counted as one that may have run, and returns its name.
    fn take(&mut self, sent: &Sent) -> &'static str {
        match sent {
            Sent::Unreached => {
                self.runs -= 1;
                self.idle += 1;
                self.arrivals -= 1;
                "unreached"
            }
            Sent::NotRun(_) => {
                self.runs -= 1;
                self.idle += 1;
                "not_run"
            }
            Sent::Broken(what) => what,
            Sent::Whole(_) | Sent::Begun(_) => "answered",
        }
    }
}

impl Ticket {
    /// Carries the request to its answer.
    pub async fn run(self) -> Response<Body> {
        let this = Rc::new(self);
        let response = this.answer().await;
        response.unwrap_or_else(|rejection| {
            this.end(
                Some(rejection.reason.status()),
                rejection.reason.into(),
                rejection.retry_after,
            );
            rejection.into_response()
        })
    }

    async fn answer(self: &Rc<Self>) -> Result<Response<Body>, Rejection> {
        let now = self.relay.now();
        if self.relay.crash_history_mut().is_refused(now, self.payload) {
            return Err(Rejection::new(Reason::Crashing));
        }
        let mut tally = Tally::default();
        match self.route.kind {
            Kind::Streaming => self.answer_stream(&mut tally).await,
            Kind::Idempotent | Kind::NonIdempotent => self.answer_whole(&mut tally).await,
        }
    }

    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.due.saturating_duration_since(Instant::now())
    }

    /// Returns when the caller leaves if it has not seen an event.
    fn leaves(&self) -> Instant {
        let patience = self.route.first_event_timeout();
        patience.map_or(self.due, |patience| self.due.min(self.arrived + patience))
    }

    /// Logs and counts the end of the request, once.
    pub fn end(&self, status: Option<StatusCode>, reason: &str, retry_after: Option<Duration>) {
        if self.story.ended.replace(true) {
            return;
        }
        let kind: &'static str = self.route.kind.into();
        let code = status.map_or("0".to_owned(), |status| status.as_u16().to_string());
        let metrics = &self.relay.metrics;
        metrics
            .requests
            .with_label_values(&[kind, &code, reason])
            .inc();
        if let Some(first) = self.story.first.get() {
            let first_byte = metrics.first_byte.with_label_values(&[kind]);
            first_byte.observe(first.as_secs_f64());
        }
        event::request_ended(&RequestSummary {
            request: &self.ask.id,
            route: &self.route.name,
            workspace: self.workspace.as_deref().unwrap_or_default(),
            status,
            reason,
            target: &self.story.target.borrow(),
            sends: self.story.sends.get(),
            stages_duration: self.story.stages.get(),
            first_event: self.story.first.get(),
            objective: self.route.objective,
            total: self.arrived.elapsed(),
            remaining: self.left(),
            retry_after,
            revision: self.plan.revision,
        });
    }

    /// Sends a request whose answer is read whole; a slow repeatable one also a second time.
    async fn answer_whole(self: &Rc<Self>, tally: &mut Tally) -> Result<Response<Body>, Rejection> {
        let mut flights = FuturesUnordered::new();
        let mut failure: Option<Answer> = None;
        let hedge = self.arrived + self.route.objective.mul_f64(HEDGE_SHARE);
        let mut may_hedge = self.route.is_repeatable();
        loop {
            if flights.is_empty() {
                let target = match self.next_target(tally, None) {
                    Ok(target) => target,
                    Err(rejection) => return self.settle(failure, rejection),
                };
                flights.push(self.send(target, None, None));
            }
            tokio::select! {
                sent = flights.next() => {
                    let Some((target, taken, sent)) = sent else {
                        continue;
                    };
                    match sent {
                        Sent::Whole(answer) if !answer.status.is_server_error()
                            || !self.route.is_repeatable() =>
                        {
                            return Ok(self.pass_on(answer));
                        }
                        Sent::Whole(answer) => {
                            self.note(tally, &target, "error", taken, !flights.is_empty());
                            failure = Some(answer);
                        }
                        Sent::Begun(_) => {}
                        failed => {
                            let result = tally.take(&failed);
                            self.note(tally, &target, result, taken, !flights.is_empty());
                        }
                    }
                }
                () = time::sleep_until(hedge.into()), if may_hedge => {
                    may_hedge = false;
                    if let Ok(target) = self.next_target(tally, None) {
                        flights.push(self.send(target, None, None));
                    }
                }
                () = time::sleep_until(self.due.into()) => {
                    return self.settle(failure, Rejection::new(Reason::Timeout));
                }
            }
        }
    }

    /// Returns the failure that a target answered with, or the rejection.
    fn settle(
        &self,
        failure: Option<Answer>,
        rejection: Rejection,
    ) -> Result<Response<Body>, Rejection> {
        failure.map(|answer| self.pass_on(answer)).ok_or(rejection)
    }

    fn pass_on(&self, answer: Answer) -> Response<Body> {
        self.story.first.set(Some(self.arrived.elapsed()));
        self.end(Some(answer.status), "answered", None);
        let mut response = Response::new(Body::new(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        response
    }

    /// Has the stages made and sends the request, until a stream begins.
    async fn answer_stream(
        self: &Rc<Self>,
        tally: &mut Tally,
    ) -> Result<Response<Body>, Rejection> {
        let (begun, results) = self.begin(tally, None).await?;
        match begun {
            Opening::Whole(answer) => Ok(self.pass_on(answer)),
            Opening::Stream(begun) => {
                // The target has read the results before its first event.
                drop(results);
                self.story.first.set(Some(self.arrived.elapsed()));
                let mut response = Response::new(Body::Whole(None));
                *response.status_mut() = begun.response.status();
                *response.headers_mut() = self.relay.dialect.answer(begun.response.headers());
                let tally = std::mem::take(tally);
                let parts = stream::parts(Rc::clone(self), *begun, tally);
                *response.body_mut() = Body::with_parts(parts);
                Ok(response)
            }
        }
    }

    /// Sends the request until a target begins its answer; `last_event` makes a stream go on.
    pub async fn begin(
        self: &Rc<Self>,
        tally: &mut Tally,
        last_event: Option<&str>,
    ) -> Result<(Opening, Option<StageResults>), Rejection> {
        let mut results = None;
        let mut remakes = 0;
        loop {
            if results.is_none() && !self.route.stages.is_empty() {
                let made = self.stages().await;
                // After a send that may have run, a refusal would say that it has not.
                results = Some(made.map_err(|refused| match tally.runs {
                    0 => refused,
                    _ => Rejection::new(Reason::Broken),
                })?);
            }
            let domain = results.as_ref().and_then(|results| results.domain.as_ref());
            let target = self.next_target(tally, domain)?;
            let handles = results.as_ref().map(|results| results.handles.as_slice());
            let sending = self.send(target, handles, last_event);
            let sent = time::timeout_at(self.due.into(), sending).await;
            let Ok((target, taken, sent)) = sent else {
                return Err(Rejection::new(Reason::Timeout));
            };
            match sent {
                Sent::Whole(answer) => return Ok((Opening::Whole(answer), results)),
                Sent::Begun(begun) => return Ok((Opening::Stream(begun), results)),
                failed => {
                    let is_gone = matches!(failed, Sent::NotRun(StatusCode::CONFLICT));
                    if is_gone && remakes < MAX_REMAKES {
                        remakes += 1;
                        results = None;
                        tally.tried.retain(|tried| *tried != target.id);
                    }
                    let result = tally.take(&failed);
                    self.note(tally, &target, result, taken, false);
                }
            }
        }
    }

    /// Has the stages of the request made.
    async fn stages(self: &Rc<Self>) -> Result<StageResults, Rejection> {
        let begun = Instant::now();
        let stages = self.route.stages.iter().enumerate();
        let stages = stages.map(|(index, stage)| StageSpec {
            pool: stage.pool.clone(),
            after: stage.after.clone(),
            bytes: stage.bytes,
            pieces: self.ask.pieces.get(index).copied().unwrap_or_default(),
        });
        let due = self.leaves().saturating_duration_since(begun);
        let aim = self.arrived + self.route.objective;
        let request = JobRequest {
            request: self.ask.id.clone(),
            key: self.ask.piece_key.clone(),
            priority: self.priority,
            time_to_objective: aim.saturating_duration_since(begun),
            time_to_deadline: due,
            first_event_latency: TAIL
                + Duration::from_secs_f64(f64::from(self.ask.prompt_tokens) / TAIL_RATE),
            preferred_domain: self.expected_domain(),
            stages: stages.collect(),
        };
        let made = time::timeout(due, self.relay.run_stages(request)).await;
        let late = JobRefusal {
            reason: Reason::Late,
            retry_after: FULL_RETRY,
        };
        let made = made.unwrap_or(Err(late));
        self.story
            .stages
            .set(self.story.stages.get() + begun.elapsed());
        let result = if made.is_ok() { "made" } else { "refused" };
        let times = self.relay.metrics.stages.with_label_values(&[result]);
        times.observe(begun.elapsed().as_secs_f64());
        made.map_err(|refused| Rejection::new(refused.reason).with_retry_after(refused.retry_after))
    }

    /// Chooses the target of the next send, if there may be one.
    fn next_target(
        &self,
        tally: &mut Tally,
        heavy: Option<&DomainId>,
    ) -> Result<Target, Rejection> {
        let pool = self.pool()?;
        let has_run = tally.runs > 0;
        let failed = if has_run {
            Rejection::new(Reason::Broken)
        } else {
            Rejection::new(Reason::Full).with_retry_after(FULL_RETRY)
        };
        let is_spent =
            has_run && (!self.route.is_repeatable() || tally.runs >= self.route.max_attempts);
        if is_spent || tally.idle >= MAX_IDLE_SENDS {
            return Err(failed);
        }
        if self.left() < MIN_LEFT {
            let reason = if has_run {
                Reason::Timeout
            } else {
                Reason::Late
            };
            return Err(Rejection::new(reason));
        }
        let target = self.choose(&pool, tally, heavy, |pick| {
            event::target_chosen(&self.ask.id, pick);
            pick.target.clone()
        });
        let none = Rejection::new(Reason::NoTarget).with_retry_after(FULL_RETRY);
        let target = target.ok_or(if has_run || tally.idle > 0 {
            failed
        } else {
            none
        })?;
        if tally.arrivals == 0 {
            self.relay.record_first_send(&pool);
        } else if !self.relay.try_take_retry(&pool) {
            return Err(failed);
        }
        tally.arrivals += 1;
        tally.runs += 1;
        tally.tried.push(target.id.clone());
        Ok(target)
    }

    /// Returns the pool of the request under the configuration that is in force now.
    fn pool(&self) -> Result<PoolId, Rejection> {
        let plan = self.relay.plan().ok_or(Rejection::new(Reason::NoPlan))?;
        let route = if plan.revision == self.plan.revision {
            Arc::clone(&self.route)
        } else {
            let host = host(&self.head);
            let (route, _) = plan.admit(&host, self.head.uri.path(), self.ask.key.as_deref())?;
            Arc::clone(route)
        };
        let pool = route.pool_for(&self.ask.id).cloned();
        pool.ok_or(Rejection::new(Reason::NoRoute))
    }

    /// Returns the domain of the target that keeps most of the prompt, if that is much.
    fn expected_domain(&self) -> Option<DomainId> {
        let shared = self
            .ask
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
        if tokens < LONG_PROMPT {
            return None;
        }
        let pool = self.pool().ok()?;
        self.choose(&pool, &Tally::default(), None, |pick| {
            pick.target.domain.clone()
        })
    }

    /// Chooses a target and returns what `take` takes of the choice.
    fn choose<T>(
        &self,
        pool: &PoolId,
        tally: &Tally,
        heavy: Option<&DomainId>,
        take: impl FnOnce(&Selection<'_>) -> T,
    ) -> Option<T> {
        let settings = self.relay.settings();
        let wish = Criteria {
            parts: &self.ask.parts,
            large_results: heavy.map(|domain| (domain, self.heavy_bytes())),
            domain: Some(&settings.domain),
            tried: &tally.tried,
            max_in_flight: self.connections(pool).max(1),
        };
        let roster = self.relay.registry();
        let choice = self.relay.target_selector();
        let pick = choice.choose(self.relay.now(), roster.ready(pool), &wish);
        pick.as_ref().map(take)
    }

    /// Returns this daemon's part of the connections that a target of a pool takes.
    pub(super) fn connections(&self, pool: &PoolId) -> u32 {
        let members = self.relay.links.count() as u32 + 1;
        let plan = self.relay.plan();
        let pool = plan.as_ref().and_then(|plan| plan.pool(pool));
        pool.map_or(u32::MAX, |pool| pool.max_connections) / members
    }

    /// Returns the bytes of the request's largest stage.
    fn heavy_bytes(&self) -> u64 {
        let stages = self.route.stages.iter().zip(&self.ask.pieces);
        let bytes = stages.map(|(stage, &pieces)| stage.bytes * u64::from(pieces));
        bytes.max().unwrap_or_default()
    }

    /// Logs a send that gave no answer to pass on, and what follows.
    fn note(&self, tally: &Tally, target: &Target, result: &str, taken: Duration, is_flying: bool) {
        let next = if is_flying { "wait" } else { "decide" };
        let pool = self
            .relay
            .metrics
            .sends
            .with_label_values(&[&target.pool, result]);
        pool.inc();
        event::send_failed(&self.ask.id, &target.id, result, taken, next);
        tracing::debug!(runs = tally.runs, idle = tally.idle, "sends so far");
    }
}

impl Ticket {
    /// Notes that a stream broke off.
    pub fn broke(&self, target: &Target, what: &'static str) {
        event::send_failed(
            &self.ask.id,
            &target.id,
            what,
            self.arrived.elapsed(),
            "resume",
        );
        let now = self.relay.now();
        self.relay
            .target_selector_mut()
            .record_failure(now, &target.id);
        self.relay.look_for_death(target, self.payload);
    }
}

/// What a target's answer begins with.
#[derive(Debug)]
pub(super) enum Opening {
    /// All of it.
    Whole(Answer),
    /// A stream.
    Stream(Box<Begun>),
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.end(None, "caller_left", None);
    }
}

/// Returns the host name of a request, without a port.
pub(super) fn host(head: &Parts) -> String {
    let header = head.headers.get(http::header::HOST);
    let header = header.and_then(|host| host.to_str().ok());
    let host = header.or(head.uri.host()).unwrap_or_default();
    let name = host.split(':').next().unwrap_or_default();
    name.to_ascii_lowercase()
}

/// Returns what makes two requests the same work.
pub(super) fn payload(head: &Parts, workspace: Option<&WorkspaceId>, body: &[u8]) -> Payload {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let workspace = workspace.map_or("", |workspace| workspace.as_str());
    hash::texts(&[head.method.as_str(), path, workspace]) ^ hash::bytes(body).rotate_left(1)
}
