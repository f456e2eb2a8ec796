//! The decisions of one entry daemon.
//!
//! [`Entry`] takes in events and gives commands. Each request follows the chart
//! `charts/request.toml`: its stages wait in the queue of their pool, are routed to a target and
//! end with a result, or the request is given up with exactly one final outcome.

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
    ceiling::Ceiling,
    claim::Ask,
    command::{Command, Frame},
    decision::{Candidate, Choice, Decision},
    event::Event,
    id::{AttemptId, BlockHash, HostId, Key, PoolId, TargetId, Time},
    poison::{self, Poison, Status},
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

/// Share of first attempts that may be repeated after a failure.
const RETRY_BUDGET_RATIO: f64 = 0.2;

/// Share of first attempts that may be doubled when they are slow.
const HEDGE_BUDGET_RATIO: f64 = 0.05;

/// Extra attempts that a budget may save up.
const MAX_SAVED_ATTEMPTS: u32 = 50;

/// Payloads whose deaths of targets are remembered.
const MAX_SUSPECT_PAYLOADS: usize = 4096;

/// The decisions of one entry daemon.
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
    ceiling: Ceiling,
    tick_scheduled: bool,
    poison: Poison,
    blocked: HashSet<BlockHash>,
    recent_deaths: RecentDeaths,
    retries: Budget,
    hedges: Budget,
    sequence: u64,
    changed_pools: BTreeSet<PoolId>,
}

/// One pool with the stages that wait for it.
#[derive(Debug)]
struct PoolQueue {
    pool: Pool,
    queue: Queue,
}

/// Time and commands of one event.
struct Context<'a> {
    now: Time,
    commands: &'a mut Vec<Command>,
}

impl Context<'_> {
    /// Asks the platform about the claim row of the request's current stage.
    fn send_claim_ask(&mut self, request: &Request, ask: Ask) {
        let (key, stage) = (request.key.clone(), request.stage());
        self.commands.push(Command::Claim { key, stage, ask });
    }
}

/// What becomes of a request that a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyStatus {
    /// The request is not known here.
    New,
    /// The request is known here, and the caller waits for its outcome too.
    Known,
    /// The identifier was used with another payload.
    Reused,
}

impl Entry {
    /// Creates an entry that holds no table and knows no target.
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
            ceiling: Ceiling::new(settings.host.clone()),
            tick_scheduled: false,
            poison: Poison::new(MAX_SUSPECT_PAYLOADS),
            blocked: HashSet::new(),
            recent_deaths: RecentDeaths::default(),
            retries: Budget::new(RETRY_BUDGET_RATIO, MAX_SAVED_ATTEMPTS),
            hedges: Budget::new(HEDGE_BUDGET_RATIO, MAX_SAVED_ATTEMPTS),
            sequence: 0,
            changed_pools: BTreeSet::new(),
            settings,
        }
    }

    /// Compares targets by `rule`.
    #[must_use]
    pub fn with_rule(mut self, rule: Rule) -> Self {
        self.router = self.router.with_rule(rule);
        self
    }

    /// Works with a stable subset of `size` targets of each pool.
    #[must_use]
    pub fn with_subset(mut self, size: usize) -> Self {
        self.router = self.router.with_subset(self.settings.host.clone(), size);
        self
    }

    /// Takes in one event and appends what is to be done.
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

    /// Returns when the entry wants [`Event::Wake`], if it does.
    pub fn wake_at(&self) -> Option<Time> {
        self.timers.first()
    }

    /// Returns what becomes of a request that a caller sends.
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

    /// Returns the table in force, if the entry holds one.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns how many requests have work in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the stages that wait, by pool.
    pub fn queued(&self) -> impl Iterator<Item = (&PoolId, usize)> {
        self.pool_queues
            .iter()
            .map(|(name, pool_queue)| (name, pool_queue.queue.len()))
    }

    /// Returns the knowledge of the targets.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns whether the entry holds a table.
    pub fn is_ready(&self) -> bool {
        self.table.is_some()
    }

    /// Returns whether the entry takes no new request.
    pub fn is_leaving(&self) -> bool {
        matches!(self.state, DaemonState::Leaving | DaemonState::Ended)
    }

    /// Returns whether the entry has left: it takes no new request and nothing is in flight.
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
                self.checkpoint_replied(cx, &key, stage, result)
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
            Event::Looked { key, stage, result } => self.lookup_replied(cx, &key, stage, result),
            Event::Hosts { hosts } => {
                self.router.set_hosts(cx.now, &hosts);
                self.mark_nonempty_queues();
            }
            Event::Table { table } => self.set_table(cx.now, table),
            Event::Load { target, report } => {
                self.router.report(cx.now, &target, &report);
                self.mark_nonempty_queues();
            }
            Event::Cache { target, change } => self.router.cache(cx.now, &target, &change),
            Event::Peer { from, frame } => self.receive_frame(cx, &from, frame),
            Event::Members { members, steady } => self.set_members(cx.now, &members, steady),
            Event::Wake => self.wake(cx),
            Event::Drain => self.step(DaemonStep::Drain),
        }
    }

    /// Takes in a table, unless a newer one is in force.
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
            Frame::Cleared { fingerprint } => self.poison.survived(fingerprint),
            Frame::Demand { .. } => self.ceiling.learn(cx.now, from, &frame),
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

    /// Has the queues looked at again in which a stage waits.
    fn mark_nonempty_queues(&mut self) {
        let waiting = self
            .pool_queues
            .iter()
            .filter(|(_, pool_queue)| !pool_queue.queue.is_empty());
        self.changed_pools
            .extend(waiting.map(|(name, _)| name.clone()));
    }

    /// Runs `work` on a request that is taken out of the map for the time, and drops it at its end.
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

    /// Returns the settings of the pool of the request's current stage.
    ///
    /// A table whose pipeline names an unknown pool is refused before it gets here, and a request
    /// keeps the stages that it began with.
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
        cx.commands.push(Command::Decide(Decision {
            key: request.key.clone(),
            stage: request.stage(),
            pool: request.pool().clone(),
            choice,
            target,
            candidates,
            revision: self.table.as_ref().map_or(0, |table| table.revision),
        }));
    }

    /// Sets the timer that ends the pause of a request in its present state.
    fn schedule_retry(&mut self, cx: &Context<'_>, request: &mut Request) {
        let backoff = self.jitter(request.next_backoff());
        let due = Due::Delay {
            key: request.key.clone(),
            epoch: request.epoch,
        };
        self.timers.set(cx.now + backoff, due);
    }

    /// Returns `time` with up to a quarter of it added, so that daemons do not act in step.
    fn jitter(&mut self, time: std::time::Duration) -> std::time::Duration {
        use rand::RngExt;
        time + time.mul_f64(self.rng.random_range(0.0..0.25))
    }
}
