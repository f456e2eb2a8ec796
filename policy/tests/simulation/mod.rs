//! Discrete-event simulation of the stage targets and callers of a site.

mod caller;
mod deployment;
mod report;
mod workload;

pub use self::{
    report::{Counts, Refused, Report},
    workload::Workload,
};

use self::{
    deployment::{EARLIER_KINDS, Kind},
    workload::SlowPeriod,
};
use policy::{
    id::{PoolId, TargetId, Time},
    relay::{
        plan::{BatchLimits, Limits, Plan, Pool},
        registry::{Target, TargetChange},
        scheduler::{
            CallId, Command, Handle, Item, ItemError, Job, JobId, Reply, Scheduler, Source,
            StageSpec,
        },
        stage::StageNumber,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

/// Kind of request with one stage of large results.
pub const LARGE_RESULTS: usize = 0;
/// Kind of request with a chain of three stages.
pub const CHAIN: usize = 1;
/// Kind of request with both, and the lowest priority.
pub const MIXED: usize = 2;

/// Time from the last result to the first event.
const FIRST_EVENT_LATENCY: Duration = Duration::from_millis(120);
/// One-way latency between a target and the scheduler.
const NETWORK_DELAY: Duration = Duration::from_millis(3);
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time that a caller needs at least for another attempt.
const MIN_ATTEMPT: Duration = Duration::from_millis(300);
/// Interval at which other targets become slow.
const NOISE_PERIOD: Duration = Duration::from_millis(600);
/// Fraction of the targets that are slow at any moment, and how much slower they are.
const NOISE: (f64, f64) = (0.15, 2.5);
/// Slowdowns of the targets of a pool, by turns.
const UNEVEN_SLOWDOWNS: [f64; 3] = [0.7, 0.7, 1.7];
/// Time from the loss of the scheduler until its successor takes over.
const FAILOVER_TIME: Duration = Duration::from_millis(1_300);
/// Limits on callers, which the scheduler does not use.
const CALLER_LIMITS: Limits = Limits {
    header_bytes: 16_384,
    body_bytes: 1 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Probability that a piece fails.
const PIECE_FAILURE_RATE: f64 = 0.002;

/// Stage targets and callers of a site, and the scheduler under test.
#[derive(Debug)]
pub struct Simulation {
    rng: ChaCha8Rng,
    kinds: [Kind; 3],
    /// Time from the last result until the request's target has read the results.
    read_time: Duration,
    scheduler: Scheduler,
    targets: BTreeMap<TargetId, SimulatedTarget>,
    results: HashMap<Handle, (TargetId, u64, Time)>,
    events: BTreeMap<(Time, u64), Event>,
    jobs: HashMap<JobId, (usize, Time, Job)>,
    /// Jobs that are neither ready nor refused.
    open: BTreeSet<JobId>,
    /// Jobs of callers that came back after their Retry-After.
    returned: BTreeSet<JobId>,
    /// Whether callers come back after a refusal.
    has_returns: bool,
    /// Pieces computed at least once.
    computed: BTreeSet<(JobId, StageNumber, usize)>,
    plan: Plan,
    /// Number of schedulers lost so far.
    generation: u32,
    /// Whether the scheduler is lost and its successor has not taken over yet.
    is_scheduler_lost: bool,
    next: u64,
    /// Whether requests list their stages in the opposite order.
    lists_backwards: bool,
    report: Report,
}

#[derive(Clone, Debug)]
struct SimulatedTarget {
    target: Target,
    batch_limits: BatchLimits,
    /// Duration of calls relative to the limits of the pool.
    slowdown: f64,
    /// Factor on the slowdown that changes at random.
    noise: f64,
    is_dead: bool,
    /// Number of crashes; calls sent to an earlier incarnation are lost.
    incarnation: u32,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    /// A refused caller comes back; whether as late as it was told to.
    Return(JobId, bool),
    ChangeNoise,
    Start(u32, CallId, TargetId, Vec<Item>),
    End(u32, CallId, TargetId, u32, Vec<Result<Handle, ItemError>>),
    Freed(TargetId, Vec<Handle>),
    Read(JobId),
    Kill(TargetId),
    Revive(TargetId),
    Slow(TargetId, f64),
    LoseScheduler,
    TakeOver,
    AbandonJobs,
    Poll,
}

impl Simulation {
    /// Creates a site in three domains with three pools: 3 targets with 8 pieces per call, 5 with 18
    /// and 5 with 28.
    pub fn new(seed: u64) -> Self {
        Self::with_layout(seed, 3, 3)
    }

    /// Creates a site like [`Self::new`] in `domains` domains, with `large` targets in the first
    /// pool.
    pub fn with_layout(seed: u64, domains: usize, large: usize) -> Self {
        let pools = [
            (large, 8, 21.0, 18e6),
            (5, 18, 9.5, 2.3e6),
            (5, 28, 6.1, 0.38e6),
        ];
        Self::with_pools(seed, domains, pools)
    }

    /// Creates a site of hundreds of hosts in five domains, with 45 targets with 10 pieces per call, 36
    /// with 40 and 43 with 56.
    pub fn large(seed: u64) -> Self {
        let pools = [
            (45, 10, 17.0, 22e6),
            (36, 40, 4.3, 5.2e6),
            (43, 56, 3.1, 0.73e6),
        ];
        Self::with_pools(seed, 5, pools)
    }

    /// Creates a site in `domains` domains with three pools, each given by its number of targets, pieces
    /// per call, milliseconds per piece and bytes for results.
    fn with_pools(seed: u64, domains: usize, pools: [(usize, usize, f64, f64); 3]) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            kinds: EARLIER_KINDS,
            read_time: FIRST_EVENT_LATENCY,
            scheduler: Scheduler::new(),
            targets: BTreeMap::new(),
            results: HashMap::new(),
            events: BTreeMap::new(),
            jobs: HashMap::new(),
            open: BTreeSet::new(),
            returned: BTreeSet::new(),
            has_returns: false,
            computed: BTreeSet::new(),
            plan: Plan::new(1, CALLER_LIMITS, Vec::new(), Vec::new(), Vec::new()),
            generation: 0,
            is_scheduler_lost: false,
            next: 0,
            lists_backwards: false,
            report: Report::default(),
        };
        let mut plan = Vec::new();
        for (index, (count, batch, item, room)) in pools.into_iter().enumerate() {
            let batch_limits = BatchLimits {
                max_pieces: batch,
                call_overhead: Duration::from_millis(200),
                piece_time: Duration::from_secs_f64(item / 1e3),
                result_memory: room as u64,
                result_ttl: Duration::from_secs(4),
            };
            let name = pool(index);
            plan.push(Pool {
                name: name.clone(),
                max_connections: 360,
                batch_limits: Some(batch_limits),
                memory_tokens: None,
                cold_limits: None,
            });
            for number in 0..count {
                let target = Target {
                    id: format!("t-{index}-{number}").into(),
                    pool: name.clone(),
                    address: format!("10.0.{index}.{number}:80").into(),
                    domain: format!("domain-{}", number % domains).into(),
                    slots: 1,
                    is_ready: true,
                    build: "v1".into(),
                    started_unix_ms: 1,
                };
                let slowdown = simulation.rng.random_range(0.9..1.15);
                let target_state = SimulatedTarget {
                    target: target.clone(),
                    batch_limits,
                    slowdown,
                    noise: 1.0,
                    is_dead: false,
                    incarnation: 0,
                };
                simulation.targets.insert(target.id.clone(), target_state);
                simulation
                    .scheduler
                    .apply_target_change(&TargetChange::Added(target));
            }
        }
        simulation.plan = Plan::new(1, CALLER_LIMITS, Vec::new(), plan, Vec::new());
        simulation.scheduler.set_plan(&simulation.plan);
        simulation
    }

    /// Makes all targets take `factor` times the durations that the plan announces.
    pub fn with_slowdown(mut self, factor: f64) -> Self {
        for target_state in self.targets.values_mut() {
            target_state.slowdown *= factor;
        }
        self
    }

    /// Limits each target of a pool to `rate` requests a second from the start.
    pub fn with_rate_limit(mut self, index: usize, rate: f64) -> Self {
        let limited = self.targets.values();
        let limited = limited.filter(|target_state| target_state.target.pool == pool(index));
        for target_state in limited {
            let target = &target_state.target;
            self.scheduler
                .limit_target(Duration::ZERO, target, Some(rate));
        }
        self
    }

    /// Removes all targets of a pool.
    pub fn remove_targets(&mut self, index: usize) {
        let removed = self
            .targets
            .values()
            .filter(|target_state| target_state.target.pool == pool(index));
        let removed: Vec<Target> = removed
            .map(|target_state| target_state.target.clone())
            .collect();
        for target in removed {
            self.scheduler
                .apply_target_change(&TargetChange::Gone(target));
        }
    }

    /// Runs a workload with arrivals for `length`.
    pub fn run(&mut self, workload: &Workload, length: Duration) -> Report {
        for kind in [LARGE_RESULTS, CHAIN, MIXED] {
            self.schedule(Duration::ZERO, Event::Arrive(kind));
        }
        self.has_returns = workload.has_returns;
        if workload.has_noise {
            self.schedule(Duration::ZERO, Event::ChangeNoise);
        }
        self.schedule(POLL_INTERVAL, Event::Poll);
        if let Some((begin, end)) = workload.deaths {
            for index in 0..3 {
                let id: TargetId = format!("t-{index}-0").into();
                self.schedule(Duration::from_secs_f64(begin), Event::Kill(id.clone()));
                self.schedule(Duration::from_secs_f64(end), Event::Revive(id));
            }
        }
        if let Some((factor, begin)) = workload.slow {
            let id = "t-1-0".into();
            self.schedule(Duration::from_secs_f64(begin), Event::Slow(id, factor));
        }
        let changes = workload.slow_period.iter().flat_map(SlowPeriod::changes);
        for (at, id, factor) in changes {
            if self.targets.contains_key(&id) {
                self.schedule(Duration::from_secs_f64(at), Event::Slow(id, factor));
            }
        }
        if let Some(at) = workload.scheduler_loss {
            self.schedule(Duration::from_secs_f64(at), Event::LoseScheduler);
        }
        if let Some(at) = workload.scheduler_fault {
            self.schedule(Duration::from_secs_f64(at), Event::AbandonJobs);
        }
        // Requests in flight when arrivals end are run to completion.
        let end = length + Duration::from_secs(8);
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > end {
                break;
            }
            let mut out = Vec::new();
            self.handle_event(now, event, workload, length, &mut out);
            self.scheduler.dispatch_calls(now, &mut out);
            self.apply_commands(now, out);
        }
        std::mem::take(&mut self.report)
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    fn handle_event(
        &mut self,
        now: Time,
        event: Event,
        workload: &Workload,
        length: Duration,
        out: &mut Vec<Command>,
    ) {
        match event {
            Event::Arrive(kind) => {
                if now < length {
                    let gap =
                        -self.rng.random::<f64>().max(1e-9).ln() / self.rate(workload, kind, now);
                    self.schedule(now + Duration::from_secs_f64(gap), Event::Arrive(kind));
                    let mut job = self.job(now, kind);
                    let workspace = workload.workspace(now, job.id.number);
                    self.report.record_submission(&workspace);
                    job.workspace = Some(workspace);
                    self.report.counts[kind].submitted += 1;
                    self.jobs.insert(job.id, (kind, now, job.clone()));
                    self.open.insert(job.id);
                    if !self.is_scheduler_lost {
                        self.scheduler.submit(now, job, out);
                    }
                }
            }
            Event::Return(id, is_as_told) => self.come_back(now, id, is_as_told, out),
            Event::ChangeNoise => {
                self.schedule(now + NOISE_PERIOD, Event::ChangeNoise);
                let (share, factor) = NOISE;
                for target_state in self.targets.values_mut() {
                    let is_slow = self.rng.random_bool(share);
                    target_state.noise = if is_slow { factor } else { 1.0 };
                }
            }
            Event::Start(generation, call, id, items) => {
                self.start_call(now, (generation, call), &id, &items, out);
            }
            // Replies to calls of a lost scheduler are dropped.
            Event::End(generation, ..) if generation != self.generation => {}
            Event::End(_, call, id, incarnation, items) => {
                let target_state = &self.targets[&id];
                let reply = if target_state.incarnation == incarnation && !target_state.is_dead {
                    Reply::Items(items)
                } else {
                    Reply::Lost
                };
                self.scheduler.reply(now, call, reply, out);
            }
            Event::Freed(id, handles) => {
                for handle in &handles {
                    self.results.remove(handle);
                }
                self.scheduler.record_freed(&id, &handles);
            }
            Event::Read(job) => self.scheduler.release(job),
            Event::Kill(id) => {
                let target_state = self.targets.get_mut(&id).expect("known target");
                target_state.is_dead = true;
                target_state.incarnation += 1;
                self.results.retain(|_, (of, ..)| *of != id);
                let target = target_state.target.clone();
                self.scheduler
                    .apply_target_change(&TargetChange::Gone(target));
            }
            Event::Revive(id) => {
                let target_state = self.targets.get_mut(&id).expect("known target");
                target_state.is_dead = false;
                let target = target_state.target.clone();
                self.scheduler
                    .apply_target_change(&TargetChange::Added(target));
            }
            Event::Slow(id, factor) => {
                self.targets.get_mut(&id).expect("known target").slowdown *= factor;
            }
            Event::LoseScheduler => {
                self.generation += 1;
                self.is_scheduler_lost = true;
                self.scheduler = Scheduler::new();
                self.schedule(now + FAILOVER_TIME, Event::TakeOver);
            }
            Event::TakeOver => self.take_over(now, out),
            Event::AbandonJobs => {
                self.report.abandoned = self.open.len();
                self.scheduler.abandon_jobs(now, out);
            }
            Event::Poll => {
                self.schedule(now + POLL_INTERVAL, Event::Poll);
                self.scheduler.poll(now, out);
            }
        }
    }

    /// Submits all open jobs at once to a new scheduler that knows no calls and results.
    fn take_over(&mut self, now: Time, out: &mut Vec<Command>) {
        self.is_scheduler_lost = false;
        self.scheduler.set_plan(&self.plan);
        for target_state in self
            .targets
            .values()
            .filter(|target_state| !target_state.is_dead)
        {
            self.scheduler
                .apply_target_change(&TargetChange::Added(target_state.target.clone()));
        }
        for id in &self.open {
            let mut job = self.jobs[id].2.clone();
            job.is_resubmitted = true;
            self.scheduler.submit(now, job, out);
        }
    }

    fn start_call(
        &mut self,
        now: Time,
        (generation, call): (u32, CallId),
        id: &TargetId,
        items: &[Item],
        out: &mut Vec<Command>,
    ) {
        let target_state = self.targets[id].clone();
        if target_state.is_dead && generation == self.generation {
            return self.scheduler.reply(now, call, Reply::Unreached, out);
        }
        assert!(
            items.len() <= target_state.batch_limits.max_pieces,
            "call with {} pieces exceeds the batch limit",
            items.len()
        );
        self.results.retain(|_, (_, _, until)| *until > now);
        let held = self.results.values().filter(|(of, ..)| of == id);
        let mut used: u64 = held.map(|(_, bytes, _)| bytes).sum();
        let mut work = target_state.batch_limits.call_overhead;
        let mut outcomes = Vec::new();
        for item in items {
            let (spec, inputs) = self.spec_and_input_count(item);
            let outcome = self.piece_outcome(item, spec.after.is_empty(), inputs);
            let fits = used + spec.bytes <= target_state.batch_limits.result_memory;
            let outcome = match outcome {
                Ok(_) if !fits => {
                    self.report.without_room += 1;
                    Err(ItemError::Room)
                }
                outcome => outcome,
            };
            if outcome.is_ok() {
                used += spec.bytes;
                let is_small = spec.pool == pool(0) && spec.bytes < 100_000;
                work +=
                    target_state
                        .batch_limits
                        .piece_time
                        .mul_f64(if is_small { 0.3 } else { 1.0 });
            }
            outcomes.push((outcome, spec.bytes));
        }
        let end = now + work.mul_f64(target_state.slowdown * target_state.noise);
        self.record_call(now, end, items, &outcomes);
        let until = end + target_state.batch_limits.result_ttl;
        let outcomes = outcomes.into_iter().map(|(outcome, bytes)| {
            let handle = outcome?;
            self.results
                .insert(handle.clone(), (id.clone(), bytes, until));
            Ok(handle)
        });
        let outcomes = outcomes.collect();
        self.schedule(
            end + NETWORK_DELAY,
            Event::End(
                generation,
                call,
                id.clone(),
                target_state.incarnation,
                outcomes,
            ),
        );
    }

    /// Returns the stage of an item and the number of inputs that it needs.
    fn spec_and_input_count(&self, item: &Item) -> (StageSpec, usize) {
        let (_, _, job) = &self.jobs[&request_job(&item.request)];
        let spec = job.stages[item.stage].clone();
        let inputs = spec
            .after
            .iter()
            .map(|&from| job.stages[from].pieces as usize);
        let inputs = inputs.sum();
        (spec, inputs)
    }

    fn piece_outcome(
        &mut self,
        item: &Item,
        is_first: bool,
        inputs: usize,
    ) -> Result<Handle, ItemError> {
        match &item.source {
            Source::Key(_) => assert!(is_first, "key given for a stage that reads inputs"),
            Source::Inputs(handles) => {
                if handles.len() != inputs {
                    self.report.missing_inputs += 1;
                }
                let results = &self.results;
                if handles.iter().any(|handle| !results.contains_key(handle)) {
                    self.report.expired_inputs += 1;
                    return Err(ItemError::Gone);
                }
            }
        }
        if self.rng.random_bool(PIECE_FAILURE_RATE) {
            return Err(ItemError::Failed);
        }
        self.next += 1;
        Ok(format!("h-{}", self.next).into())
    }

    fn apply_commands(&mut self, now: Time, out: Vec<Command>) {
        for command in out {
            match command {
                Command::Call {
                    call,
                    target,
                    items,
                    ..
                } => {
                    self.record_send(now, &target);
                    let start = Event::Start(self.generation, call, target, items);
                    self.schedule(now + NETWORK_DELAY, start);
                }
                Command::Ready { job, handles, .. } => self.handle_ready(now, job, &handles),
                Command::Refuse {
                    job,
                    reason,
                    retry_after,
                    ..
                } => {
                    self.open.remove(&job);
                    self.handle_refusal(now, job, reason, retry_after);
                }
                Command::Free {
                    target, handles, ..
                } => {
                    self.record_send(now, &target);
                    self.schedule(now + NETWORK_DELAY, Event::Freed(target, handles));
                }
            }
        }
    }

    fn record_send(&mut self, now: Time, target: &TargetId) {
        let sends = self.report.sends.entry(target.clone()).or_default();
        sends.push(now);
    }

    fn rate(&self, workload: &Workload, kind: usize, at: Time) -> f64 {
        self.kinds[kind].rate * workload.factor(kind, at)
    }
}

/// Returns the first job of a request.
fn request_job(request: &str) -> JobId {
    let number = request.strip_prefix("r-");
    let number = number.and_then(|number| number.parse().ok());
    let number = number.expect("request of a job");
    JobId { origin: 0, number }
}

fn pool(index: usize) -> PoolId {
    format!("pool-{index}").into()
}
