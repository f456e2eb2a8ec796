//! Computes the stages of requests as jobs of the scheduler on the fleet's leader.
//!
//! One daemon, the leader, runs the scheduler for all daemons; log messages and frames call it the
//! conductor. When the link to the leader is lost, the jobs submitted to it are submitted to its
//! successor, which may compute some pieces again.

use super::{
    event,
    frame::{Frame, LinkId, STAGE_NUMBER_PROTOCOL},
    outcome::Reason,
    rate::GRANT_DELAY,
    run::POOL_RETRY_AFTER,
    scheduler::Runner,
    state::{self, Relay},
};
use compact_str::CompactString;
use futures::channel::oneshot;
use policy::{
    hash,
    id::{DomainId, HostId, RequestId, Time, WorkspaceId},
    relay::{
        leader::{self, Candidate, Leader, UnixMillis},
        plan::Plan,
        rate::Rate,
        registry::{Target, TargetChange},
        scheduler::{
            self, Command, Handle, Job, JobId, Refusal, RequestIdentity, Scheduler, StageSpec,
            Stages,
        },
        stage::{ByStage, Unordered},
    },
};
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    mem,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time;

/// Origin of the jobs that the local daemon submits.
const LOCAL_LINK: LinkId = 0;
/// Interval at which the scheduler checks for overdue calls and jobs.
const POLL_INTERVAL: Duration = Duration::from_millis(25); // a tenth of the duration of a call
/// Minimum rest after such a check, as a multiple of its duration.
const POLL_REST_RATIO: u32 = 5;
/// Interval at which the state of the queues is logged: a few lines per second, from the leader
/// only.
const QUEUE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Request to compute the stages of a caller's request. Times are relative to its
/// submission.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct JobRequest {
    pub request: RequestId,
    /// What the attempts of a caller at the same request have in common; 0 from builds that do not send it.
    #[serde(default)]
    pub identity: RequestIdentity,
    pub key: CompactString,
    pub priority: u8,
    /// Time left in which the first event counts as on time.
    #[serde(rename = "aim")]
    pub time_to_objective: Duration,
    /// Time left until the caller gives up.
    #[serde(rename = "due")]
    pub time_to_deadline: Duration,
    /// Expected time from the last result to the first event.
    #[serde(rename = "tail")]
    pub first_event_latency: Duration,
    /// Domain in which the request's own target is expected, if known.
    #[serde(rename = "hint")]
    pub preferred_domain: Option<DomainId>,
    pub stages: ByStage<StageSpec>,
    /// Workspace of the caller; absent from builds that do not send it.
    #[serde(default)]
    pub workspace: Option<WorkspaceId>,
    /// Whether it was submitted to an earlier leader.
    #[serde(default)]
    pub is_resubmitted: bool,
}

/// Final results of the stages of a request; released when this is dropped.
#[derive(Debug)]
pub(super) struct StageResults {
    pub handles: Vec<Handle>,
    /// Domain that holds the most large results, if there are any.
    pub domain: Option<DomainId>,
    _guard: JobGuard,
}

/// Reason why a job was refused, with the time after which the caller may retry.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobRefusal {
    pub reason: Reason,
    pub retry_after: Duration,
}

type JobOutcome = Result<(Vec<Handle>, Option<DomainId>), JobRefusal>;

/// Releases a job when dropped.
#[derive(Debug)]
struct JobGuard {
    relay: Rc<Relay>,
    number: u64,
}

/// A job of this daemon that has not been released yet.
#[derive(Debug)]
struct SubmittedJob {
    request: JobRequest,
    submitted_at: Instant,
    /// Leader that the job was submitted to; absent while no leader is known.
    leader: Option<LeaderLink>,
    outcome_sender: Option<oneshot::Sender<JobOutcome>>,
}

/// Location of the leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum LeaderLink {
    Own,
    /// A peer, and the link to it. A job is submitted again if this link ends.
    Peer(HostId, LinkId),
}

/// Jobs of this daemon, and the scheduler that it runs while it is the leader.
#[derive(Debug)]
pub(super) struct JobDispatcher {
    pub scheduler: Runner,
    submitted: RefCell<HashMap<u64, SubmittedJob>>,
    next_number: Cell<u64>,
    /// When this daemon became the leader; absent if it is not.
    leads_since: Cell<Option<UnixMillis>>,
}

impl SubmittedJob {
    /// Returns whether the leader that it was submitted to is at the other end of a link.
    fn is_submitted_over(&self, link: LinkId) -> bool {
        match &self.leader {
            None => false,
            Some(LeaderLink::Own) => link == LOCAL_LINK,
            Some(LeaderLink::Peer(_, leader)) => *leader == link,
        }
    }
}

impl JobDispatcher {
    pub fn new() -> Self {
        Self {
            leads_since: Cell::new(None),
            scheduler: Runner::default(),
            submitted: RefCell::default(),
            next_number: Cell::new(0),
        }
    }

    pub fn set_plan(&self, relay: &Rc<Relay>, plan: &Plan) {
        self.scheduler
            .act(relay, |scheduler, _, _| scheduler.set_plan(plan));
    }

    pub fn apply_target_change(&self, relay: &Rc<Relay>, change: &TargetChange) {
        self.scheduler.act(relay, |scheduler, now, out| {
            scheduler.apply_target_change(change);
            scheduler.poll(now, out);
        });
    }

    /// Sends a stage target nothing until the end of a pause that it asked for.
    pub fn pause_target(&self, target: &Target, end: Time) {
        self.scheduler.state().pause_target(target, end);
    }

    /// Calls a stage target at no more than `rate`, if it names a limit.
    pub fn limit_target(&self, now: Time, target: &Target, rate: Option<Rate>) {
        self.scheduler.state().limit_target(now, target, rate);
    }

    /// Discards what is saved up of the rates of stage targets.
    pub fn hold_rates(&self, now: Time) {
        self.scheduler.state().hold_rates(now);
    }

    /// Forgets failed calls to all stage targets.
    pub fn clear_failures(&self) {
        self.scheduler.state().clear_failures();
    }
}

/// Reviews the leadership and polls the scheduler periodically; never returns.
pub(super) async fn poll_scheduler(relay: Rc<Relay>) {
    let mut logged_at = Instant::now();
    let mut rest = POLL_INTERVAL;
    loop {
        time::sleep(rest).await;
        relay.update_leadership();
        if logged_at.elapsed() >= QUEUE_LOG_INTERVAL {
            logged_at = Instant::now();
            relay.dispatcher.scheduler.log_queues(&relay);
        }
        let started = Instant::now();
        let scheduler = &relay.dispatcher.scheduler;
        if scheduler.state().unfinished_jobs() > 0 {
            scheduler.act(&relay, Scheduler::poll);
        }
        rest = POLL_INTERVAL.max(started.elapsed() * POLL_REST_RATIO);
    }
}

impl Relay {
    /// Computes the stages of a request.
    ///
    /// # Errors
    ///
    /// Fails if the scheduler refuses the job.
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

    /// Submits a job to the current leader. If no leader is known, the job waits for one; if the
    /// frame cannot be queued, the local scheduler takes the job.
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
        entry.request.is_resubmitted |= entry.leader.is_some();
        match &entry.leader {
            None => return,
            Some(LeaderLink::Own) => {}
            Some(LeaderLink::Peer(host, _)) => {
                let frame = Frame::Submit {
                    number,
                    job: request.clone(),
                };
                if self.links.send_to_host(host, frame) {
                    return;
                }
                entry.leader = Some(LeaderLink::Own);
            }
        }
        drop(submitted);
        self.accept_job(LOCAL_LINK, number, request);
    }

    /// Returns the current leader; absent if it is unknown or not linked.
    pub(super) fn leader_link(&self) -> Option<LeaderLink> {
        let (own, peers) = self.candidates();
        self.elect_leader(&own, &peers)
    }

    fn elect_leader(&self, own: &Candidate, peers: &[Candidate]) -> Option<LeaderLink> {
        match leader::elect(own, peers, self.links.addresses.count()) {
            Leader::Own => Some(LeaderLink::Own),
            Leader::Peer(host) => {
                let origin = self.links.link_id(&host)?;
                Some(LeaderLink::Peer(host, origin))
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
            leads_since: self.leads_since(),
            started: self.started_unix_ms,
        };
        let mut peers = Vec::with_capacity(self.links.count());
        self.links
            .for_each_peer(|peer| peers.push(peer.candidate()));
        (own, peers)
    }

    /// Returns when this daemon became the leader; absent if it is not.
    pub(super) fn leads_since(&self) -> Option<UnixMillis> {
        self.dispatcher.leads_since.get()
    }

    /// Returns whether this daemon is the leader or one of its likely successors, which send
    /// heartbeats more often.
    pub(super) fn is_monitored(&self) -> bool {
        let (own, peers) = self.candidates();
        leader::is_monitored(&own, &peers)
    }

    /// Records whether this daemon is the leader, and submits the jobs that waited for one.
    fn update_leadership(self: &Rc<Self>) {
        let (own, peers) = self.candidates();
        let leader = self.elect_leader(&own, &peers);
        let is_leader = leader == Some(LeaderLink::Own) && leader::may_claim(&own, &peers);
        if is_leader != self.leads_since().is_some() {
            self.dispatcher
                .leads_since
                .set(is_leader.then(state::unix_millis_now));
            event::leadership_changed(is_leader, self.links.count());
            self.broadcast_heartbeat();
        }
        if leader != Some(LeaderLink::Own) || self.now() < GRANT_DELAY {
            self.hold_rates();
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

    /// Submits a job of a peer to the local scheduler.
    pub(super) fn accept_peer_job(
        self: &Rc<Self>,
        host: &HostId,
        origin: LinkId,
        number: u64,
        mut request: JobRequest,
    ) {
        if !self.links.speaks(host, STAGE_NUMBER_PROTOCOL) {
            let plan = self.plan();
            let renumbered = plan.and_then(|plan| scheduler::renumber(&request.stages, &plan));
            let Some(stages) = renumbered else {
                return self.refuse_stages(origin, number, &request, "their numbers are not known");
            };
            request.stages = stages;
        }
        self.accept_job(origin, number, request);
    }

    /// Refuses a job whose stages can't be run, for the reason `fault`.
    fn refuse_stages(
        self: &Rc<Self>,
        origin: LinkId,
        number: u64,
        request: &JobRequest,
        fault: &str,
    ) {
        tracing::warn!(request_id = %request.request, fault, "stages of a job can't be run");
        self.execute(Command::Refuse {
            job: JobId { origin, number },
            request: request.request.clone(),
            expected: Duration::ZERO,
            left: request.time_to_deadline,
            reason: Refusal::Failed,
            retry_after: POOL_RETRY_AFTER,
        });
    }

    /// Submits a job of this daemon or of a peer to the local scheduler.
    pub(super) fn accept_job(
        self: &Rc<Self>,
        origin: LinkId,
        number: u64,
        mut request: JobRequest,
    ) {
        let stages = match Stages::new(mem::take(&mut request.stages)) {
            Ok(stages) => stages,
            Err(Unordered) => {
                return self.refuse_stages(origin, number, &request, "they have no order");
            }
        };
        let now = self.now();
        let identity = match request.identity {
            0 => hash::texts(&[&request.request]),
            identity => identity,
        };
        let job = Job {
            id: JobId { origin, number },
            identity,
            request: request.request,
            key: request.key,
            priority: request.priority,
            objective: now + request.time_to_objective,
            deadline: now + request.time_to_deadline,
            first_event_latency: request.first_event_latency,
            preferred_domain: request.preferred_domain,
            stages,
            workspace: request.workspace,
            is_resubmitted: request.is_resubmitted,
        };
        self.dispatcher
            .scheduler
            .act(self, |scheduler, now, out| scheduler.submit(now, job, out));
    }

    pub(super) fn release_job(self: &Rc<Self>, origin: LinkId, number: u64) {
        let id = JobId { origin, number };
        self.dispatcher
            .scheduler
            .act(self, |scheduler, _, _| scheduler.release(id));
    }

    /// Handles the word of the scheduler at the other end of the link `origin` that a job is complete.
    pub(super) fn complete_job(
        &self,
        origin: LinkId,
        number: u64,
        handles: Vec<Handle>,
        domain: Option<DomainId>,
    ) {
        self.resolve_job(origin, number, Ok((handles, domain)));
    }

    /// Handles the word of the scheduler at the other end of the link `origin` that it refuses a job.
    pub(super) fn refuse_job(
        &self,
        origin: LinkId,
        number: u64,
        reason: u8,
        retry_after: Duration,
    ) {
        let reason = match reason {
            REFUSAL_BACKLOG => Reason::Backlog,
            REFUSAL_LATE => Reason::Late,
            REFUSAL_NO_TARGET => Reason::NoTarget,
            _ => Reason::StagesFailed,
        };
        self.resolve_job(
            origin,
            number,
            Err(JobRefusal {
                reason,
                retry_after,
            }),
        );
    }

    /// Ends the wait for a job if it was submitted over this link.
    fn resolve_job(&self, origin: LinkId, number: u64, outcome: JobOutcome) {
        let mut submitted = self.dispatcher.submitted.borrow_mut();
        let entry = submitted.get_mut(&number);
        let entry = entry.filter(|entry| entry.is_submitted_over(origin));
        let sender = entry.and_then(|entry| entry.outcome_sender.take());
        if let Some(sender) = sender {
            // The receiver is gone if the request was cancelled in the meantime.
            drop(sender.send(outcome));
        }
    }

    /// Releases the jobs that came over a link that ended, and submits the jobs that were sent over
    /// it to the next leader.
    pub(super) fn handle_link_lost(self: &Rc<Self>, origin: LinkId) {
        self.dispatcher.scheduler.act(self, |scheduler, _, _| {
            scheduler.release_origin(origin);
        });
        let lost_jobs: Vec<u64> = {
            let submitted = self.dispatcher.submitted.borrow();
            let lost_jobs = submitted.iter().filter(|(_, entry)| {
                entry.outcome_sender.is_some() && entry.is_submitted_over(origin)
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

    /// Executes a command of the scheduler.
    pub(super) fn execute(self: &Rc<Self>, command: Command) {
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
                        .scheduler
                        .act(&relay, |scheduler, now, out| {
                            scheduler.reply(now, call, reply, out);
                        });
                });
            }
            Command::Ready {
                job,
                handles,
                domain,
            } => match job.origin {
                LOCAL_LINK => self.complete_job(LOCAL_LINK, job.number, handles, domain),
                origin => self.links.send_on_link(
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
                    LOCAL_LINK => self.refuse_job(LOCAL_LINK, job.number, reason, retry_after),
                    origin => self.links.send_on_link(
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
                    if relay.free_results(&target, &address, &handles).await {
                        relay.dispatcher.scheduler.act(&relay, |scheduler, _, _| {
                            scheduler.record_freed(&target, &handles);
                        });
                    }
                });
            }
        }
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
                self.relay
                    .links
                    .send_to_host(&host, Frame::Release { number });
            }
            None => {}
        }
    }
}

// Codes of refusals in frames.
const REFUSAL_BACKLOG: u8 = 0;
const REFUSAL_LATE: u8 = 1;
const REFUSAL_FAILED: u8 = 2;
const REFUSAL_NO_TARGET: u8 = 3;

/// Returns the code of a refusal in [`Frame::Refused`].
fn refusal_code(refusal: Refusal) -> u8 {
    match refusal {
        Refusal::Backlog => REFUSAL_BACKLOG,
        Refusal::Late => REFUSAL_LATE,
        Refusal::Failed => REFUSAL_FAILED,
        Refusal::NoTarget => REFUSAL_NO_TARGET,
    }
}
