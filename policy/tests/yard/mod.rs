//! Stage targets and callers of a site in virtual time.

mod pattern;

pub use self::pattern::Pattern;

use policy::{
    id::{PoolId, TargetId, Time},
    relay::{
        plan::{BatchLimits, Limits, Plan, Pool},
        roster::{Change, Target},
        scheduler::{
            CallId, Command, Handle, Item, ItemError, Job, JobId, Refusal, Reply, Scheduler,
            Source, StageSpec,
        },
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

/// Kind of request with large results of one stage.
pub const BRIEF: usize = 0;
/// Kind with a chain of three stages.
pub const NOTE: usize = 1;
/// Kind with both, and the lowest rank.
pub const CHAT: usize = 2;

/// Requests a second of each kind.
const RATES: [f64; 3] = [9.44, 11.5, 8.15];
/// Objective and time until the caller leaves, of each kind, in seconds.
const TIMES: [(f64, f64); 3] = [(1.1, 4.4), (1.8, 6.0), (1.7, 6.8)];
/// Rank of each kind.
const RANKS: [u8; 3] = [1, 0, 2];
/// Time from the last result to the first event.
const TAIL: Duration = Duration::from_millis(120);
/// Time of a message between a target and the board.
const TRIP: Duration = Duration::from_millis(3);
/// Period in which the board is polled.
const TICK: Duration = Duration::from_millis(25);
/// Time until the loss of a board is known.
const MISSED: Duration = Duration::from_millis(1_300);
/// Limits on callers, which the board does not use.
const LIMITS: Limits = Limits {
    header_bytes: 16_384,
    body_bytes: 1 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Share of pieces that fail.
const FAILED_SHARE: f64 = 0.002;

/// Counts of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
}

/// A refused job.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    pub reason: Refusal,
    /// Time that its caller had left.
    pub left: Duration,
}

/// What came of a day.
#[derive(Clone, Debug, Default)]
pub struct Day {
    pub tally: [Tally; 3],
    pub refusals: Vec<Refused>,
    /// Pieces whose inputs had lapsed.
    pub gone: u32,
    /// Pieces that found no room.
    pub without_room: u32,
    /// Pieces that were asked for with too few inputs.
    pub without_inputs: u32,
    ends: Vec<(Time, bool)>,
}

/// A site's stage targets, and the board that gathers for them.
#[derive(Debug)]
pub struct Yard {
    random: ChaCha8Rng,
    board: Scheduler,
    targets: BTreeMap<TargetId, Machine>,
    results: HashMap<Handle, (TargetId, u64, Time)>,
    events: BTreeMap<(Time, u64), Event>,
    jobs: HashMap<JobId, (usize, Time, Job)>,
    /// Jobs that are neither ready nor refused.
    open: BTreeSet<JobId>,
    plan: Plan,
    /// Number of boards that were lost.
    losses: u32,
    /// Whether no board has taken over yet.
    is_lost: bool,
    next: u64,
    day: Day,
}

#[derive(Clone, Debug)]
struct Machine {
    target: Target,
    press: BatchLimits,
    speed: f64,
    is_dead: bool,
    /// Calls that were sent before its death are lost.
    life: u32,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Start(u32, CallId, TargetId, Vec<Item>),
    End(u32, CallId, TargetId, u32, Vec<Result<Handle, ItemError>>),
    Freed(TargetId, Vec<Handle>),
    Read(JobId),
    Kill(TargetId),
    Revive(TargetId),
    Slow(TargetId, f64),
    Lose,
    TakeOver,
    Tick,
}

impl Day {
    /// Returns the share of a kind's requests that are on time.
    pub fn on_time(&self, kind: usize) -> f64 {
        let tally = self.tally[kind];
        f64::from(tally.on_time) / f64::from(tally.asked.max(1))
    }

    /// Returns the share of a kind's requests that are served at all.
    pub fn served(&self, kind: usize) -> f64 {
        let tally = self.tally[kind];
        f64::from(tally.on_time + tally.late) / f64::from(tally.asked.max(1))
    }

    /// Returns how many requests are refused.
    pub fn refused(&self) -> u32 {
        self.tally.iter().map(|tally| tally.refused).sum()
    }

    /// Returns the share of late requests among those that end after `time`.
    pub fn late_after(&self, time: Time) -> f64 {
        let ends = self.ends.iter().filter(|(at, _)| *at > time);
        let (all, late) = ends.fold((0.0, 0.0), |(all, late), (_, is_late)| {
            (all + 1.0, late + f64::from(u8::from(*is_late)))
        });
        late / f64::max(all, 1.0)
    }
}

impl Yard {
    /// Creates a site with three pools: 3 targets of 8 pieces, 5 of 18, 5 of 28.
    pub fn new(seed: u64) -> Self {
        let mut yard = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            board: Scheduler::new(),
            targets: BTreeMap::new(),
            results: HashMap::new(),
            events: BTreeMap::new(),
            jobs: HashMap::new(),
            open: BTreeSet::new(),
            plan: Plan::new(1, LIMITS, Vec::new(), Vec::new(), Vec::new()),
            losses: 0,
            is_lost: false,
            next: 0,
            day: Day::default(),
        };
        let pools = [
            (3, 8, 21.0, 18e6),
            (5, 18, 9.5, 2.3e6),
            (5, 28, 6.1, 0.38e6),
        ];
        let mut plan = Vec::new();
        for (index, (count, batch, item, room)) in pools.into_iter().enumerate() {
            let press = BatchLimits {
                batch,
                call: Duration::from_millis(200),
                item: Duration::from_secs_f64(item / 1e3),
                room: room as u64,
                keep: Duration::from_secs(4),
            };
            let name = pool(index);
            plan.push(Pool {
                name: name.clone(),
                max_connections: 360,
                batch_limits: Some(press),
            });
            for number in 0..count {
                let target = Target {
                    id: format!("t-{index}-{number}").into(),
                    pool: name.clone(),
                    address: format!("10.0.{index}.{number}:80").into(),
                    domain: format!("domain-{}", number % 3).into(),
                    slots: 1,
                    is_ready: true,
                    born: 1,
                };
                let pace = yard.random.random_range(0.9..1.15);
                let machine = Machine {
                    target: target.clone(),
                    press,
                    speed: pace,
                    is_dead: false,
                    life: 0,
                };
                yard.targets.insert(target.id.clone(), machine);
                yard.board.apply_target_change(&Change::Added(target));
            }
        }
        yard.plan = Plan::new(1, LIMITS, Vec::new(), plan, Vec::new());
        yard.board.set_plan(&yard.plan);
        yard
    }

    /// Takes all targets of a pool away.
    pub fn remove_targets(&mut self, index: usize) {
        let gone = self
            .targets
            .values()
            .filter(|machine| machine.target.pool == pool(index));
        let gone: Vec<Target> = gone.map(|machine| machine.target.clone()).collect();
        for target in gone {
            self.board.apply_target_change(&Change::Gone(target));
        }
    }

    /// Runs a day and returns what came of it.
    pub fn run(&mut self, pattern: &Pattern, length: Duration) -> Day {
        for kind in [BRIEF, NOTE, CHAT] {
            self.at(Duration::ZERO, Event::Arrive(kind));
        }
        self.at(TICK, Event::Tick);
        if let Some((begin, end)) = pattern.deaths {
            for index in 0..3 {
                let id: TargetId = format!("t-{index}-0").into();
                self.at(Duration::from_secs_f64(begin), Event::Kill(id.clone()));
                self.at(Duration::from_secs_f64(end), Event::Revive(id));
            }
        }
        if let Some((times, begin)) = pattern.slow {
            let id = "t-1-0".into();
            self.at(Duration::from_secs_f64(begin), Event::Slow(id, times));
        }
        if let Some(at) = pattern.lost {
            self.at(Duration::from_secs_f64(at), Event::Lose);
        }
        // Requests that are on their way at the end of the arrivals are played out.
        let end = length + Duration::from_secs(8);
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > end {
                break;
            }
            let mut out = Vec::new();
            self.step(now, event, pattern, length, &mut out);
            self.obey(now, out);
        }
        std::mem::take(&mut self.day)
    }

    fn at(&mut self, time: Time, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    fn step(
        &mut self,
        now: Time,
        event: Event,
        pattern: &Pattern,
        length: Duration,
        out: &mut Vec<Command>,
    ) {
        match event {
            Event::Arrive(kind) => {
                if now < length {
                    let gap = -self.random.random::<f64>().max(1e-9).ln() / pattern.rate(kind, now);
                    self.at(now + Duration::from_secs_f64(gap), Event::Arrive(kind));
                    let job = self.job(now, kind);
                    self.day.tally[kind].asked += 1;
                    self.jobs.insert(job.id, (kind, now, job.clone()));
                    self.open.insert(job.id);
                    if !self.is_lost {
                        self.board.submit(now, job, out);
                    }
                }
            }
            Event::Start(board, call, id, items) => {
                self.start(now, (board, call), &id, &items, out);
            }
            // Nobody hears what came of a call of a lost board.
            Event::End(board, ..) if board != self.losses => {}
            Event::End(_, call, id, life, items) => {
                let machine = &self.targets[&id];
                let reply = if machine.life == life && !machine.is_dead {
                    Reply::Items(items)
                } else {
                    Reply::Lost
                };
                self.board.reply(now, call, reply, out);
            }
            Event::Freed(id, handles) => {
                for handle in &handles {
                    self.results.remove(handle);
                }
                self.board.record_freed(now, &id, &handles, out);
            }
            Event::Read(job) => self.board.release(now, job, out),
            Event::Kill(id) => {
                let machine = self.targets.get_mut(&id).expect("a target");
                machine.is_dead = true;
                machine.life += 1;
                self.results.retain(|_, (of, ..)| *of != id);
                let target = machine.target.clone();
                self.board.apply_target_change(&Change::Gone(target));
            }
            Event::Revive(id) => {
                let machine = self.targets.get_mut(&id).expect("a target");
                machine.is_dead = false;
                let target = machine.target.clone();
                self.board.apply_target_change(&Change::Added(target));
            }
            Event::Slow(id, times) => {
                self.targets.get_mut(&id).expect("a target").speed *= times;
            }
            Event::Lose => {
                self.losses += 1;
                self.is_lost = true;
                self.board = Scheduler::new();
                self.at(now + MISSED, Event::TakeOver);
            }
            Event::TakeOver => self.take_over(now, out),
            Event::Tick => {
                self.at(now + TICK, Event::Tick);
                self.board.poll(now, out);
            }
        }
    }

    /// Has a new board, which knows nothing of calls and results, take all open jobs at once.
    fn take_over(&mut self, now: Time, out: &mut Vec<Command>) {
        self.is_lost = false;
        self.board.set_plan(&self.plan);
        for machine in self.targets.values().filter(|machine| !machine.is_dead) {
            self.board
                .apply_target_change(&Change::Added(machine.target.clone()));
        }
        for id in &self.open {
            self.board.submit(now, self.jobs[id].2.clone(), out);
        }
    }

    fn job(&mut self, now: Time, kind: usize) -> Job {
        let need = |index: usize, after: Vec<usize>, bytes: u64, pieces: u32| StageSpec {
            pool: pool(index),
            after,
            bytes,
            pieces,
        };
        let large = |random: &mut ChaCha8Rng, share: f64, most: u32| {
            if random.random_bool(share) {
                random.random_range(1..=most)
            } else {
                0
            }
        };
        let last = self.random.random_range(6..=14);
        let stages = match kind {
            BRIEF => vec![need(0, vec![], 1_500_000, large(&mut self.random, 0.7, 4))],
            NOTE => vec![
                need(0, vec![], 8_000, 1),
                need(1, vec![0], 60_000, 6),
                need(2, vec![1], 6_000, last),
            ],
            _ => vec![
                need(0, vec![], 1_500_000, large(&mut self.random, 0.4, 2)),
                need(0, vec![], 8_000, 1),
                need(1, vec![1], 60_000, 6),
                need(2, vec![2], 6_000, last),
            ],
        };
        self.next += 1;
        let (aim, due) = TIMES[kind];
        Job {
            id: JobId {
                origin: 0,
                number: self.next,
            },
            request: format!("r-{}", self.next).into(),
            key: "key".into(),
            priority: RANKS[kind],
            objective: now + Duration::from_secs_f64(aim),
            deadline: now + Duration::from_secs_f64(due),
            first_event_latency: TAIL,
            preferred_domain: None,
            stages,
        }
    }

    fn start(
        &mut self,
        now: Time,
        (board, call): (u32, CallId),
        id: &TargetId,
        items: &[Item],
        out: &mut Vec<Command>,
    ) {
        let machine = self.targets[id].clone();
        if machine.is_dead && board == self.losses {
            return self.board.reply(now, call, Reply::Unreached, out);
        }
        assert!(
            items.len() <= machine.press.batch,
            "a call of {} pieces",
            items.len()
        );
        self.results.retain(|_, (_, _, until)| *until > now);
        let held = self.results.values().filter(|(of, ..)| of == id);
        let mut used: u64 = held.map(|(_, bytes, _)| bytes).sum();
        let mut work = machine.press.call;
        let mut outcomes = Vec::new();
        for item in items {
            let (need, inputs) = self.need(item);
            let outcome = self.outcome(item, need.after.is_empty(), inputs);
            let fits = used + need.bytes <= machine.press.room;
            let outcome = match outcome {
                Ok(_) if !fits => {
                    self.day.without_room += 1;
                    Err(ItemError::Room)
                }
                outcome => outcome,
            };
            if outcome.is_ok() {
                used += need.bytes;
                let small = need.pool == pool(0) && need.bytes < 100_000;
                work += machine.press.item.mul_f64(if small { 0.3 } else { 1.0 });
            }
            outcomes.push((outcome, need.bytes));
        }
        let end = now + work.mul_f64(machine.speed);
        let until = end + machine.press.keep;
        let outcomes = outcomes.into_iter().map(|(outcome, bytes)| {
            let handle = outcome?;
            self.results
                .insert(handle.clone(), (id.clone(), bytes, until));
            Ok(handle)
        });
        let outcomes = outcomes.collect();
        self.at(
            end + TRIP,
            Event::End(board, call, id.clone(), machine.life, outcomes),
        );
    }

    /// Returns what an item is one of, and how many inputs it needs.
    fn need(&self, item: &Item) -> (StageSpec, usize) {
        let mut jobs = self.jobs.values();
        let (_, _, job) = jobs
            .find(|(_, _, job)| job.request == item.request)
            .expect("a request that was asked for");
        let need = job.stages[item.stage].clone();
        let inputs = need
            .after
            .iter()
            .map(|&from| job.stages[from].pieces as usize);
        let inputs = inputs.sum();
        (need, inputs)
    }

    fn outcome(&mut self, item: &Item, is_first: bool, inputs: usize) -> Result<Handle, ItemError> {
        match &item.source {
            Source::Key(_) => assert!(is_first, "a key where inputs are due"),
            Source::Inputs(handles) => {
                if handles.len() != inputs {
                    self.day.without_inputs += 1;
                }
                let results = &self.results;
                if handles.iter().any(|handle| !results.contains_key(handle)) {
                    self.day.gone += 1;
                    return Err(ItemError::Gone);
                }
            }
        }
        if self.random.random_bool(FAILED_SHARE) {
            return Err(ItemError::Failed);
        }
        self.next += 1;
        Ok(format!("h-{}", self.next).into())
    }

    fn obey(&mut self, now: Time, out: Vec<Command>) {
        for command in out {
            match command {
                Command::Call {
                    call,
                    target,
                    items,
                    ..
                } => self.at(now + TRIP, Event::Start(self.losses, call, target, items)),
                Command::Ready { job, handles, .. } => self.take_ready(now, job, &handles),
                Command::Refuse { job, reason, .. } => {
                    self.open.remove(&job);
                    if let Some((kind, _, job)) = self.jobs.get(&job) {
                        self.day.tally[*kind].refused += 1;
                        let left = job.deadline.saturating_sub(now);
                        self.day.refusals.push(Refused { reason, left });
                        self.day.ends.push((now, true));
                    }
                }
                Command::Free {
                    target, handles, ..
                } => self.at(now + TRIP, Event::Freed(target, handles)),
            }
        }
    }

    fn take_ready(&mut self, now: Time, id: JobId, handles: &[Handle]) {
        self.open.remove(&id);
        let (kind, _, job) = &self.jobs[&id];
        let finals = job
            .stages
            .iter()
            .enumerate()
            .filter(|(stage, _)| !job.stages.iter().any(|need| need.after.contains(stage)));
        let expected: u32 = finals.map(|(_, need)| need.pieces).sum();
        assert_eq!(
            handles.len(),
            expected as usize,
            "final results of a request"
        );
        let is_late = now + TAIL > job.objective;
        let tally = &mut self.day.tally[*kind];
        if is_late {
            tally.late += 1;
        } else {
            tally.on_time += 1;
        }
        self.day.ends.push((now, is_late));
        self.at(now + TAIL, Event::Read(id));
    }
}

fn pool(index: usize) -> PoolId {
    format!("pool-{index}").into()
}
