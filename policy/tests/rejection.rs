//! Replays bursts at pools whose targets fail when they reject too many requests in a second.

use policy::{
    id::{HostId, TargetId, Time},
    relay::{
        registry::Target,
        rejection::{Answer, Limiter, MAX_REJECTED_SENDS, PERIOD, Report},
        selection::{Criteria, TargetSelector},
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    time::Duration,
};

const POOL: &str = "pool";
/// Duration of a day.
const END: Time = Duration::from_secs(20);
/// When targets begin and cease to state their limit.
const LIMITED: [Time; 2] = [Duration::from_secs(2), Duration::from_secs(18)];
/// Time from the statement of the limit until it applies.
const NOTICE: Duration = Duration::from_secs(3);
/// Time for which a target that failed is down.
const DOWNTIME: Duration = Duration::from_secs(3);
/// Periods with more load.
const BURSTS: [[Time; 2]; 2] = [
    [Duration::from_secs(6), Duration::from_secs(9)],
    [Duration::from_secs(12), Duration::from_secs(16)],
];
/// Load outside of bursts as a fraction of what the targets can serve, and its factor in bursts.
const BASE_LOAD: f64 = 0.6;
const BURST_FACTOR: f64 = 2.5;
/// Sends of one request that targets may reject without a limit.
const MAX_SENDS: u32 = 4;
/// Time for which a request waits for room.
const MAX_WAIT: Duration = Duration::from_millis(19);
/// Time after which a caller whose request was refused comes back once.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Load pattern of a day.
#[derive(Clone, Copy, Debug)]
struct Pattern {
    daemons: usize,
    targets: usize,
    slots: u32,
    /// Requests that a target runs at once, fewer than its slots if its memory is small.
    room: u32,
    /// Requests that wait at a target while the limit applies.
    queue: usize,
    service: Duration,
    max_rejections: u32,
    /// Delay of reports between daemons; lost if there is none.
    report_delay: Option<Duration>,
    /// Whether the first daemon gets three times as many requests as the others.
    is_skewed: bool,
    seed: u64,
}

/// Figures of a day.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    requests: u32,
    served: u32,
    rejections: u32,
    falls: u32,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    Sent(usize, usize),
    Done(usize, u32, usize),
    Answered(usize, usize, Ending, Option<(u32, u32)>, Option<u32>),
    Reported(usize, u32, TargetId, u32, Option<u32>),
    Retried(usize),
    Woken(usize),
    Restarted(usize),
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Ending {
    Served,
    Rejected,
    Broken,
}

#[derive(Clone, Debug, Default)]
struct Request {
    daemon: usize,
    tried: Vec<TargetId>,
    rejected: u32,
    has_come_back: bool,
}

struct Daemon {
    limiter: Limiter,
    selector: TargetSelector,
    /// Requests that wait for room, until when.
    waiting: VecDeque<(usize, Time)>,
    /// Whether they are to be woken.
    is_woken: bool,
}

#[derive(Default)]
struct Server {
    running: Vec<usize>,
    waiting: VecDeque<usize>,
    rejections: VecDeque<Time>,
    is_down: bool,
    incarnation: u32,
}

struct Day {
    pattern: Pattern,
    is_limiter_used: bool,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    event_count: u64,
    random: ChaCha8Rng,
    hosts: Vec<HostId>,
    requests: Vec<Request>,
    daemons: Vec<Daemon>,
    targets: Vec<Target>,
    servers: Vec<Server>,
    in_flight: HashMap<(usize, TargetId), u32>,
    outcome: Outcome,
}

impl Day {
    fn new(pattern: Pattern, is_limiter_used: bool) -> Self {
        let hosts: Vec<HostId> = (0..pattern.daemons)
            .map(|index| HostId::from(format!("n-{index:02}")))
            .collect();
        let daemons = hosts.iter().map(|host| Daemon {
            limiter: Limiter::new(host.clone()),
            selector: TargetSelector::default(),
            waiting: VecDeque::new(),
            is_woken: false,
        });
        let targets = (0..pattern.targets).map(|index| Target {
            id: format!("t-{index:02}").into(),
            pool: POOL.into(),
            address: "10.0.0.1:80".into(),
            domain: "a".into(),
            build: "v1".into(),
            slots: pattern.slots,
            is_ready: true,
            started_unix_ms: 1,
        });
        Self {
            is_limiter_used,
            now: Time::ZERO,
            events: BinaryHeap::new(),
            event_count: 0,
            random: ChaCha8Rng::seed_from_u64(pattern.seed),
            requests: Vec::new(),
            daemons: daemons.collect(),
            targets: targets.collect(),
            hosts,
            servers: (0..pattern.targets).map(|_| Server::default()).collect(),
            in_flight: HashMap::new(),
            outcome: Outcome::default(),
            pattern,
        }
    }

    fn run(mut self) -> Outcome {
        self.push(Time::ZERO, Event::Arrival);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.outcome
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        let entry = (self.now + delay, self.event_count, event);
        self.events.push(Reverse(entry));
    }

    /// Returns the time that a message takes.
    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(500..4_000))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Sent(request, target) => self.receive(request, target),
            Event::Done(target, incarnation, request) => {
                if self.servers[target].incarnation == incarnation {
                    self.complete(target, request);
                }
            }
            Event::Answered(request, target, ending, load, limit) => {
                self.answer(request, target, ending, load, limit);
            }
            Event::Reported(daemon, rejections, target, max_rejections, running) => {
                let report = Report {
                    pool: POOL.into(),
                    target,
                    max_rejections,
                    rejections,
                    running,
                };
                self.daemons[daemon]
                    .limiter
                    .record_report(self.now, &report);
            }
            Event::Retried(request) => {
                let daemon = self.pick_daemon();
                self.requests[request] = Request {
                    daemon,
                    has_come_back: true,
                    ..Request::default()
                };
                self.dispatch(request, None);
            }
            Event::Woken(daemon) => {
                self.daemons[daemon].is_woken = false;
                self.wake(daemon);
            }
            Event::Restarted(target) => self.servers[target].is_down = false,
        }
    }

    fn pick_daemon(&mut self) -> usize {
        let extra = if self.pattern.is_skewed { 2 } else { 0 };
        let drawn = self.random.random_range(0..self.pattern.daemons + extra);
        drawn.saturating_sub(extra)
    }

    fn arrive(&mut self) {
        let slots = self.pattern.targets as f64 * f64::from(self.pattern.room);
        let capacity = slots / self.pattern.service.as_secs_f64();
        let is_burst = BURSTS
            .iter()
            .any(|[start, end]| (*start..*end).contains(&self.now));
        let factor = if is_burst { BURST_FACTOR } else { 1.0 };
        let rate = capacity * BASE_LOAD * factor;
        let drawn: f64 = self.random.random_range(f64::EPSILON..1.0);
        if self.now < END {
            self.push(Duration::from_secs_f64(-drawn.ln() / rate), Event::Arrival);
        }
        let daemon = self.pick_daemon();
        self.outcome.requests += 1;
        self.requests.push(Request {
            daemon,
            ..Request::default()
        });
        self.dispatch(self.requests.len() - 1, None);
    }

    /// Sends a request, lets it wait until `until`, or refuses it.
    fn dispatch(&mut self, request: usize, until: Option<Time>) {
        let index = self.requests[request].daemon;
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let is_limited = self.is_limiter_used && daemon.limiter.is_limited(now, POOL);
        let max_sends = if is_limited {
            MAX_REJECTED_SENDS
        } else {
            MAX_SENDS
        };
        if self.requests[request].rejected >= max_sends {
            return self.refuse(request);
        }
        let in_flight = |target: &TargetId| {
            let key = (index, target.clone());
            self.in_flight.get(&key).copied().unwrap_or_default()
        };
        let targets: Vec<&Target> = if is_limited {
            daemon.limiter.set_peers(now, self.hosts.iter().cloned(), 0);
            daemon.limiter.open(now, self.targets.iter(), in_flight)
        } else {
            self.targets.iter().collect()
        };
        let criteria = Criteria {
            tried: &self.requests[request].tried,
            max_in_flight: u32::MAX,
            ..Criteria::default()
        };
        let selection = daemon.selector.choose(now, targets.into_iter(), &criteria);
        let Some(target) = selection.map(|selection| selection.target.clone()) else {
            let until = until.unwrap_or(now + MAX_WAIT);
            if is_limited && now < until {
                daemon.waiting.push_back((request, until));
                if !std::mem::replace(&mut daemon.is_woken, true) {
                    self.push(Duration::from_millis(5), Event::Woken(index));
                }
                return;
            }
            return self.refuse(request);
        };
        daemon.selector.start_call(now, &target, &[]);
        daemon.limiter.start_call(now, &target);
        *self
            .in_flight
            .entry((index, target.id.clone()))
            .or_default() += 1;
        self.requests[request].tried.push(target.id.clone());
        let position = self.targets.iter().position(|one| one.id == target.id);
        let latency = self.latency();
        self.push(latency, Event::Sent(request, position.unwrap_or_default()));
    }

    fn wake(&mut self, daemon: usize) {
        let waiting = std::mem::take(&mut self.daemons[daemon].waiting);
        for (request, until) in waiting {
            self.dispatch(request, Some(until));
        }
    }

    fn refuse(&mut self, request: usize) {
        if !self.requests[request].has_come_back {
            self.push(RETRY_AFTER, Event::Retried(request));
        }
    }

    fn receive(&mut self, request: usize, target: usize) {
        let now = self.now;
        let is_limited = (LIMITED[0] + NOTICE..LIMITED[1]).contains(&now);
        let pattern = self.pattern;
        let queue = if is_limited { pattern.queue } else { 20 };
        let server = &mut self.servers[target];
        if server.is_down {
            return self.respond(request, target, Ending::Broken);
        }
        if server.running.len() < pattern.room as usize {
            return self.start(target, request);
        }
        if server.waiting.len() < queue {
            return server.waiting.push_back(request);
        }
        self.outcome.rejections += 1;
        self.respond(request, target, Ending::Rejected);
        let server = &mut self.servers[target];
        server.rejections.retain(|at| now < *at + PERIOD);
        server.rejections.push_back(now);
        if is_limited && server.rejections.len() > pattern.max_rejections as usize {
            self.fall(target);
        }
    }

    fn fall(&mut self, target: usize) {
        self.outcome.falls += 1;
        let server = &mut self.servers[target];
        server.is_down = true;
        server.incarnation += 1;
        server.rejections.clear();
        let lost: Vec<usize> = server.running.drain(..).collect();
        let waiting: Vec<usize> = server.waiting.drain(..).collect();
        for request in lost.into_iter().chain(waiting) {
            self.respond(request, target, Ending::Broken);
        }
        self.push(DOWNTIME, Event::Restarted(target));
    }

    fn start(&mut self, target: usize, request: usize) {
        let server = &mut self.servers[target];
        server.running.push(request);
        let incarnation = server.incarnation;
        let factor = self.random.random_range(0.5..1.5);
        let service = self.pattern.service.mul_f64(factor);
        self.push(service, Event::Done(target, incarnation, request));
    }

    fn complete(&mut self, target: usize, request: usize) {
        let server = &mut self.servers[target];
        server.running.retain(|running| *running != request);
        if let Some(next) = server.waiting.pop_front() {
            self.start(target, next);
        }
        self.respond(request, target, Ending::Served);
    }

    fn respond(&mut self, request: usize, target: usize, ending: Ending) {
        let server = &self.servers[target];
        let load = (server.running.len() as u32, server.waiting.len() as u32);
        let load = (ending != Ending::Broken).then_some(load);
        let is_limited = (LIMITED[0]..LIMITED[1]).contains(&self.now);
        let limit = is_limited.then_some(self.pattern.max_rejections);
        let latency = self.latency();
        self.push(
            latency,
            Event::Answered(request, target, ending, load, limit),
        );
    }

    fn answer(
        &mut self,
        request: usize,
        target: usize,
        ending: Ending,
        load: Option<(u32, u32)>,
        max_rejections: Option<u32>,
    ) {
        let now = self.now;
        let index = self.requests[request].daemon;
        let target = self.targets[target].clone();
        if let Some(count) = self.in_flight.get_mut(&(index, target.id.clone())) {
            *count -= 1;
        }
        let daemon = &mut self.daemons[index];
        daemon.selector.end_call(&target.id);
        if let Some((running, waiting)) = load {
            let selector = &mut daemon.selector;
            selector.record_load(now, &target.id, running, waiting);
        }
        let is_rejection = ending == Ending::Rejected;
        let mut report = None;
        if ending == Ending::Broken {
            daemon.selector.record_failure(now, &target.id);
        } else {
            let is_good = !is_rejection;
            let selector = &mut daemon.selector;
            selector.record_answer(&target.id, is_good, self.pattern.service);
            let answer = Answer {
                max_rejections,
                load,
                is_rejection,
            };
            report = daemon.limiter.record_answer(now, &target, answer);
        }
        if let Some((report, delay)) = report.zip(self.pattern.report_delay) {
            for peer in (0..self.pattern.daemons).filter(|peer| *peer != index) {
                let event = Event::Reported(
                    peer,
                    report.rejections,
                    report.target.clone(),
                    report.max_rejections,
                    report.running,
                );
                self.push(delay, event);
            }
        }
        match ending {
            Ending::Served => self.outcome.served += 1,
            Ending::Rejected => {
                self.requests[request].rejected += 1;
                self.dispatch(request, None);
            }
            Ending::Broken => {}
        }
        self.wake(index);
    }
}

/// Returns the outcome of a day without and with the limiter.
fn play(pattern: Pattern) -> [Outcome; 2] {
    let outcomes = [false, true].map(|is_limiter_used| Day::new(pattern, is_limiter_used).run());
    let [without, with] = outcomes;
    println!("{pattern:?}\n  without {without:?}\n  with    {with:?}");
    outcomes
}

/// Returns how often the targets of a pool may fall over in one period.
fn max_falls(pattern: Pattern) -> u32 {
    2 + pattern.targets as u32 / 10
}

const SMALL: Pattern = Pattern {
    daemons: 7,
    targets: 3,
    slots: 6,
    room: 6,
    queue: 1,
    service: Duration::from_millis(30),
    max_rejections: 5,
    report_delay: Some(Duration::from_millis(10)),
    is_skewed: false,
    seed: 1,
};

const LARGE: Pattern = Pattern {
    targets: 9,
    slots: 64,
    room: 64,
    service: Duration::from_millis(600),
    ..SMALL
};

/// Plays a day with the limiter and one without, and checks that targets fall over only without.
fn check(pattern: Pattern) {
    let [without, with] = play(pattern);
    assert!(without.falls > max_falls(pattern), "{without:?}");
    assert!(with.falls <= max_falls(pattern), "{with:?}");
    assert!(with.served >= without.served, "{with:?} {without:?}");
}

#[rstest]
fn falls_are_rare_in_small_pools(
    #[values(7, 60)] daemons: usize,
    #[values(3, 8, 20)] max_rejections: u32,
    #[values(0, 3)] queue: usize,
    #[values(0, 1, 2)] seed: u64,
) {
    check(Pattern {
        daemons,
        queue,
        max_rejections,
        seed,
        ..SMALL
    });
}

#[rstest]
fn falls_are_rare_in_large_pools(
    #[values(7, 60)] daemons: usize,
    #[values(3, 20)] max_rejections: u32,
    #[values(0, 1)] seed: u64,
) {
    check(Pattern {
        daemons,
        max_rejections,
        seed,
        ..LARGE
    });
}

/// Targets run fewer requests than they have slots, since their memory is full.
#[rstest]
fn falls_are_rare_at_targets_with_little_memory(
    #[values((Some(10), 3), (Some(10), 8), (Some(200), 8), (None, 20))] case: (Option<u64>, u32),
    #[values(0, 1, 2)] seed: u64,
) {
    check_little_memory(case, seed);
}

/// Same, but targets bear few rejections for the time that reports take.
#[rstest]
fn falls_are_rare_although_reports_are_late(
    #[values((Some(200), 3), (None, 3), (None, 8))] case: (Option<u64>, u32),
    #[values(0, 1, 2)] seed: u64,
) {
    check_little_memory(case, seed);
}

fn check_little_memory((report_delay, max_rejections): (Option<u64>, u32), seed: u64) {
    check(Pattern {
        room: 25,
        max_rejections,
        report_delay: report_delay.map(Duration::from_millis),
        seed,
        ..LARGE
    });
}

/// One daemon gets three times as many requests as each of the others.
#[rstest]
fn falls_are_rare_with_uneven_load(
    #[values(SMALL, LARGE)] pool: Pattern,
    #[values(None, Some(10), Some(200))] report_delay: Option<u64>,
) {
    check(Pattern {
        is_skewed: true,
        report_delay: report_delay.map(Duration::from_millis),
        ..pool
    });
}

/// The pool is as before with the first answer that states no limit.
#[test]
fn limit_ends_with_the_answers_that_state_it() {
    let target = Target {
        id: "t".into(),
        pool: POOL.into(),
        address: "10.0.0.1:80".into(),
        domain: "a".into(),
        build: "v1".into(),
        slots: 1,
        is_ready: true,
        started_unix_ms: 1,
    };
    let now = Duration::from_secs(9);
    let mut limiter = Limiter::new("n-0".into());
    let rejected = Answer {
        max_rejections: Some(2),
        is_rejection: true,
        ..Answer::default()
    };
    let report = limiter.record_answer(now, &target, rejected);
    assert_eq!(report.map(|report| report.rejections), Some(1));
    assert!(limiter.is_limited(now, POOL) && limiter.may_have_overloaded(now, &target.id));
    assert!(limiter.open(now, [&target].into_iter(), |_| 0).is_empty());
    limiter.record_answer(now, &target, Answer::default());
    assert!(!limiter.is_limited(now, POOL) && !limiter.may_have_overloaded(now, &target.id));
}
