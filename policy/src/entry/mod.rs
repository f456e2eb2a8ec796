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
mod memory;
mod outage;
mod request;
mod settings;
pub mod state;
mod timer;

pub use self::settings::Settings;

use self::{
    memory::Memory,
    outage::Deaths,
    request::Request,
    state::{DAEMON, Daemon, DaemonStep},
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

/// Share of first attempts that may be repeated after a failure.
const RETRY_SHARE: f64 = 0.2;

/// Share of first attempts that may be doubled when they are slow.
const HEDGE_SHARE: f64 = 0.05;

/// Extra attempts that a budget may save up.
const BUDGET_BURST: u32 = 50;

/// Payloads whose deaths of targets are remembered.
const POISON_RECORDS: usize = 4096;

/// The decisions of one entry daemon.
#[derive(Debug)]
pub struct Entry {
    settings: Settings,
    rng: ChaCha8Rng,
    state: Daemon,
    table: Option<Arc<Table>>,
    backlogs: BTreeMap<PoolId, Backlog>,
    router: Router,
    requests: HashMap<Key, Request>,
    attempts: HashMap<AttemptId, Key>,
    memory: Memory,
    timers: Timers,
    ceiling: Ceilings,
    ticking: bool,
    poison: PoisonTracker,
    barred: HashSet<BlockHash>,
    deaths: Deaths,
    retries: Budget,
    hedges: Budget,
    sequence: u64,
    dirty: BTreeSet<PoolId>,
}

/// One pool with the stages that wait for it.
#[derive(Debug)]
struct Backlog {
    pool: Pool,
    queue: Queue,
}

/// Time and commands of one event.
struct Turn<'a> {
    now: Time,
    out: &'a mut Vec<Command>,
}

impl Turn<'_> {
    /// Asks the platform about the claim row of the request's current stage.
    fn ask(&mut self, request: &Request, operation: Operation) {
        let (key, stage) = (request.key.clone(), request.stage());
        self.out.push(Command::Claim {
            key,
            stage,
            operation,
        });
    }
}

/// What becomes of a request that a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
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
        let backlogs = settings
            .pools
            .iter()
            .map(|pool| {
                let queue = Queue::new(settings.queue);
                (
                    pool.name.clone(),
                    Backlog {
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
            backlogs,
            router: Router::new(settings.domain.clone(), &settings.pools)
                .with_subset(settings.host.clone(), SUBSET_SIZE),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            memory: Memory::new(settings.remember),
            timers: Timers::default(),
            ceiling: Ceilings::new(settings.host.clone()),
            ticking: false,
            poison: PoisonTracker::new(POISON_RECORDS),
            barred: HashSet::new(),
            deaths: Deaths::default(),
            retries: Budget::new(RETRY_SHARE, BUDGET_BURST),
            hedges: Budget::new(HEDGE_SHARE, BUDGET_BURST),
            sequence: 0,
            dirty: BTreeSet::new(),
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
        let mut turn = Turn { now, out: commands };
        self.dispatch(&mut turn, event);
        while let Some(pool) = self.dirty.pop_first() {
            self.pump(&mut turn, &pool);
        }
        if self.state == Daemon::Leaving && self.requests.is_empty() {
            self.step(DaemonStep::Idle);
        }
    }

    /// Returns when the entry wants [`Event::Wake`], if it does.
    pub fn wake_at(&self) -> Option<Time> {
        self.timers.first()
    }

    /// Returns what becomes of a request that a caller sends.
    pub fn admission(&self, key: &Key, payload: &str) -> Admission {
        let known = self
            .requests
            .get(key)
            .map(|request| request.fingerprint)
            .or_else(|| self.memory.fingerprint(key));
        match known {
            None => Admission::New,
            Some(known) if known == poison::fingerprint(&key.workspace, &key.pipeline, payload) => {
                Admission::Known
            }
            Some(_) => Admission::Reused,
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
        self.backlogs
            .iter()
            .map(|(name, backlog)| (name, backlog.queue.len()))
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
        matches!(self.state, Daemon::Leaving | Daemon::Ended)
    }

    /// Returns whether the entry has left: it takes no new request and nothing is in flight.
    pub fn is_ended(&self) -> bool {
        DAEMON.is_final(self.state)
    }

    fn dispatch(&mut self, turn: &mut Turn<'_>, event: Event) {
        match event {
            Event::Submit {
                key,
                deadline,
                retry,
                payload,
            } => {
                self.submit(turn, key, deadline, retry, payload);
            }
            Event::Claim { key, stage, reply } => self.claim_replied(turn, &key, stage, reply),
            Event::Checkpoint { key, stage, result } => self.restored(turn, &key, stage, result),
            Event::Progress {
                attempt,
                text,
                tokens,
            } => {
                self.progressed(turn, attempt, &text, tokens);
            }
            Event::Done { attempt, result } => self.attempt_done(turn, attempt, result),
            Event::Failed { attempt, fault } => self.attempt_failed(turn, attempt, fault),
            Event::LookupResult { key, stage, result } => self.looked(turn, &key, stage, result),
            Event::Hosts { hosts } => {
                self.router.set_hosts(turn.now, &hosts);
                self.mark_waiting();
            }
            Event::Table { table } => self.set_table(turn.now, table),
            Event::Load { target, report } => {
                self.router.report(turn.now, &target, &report);
                self.mark_waiting();
            }
            Event::Cache { target, change } => self.router.cache(turn.now, &target, &change),
            Event::Peer { from, frame } => self.hear(turn, &from, frame),
            Event::Members { members, stable } => self.set_members(turn.now, &members, stable),
            Event::Wake => self.wake(turn),
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
        if !self.ticking {
            self.arm_ceilings(now);
        }
        self.table = Some(table);
        self.step(DaemonStep::Table);
        self.mark_waiting();
    }

    fn hear(&mut self, turn: &mut Turn<'_>, from: &HostId, frame: Frame) {
        match frame {
            Frame::Suspect {
                fingerprint,
                targets,
            } => {
                self.suspect(turn, from, fingerprint, &targets);
            }
            Frame::Cleared { fingerprint } => self.poison.clear_suspect(fingerprint),
            Frame::Demand { .. } => self.ceiling.apply_demand(turn.now, from, &frame),
        }
    }

    fn wake(&mut self, turn: &mut Turn<'_>) {
        while let Some(due) = self.timers.pop(turn.now) {
            match due {
                Due::Deadline(key) => self.expire(turn, &key),
                Due::Pause { key, epoch } => self.resume(turn, &key, epoch),
                Due::Ceilings => self.tick_ceilings(turn),
                Due::Hedge(attempt) => self.hedge(turn, attempt),
            }
        }
        self.memory.expire(turn.now);
        self.poison.expire(turn.now);
        self.barred
            .retain(|mark| self.poison.status(*mark) != Status::Clear);
        self.mark_waiting();
    }

    fn step(&mut self, step: DaemonStep) {
        self.state = DAEMON.next(self.state, step).unwrap_or(self.state);
    }

    /// Has the queues looked at again in which a stage waits.
    fn mark_waiting(&mut self) {
        let waiting = self
            .backlogs
            .iter()
            .filter(|(_, backlog)| !backlog.queue.is_empty());
        self.dirty.extend(waiting.map(|(name, _)| name.clone()));
    }

    /// Runs `work` on a request that is taken out of the map for the time, and drops it at its end.
    fn with<R>(&mut self, key: &Key, work: impl FnOnce(&mut Self, &mut Request) -> R) -> Option<R> {
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
        self.backlogs
            .get(request.pool())
            .map(|backlog| &backlog.pool)
    }

    fn decide(
        &self,
        turn: &mut Turn<'_>,
        request: &Request,
        choice: Choice,
        target: Option<TargetId>,
        candidates: Vec<Candidate>,
    ) {
        turn.out.push(Command::LogDecision(Decision {
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
    fn pause(&mut self, turn: &Turn<'_>, request: &mut Request) {
        let pause = self.jitter(request.next_pause());
        let due = Due::Pause {
            key: request.key.clone(),
            epoch: request.epoch,
        };
        self.timers.set(turn.now + pause, due);
    }

    /// Returns `time` with up to a quarter of it added, so that daemons do not act in step.
    fn jitter(&mut self, time: std::time::Duration) -> std::time::Duration {
        use rand::RngExt;
        time + time.mul_f64(self.rng.random_range(0.0..0.25))
    }
}
