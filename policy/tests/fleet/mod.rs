//! Model of targets that differ in speed, and of many daemons that choose among them with sparse and
//! stale knowledge, in virtual time.

use policy::{
    hash,
    id::Time,
    relay::{
        performance::PaceSample,
        registry::Target,
        selection::{Criteria, Part, PartMemory, TargetSelector},
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

pub const TARGETS: usize = 60;
const DAEMONS: usize = 80;
const SLOTS: usize = 64;
const END: f64 = 60.0;
/// Time from which requests are counted.
const WARM: f64 = 10.0;
/// Time in which machines change between usual and disturbed.
const NOISE_PERIOD: f64 = 0.6;
/// Interval of the heartbeats between 80 daemons.
const HEARTBEAT: f64 = 2.0;

/// A kind of request: rate, shared parts with their tokens and numbers of variants, further tokens and
/// events of the answer.
struct Kind {
    rate: f64,
    shared: &'static [(u32, u32)],
    own: u32,
    events: u32,
    objective: f64,
}

/// A deployment: prompt tokens a second of a target, its memory, and the kinds, of which the first has
/// bursts.
pub struct Load {
    rate: f64,
    memory: u32,
    kinds: &'static [Kind],
}

pub const A: Load = Load {
    rate: 93_600.0,
    memory: 499_000,
    kinds: &[
        Kind {
            rate: 75.0,
            shared: &[(2_520, 4), (3_780, 1_000)],
            own: 2_890,
            events: 100,
            objective: 1.0,
        },
        Kind {
            rate: 159.0,
            shared: &[(568, 16)],
            own: 1_232,
            events: 80,
            objective: 4.0,
        },
        Kind {
            rate: 30.0,
            shared: &[(172, 16)],
            own: 371,
            events: 150,
            objective: 2.0,
        },
    ],
};
pub const B: Load = Load {
    rate: 50_700.0,
    memory: 434_000,
    kinds: &[
        Kind {
            rate: 90.0,
            shared: &[(2_520, 4), (3_780, 400)],
            own: 2_890,
            events: 100,
            objective: 1.1,
        },
        Kind {
            rate: 60.0,
            shared: &[(568, 16)],
            own: 1_232,
            events: 80,
            objective: 1.9,
        },
        Kind {
            rate: 53.0,
            shared: &[(172, 16)],
            own: 371,
            events: 150,
            objective: 1.8,
        },
    ],
};

/// What daemons use beside the load of targets.
#[derive(Clone, Copy, PartialEq)]
pub enum Knowledge {
    None,
    /// Own samples and load factors.
    Own,
    /// Those of peers as well, and the memory of the targets.
    Shared,
}

#[derive(Default)]
struct Engine {
    speed: f64,
    /// Until when prompts are read.
    read_until: f64,
    /// Seconds of reading in the last second, about, and when that was so.
    busy: (f64, f64),
    /// Ends of running requests.
    ends: Vec<f64>,
    /// Cached parts and their tokens, the least recently used first.
    parts: VecDeque<(String, u32)>,
}

enum Event {
    Arrival(usize),
    First(usize, usize, Duration, f64),
    Last(usize, usize, PaceSample),
    Heartbeat(usize),
}

#[derive(Debug, Default)]
pub struct Report {
    pub first: Vec<f64>,
    late: usize,
    pub rest: f64,
    /// Shared tokens that were read, in millions.
    pub shared_read: f64,
    /// Share of the requests that the slow third got.
    slow: f64,
}

fn noise(engine: usize, at: f64) -> f64 {
    let period = (at / NOISE_PERIOD) as u64;
    let draw = hash::mix(period << 16 | engine as u64) % 100;
    if draw < 15 { 2.5 } else { 1.0 }
}

impl Engine {
    /// Runs a request from `now`; returns its first and last event and the shared tokens read.
    fn run(
        &mut self,
        number: usize,
        now: f64,
        load: &Load,
        parts: &[Part],
        events: u32,
    ) -> (f64, f64, u32) {
        self.ends.retain(|end| *end > now);
        self.ends.sort_by(f64::total_cmp);
        let full = self.ends.len().checked_sub(SLOTS);
        let start = full
            .map_or(now, |over| self.ends[over])
            .max(self.read_until);
        let mut read = 0;
        let mut shared_read = 0;
        for (index, part) in parts.iter().enumerate() {
            let known = self
                .parts
                .iter()
                .position(|(id, _)| *id == part.id.as_str());
            let cached = known.and_then(|place| self.parts.remove(place));
            if cached.is_none() || read > 0 {
                read += part.tokens;
                shared_read += if index + 1 < parts.len() {
                    part.tokens
                } else {
                    0
                };
            }
            self.parts.push_back((part.id.to_string(), part.tokens));
        }
        let running = self.ends.len() as u32 * 4_000;
        let mut cached: u32 = self.parts.iter().map(|(_, tokens)| tokens).sum();
        while cached + running > load.memory
            && let Some((_, tokens)) = self.parts.pop_front()
        {
            cached -= tokens;
        }
        let slowness = self.speed * noise(number, start);
        let reading = f64::from(read) / load.rate * slowness;
        self.read_until = start + reading;
        self.busy = (
            self.busy.0 * (self.busy.1 - start).min(0.0).exp() + reading,
            start,
        );
        let first = self.read_until + 0.005 * slowness;
        let step = (0.0052 + 0.000_045 * self.ends.len() as f64) * self.speed * (1.0 + self.busy.0);
        let (mut last, mut left) = (first, f64::from(events - 1));
        while left > 0.0 {
            let step = step * noise(number, last);
            let period_end = ((last / NOISE_PERIOD).floor() + 1.0) * NOISE_PERIOD + 1e-6;
            let steps = left.min((period_end - last) / step);
            left -= steps;
            last += steps * step;
        }
        self.ends.push(last);
        (first, last, shared_read)
    }
}

fn time(seconds: f64) -> Time {
    Time::from_secs_f64(seconds)
}

pub fn target(number: usize, slots: u32) -> Target {
    Target {
        id: format!("model-{number:02}-{:04x}", hash::mix(number as u64) as u16).into(),
        pool: "model".into(),
        address: "10.0.0.1:80".into(),
        domain: "a".into(),
        build: "v1".into(),
        slots,
        is_ready: true,
        started_unix_ms: 1,
    }
}

/// Daemons, targets and requests of a load, and what has been counted.
struct Simulation<'a> {
    load: &'a Load,
    knowledge: Knowledge,
    rng: ChaCha8Rng,
    targets: Vec<Target>,
    engines: Vec<Engine>,
    /// Selectors of the daemons, and the next sample that each tells its peers.
    daemons: Vec<(TargetSelector, u64)>,
    events: Vec<Option<Event>>,
    queue: BinaryHeap<Reverse<(Time, usize)>>,
    report: Report,
}

/// Replays a load and returns what happened from [`WARM`] on.
pub fn simulate(load: &Load, knowledge: Knowledge, seed: u64) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let offset = rng.random_range(0..3);
    let engines = (0..TARGETS).map(|number| Engine {
        speed: [0.7, 0.7, 1.7][(number + offset) % 3],
        ..Engine::default()
    });
    let mut simulation = Simulation {
        load,
        knowledge,
        rng,
        targets: (0..TARGETS)
            .map(|number| target(number, SLOTS as u32))
            .collect(),
        engines: engines.collect(),
        daemons: vec![Default::default(); DAEMONS],
        events: Vec::new(),
        queue: BinaryHeap::new(),
        report: Report::default(),
    };
    for kind in 0..load.kinds.len() {
        simulation.push(0.0, Event::Arrival(kind));
    }
    for daemon in 0..DAEMONS {
        simulation.push(
            HEARTBEAT * daemon as f64 / DAEMONS as f64,
            Event::Heartbeat(daemon),
        );
    }
    simulation.run();
    simulation.report.first.sort_by(f64::total_cmp);
    simulation.report
}

impl Simulation<'_> {
    fn push(&mut self, at: f64, event: Event) {
        self.queue.push(Reverse((time(at), self.events.len())));
        self.events.push(Some(event));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, index))) = self.queue.pop() {
            if at > time(END) {
                break;
            }
            match self.events[index].take().expect("an event happens once") {
                Event::Arrival(kind) => self.arrive(at, kind),
                Event::First(daemon, number, answer, factor) => {
                    self.begin(at, daemon, number, answer, factor);
                }
                Event::Last(daemon, number, sample) => self.end(at, daemon, number, sample),
                Event::Heartbeat(daemon) => self.tell_peers(at, daemon),
            }
        }
    }

    /// Returns the parts of a prompt. Each second part has one first part.
    fn prompt(&mut self, number: usize, id: u64) -> Vec<Part> {
        let kind = &self.load.kinds[number];
        let draws: Vec<u32> = kind
            .shared
            .iter()
            .map(|(_, variants)| self.rng.random_range(0..*variants))
            .collect();
        let last = draws.last().copied().unwrap_or_default();
        let shared = kind
            .shared
            .iter()
            .enumerate()
            .map(|(level, &(tokens, variants))| Part {
                id: format!("{number}-{level}-{}", last % variants).into(),
                tokens,
            });
        let own = Part {
            id: format!("{id:x}").into(),
            tokens: kind.own,
        };
        shared.chain([own]).collect()
    }

    fn arrive(&mut self, at: Time, number: usize) {
        let (now, load) = (at.as_secs_f64(), self.load);
        let kind = &load.kinds[number];
        let is_burst = number == 0 && now % 20.0 > 14.0;
        let rate = kind.rate * if is_burst { 2.5 } else { 1.0 };
        let next = now - self.rng.random_range(1e-9..1.0_f64).ln() / rate;
        self.push(next, Event::Arrival(number));
        let id: u64 = self.rng.random();
        let parts = self.prompt(number, id);
        let daemon = self.rng.random_range(0..DAEMONS);
        let memory = PartMemory {
            tokens: load.memory,
            daemons: DAEMONS as u32,
        };
        let criteria = Criteria {
            parts: &parts,
            max_in_flight: 100,
            events: kind.events,
            time_left: Some(Duration::from_secs(6)),
            memory: (self.knowledge == Knowledge::Shared).then_some(memory),
            draw: id,
            ..Criteria::default()
        };
        let selector = &mut self.daemons[daemon].0;
        let selection = selector.choose(at, self.targets.iter(), &criteria);
        let target = selection.expect("targets are open").target;
        selector.start_call(at, target, &parts);
        let number = self.targets.iter().position(|other| other.id == target.id);
        let number = number.expect("the target is known");
        let sample_of = target.id.clone();
        let engine = &mut self.engines[number];
        let (first, last, read) = engine.run(number, now, load, &parts, kind.events);
        if now > WARM {
            self.report.first.push(first - now);
            self.report.late += usize::from(first - now > kind.objective);
            self.report.rest += last - first;
            self.report.shared_read += f64::from(read) / 1e6;
            self.report.slow += if engine.speed > 1.0 { 1.0 } else { 0.0 };
        }
        let sample = PaceSample {
            target: sample_of,
            interval: time(last - first) / (kind.events - 1),
            events: kind.events - 1,
        };
        let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
        let answer = time((first - now - f64::from(tokens) / 20_000.0).max(0.0));
        self.push(
            first,
            Event::First(daemon, number, answer, noise(number, first)),
        );
        self.push(last, Event::Last(daemon, number, sample));
    }

    fn begin(&mut self, at: Time, daemon: usize, number: usize, answer: Duration, factor: f64) {
        let selector = &mut self.daemons[daemon].0;
        let target = &self.targets[number];
        let ends = self.engines[number].ends.iter();
        let open = ends.filter(|end| **end > at.as_secs_f64()).count();
        let (running, waiting) = (open.min(SLOTS), open.saturating_sub(SLOTS));
        selector.record_load(at, &target.id, running as u32, waiting as u32);
        selector.record_answer(&target.id, true, answer);
        if self.knowledge != Knowledge::None {
            let performance = selector.performance_mut();
            performance.record_factor(at, &target.pool, &target.id, factor);
        }
    }

    fn end(&mut self, at: Time, daemon: usize, number: usize, sample: PaceSample) {
        let selector = &mut self.daemons[daemon].0;
        let target = &self.targets[number];
        selector.end_call(&target.id);
        if self.knowledge != Knowledge::None {
            let performance = selector.performance_mut();
            performance.record_own_pace(at, &target.pool, sample);
        }
    }

    fn tell_peers(&mut self, at: Time, daemon: usize) {
        self.push(at.as_secs_f64() + HEARTBEAT, Event::Heartbeat(daemon));
        let (selector, next) = &mut self.daemons[daemon];
        let (samples, following) = selector.performance().samples_from(*next);
        let samples: Vec<PaceSample> = samples.cloned().collect();
        *next = following;
        if self.knowledge != Knowledge::Shared {
            return;
        }
        let peers = self.daemons.iter_mut().enumerate();
        for (_, (selector, _)) in peers.filter(|(peer, _)| *peer != daemon) {
            for sample in &samples {
                selector
                    .performance_mut()
                    .record_pace(at, &"model".into(), sample);
            }
        }
    }
}

impl Report {
    pub fn mean(&self) -> f64 {
        self.first.iter().sum::<f64>() / self.first.len() as f64
    }

    pub fn p99(&self) -> f64 {
        self.first[self.first.len() * 99 / 100]
    }

    pub fn print(&self, name: &str) {
        let count = self.first.len() as f64;
        println!(
            "{name}: {count} requests, first event {:.1} ms mean, {:.1} ms p99, late {:.4}, rest {:.1} ms, {:.2} M shared tokens read, slow third {:.3}",
            self.mean() * 1e3,
            self.p99() * 1e3,
            self.late as f64 / count,
            self.rest / count * 1e3,
            self.shared_read,
            self.slow / count,
        );
    }
}
