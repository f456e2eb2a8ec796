//! Limits on the rate of requests that targets name, simulated in virtual time.

use policy::{
    id::{HostId, Time},
    relay::{
        rate::{Decision, Limits, Pace, Report},
        registry::Target,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::{collections::VecDeque, time::Duration};

const NOW: Time = Duration::from_secs(100);
const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Time in which the arrivals at a target are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first answer with a limit from which the limit applies.
const NOTICE: Duration = Duration::from_secs(3);

fn target(started_unix_ms: u64) -> Target {
    Target {
        id: "t".into(),
        pool: "p".into(),
        address: "10.0.0.1:80".into(),
        domain: "d".into(),
        build: "v1".into(),
        slots: 8,
        is_ready: true,
        started_unix_ms,
    }
}

fn host(number: usize) -> HostId {
    format!("h-{number}").into()
}

/// Limits of a daemon that is alone.
fn limits() -> Limits {
    let mut limits = Limits::default();
    limits.set_fleet(NOW, [host(0)], 1);
    limits
}

#[rstest]
#[case::slow(0.25)]
#[case::usual(1.0)]
#[case::fast(40.0)]
fn pace_spends_its_rate_and_no_more(#[case] rate: f64) {
    let mut pace = Pace::new(Time::ZERO, rate);
    let mut sends = VecDeque::new();
    let mut total = 0;
    for now in (0..100_000).map(|millis| MS * millis) {
        if let Decision::Send(wait) = pace.take(now, Duration::ZERO) {
            assert_eq!(wait, Duration::ZERO);
            sends.push_back(now);
            total += 1;
        }
        while sends.front().is_some_and(|at| *at + WINDOW <= now) {
            sends.pop_front();
        }
        assert!(sends.len() as f64 <= rate * WINDOW.as_secs_f64() + 2.0);
    }
    assert!(f64::from(total) >= rate * 100.0 * 0.95 - 1.0, "{total}");
}

#[test]
fn pace_grants_sends_in_turn() {
    let mut pace = Pace::new(Time::ZERO, 10.0);
    let now = SECOND;
    let waits = (0..6).map(|_| pace.take(now, MS * 250));
    let expected = [0, 0, 100, 200].map(|wait| Decision::Send(MS * wait));
    let refused = [Decision::Refuse(MS * 300); 2];
    assert_eq!(
        waits.collect::<Vec<_>>(),
        [&expected[..], &refused].concat()
    );
}

#[test]
fn nothing_is_saved_up_at_first() {
    let mut pace = Pace::new(NOW, 2.0);
    assert_eq!(pace.take(NOW, Duration::ZERO), Decision::Refuse(MS * 500));
}

#[rstest]
#[case::lower(0.5)]
#[case::higher(8.0)]
fn change_of_the_rate_saves_nothing_up(#[case] rate: f64) {
    let mut pace = Pace::new(Time::ZERO, 2.0);
    while let Decision::Send(_) = pace.take(NOW, Duration::ZERO) {}
    pace.set_rate(NOW, rate);
    let sends = (0..4_000).filter(|millis| {
        let taken = pace.take(NOW + MS * *millis, Duration::ZERO);
        matches!(taken, Decision::Send(_))
    });
    assert!(sends.count() as f64 <= rate * 4.0 + 1.0);
}

#[test]
fn answer_to_an_earlier_request_does_not_end_a_limit() {
    let mut limits = limits();
    let target = target(1);
    let named = limits.record_answer(NOW + MS, &target, NOW, Some(2.0));
    assert_eq!(named.expect("a change").rate, Some(2.0));
    let earlier = limits.record_answer(NOW + MS, &target, NOW + MS, None);
    assert_eq!((earlier, limits.rate(&target)), (None, Some(2.0)));
    let later = limits.record_answer(NOW + MS * 9, &target, NOW + MS * 2, None);
    assert_eq!(later.expect("a change").age, MS * 7);
    assert_eq!(limits.rate(&target), None);
}

/// Daemons tell each other, and ask the leader, with the limit that they know, which may be an old one.
#[rstest]
#[case::lower(1.0, 10.0)]
#[case::higher(10.0, 1.0)]
fn late_report_does_not_replace_a_later_limit(#[case] later: f64, #[case] earlier: f64) {
    let mut limits = limits();
    let target = target(1);
    limits.record_answer(NOW, &target, NOW, Some(later));
    let report = Report {
        target: target.id.clone(),
        started_unix_ms: target.started_unix_ms,
        rate: Some(earlier),
        age: SECOND,
    };
    assert!(!limits.record_report(NOW + MS, &report));
    assert_eq!(limits.rate(&target), Some(later));
}

/// Whatever the order in which daemons learn of answers, they end up with the limit that was named last.
#[rstest]
fn daemons_agree_on_the_limit_named_last(#[values(0, 1, 2, 3, 4, 5, 6, 7)] seed: u64) {
    const DAEMONS: usize = 5;
    const ANSWERS: u32 = 40;
    const MAX_DELAY_MS: u32 = 900;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let target = target(1);
    let mut daemons = vec![limits(); DAEMONS];
    let mut reports = Vec::new();
    for number in 0..ANSWERS {
        let named_at = NOW + SECOND.mul_f64(f64::from(number) / 10.0);
        let rate = f64::from(random.random_range(1..=10));
        for daemon in 0..DAEMONS {
            let delay = MS * random.random_range(0..MAX_DELAY_MS);
            reports.push((named_at + delay, daemon, rate, delay));
        }
    }
    let last = reports[reports.len() - 1].2;
    reports.sort_by_key(|(at, ..)| *at);
    for (at, daemon, rate, age) in reports {
        let report = Report {
            target: target.id.clone(),
            started_unix_ms: target.started_unix_ms,
            rate: Some(rate),
            age,
        };
        daemons[daemon].record_report(at, &report);
    }
    for limits in &daemons {
        assert_eq!(limits.rate(&target), Some(last));
    }
}

/// What a peer tells late does not end what was named meanwhile.
#[test]
fn late_report_does_not_end_a_limit() {
    let mut limits = limits();
    let target = target(1);
    limits.record_answer(NOW, &target, NOW, Some(2.0));
    let mut report = Report {
        target: target.id.clone(),
        started_unix_ms: 1,
        rate: None,
        age: MS * 20,
    };
    assert!(!limits.record_report(NOW + MS * 10, &report));
    report.age = MS;
    assert!(limits.record_report(NOW + MS * 10, &report));
    assert_eq!(limits.count(), 0);
}

#[test]
fn limit_is_that_of_one_start_of_the_target() {
    let mut limits = limits();
    limits.record_answer(NOW, &target(5), NOW, Some(2.0));
    assert_eq!(limits.rate(&target(6)), None);
    assert_eq!(limits.rate(&target(5)), Some(2.0));
    // What is told of an earlier start is outdated.
    limits.record_answer(NOW, &target(4), NOW, Some(1.0));
    assert_eq!(limits.rate(&target(5)), Some(2.0));
    limits.record_answer(NOW, &target(6), NOW, Some(3.0));
    assert_eq!(limits.rate(&target(6)), Some(3.0));
}

#[test]
fn limits_are_reported_again_but_not_by_each_answer() {
    let mut limits = limits();
    let target = target(1);
    let answers = (0..50).filter(|number| {
        let now = NOW + MS * 100 * *number;
        limits.record_answer(now, &target, now, Some(2.0)).is_some()
    });
    assert_eq!(answers.count(), 3);
}

/// Half of the daemons are lost: they may have a leader of their own.
#[test]
fn share_of_lost_daemons_is_held_back() {
    let mut limits = Limits::default();
    let target = target(1);
    limits.set_fleet(NOW, (0..8).map(host), 0);
    limits.record_answer(NOW, &target, NOW, Some(4.0));
    assert_eq!(limits.spendable(&target), Some(4.0));
    limits.set_fleet(NOW + SECOND, (0..4).map(host), 0);
    assert_eq!(limits.spendable(&target), Some(2.0));
    limits.set_fleet(NOW + SECOND * 40, (0..4).map(host), 0);
    assert_eq!(limits.spendable(&target), Some(4.0));
    // A daemon without links that knows the addresses of others.
    limits.set_fleet(NOW + SECOND * 41, [host(0)], 8);
    assert_eq!(limits.spendable(&target), Some(0.5));
}

#[test]
fn limits_of_unknown_targets_are_forgotten() {
    let mut limits = limits();
    limits.record_answer(NOW, &target(1), NOW, Some(2.0));
    limits.expire(NOW + SECOND * 59, |_| false);
    assert_eq!(limits.count(), 1);
    limits.expire(NOW + SECOND * 61, |_| true);
    assert_eq!(limits.count(), 1);
    limits.expire(NOW + SECOND * 61, |_| false);
    assert_eq!(limits.count(), 0);
}

/// A fleet before one target that names a limit.
struct Simulation {
    random: ChaCha8Rng,
    daemons: Vec<Limits>,
    /// When each daemon may ask again.
    closed_until: Vec<Time>,
    /// Side of the fleet on which each daemon is.
    sides: Vec<usize>,
    /// Messages under way: their arrival, receiver and content.
    messages: Vec<(Time, usize, Message)>,
    arrivals: Vec<Time>,
    rate: f64,
    /// Fraction of the reports between daemons that are lost.
    loss: f64,
}

#[derive(Clone, Debug)]
enum Message {
    Report(Report),
    Ask(usize),
    Grant(Decision),
    Arrive(usize),
    Answer(Time),
}

impl Simulation {
    fn new(seed: u64, daemons: usize, rate: f64, loss: f64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            daemons: vec![Limits::default(); daemons],
            closed_until: vec![Time::ZERO; daemons],
            sides: vec![0; daemons],
            messages: Vec::new(),
            arrivals: Vec::new(),
            rate,
            loss,
        }
    }

    /// Returns the daemon that leads those on the side of `daemon`.
    fn leader(&self, daemon: usize, turn: usize) -> usize {
        let side = self.sides[daemon];
        let linked = (0..self.daemons.len()).filter(|other| self.sides[*other] == side);
        let linked: Vec<usize> = linked.collect();
        linked[turn % linked.len()]
    }

    fn post(&mut self, now: Time, receiver: usize, message: Message) {
        let delay = MS * self.random.random_range(1..6);
        self.messages.push((now + delay, receiver, message));
    }

    /// Plays 30 s in which each daemon has a request for the target every `interval`. Leaders change
    /// every `term`, and from 10 to 20 s the fleet is in two halves if `is_parted`.
    fn run(&mut self, interval: Duration, term: Duration, is_parted: bool) {
        let count = self.daemons.len();
        for now in (0..30_000).map(|millis| MS * millis) {
            let turn = (now.as_millis() / term.as_millis()) as usize;
            let parted = is_parted && (SECOND * 10..SECOND * 20).contains(&now);
            for daemon in 0..count {
                self.sides[daemon] = usize::from(parted && daemon * 2 >= count);
            }
            if now.as_millis() % 100 == 0 {
                for daemon in 0..count {
                    let side = self.sides[daemon];
                    let linked = (0..count).filter(|other| self.sides[*other] == side);
                    let linked: Vec<HostId> = linked.map(host).collect();
                    self.daemons[daemon].set_fleet(now, linked, 0);
                }
            }
            let due = self.messages.extract_if(.., |(at, ..)| *at <= now);
            let due: Vec<_> = due.collect();
            for (_, receiver, message) in due {
                self.receive(now, receiver, message, turn);
            }
            for daemon in 0..count {
                if self.leader(daemon, turn) != daemon {
                    self.daemons[daemon].hold(now);
                }
                let has_request = self.random.random_bool(1.0 / interval.as_millis() as f64);
                if has_request && now >= self.closed_until[daemon] {
                    self.request(now, daemon, turn);
                }
            }
        }
    }

    fn request(&mut self, now: Time, daemon: usize, turn: usize) {
        if self.daemons[daemon].rate(&target(1)).is_none() {
            return self.post(now, daemon, Message::Arrive(daemon));
        }
        let leader = self.leader(daemon, turn);
        self.post(now, leader, Message::Ask(daemon));
    }

    fn receive(&mut self, now: Time, receiver: usize, message: Message, turn: usize) {
        match message {
            Message::Report(report) => {
                self.daemons[receiver].record_report(now, &report);
            }
            Message::Ask(daemon) => {
                // Asked with the limit that the daemon knows.
                let report = self.daemons[daemon].reports(now).next();
                if let Some(report) = report {
                    self.daemons[receiver].record_report(now, &report);
                }
                let taken = self.daemons[receiver].take(now, &target(1).id, Duration::ZERO);
                self.post(now, daemon, Message::Grant(taken));
            }
            Message::Grant(Decision::Send(_)) => {
                self.post(now, receiver, Message::Arrive(receiver));
            }
            Message::Grant(Decision::Refuse(wait)) => self.closed_until[receiver] = now + wait,
            Message::Arrive(daemon) => {
                self.arrivals.push(now);
                self.post(now, daemon, Message::Answer(now));
            }
            Message::Answer(sent_at) => {
                let rate = Some(self.rate);
                let target = target(1);
                let report = self.daemons[receiver].record_answer(now, &target, sent_at, rate);
                let Some(report) = report else { return };
                for other in 0..self.daemons.len() {
                    let is_lost = self.random.random_bool(self.loss);
                    if !is_lost && self.leader(other, turn) == self.leader(receiver, turn) {
                        self.post(now, other, Message::Report(report.clone()));
                    }
                }
            }
        }
    }

    /// Returns the most arrivals in a window from [`NOTICE`] on.
    fn most(&self) -> usize {
        let starts = self.arrivals.iter().filter(|at| **at >= NOTICE);
        let counts = starts.map(|start| {
            let inside = self.arrivals.iter();
            let inside = inside.filter(|at| *at >= start && **at < *start + WINDOW);
            inside.count()
        });
        counts.max().unwrap_or_default()
    }
}

/// The sum over the fleet stays within the limit, and makes use of it.
#[rstest]
#[case::small_fleet(7, 1.0, MS * 300)]
#[case::faster_targets(7, 6.0, MS * 300)]
#[case::large_fleet(85, 1.5, MS * 2_000)]
fn fleet_keeps_to_the_limit(
    #[case] daemons: usize,
    #[case] rate: f64,
    #[case] interval: Duration,
    #[values(0.0, 0.5)] loss: f64,
    #[values(SECOND * 60, SECOND * 3)] term: Duration,
    #[values(false, true)] is_parted: bool,
    #[values(1, 2)] seed: u64,
) {
    let mut simulation = Simulation::new(seed, daemons, rate, loss);
    simulation.run(interval, term, is_parted);
    let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
    let most = simulation.most();
    assert!(most as f64 <= allowed, "{most} of {allowed}");
    let used = simulation.arrivals.iter().filter(|at| **at >= NOTICE);
    let used = used.count() as f64 / 27.0 / rate;
    assert!(used >= 0.6, "{used}");
}
