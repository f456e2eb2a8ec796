//! State machine of one entry daemon.
//!
//! [`Entry`] consumes events and produces commands. Each request follows the state chart
//! `charts/request.toml`: its stages are queued per pool, routed to a target and completed in
//! order. Every request ends with exactly one final outcome.

mod admission;
mod choice;
mod claims;
mod faults;
mod feasible;
mod finish;
mod flow;
mod hedge;
mod isolation;
mod outage;
mod outcome_cache;
mod request;
mod settings;
pub mod state;
mod timer;

pub use self::settings::Settings;

use self::{
    outage::RecentDeaths,
    outcome_cache::OutcomeCache,
    request::Request,
    state::{DAEMON, DaemonState, DaemonStep},
    timer::{Due, Timers},
};
use crate::{
    budget::Budget,
    ceiling::Ceilings,
    claim::Operation,
    command::{Command, Frame},
    decision::{Candidate, Choice, Decision},
    event::Event,
    id::{AttemptId, BlockHash, HostId, Key, PoolId, TargetId, Time},
    poison::{self, PoisonTracker, Status},
    pool::Pool,
    queue::Queue,
    router::{Router, Rule, SUBSET_SIZE},
    table::Table,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
};

/// Retries that are permitted per first attempt.
const RETRY_BUDGET_RATIO: f64 = 0.2;

/// Hedged attempts that are permitted per first attempt.
const HEDGE_BUDGET_RATIO: f64 = 0.05;

/// Unused extra attempts that a budget accumulates at most.
const MAX_SAVED_ATTEMPTS: u32 = 50;

/// Capacity of the set of payloads that are suspected of crashing targets.
const MAX_SUSPECT_PAYLOADS: usize = 4096;

/// Requests, queues and routing state of one entry daemon.
///
/// Performs no input or output: [`on`](Self::on) handles an event and appends the commands that
/// the daemon has to execute.
#[derive(Debug)]
pub struct Entry {
    settings: Settings,
    rng: ChaCha8Rng,
    state: DaemonState,
    table: Option<Arc<Table>>,
    pool_queues: BTreeMap<PoolId, PoolQueue>,
    router: Router,
    requests: HashMap<Key, Request>,
    attempts: HashMap<AttemptId, Key>,
    outcome_cache: OutcomeCache,
    timers: Timers,
    ceiling: Ceilings,
    tick_scheduled: bool,
    poison: PoisonTracker,
    blocked: HashSet<BlockHash>,
    recent_deaths: RecentDeaths,
    retries: Budget,
    hedges: Budget,
    sequence: u64,
    changed_pools: BTreeSet<PoolId>,
}

/// Configuration of a pool and the stages that are queued for it.
#[derive(Debug)]
struct PoolQueue {
    pool: Pool,
    queue: Queue,
}

/// Time at which an event is handled, and the commands that it produces.
struct Context<'a> {
    now: Time,
    commands: &'a mut Vec<Command>,
}

impl Context<'_> {
    /// Sends an operation on the claim row of the request's current stage to the platform.
    fn send_claim_operation(&mut self, request: &Request, operation: Operation) {
        let (key, stage) = (request.key.clone(), request.stage());
        self.commands.push(Command::Claim {
            key,
            stage,
            operation,
        });
    }
}

/// Whether a request key is already known to an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyStatus {
    /// The entry has no request under this key.
    New,
    /// The key belongs to the same request, so the caller shares its outcome.
    Known,
    /// The key was used with a different payload.
    Reused,
}

impl Entry {
    /// Creates an entry without a table or any targets.
    ///
    /// It is not [ready](Self::is_ready) until it receives [`Event::Table`].
    pub fn new(settings: Settings) -> Self {
        let pool_queues = settings
            .pools
            .iter()
            .map(|pool| {
                let queue = Queue::new(settings.queue);
                (
                    pool.name.clone(),
                    PoolQueue {
                        pool: pool.clone(),
                        queue,
                    },
                )
            })
            .collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            state: DAEMON.start(),
            table: None,
            pool_queues,
            router: Router::new(settings.domain.clone(), &settings.pools)
                .with_subset(settings.host.clone(), SUBSET_SIZE),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            outcome_cache: OutcomeCache::new(settings.remember),
            timers: Timers::default(),
            ceiling: Ceilings::new(settings.host.clone()),
            tick_scheduled: false,
            poison: PoisonTracker::new(MAX_SUSPECT_PAYLOADS),
            blocked: HashSet::new(),
            recent_deaths: RecentDeaths::default(),
            retries: Budget::new(RETRY_BUDGET_RATIO, MAX_SAVED_ATTEMPTS),
            hedges: Budget::new(HEDGE_BUDGET_RATIO, MAX_SAVED_ATTEMPTS),
            sequence: 0,
            changed_pools: BTreeSet::new(),
            settings,
        }
    }

    /// Sets the rule by which targets are compared.
    #[must_use]
    pub fn with_rule(mut self, rule: Rule) -> Self {
        self.router = self.router.with_rule(rule);
        self
    }

    /// Limits routing to a stable subset of `size` targets per pool.
    ///
    /// The default is [`SUBSET_SIZE`].
    #[must_use]
    pub fn with_subset(mut self, size: usize) -> Self {
        self.router = self.router.with_subset(self.settings.host.clone(), size);
        self
    }

    /// Handles one event and appends the resulting commands to `commands`.
    pub fn on(&mut self, now: Time, event: Event, commands: &mut Vec<Command>) {
        let mut cx = Context { now, commands };
        self.handle_event(&mut cx, event);
        while let Some(pool) = self.changed_pools.pop_first() {
            self.place_waiting(&mut cx, &pool);
        }
        if self.state == DaemonState::Leaving && self.requests.is_empty() {
            self.step(DaemonStep::Idle);
        }
    }

    /// Returns the time at which the entry next needs [`Event::Wake`], if a timer is set.
    ///
    /// The time may change with each event.
    pub fn wake_at(&self) -> Option<Time> {
        self.timers.first()
    }

    /// Returns whether `key` is in flight or remembered, and whether its payload was the same.
    pub fn key_status(&self, key: &Key, payload: &str) -> KeyStatus {
        let known = self
            .requests
            .get(key)
            .map(|request| request.fingerprint)
            .or_else(|| self.outcome_cache.fingerprint(key));
        match known {
            None => KeyStatus::New,
            Some(known) if known == poison::fingerprint(&key.workspace, &key.pipeline, payload) => {
                KeyStatus::Known
            }
            Some(_) => KeyStatus::Reused,
        }
    }

    /// Returns the table in force, or `None` before the first one was received.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns the number of requests that have not ended, detached ones included.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of queued stages of each pool.
    pub fn queued(&self) -> impl Iterator<Item = (&PoolId, usize)> {
        self.pool_queues
            .iter()
            .map(|(name, pool_queue)| (name, pool_queue.queue.len()))
    }

    /// Returns the router with its state of all targets.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns whether the entry has received a table, without which it accepts no request.
    pub fn is_ready(&self) -> bool {
        self.table.is_some()
    }

    /// Returns whether the entry is draining or has ended, and rejects new requests.
    pub fn is_leaving(&self) -> bool {
        matches!(self.state, DaemonState::Leaving | DaemonState::Ended)
    }

    /// Returns whether the entry has drained: it rejects new requests and none is in flight.
    pub fn is_ended(&self) -> bool {
        DAEMON.is_final(self.state)
    }

    fn handle_event(&mut self, cx: &mut Context<'_>, event: Event) {
        match event {
            Event::Submit {
                key,
                deadline,
                retry,
                payload,
            } => {
                self.submit(cx, key, deadline, retry, payload);
            }
            Event::Claim { key, stage, reply } => self.claim_replied(cx, &key, stage, reply),
            Event::Checkpoint { key, stage, result } => {
                self.checkpoint_replied(cx, &key, stage, result);
            }
            Event::Progress {
                attempt,
                text,
                tokens,
            } => {
                self.attempt_progressed(cx, attempt, &text, tokens);
            }
            Event::Done { attempt, result } => self.attempt_done(cx, attempt, result),
            Event::Failed { attempt, fault } => self.attempt_failed(cx, attempt, fault),
            Event::LookupResult { key, stage, result } => {
                self.lookup_replied(cx, &key, stage, result);
            }
            Event::Hosts { hosts } => {
                self.router.set_hosts(cx.now, &hosts);
                self.mark_nonempty_queues();
            }
            Event::Table { table } => self.set_table(cx.now, table),
            Event::Load { target, report } => {
                self.router.record_report(cx.now, &target, &report);
                self.mark_nonempty_queues();
            }
            Event::Cache { target, change } => {
                self.router.record_cache_change(cx.now, &target, &change);
            }
            Event::Peer { from, frame } => self.receive_frame(cx, &from, frame),
            Event::Members { members, stable } => self.set_members(cx.now, &members, stable),
            Event::Wake => self.wake(cx),
            Event::Drain => self.step(DaemonStep::Drain),
        }
    }

    /// Applies a table unless the one in force has the same or a higher revision.
    fn set_table(&mut self, now: Time, table: Arc<Table>) {
        if self
            .table
            .as_ref()
            .is_some_and(|held| held.revision >= table.revision)
        {
            return;
        }
        self.router.set_table(now, &table);
        self.ceiling.set_table(now, &table);
        if !self.tick_scheduled {
            self.schedule_ceiling_tick(now);
        }
        self.table = Some(table);
        self.step(DaemonStep::Table);
        self.mark_nonempty_queues();
    }

    fn receive_frame(&mut self, cx: &mut Context<'_>, from: &HostId, frame: Frame) {
        match frame {
            Frame::Suspect {
                fingerprint,
                targets,
            } => {
                self.merge_suspect(cx, from, fingerprint, &targets);
            }
            Frame::Cleared { fingerprint } => self.poison.clear_suspect(fingerprint),
            Frame::Demand { .. } => self.ceiling.apply_demand(cx.now, from, &frame),
        }
    }

    fn wake(&mut self, cx: &mut Context<'_>) {
        while let Some(due) = self.timers.pop(cx.now) {
            match due {
                Due::Deadline(key) => self.deadline_passed(cx, &key),
                Due::Delay { key, epoch } => self.delay_elapsed(cx, &key, epoch),
                Due::CeilingTick => self.tick_ceilings(cx),
                Due::Hedge(attempt) => self.hedge(cx, attempt),
            }
        }
        self.outcome_cache.expire(cx.now);
        self.poison.expire(cx.now);
        self.blocked
            .retain(|fingerprint| self.poison.status(*fingerprint) != Status::Clear);
        self.mark_nonempty_queues();
    }

    fn step(&mut self, step: DaemonStep) {
        self.state = DAEMON.next(self.state, step).unwrap_or(self.state);
    }

    /// Schedules another placement pass over each queue that is not empty.
    fn mark_nonempty_queues(&mut self) {
        let waiting = self
            .pool_queues
            .iter()
            .filter(|(_, pool_queue)| !pool_queue.queue.is_empty());
        self.changed_pools
            .extend(waiting.map(|(name, _)| name.clone()));
    }

    /// Runs `work` on a request and drops the request if it has ended.
    ///
    /// The request is removed from the map while `work` runs, so that `work` can borrow the entry.
    fn with_request<R>(
        &mut self,
        key: &Key,
        work: impl FnOnce(&mut Self, &mut Request) -> R,
    ) -> Option<R> {
        let mut request = self.requests.remove(key)?;
        let result = work(self, &mut request);
        self.put_back(request);
        Some(result)
    }

    fn put_back(&mut self, request: Request) {
        if request.is_ended() {
            for attempt in &request.attempts {
                self.attempts.remove(&attempt.id);
            }
        } else {
            self.requests.insert(request.key.clone(), request);
        }
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.sequence += 1;
        AttemptId {
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
        }
    }

    /// Returns the configuration of the pool of the request's current stage.
    ///
    /// `None` is not expected: a table whose pipeline names an unknown pool is rejected before it
    /// reaches the entry, and a request keeps the list of stages with which it was created.
    fn pool(&self, request: &Request) -> Option<&Pool> {
        self.pool_queues
            .get(request.pool())
            .map(|pool_queue| &pool_queue.pool)
    }

    fn record_decision(
        &self,
        cx: &mut Context<'_>,
        request: &Request,
        choice: Choice,
        target: Option<TargetId>,
        candidates: Vec<Candidate>,
    ) {
        cx.commands.push(Command::LogDecision(Decision {
            key: request.key.clone(),
            stage: request.stage(),
            pool: request.pool().clone(),
            choice,
            target,
            candidates,
            revision: self.table.as_ref().map_or(0, |table| table.revision),
        }));
    }

    /// Schedules a retry after the request's next backoff, unless its state changes before.
    fn schedule_retry(&mut self, cx: &Context<'_>, request: &mut Request) {
        let backoff = self.jitter(request.next_backoff());
        let due = Due::Delay {
            key: request.key.clone(),
            epoch: request.epoch,
        };
        self.timers.set(cx.now + backoff, due);
    }

    /// Adds up to 25 % random jitter to `time`, so that daemons do not act at the same moment.
    fn jitter(&mut self, time: std::time::Duration) -> std::time::Duration {
        use rand::RngExt;
        time + time.mul_f64(self.rng.random_range(0.0..0.25))
    }
}
