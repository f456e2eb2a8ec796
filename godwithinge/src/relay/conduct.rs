//! Has the stages of requests made through the fleet's conductor.
//!
//! One daemon conducts for all. When it is lost, the orders that it held are placed with the next
//! one; pieces may be made again.

use super::{
    dialect::Call,
    event,
    frame::{Frame, LinkId},
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
const LOCAL_LINK: LinkId = 0;
/// Period in which the board looks for what is overdue.
const POLL_INTERVAL: Duration = Duration::from_millis(25); // a tenth of a call
/// Period in which the queues are logged.
const QUEUE_LOG_INTERVAL: Duration = Duration::from_secs(1); // some lines a second from one daemon of the fleet
/// Longest answer of a stage target in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 10; // a batch of some hundred handles
/// Longest time of freeing results; they lapse by themselves.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Stages of one request, with times from now on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct JobRequest {
    pub request: RequestId,
    pub key: CompactString,
    pub priority: u8,
    /// Time until the first event is due for its full worth.
    #[serde(rename = "aim")]
    pub time_to_objective: Duration,
    /// Time until the caller leaves.
    #[serde(rename = "due")]
    pub time_to_deadline: Duration,
    /// Time from the last result to the first event.
    #[serde(rename = "tail")]
    pub first_event_latency: Duration,
    /// Domain that the request's target is expected in.
    #[serde(rename = "hint")]
    pub preferred_domain: Option<DomainId>,
    pub stages: Vec<StageSpec>,
}

/// Results of all stages of a request; given back when this is dropped.
#[derive(Debug)]
pub(super) struct StageResults {
    pub handles: Vec<Handle>,
    /// Domain that holds large results.
    pub domain: Option<DomainId>,
    _guard: JobGuard,
}

/// Why the stages are not made.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobRefusal {
    pub reason: Reason,
    pub retry_after: Duration,
}

type JobOutcome = Result<(Vec<Handle>, Option<DomainId>), JobRefusal>;

/// Gives an order's job back when it is dropped.
#[derive(Debug)]
struct JobGuard {
    relay: Rc<Relay>,
    number: u64,
}

/// An order that was placed.
#[derive(Debug)]
struct SubmittedJob {
    request: JobRequest,
    submitted_at: Instant,
    /// Where it was placed; nowhere while no conductor is known.
    leader: Option<LeaderLink>,
    outcome_sender: Option<oneshot::Sender<JobOutcome>>,
}

/// Who conducts.
#[derive(Clone, Debug, Eq, PartialEq)]
enum LeaderLink {
    Own,
    /// A peer, and the link that the order went over.
    Peer(HostId, LinkId),
}

/// Orders of this daemon, and the board for when it conducts.
#[derive(Debug)]
pub(super) struct JobDispatcher {
    scheduler: RefCell<Scheduler>,
    submitted: RefCell<HashMap<u64, SubmittedJob>>,
    next_number: Cell<u64>,
    /// Since when this daemon conducts for others.
    leads_since: Cell<Option<UnixMillis>>,
}

impl JobDispatcher {
    pub fn new() -> Self {
        Self {
            leads_since: Cell::new(None),
            scheduler: RefCell::new(Scheduler::new()),
            submitted: RefCell::default(),
            next_number: Cell::new(0),
        }
    }

    pub fn set_plan(&self, relay: &Rc<Relay>, plan: &Plan) {
        self.with_scheduler(relay, |scheduler, _, _| scheduler.set_plan(plan));
    }

    pub fn apply_target_change(&self, relay: &Rc<Relay>, change: &TargetChange) {
        self.with_scheduler(relay, |scheduler, now, out| {
            scheduler.apply_target_change(change);
            scheduler.poll(now, out);
        });
    }

    /// Logs the queues while something waits in them.
    fn log_queues(&self, relay: &Relay) {
        let scheduler = self.scheduler.borrow();
        if scheduler.unfinished_jobs() == 0 {
            return;
        }
        for view in scheduler.pool_stats(relay.now()) {
            event::pool_seen(&view, scheduler.unfinished_jobs());
        }
    }

    /// Has the board act, then does what it commands.
    fn with_scheduler(
        &self,
        relay: &Rc<Relay>,
        act: impl FnOnce(&mut Scheduler, Duration, &mut Vec<Command>),
    ) {
        let mut commands = Vec::new();
        act(&mut self.scheduler.borrow_mut(), relay.now(), &mut commands);
        for command in commands {
            relay.execute(command);
        }
    }
}

/// Polls the board until the process ends.
pub(super) async fn poll_scheduler(relay: Rc<Relay>) {
    let mut logged_at = Instant::now();
    loop {
        time::sleep(POLL_INTERVAL).await;
        relay.update_leadership();
        if logged_at.elapsed() >= QUEUE_LOG_INTERVAL {
            logged_at = Instant::now();
            relay.dispatcher.log_queues(&relay);
        }
        if relay.dispatcher.scheduler.borrow().unfinished_jobs() > 0 {
            relay.dispatcher.with_scheduler(&relay, Scheduler::poll);
        }
    }
}

impl Relay {
    /// Has the stages of a request made.
    pub(super) async fn run_stages(
        self: &Rc<Self>,
        request: JobRequest,
    ) -> Result<StageResults, JobRefusal> {
        let number = self.dispatcher.next_number.get();
        self.dispatcher.next_number.set(number + 1);
        let (sender, outcome) = oneshot::channel();
        let guard = JobGuard {
            relay: Rc::clone(self),
            number,
        };
        let job = SubmittedJob {
            request,
            submitted_at: Instant::now(),
            leader: None,
            outcome_sender: Some(sender),
        };
        self.dispatcher.submitted.borrow_mut().insert(number, job);
        self.submit_job(number);
        let lost = JobRefusal {
            reason: Reason::StagesFailed,
            retry_after: Duration::ZERO,
        };
        let (handles, domain) = outcome.await.unwrap_or(Err(lost))?;
        Ok(StageResults {
            handles,
            domain,
            _guard: guard,
        })
    }

    /// Places an order with the daemon that conducts now.
    fn submit_job(self: &Rc<Self>, number: u64) {
        let mut submitted = self.dispatcher.submitted.borrow_mut();
        let Some(entry) = submitted.get_mut(&number) else {
            return;
        };
        let waited = entry.submitted_at.elapsed();
        let mut request = entry.request.clone();
        request.time_to_objective = request.time_to_objective.saturating_sub(waited);
        request.time_to_deadline = request.time_to_deadline.saturating_sub(waited);
        entry.leader = self.leader_link();
        match &entry.leader {
            None => return,
            Some(LeaderLink::Own) => {}
            Some(LeaderLink::Peer(host, _)) => {
                let frame = Frame::Submit {
                    number,
                    job: request.clone(),
                };
                if self.links.send(host, frame) {
                    return;
                }
                entry.leader = Some(LeaderLink::Own);
            }
        }
        drop(submitted);
        self.accept_job(LOCAL_LINK, number, request);
    }

    /// Returns who conducts, and the link to it.
    fn leader_link(&self) -> Option<LeaderLink> {
        let (own, peers) = self.candidates();
        self.elect_leader(&own, &peers)
    }

    fn elect_leader(&self, own: &Candidate, peers: &[Candidate]) -> Option<LeaderLink> {
        match leader::elect(own, peers, self.links.known() == 0) {
            Leader::Own => Some(LeaderLink::Own),
            Leader::Peer(host) => {
                let origin = self.links.origin(&host)?;
                Some(LeaderLink::Peer(host, origin))
            }
            Leader::Unknown => None,
        }
    }

    fn candidates(&self) -> (Candidate, Vec<Candidate>) {
        let settings = self.settings();
        let own = Candidate {
            host: settings.host.clone(),
            cpu: settings.cpu,
            is_leaving: self.is_leaving(),
            linked_for: self.now(),
            leads_since: self.leads_since(),
            started: self.started,
        };
        let mut peers = Vec::with_capacity(self.links.count());
        self.links.each(|peer| peers.push(peer.candidate()));
        (own, peers)
    }

    /// Returns since when this daemon has conducted, if it does.
    pub(super) fn leads_since(&self) -> Option<UnixMillis> {
        self.dispatcher.leads_since.get()
    }

    /// Returns whether this daemon conducts for the fleet or may have to do so next.
    pub(super) fn is_monitored(&self) -> bool {
        let (own, peers) = self.candidates();
        leader::is_monitored(&own, &peers)
    }

    /// Notes whether this daemon conducts, and places orders that waited for a conductor.
    fn update_leadership(self: &Rc<Self>) {
        let (own, peers) = self.candidates();
        let leader = self.elect_leader(&own, &peers);
        let is_leader = leader == Some(LeaderLink::Own) && leader::may_claim(&own, &peers);
        if is_leader != self.leads_since().is_some() {
            self.dispatcher
                .leads_since
                .set(is_leader.then(state::since_1970));
            event::lead_changed(is_leader, self.links.count());
            self.announce();
        }
        if leader.is_some() {
            let waiting: Vec<u64> = {
                let submitted = self.dispatcher.submitted.borrow();
                let waiting = submitted.iter().filter(|(_, entry)| entry.leader.is_none());
                waiting.map(|(number, _)| *number).collect()
            };
            for number in waiting {
                self.submit_job(number);
            }
        }
    }

    /// Takes an order of this daemon or of a peer.
    pub(super) fn accept_job(self: &Rc<Self>, origin: LinkId, number: u64, request: JobRequest) {
        let now = self.now();
        let job = Job {
            id: JobId { origin, number },
            request: request.request,
            key: request.key,
            priority: request.priority,
            objective: now + request.time_to_objective,
            deadline: now + request.time_to_deadline,
            first_event_latency: request.first_event_latency,
            preferred_domain: request.preferred_domain,
            stages: request.stages,
        };
        self.dispatcher
            .with_scheduler(self, |scheduler, now, out| scheduler.submit(now, job, out));
    }

    pub(super) fn release_job(self: &Rc<Self>, origin: LinkId, number: u64) {
        let id = JobId { origin, number };
        self.dispatcher
            .with_scheduler(self, |scheduler, now, out| scheduler.release(now, id, out));
    }

    pub(super) fn complete_job(&self, number: u64, handles: Vec<Handle>, domain: Option<DomainId>) {
        self.resolve_job(number, Ok((handles, domain)));
    }

    pub(super) fn refuse_job(&self, number: u64, reason: u8, retry_after: Duration) {
        let reason = match reason {
            REFUSAL_BACKLOG => Reason::Backlog,
            REFUSAL_LATE => Reason::Late,
            REFUSAL_NO_TARGET => Reason::NoTarget,
            _ => Reason::StagesFailed,
        };
        self.resolve_job(
            number,
            Err(JobRefusal {
                reason,
                retry_after,
            }),
        );
    }

    fn resolve_job(&self, number: u64, outcome: JobOutcome) {
        let mut submitted = self.dispatcher.submitted.borrow_mut();
        let waiting = submitted
            .get_mut(&number)
            .and_then(|entry| entry.outcome_sender.take());
        if let Some(waiting) = waiting {
            // The request may have been given up meanwhile.
            drop(waiting.send(outcome));
        }
    }

    /// Forgets the jobs of a link that ended, and places anew what its daemon conducted.
    pub(super) fn handle_link_lost(self: &Rc<Self>, origin: LinkId) {
        self.dispatcher.with_scheduler(self, |scheduler, now, out| {
            scheduler.release_origin(now, origin, out);
        });
        let lost_jobs: Vec<u64> = {
            let submitted = self.dispatcher.submitted.borrow();
            let lost_jobs = submitted.iter().filter(|(_, entry)| {
                let is_over =
                    matches!(entry.leader, Some(LeaderLink::Peer(_, over)) if over == origin);
                entry.outcome_sender.is_some() && is_over
            });
            lost_jobs.map(|(number, _)| *number).collect()
        };
        if !lost_jobs.is_empty() {
            tracing::info!(
                orders = lost_jobs.len(),
                "conductor lost; orders placed anew"
            );
        }
        for number in lost_jobs {
            self.submit_job(number);
        }
    }

    fn execute(self: &Rc<Self>, command: Command) {
        match command {
            Command::Call {
                call,
                target,
                address,
                items,
                timeout,
            } => {
                let relay = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    let reply = relay
                        .call_stage_target(&target, &address, &items, timeout)
                        .await;
                    relay
                        .dispatcher
                        .with_scheduler(&relay, |scheduler, now, out| {
                            scheduler.reply(now, call, reply, out);
                        });
                });
            }
            Command::Ready {
                job,
                handles,
                domain,
            } => match job.origin {
                LOCAL_LINK => self.complete_job(job.number, handles, domain),
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
                let reason = refusal_code(reason);
                match job.origin {
                    LOCAL_LINK => self.refuse_job(job.number, reason, retry_after),
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
                    if relay.free_results(&address, &handles).await {
                        relay
                            .dispatcher
                            .with_scheduler(&relay, |scheduler, now, out| {
                                scheduler.record_freed(now, &target, &handles, out);
                            });
                    }
                });
            }
        }
    }

    /// Calls a stage target.
    async fn call_stage_target(
        &self,
        target: &TargetId,
        address: &str,
        items: &[Item],
        timeout: Duration,
    ) -> Reply {
        let started_at = Instant::now();
        let call = self.dialect.make(items);
        let headers = self.dialect.make_headers(target);
        let exchange = time::timeout(timeout, self.send_stage_call(address, call, headers)).await;
        let reply = match exchange.unwrap_or(Err(Error::Silent)) {
            Ok((StatusCode::OK, _, body)) => match self.dialect.made(&body) {
                Ok(items) => Reply::Items(items),
                Err(fault) => {
                    tracing::warn!(target_id = %target, %fault, "answer of a stage target");
                    Reply::Lost
                }
            },
            Ok((StatusCode::MISDIRECTED_REQUEST, ..)) => Reply::Replaced,
            Ok((_, true, _)) => Reply::Full,
            Err(Error::Connect(_)) => Reply::Unreached,
            Ok((_, false, _)) | Err(Error::Broken(_) | Error::Silent | Error::TooLong) => {
                Reply::Lost
            }
        };
        let result = event::stage_call(target, items.len(), started_at.elapsed(), &reply);
        let pool = self
            .roster()
            .all()
            .find(|one| one.id == *target)
            .map(|one| one.pool.clone());
        let labels = [pool.as_deref().unwrap_or("gone"), result];
        self.metrics.calls.with_label_values(&labels).inc();
        self.metrics.pieces.inc_by(items.len() as u64);
        reply
    }

    /// Returns the status, whether the target says that it ran nothing, and the body.
    async fn send_stage_call(
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
        let mark = self.dialect.mark(status, response.headers());
        let body = response.bytes(MAX_RESPONSE_BYTES).await?;
        Ok((status, mark.is_not_run, body))
    }

    /// Frees results and returns whether the target has done so; else they lapse.
    async fn free_results(&self, address: &str, handles: &[Handle]) -> bool {
        let call = self.dialect.free(handles);
        let headers = self.dialect.free_headers();
        let freed = time::timeout(FREE_TIMEOUT, self.send_stage_call(address, call, headers)).await;
        match freed {
            Ok(Ok((StatusCode::OK, ..))) => return true,
            Ok(Ok((status, ..))) => tracing::debug!(address, %status, "results not freed"),
            Ok(Err(fault)) => tracing::debug!(address, %fault, "results not freed"),
            Err(_elapsed) => tracing::debug!(address, "results not freed in time"),
        }
        false
    }
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        let submitted = self
            .relay
            .dispatcher
            .submitted
            .borrow_mut()
            .remove(&self.number);
        match submitted.and_then(|entry| entry.leader) {
            Some(LeaderLink::Own) => self.relay.release_job(LOCAL_LINK, self.number),
            Some(LeaderLink::Peer(host, _)) => {
                let number = self.number;
                self.relay.links.send(&host, Frame::Release { number });
            }
            None => {}
        }
    }
}

const REFUSAL_BACKLOG: u8 = 0;
const REFUSAL_LATE: u8 = 1;
const REFUSAL_FAILED: u8 = 2;
const REFUSAL_NO_TARGET: u8 = 3;

/// Returns the number of a refusal in frames.
fn refusal_code(refusal: Refusal) -> u8 {
    match refusal {
        Refusal::Backlog => REFUSAL_BACKLOG,
        Refusal::Late => REFUSAL_LATE,
        Refusal::Failed => REFUSAL_FAILED,
        Refusal::NoTarget => REFUSAL_NO_TARGET,
    }
}
