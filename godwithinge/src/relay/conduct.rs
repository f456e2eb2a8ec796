//! Has the stages of requests made through the fleet's conductor.
//!
//! One daemon conducts for all. When it is lost, the orders that it held are placed with the next
//! one; pieces may be made again.

use super::{
    dialect::Call,
    event,
    frame::{Frame, Origin},
    outcome::Reason,
    state::{self, Relay},
};
use crate::http::{Error, Reuse};
use compact_str::CompactString;
use futures::channel::oneshot;
use http::StatusCode;
use http_body_util::Full;
use policy::{
    id::{DomainId, HostId, RequestId, TargetId},
    relay::{
        leader::{self, Candidate, Leader, UnixMillis},
        plan::Plan,
        registry::TargetChange,
        scheduler::{Command, Handle, Item, Job, JobId, Refusal, Reply, Scheduler, StageSpec},
    },
};
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time;

/// Number of the daemon itself among the origins of jobs.
const OWN: Origin = 0;
/// Period in which the board looks for what is overdue.
const TICK: Duration = Duration::from_millis(25); // a tenth of a call
/// Period in which the queues are logged.
const LOG_PERIOD: Duration = Duration::from_secs(1); // some lines a second from one daemon of the fleet
/// Longest answer of a stage target in bytes.
const MAX_ANSWER: usize = 256 << 10; // a batch of some hundred handles
/// Longest time of freeing results; they lapse by themselves.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Stages of one request, with times from now on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Order {
    pub request: RequestId,
    pub key: CompactString,
    pub priority: u8,
    /// Time until the first event is due for its full worth.
    pub aim: Duration,
    /// Time until the caller leaves.
    pub due: Duration,
    /// Time from the last result to the first event.
    pub tail: Duration,
    /// Domain that the request's target is expected in.
    pub hint: Option<DomainId>,
    pub stages: Vec<StageSpec>,
}

/// Results of all stages of a request; given back when this is dropped.
#[derive(Debug)]
pub(super) struct Results {
    pub handles: Vec<Handle>,
    /// Domain that holds large results.
    pub domain: Option<DomainId>,
    _lease: Lease,
}

/// Why the stages are not made.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    pub reason: Reason,
    pub retry_after: Duration,
}

type Verdict = Result<(Vec<Handle>, Option<DomainId>), Refused>;

/// Gives an order's job back when it is dropped.
#[derive(Debug)]
struct Lease {
    relay: Rc<Relay>,
    number: u64,
}

/// An order that was placed.
#[derive(Debug)]
struct Placed {
    order: Order,
    at: Instant,
    /// Where it was placed; nowhere while no conductor is known.
    place: Option<Place>,
    verdict: Option<oneshot::Sender<Verdict>>,
}

/// Who conducts.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Place {
    Own,
    /// A peer, and the link that the order went over.
    Peer(HostId, Origin),
}

/// Orders of this daemon, and the board for when it conducts.
#[derive(Debug)]
pub(super) struct Conductor {
    board: RefCell<Scheduler>,
    placed: RefCell<HashMap<u64, Placed>>,
    next: Cell<u64>,
    /// Since when this daemon conducts for others.
    since: Cell<Option<UnixMillis>>,
}

impl Conductor {
    pub fn new() -> Self {
        Self {
            since: Cell::new(None),
            board: RefCell::new(Scheduler::new()),
            placed: RefCell::default(),
            next: Cell::new(0),
        }
    }

    pub fn set_plan(&self, relay: &Rc<Relay>, plan: &Plan) {
        self.with_board(relay, |board, _, _| board.set_plan(plan));
    }

    pub fn change(&self, relay: &Rc<Relay>, change: &TargetChange) {
        self.with_board(relay, |board, now, out| {
            board.apply_target_change(change);
            board.poll(now, out);
        });
    }

    /// Logs the queues while something waits in them.
    fn log(&self, relay: &Relay) {
        let board = self.board.borrow();
        if board.unfinished_jobs() == 0 {
            return;
        }
        for view in board.pool_stats(relay.now()) {
            event::pool_seen(&view, board.unfinished_jobs());
        }
    }

    /// Has the board act, then does what it commands.
    fn with_board(
        &self,
        relay: &Rc<Relay>,
        act: impl FnOnce(&mut Scheduler, Duration, &mut Vec<Command>),
    ) {
        let mut commands = Vec::new();
        act(&mut self.board.borrow_mut(), relay.now(), &mut commands);
        for command in commands {
            relay.obey(command);
        }
    }
}

/// Polls the board until the process ends.
pub(super) async fn tick(relay: Rc<Relay>) {
    let mut logged = Instant::now();
    loop {
        time::sleep(TICK).await;
        relay.review_lead();
        if logged.elapsed() >= LOG_PERIOD {
            logged = Instant::now();
            relay.conductor.log(&relay);
        }
        if relay.conductor.board.borrow().unfinished_jobs() > 0 {
            relay.conductor.with_board(&relay, Scheduler::poll);
        }
    }
}

impl Relay {
    /// Has the stages of a request made.
    pub(super) async fn conduct(self: &Rc<Self>, order: Order) -> Result<Results, Refused> {
        let number = self.conductor.next.get();
        self.conductor.next.set(number + 1);
        let (sender, verdict) = oneshot::channel();
        let lease = Lease {
            relay: Rc::clone(self),
            number,
        };
        let placed = Placed {
            order,
            at: Instant::now(),
            place: None,
            verdict: Some(sender),
        };
        self.conductor.placed.borrow_mut().insert(number, placed);
        self.place(number);
        let lost = Refused {
            reason: Reason::StagesFailed,
            retry_after: Duration::ZERO,
        };
        let (handles, domain) = verdict.await.unwrap_or(Err(lost))?;
        Ok(Results {
            handles,
            domain,
            _lease: lease,
        })
    }

    /// Places an order with the daemon that conducts now.
    fn place(self: &Rc<Self>, number: u64) {
        let mut placed = self.conductor.placed.borrow_mut();
        let Some(entry) = placed.get_mut(&number) else {
            return;
        };
        let waited = entry.at.elapsed();
        let mut order = entry.order.clone();
        order.aim = order.aim.saturating_sub(waited);
        order.due = order.due.saturating_sub(waited);
        entry.place = self.conducting();
        match &entry.place {
            None => return,
            Some(Place::Own) => {}
            Some(Place::Peer(host, _)) => {
                let frame = Frame::Submit {
                    number,
                    order: order.clone(),
                };
                if self.links.send(host, frame) {
                    return;
                }
                entry.place = Some(Place::Own);
            }
        }
        drop(placed);
        self.take_order(OWN, number, order);
    }

    /// Returns who conducts, and the link to it.
    fn conducting(&self) -> Option<Place> {
        let (own, peers) = self.candidates();
        self.conducting_among(&own, &peers)
    }

    fn conducting_among(&self, own: &Candidate, peers: &[Candidate]) -> Option<Place> {
        match leader::elect(own, peers, self.links.known() == 0) {
            Leader::Own => Some(Place::Own),
            Leader::Peer(host) => {
                let origin = self.links.origin(&host)?;
                Some(Place::Peer(host, origin))
            }
            Leader::Unknown => None,
        }
    }

    fn candidates(&self) -> (Candidate, Vec<Candidate>) {
        let settings = self.settings();
        let own = Candidate {
            host: settings.host.clone(),
            cpu: settings.cpu_cores,
            is_leaving: self.is_leaving(),
            linked_for: self.now(),
            leads_since: self.conducts_since(),
            started: self.started,
        };
        let mut peers = Vec::with_capacity(self.links.count());
        self.links.each(|peer| peers.push(peer.candidate()));
        (own, peers)
    }

    /// Returns since when this daemon has conducted, if it does.
    pub(super) fn conducts_since(&self) -> Option<UnixMillis> {
        self.conductor.since.get()
    }

    /// Returns whether this daemon conducts for the fleet or may have to do so next.
    pub(super) fn is_watched(&self) -> bool {
        let (own, peers) = self.candidates();
        leader::is_monitored(&own, &peers)
    }

    /// Notes whether this daemon conducts, and places orders that waited for a conductor.
    fn review_lead(self: &Rc<Self>) {
        let (own, peers) = self.candidates();
        let place = self.conducting_among(&own, &peers);
        let conducts = place == Some(Place::Own) && leader::may_claim(&own, &peers);
        if conducts != self.conducts_since().is_some() {
            self.conductor.since.set(conducts.then(state::since_1970));
            event::lead_changed(conducts, self.links.count());
            self.announce();
        }
        if place.is_some() {
            let waiting: Vec<u64> = {
                let placed = self.conductor.placed.borrow();
                let waiting = placed.iter().filter(|(_, entry)| entry.place.is_none());
                waiting.map(|(number, _)| *number).collect()
            };
            for number in waiting {
                self.place(number);
            }
        }
    }

    /// Takes an order of this daemon or of a peer.
    pub(super) fn take_order(self: &Rc<Self>, origin: Origin, number: u64, order: Order) {
        let now = self.now();
        let job = Job {
            id: JobId { origin, number },
            request: order.request,
            key: order.key,
            priority: order.priority,
            objective: now + order.aim,
            deadline: now + order.due,
            first_event_latency: order.tail,
            preferred_domain: order.hint,
            stages: order.stages,
        };
        self.conductor
            .with_board(self, |board, now, out| board.submit(now, job, out));
    }

    pub(super) fn take_release(self: &Rc<Self>, origin: Origin, number: u64) {
        let id = JobId { origin, number };
        self.conductor
            .with_board(self, |board, now, out| board.release(now, id, out));
    }

    pub(super) fn take_ready(&self, number: u64, handles: Vec<Handle>, domain: Option<DomainId>) {
        self.decide(number, Ok((handles, domain)));
    }

    pub(super) fn take_refused(&self, number: u64, reason: u8, retry_after: Duration) {
        let reason = match reason {
            BACKLOG => Reason::Backlog,
            LATE => Reason::Late,
            NO_TARGET => Reason::NoTarget,
            _ => Reason::StagesFailed,
        };
        self.decide(
            number,
            Err(Refused {
                reason,
                retry_after,
            }),
        );
    }

    fn decide(&self, number: u64, verdict: Verdict) {
        let mut placed = self.conductor.placed.borrow_mut();
        let waiting = placed
            .get_mut(&number)
            .and_then(|entry| entry.verdict.take());
        if let Some(waiting) = waiting {
            // The request may have been given up meanwhile.
            drop(waiting.send(verdict));
        }
    }

    /// Forgets the jobs of a link that ended, and places anew what its daemon conducted.
    pub(super) fn lose_origin(self: &Rc<Self>, origin: Origin) {
        self.conductor.with_board(self, |board, now, out| {
            board.release_origin(now, origin, out);
        });
        let orphans: Vec<u64> = {
            let placed = self.conductor.placed.borrow();
            let orphans = placed.iter().filter(|(_, entry)| {
                let is_over = matches!(entry.place, Some(Place::Peer(_, over)) if over == origin);
                entry.verdict.is_some() && is_over
            });
            orphans.map(|(number, _)| *number).collect()
        };
        if !orphans.is_empty() {
            tracing::info!(orders = orphans.len(), "conductor lost; orders placed anew");
        }
        for number in orphans {
            self.place(number);
        }
    }

    fn obey(self: &Rc<Self>, command: Command) {
        match command {
            Command::Call {
                call,
                target,
                address,
                items,
                timeout: within,
            } => {
                let relay = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    let reply = relay.make(&target, &address, &items, within).await;
                    relay.conductor.with_board(&relay, |board, now, out| {
                        board.reply(now, call, reply, out);
                    });
                });
            }
            Command::Ready {
                job,
                handles,
                domain,
            } => match job.origin {
                OWN => self.take_ready(job.number, handles, domain),
                origin => self.links.reply(
                    origin,
                    Frame::Ready {
                        number: job.number,
                        handles,
                        domain,
                    },
                ),
            },
            Command::Refuse {
                job,
                request,
                reason,
                expected,
                left,
                retry_after,
            } => {
                event::job_refused(&request, reason, expected, left, retry_after);
                let reason = code(reason);
                match job.origin {
                    OWN => self.take_refused(job.number, reason, retry_after),
                    origin => self.links.reply(
                        origin,
                        Frame::Refused {
                            number: job.number,
                            reason,
                            retry_after,
                        },
                    ),
                }
            }
            Command::Free {
                target,
                address,
                handles,
            } => {
                let relay = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    if relay.free(&address, &handles).await {
                        relay.conductor.with_board(&relay, |board, now, out| {
                            board.record_freed(now, &target, &handles, out);
                        });
                    }
                });
            }
        }
    }

    /// Calls a stage target.
    async fn make(
        &self,
        target: &TargetId,
        address: &str,
        items: &[Item],
        within: Duration,
    ) -> Reply {
        let begun = Instant::now();
        let call = self.dialect.stage_call(items);
        let headers = self.dialect.stage_call_headers(target);
        let exchange = time::timeout(within, self.exchange(address, call, headers)).await;
        let reply = match exchange.unwrap_or(Err(Error::Timeout)) {
            Ok((StatusCode::OK, _, body)) => match self.dialect.parse_stage_results(&body) {
                Ok(items) => Reply::Items(items),
                Err(fault) => {
                    tracing::warn!(target_id = %target, %fault, "answer of a stage target");
                    Reply::Lost
                }
            },
            Ok((StatusCode::MISDIRECTED_REQUEST, ..)) => Reply::Replaced,
            Ok((_, true, _)) => Reply::Full,
            Err(Error::Connect(_)) => Reply::Unreached,
            Ok((_, false, _)) | Err(Error::Broken(_) | Error::Timeout | Error::TooLong) => {
                Reply::Lost
            }
        };
        let result = event::stage_call(target, items.len(), begun.elapsed(), &reply);
        let pool = self
            .roster()
            .all()
            .find(|one| one.id == *target)
            .map(|one| one.pool.clone());
        let labels = [pool.as_deref().unwrap_or("gone"), result];
        self.metrics.stage_calls.with_label_values(&labels).inc();
        self.metrics.pieces.inc_by(items.len() as u64);
        reply
    }

    /// Returns the status, whether the target says that it ran nothing, and the body.
    async fn exchange(
        &self,
        address: &str,
        call: Call,
        headers: http::HeaderMap,
    ) -> Result<(StatusCode, bool, bytes::Bytes), Error> {
        let mut request = http::Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.headers_mut() = headers;
        let uri = call.path.parse();
        *request.uri_mut() = uri.map_err(|_malformed| Error::TooLong)?;
        let response = self.pool.send(address, request, Reuse::Newest).await?;
        let status = response.status();
        let mark = self
            .dialect
            .parse_response_headers(status, response.headers());
        let body = response.bytes(MAX_ANSWER).await?;
        Ok((status, mark.is_not_executed, body))
    }

    /// Frees results and returns whether the target has done so; else they lapse.
    async fn free(&self, address: &str, handles: &[Handle]) -> bool {
        let call = self.dialect.free_call(handles);
        let headers = self.dialect.free_call_headers();
        let freed = time::timeout(FREE_TIMEOUT, self.exchange(address, call, headers)).await;
        match freed {
            Ok(Ok((StatusCode::OK, ..))) => return true,
            Ok(Ok((status, ..))) => tracing::debug!(address, %status, "results not freed"),
            Ok(Err(fault)) => tracing::debug!(address, %fault, "results not freed"),
            Err(_elapsed) => tracing::debug!(address, "results not freed in time"),
        }
        false
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let placed = self
            .relay
            .conductor
            .placed
            .borrow_mut()
            .remove(&self.number);
        match placed.and_then(|entry| entry.place) {
            Some(Place::Own) => self.relay.take_release(OWN, self.number),
            Some(Place::Peer(host, _)) => {
                let number = self.number;
                self.relay.links.send(&host, Frame::Release { number });
            }
            None => {}
        }
    }
}

const BACKLOG: u8 = 0;
const LATE: u8 = 1;
const FAILED: u8 = 2;
const NO_TARGET: u8 = 3;

/// Returns the number of a refusal in frames.
fn code(refusal: Refusal) -> u8 {
    match refusal {
        Refusal::Backlog => BACKLOG,
        Refusal::Late => LATE,
        Refusal::Failed => FAILED,
        Refusal::NoTarget => NO_TARGET,
    }
}
