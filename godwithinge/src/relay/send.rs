//! One send of a request to a target, and what it says of the target.

use super::{
    dialect::{Ask, Mark, Stamp},
    frame::Frame,
    run::Ticket,
    state::Relay,
};
use crate::http::{self as pool, Reuse};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::Full;
use policy::{
    id::TargetId,
    relay::{crash::PayloadHash as Payload, plan::Kind, registry::Target, scheduler::Handle},
};
use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, time};

/// Longest answer that is read whole, in bytes; answers of the sites have some kilobytes.
const MAX_ANSWER: usize = 4 << 20;
/// Time that a target has for the first event beside reading the prompt.
const FIRST_EVENT: Duration = Duration::from_millis(900); // some times the usual time under load
/// Tokens that a target reads in a second beside its other requests.
const READ_RATE: f64 = 20_000.0; // half of what an idle engine reads
/// Size from which an early answer closes its connection, since the body may not be read yet.
const LONG_BODY: usize = 16 << 10; // more than a target's receive buffer may hold
/// Pause before a target whose answer broke is looked at; a process ends within this time.
const DEATH_PAUSE: Duration = Duration::from_millis(50);
/// Longest time of that look.
const DEATH_CONNECT: Duration = Duration::from_millis(300); // some round trips
/// Connections for each daemon below which none is kept idle; idle ones of some daemons would have a
/// target reset those that others open.
const MIN_KEPT: u32 = 5; // a daemon keeps a few idle ones to a target that it uses often

/// What came of one send.
#[derive(Debug)]
pub(super) enum Sent {
    /// A whole answer.
    Whole(Answer),
    /// The head and the first part of a stream.
    Begun(Box<Begun>),
    /// Nothing was sent.
    Unreached,
    /// The target says that it did not run the request.
    NotRun(StatusCode),
    /// The target may have run the request, but gave no answer to pass on.
    Broken(&'static str),
}

/// A whole answer of a target.
#[derive(Debug)]
pub(super) struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A stream that has begun.
#[derive(Debug)]
pub(super) struct Begun {
    pub response: pool::Response,
    pub first: Bytes,
    pub target: Target,
    pub call: InCall,
}

/// Counts a call at a target until it is dropped.
#[derive(Debug)]
pub(super) struct InCall {
    relay: Rc<Relay>,
    target: TargetId,
}

impl Ticket {
    /// Sends the request to a target.
    pub(super) async fn send(
        self: &Rc<Self>,
        target: Target,
        inputs: Option<&[Handle]>,
        last_event: Option<&str>,
    ) -> (Target, Duration, Sent) {
        let begun = Instant::now();
        self.story.sends.set(self.story.sends.get() + 1);
        self.story.target.borrow_mut().clone_from(&target.id);
        let relay = &self.relay;
        let call = InCall::new(relay, &target, &self.ask);
        let stamp = Stamp {
            target: &target.id,
            left: Some(self.left()),
            workspace: self.workspace.as_ref(),
            inputs,
            last_event,
        };
        let mut request = http::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = relay.dialect.headers(&self.head, &stamp);
        // A kept connection may break under a request that can't be sent again.
        let reuse = if self.route.is_repeatable() {
            Reuse::Newest
        } else {
            Reuse::Never
        };
        let sent = match relay.pool.send(&target.address, request, reuse).await {
            Ok(response) => self.receive(response, &target, call, begun).await,
            Err(pool::Error::Connect(_)) => Sent::Unreached,
            Err(pool::Error::Broken(_) | pool::Error::Silent | pool::Error::TooLong) => {
                Sent::Broken("broken")
            }
        };
        self.learn(&target, &sent, begun.elapsed());
        (target, begun.elapsed(), sent)
    }

    /// Reads an answer, whole or up to the first part of a stream.
    async fn receive(
        &self,
        mut response: pool::Response,
        target: &Target,
        call: InCall,
        begun: Instant,
    ) -> Sent {
        let status = response.status();
        let mark = self.relay.dialect.mark(status, response.headers());
        if let Some((running, waiting)) = mark.load {
            let now = self.relay.now();
            let mut choice = self.relay.target_selector_mut();
            choice.record_load(now, &target.id, running, waiting);
        }
        if !self.is_own(&mark, status, response.headers()) {
            return Sent::Broken("foreign");
        }
        if mark.is_not_run {
            // The body is of no use, and the connection may still carry ours.
            return Sent::NotRun(status);
        }
        if status.is_success() && self.route.kind == Kind::Streaming {
            if self.connections(&target.pool) < MIN_KEPT {
                response.condemn();
            }
            let first = time::timeout_at(self.silent_at(begun).into(), response.chunk()).await;
            return match first {
                Ok(Ok(Some(first))) => Sent::Begun(Box::new(Begun {
                    response,
                    first,
                    target: target.clone(),
                    call,
                })),
                Ok(Ok(None)) => Sent::Whole(self.whole(status, &response, Bytes::new())),
                Ok(Err(_)) => Sent::Broken("broken"),
                Err(_elapsed) => Sent::Broken("silent"),
            };
        }
        if self.connections(&target.pool) < MIN_KEPT {
            response.condemn();
        }
        let headers = self.relay.dialect.answer(response.headers());
        let is_early = self.body.len() > LONG_BODY && !status.is_success();
        match read(response, is_early).await {
            Ok(body) => Sent::Whole(Answer {
                status,
                headers,
                body,
            }),
            Err(_) => Sent::Broken("broken"),
        }
    }

    fn whole(&self, status: StatusCode, response: &pool::Response, body: Bytes) -> Answer {
        Answer {
            status,
            headers: self.relay.dialect.answer(response.headers()),
            body,
        }
    }

    /// Returns whether an answer is this request's, as its target gave it.
    fn is_own(&self, mark: &Mark, status: StatusCode, headers: &HeaderMap) -> bool {
        let is_same = mark.id.as_ref().is_none_or(|id| *id == self.ask.id);
        let is_whole = !status.is_success()
            || mark.is_signed && !headers.contains_key(http::header::CONTENT_ENCODING);
        is_same && is_whole
    }

    /// Returns when a target without a first event counts as silent.
    fn silent_at(&self, begun: Instant) -> Instant {
        if !self.route.is_repeatable() || self.route.max_attempts < 2 {
            return self.due;
        }
        let reading = f64::from(self.ask.prompt_tokens) / READ_RATE;
        self.due
            .min(begun + FIRST_EVENT + Duration::from_secs_f64(reading))
    }

    /// Takes what a send says of its target.
    fn learn(&self, target: &Target, sent: &Sent, taken: Duration) {
        let now = self.relay.now();
        let mut choice = self.relay.target_selector_mut();
        let reading = f64::from(self.ask.prompt_tokens) / READ_RATE;
        let taken = taken.saturating_sub(Duration::from_secs_f64(reading));
        match sent {
            Sent::Whole(answer) => {
                let is_good = !answer.status.is_server_error();
                choice.record_answer(&target.id, is_good, taken);
                self.relay.crash_history_mut().clear(self.payload);
            }
            Sent::Begun(_) => choice.record_answer(&target.id, true, taken),
            Sent::Unreached | Sent::NotRun(StatusCode::MISDIRECTED_REQUEST) => {
                choice.record_failure(now, &target.id);
            }
            Sent::NotRun(_) => choice.record_answer(&target.id, false, taken),
            Sent::Broken(_) => {
                choice.record_failure(now, &target.id);
                drop(choice);
                self.relay.look_for_death(target, self.payload);
            }
        }
    }
}

impl InCall {
    fn new(relay: &Rc<Relay>, target: &Target, ask: &Ask) -> Self {
        let now = relay.now();
        relay
            .target_selector_mut()
            .start_call(now, &target.id, &ask.parts);
        Self {
            relay: Rc::clone(relay),
            target: target.id.clone(),
        }
    }
}

impl Drop for InCall {
    fn drop(&mut self) {
        self.relay.target_selector_mut().end_call(&self.target);
    }
}

impl Relay {
    /// Looks whether a target whose answer broke has died; only then is it laid to the payload.
    pub(super) fn look_for_death(self: &Rc<Self>, target: &Target, payload: Payload) {
        let (relay, target) = (Rc::clone(self), target.clone());
        tokio::task::spawn_local(async move {
            time::sleep(DEATH_PAUSE).await;
            let connect = TcpStream::connect(target.address.as_str());
            let is_dead = match time::timeout(DEATH_CONNECT, connect).await {
                Ok(Ok(_)) => false,
                Ok(Err(fault)) => fault.kind() == io::ErrorKind::ConnectionRefused,
                // A partition is silent too.
                Err(_elapsed) => false,
            };
            if is_dead {
                relay.note_death(&target, payload);
            }
        });
    }

    /// Notes here and at all peers that a target died while it ran a payload.
    fn note_death(&self, target: &Target, payload: Payload) {
        tracing::info!(target_id = %target.id, payload, "target died");
        let now = self.now();
        self.crash_history_mut().record(now, payload);
        self.links.broadcast(&Frame::TargetCrash(payload));
    }
}

/// Reads the rest of an answer; an early one is read without keeping its connection.
async fn read(mut response: pool::Response, is_early: bool) -> Result<Bytes, pool::Error> {
    if is_early {
        response.condemn();
    }
    response.bytes(MAX_ANSWER).await
}
