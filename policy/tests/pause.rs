//! Pauses that full targets ask for, simulated in virtual time.

use policy::{
    id::Time,
    relay::{
        pause::{self, Decision, MAX_PAUSE, Pauses},
        registry::Target,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::{collections::BinaryHeap, time::Duration};

const NOW: Time = Duration::from_secs(100);

fn target(number: usize, started: u64) -> Target {
    Target {
        id: format!("i-{number}").into(),
        pool: "plain".into(),
        address: format!("10.0.0.{number}:80").into(),
        domain: "a".into(),
        build: "v1".into(),
        slots: 6,
        is_ready: true,
        started_unix_ms: started,
    }
}

#[test]
fn pause_ends_and_is_never_shortened() {
    let mut pauses = Pauses::default();
    let first = target(0, 1);
    pauses.record(NOW, &first, Duration::from_secs(2));
    pauses.record(NOW, &first, Duration::from_millis(10));
    assert!(pauses.is_paused(NOW + Duration::from_millis(1_999), &first));
    assert!(!pauses.is_paused(NOW + Duration::from_secs(2), &first));
    assert!(!pauses.is_paused(NOW, &target(1, 1)));
}

#[test]
fn later_start_has_not_asked() {
    let mut pauses = Pauses::default();
    pauses.record(NOW, &target(0, 1), Duration::from_secs(2));
    assert!(!pauses.is_paused(NOW, &target(0, 2)));
    pauses.record(NOW, &target(0, 2), Duration::from_secs(1));
    assert!(!pauses.is_paused(NOW + Duration::from_secs(1), &target(0, 2)));
}

#[test]
fn pause_is_bounded() {
    let mut pauses = Pauses::default();
    pauses.record(NOW, &target(0, 1), Duration::MAX);
    assert!(!pauses.is_paused(NOW + MAX_PAUSE, &target(0, 1)));
}

#[rstest]
#[case::one_is_open(&[500, 0], None)]
#[case::first_to_open(&[500, 200], Some(200))]
#[case::no_targets(&[], None)]
fn time_to_open_is_that_of_the_first_target(#[case] left: &[u64], #[case] expected: Option<u64>) {
    let mut pauses = Pauses::default();
    let targets: Vec<Target> = (0..left.len()).map(|number| target(number, 1)).collect();
    for (target, left) in targets.iter().zip(left).filter(|(_, left)| **left > 0) {
        pauses.record(NOW, target, Duration::from_millis(*left));
    }
    let time = pauses.time_to_open(NOW, targets.iter());
    assert_eq!(time, expected.map(Duration::from_millis));
}

/// What comes of the requests of a burst.
#[derive(Debug, Default)]
struct Report {
    served: usize,
    sent: usize,
    /// Sends that a target had excluded by an earlier answer to the same daemon.
    excluded: usize,
    /// Rejections by targets.
    rejections: usize,
}

/// Number of daemons, each of which knows only its own answers.
const DAEMONS: usize = 60;
const TARGETS: usize = 5;
const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(15);
/// Pause that a full target asks for.
const PAUSE: Duration = Duration::from_secs(2);
/// Interval between requests at a tenth of the targets' capacity.
const INTERVAL: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(12);
/// Time in which the requests are twice what the targets can serve.
const BURST: std::ops::Range<Duration> = Duration::from_secs(2)..Duration::from_millis(2_500);
/// Time for which a request may wait for a target.
const MAX_WAIT: Duration = Duration::from_millis(15);
/// Time for which a caller waits, and up to a third of which it honours a time to retry.
const CALLER_PATIENCE: Duration = Duration::from_secs(9);

/// A request that arrives at a daemon, in order of time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Arrival {
    at: std::cmp::Reverse<Time>,
    daemon: usize,
    began: Time,
    is_retry: bool,
}

/// When refused callers return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Returns {
    Spread,
    Together,
}

/// Plays a burst at targets that ask each daemon which they reject for a pause.
fn play(seed: u64, returns: Returns) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let targets: Vec<Target> = (0..TARGETS).map(|number| target(number, 1)).collect();
    let mut busy: Vec<Vec<Time>> = vec![Vec::new(); TARGETS];
    let mut asked = vec![[Time::ZERO; TARGETS]; DAEMONS];
    let mut daemons = vec![Pauses::default(); DAEMONS];
    let mut report = Report::default();
    let mut arrivals = BinaryHeap::new();
    let mut at = Time::ZERO;
    while at < LENGTH {
        let factor = if BURST.contains(&at) { 20 } else { 1 };
        at += INTERVAL.mul_f64(random.random_range(0.0..2.0)) / factor;
        report.sent += 1;
        arrivals.push(Arrival {
            at: std::cmp::Reverse(at),
            daemon: random.random_range(0..DAEMONS),
            began: at,
            is_retry: false,
        });
    }
    while let Some(arrival) = arrivals.pop() {
        let (now, daemon) = (arrival.at.0, arrival.daemon);
        let pauses = &mut daemons[daemon];
        let open = (0..TARGETS).filter(|&number| !pauses.is_paused(now, &targets[number]));
        let mut open: Vec<usize> = open.collect();
        let mut is_served = false;
        for _ in 0..2 {
            if open.is_empty() || is_served {
                break;
            }
            let number = open.swap_remove(random.random_range(0..open.len()));
            report.excluded += usize::from(now < asked[daemon][number]);
            busy[number].retain(|end| now < *end);
            is_served = busy[number].len() < SLOTS;
            if is_served {
                busy[number].push(now + WORK);
            } else {
                report.rejections += 1;
                asked[daemon][number] = now + PAUSE;
                pauses.record(now, &targets[number], PAUSE);
            }
        }
        if is_served {
            report.served += 1;
            continue;
        }
        let time_to_open = pauses.time_to_open(now, targets.iter());
        let turn = match returns {
            Returns::Spread => random.random(),
            Returns::Together => 0.0,
        };
        let decision = pause::decide(time_to_open.unwrap_or_default(), MAX_WAIT, turn);
        let wait = match decision {
            Decision::Wait(wait) => wait,
            Decision::Refuse(retry_after) => retry_after,
        };
        let left = (arrival.began + CALLER_PATIENCE).saturating_sub(now);
        if !arrival.is_retry && wait <= left / 3 {
            arrivals.push(Arrival {
                at: std::cmp::Reverse(now + wait),
                is_retry: matches!(decision, Decision::Refuse(_)),
                ..arrival
            });
        }
    }
    report
}

/// Load pattern: a short burst of twice what a small pool can serve, from sixty daemons of which each
/// has a few requests. Nothing is sent in a pause, and more callers are served in the end if those that
/// are refused do not return together.
#[rstest]
fn pauses_are_kept_in_a_burst(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let spread = play(seed, Returns::Spread);
    let together = play(seed, Returns::Together);
    assert_eq!(spread.excluded, 0, "{spread:?}");
    assert!(spread.served >= together.served, "{spread:?} {together:?}");
}
