//! Targets that are cold, and the limits on their requests.

use policy::{
    id::{HostId, Time},
    relay::{
        cold::ColdTargets,
        rate::{Cold, Decision, Limits},
        registry::{Start, Target},
        selection::{Criteria, TargetSelector},
    },
};
use rstest::rstest;
use std::{collections::VecDeque, time::Duration};

const NOW: Time = Duration::from_secs(100);
const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Requests a second that a cold target takes, as deployments configure it.
const RATE: f64 = 17.0;
/// Highest number of requests that it bears in one second.
const MAX_PER_SECOND: usize = 30; // 1.5 times the rate and 5 more

fn target(id: &str, started_unix_ms: u64) -> Target {
    Target {
        id: id.into(),
        pool: "p".into(),
        address: "10.0.0.1:80".into(),
        domain: "d".into(),
        build: "v1".into(),
        slots: 8,
        is_ready: true,
        started_unix_ms,
    }
}

fn start(started_unix_ms: u64) -> Start {
    Start {
        target: "t".into(),
        started_unix_ms,
    }
}

fn limits(now: Time) -> Limits {
    let mut limits = Limits::default();
    limits.set_fleet(now, [HostId::from("h")], 1);
    limits
}

fn cold(until: Time) -> Cold {
    Cold { rate: RATE, until }
}

/// Guards against a message for each entry of a target that counts down.
#[test]
fn countdown_is_no_news() {
    let mut known = ColdTargets::default();
    let target = target("t", 1);
    assert!(known.is_news(NOW, &target, SECOND * 30));
    known.record_entry(NOW, &target, SECOND * 30);
    for second in 1..30 {
        let now = NOW + SECOND * second;
        let late = MS * 300 * (second % 2);
        let left = SECOND * (30 - second) + late;
        assert!(!known.is_news(now, &target, left), "after {second} s");
        known.record_entry(now, &target, left);
    }
    assert_eq!(known.until(NOW + SECOND * 40, &target), None);
    assert!(!known.is_news(NOW + SECOND * 40, &target, Duration::ZERO));
    // It may become cold at any moment.
    assert!(known.is_news(NOW + SECOND * 40, &target, SECOND * 20));
}

/// The latest entry counts, also if it ends the time early; other words only extend it.
#[test]
fn entry_replaces_entry_and_words_extend() {
    let mut known = ColdTargets::default();
    let target = target("t", 1);
    known.record_entry(NOW, &target, SECOND * 30);
    assert!(!known.record_word(NOW, &start(1), SECOND * 30));
    assert!(!known.record_word(NOW, &start(1), Duration::ZERO));
    known.record_entry(NOW, &target, Duration::ZERO);
    assert_eq!(known.until(NOW, &target), Some(NOW + SECOND * 30));
    assert!(known.record_word(NOW, &start(1), SECOND * 40));
    assert_eq!(known.until(NOW, &target), Some(NOW + SECOND * 40));
    let words: Vec<_> = known.words(NOW + SECOND).collect();
    assert_eq!(words, [(start(1), SECOND * 39)]);
    known.record_entry(NOW, &target, SECOND * 60);
    assert_eq!(known.until(NOW, &target), Some(NOW + SECOND * 60));
}

/// What was known of an earlier start does not hold for a later one, nor the other way round.
#[test]
fn words_are_about_one_start() {
    let mut known = ColdTargets::default();
    known.record_word(NOW, &start(2), SECOND * 30);
    assert_eq!(known.until(NOW, &target("t", 1)), None);
    assert!(!known.record_word(NOW, &start(1), SECOND * 60));
    assert!(known.until(NOW, &target("t", 2)).is_some());
    assert!(known.record_word(NOW, &start(3), SECOND * 5));
    assert_eq!(known.until(NOW, &target("t", 2)), None);
    // An entry that counts although its start is earlier, as after a clock was set back.
    known.record_entry(NOW, &target("t", 1), SECOND * 9);
    assert_eq!(known.until(NOW, &target("t", 1)), Some(NOW + SECOND * 9));
}

/// Guards against more requests in any one second than a cold target bears, however many daemons ask.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::waiting(MS * 500)]
fn cold_target_gets_no_more_than_it_bears(#[case] max_wait: Duration) {
    let target = target("t", 1);
    let mut limits = limits(NOW);
    assert!(limits.set_cold(NOW, &target, Some(cold(NOW + SECOND * 20))));
    let mut sends: VecDeque<Time> = VecDeque::new();
    let mut total = 0;
    for now in (0..15_000).map(|millis| NOW + MS * millis) {
        for _ in 0..3 {
            if let Decision::Send(wait) = limits.take(now, &target.id, max_wait) {
                sends.push_back(now + wait);
                total += 1;
            }
        }
        while sends.front().is_some_and(|at| *at + SECOND <= now) {
            sends.pop_front();
        }
        let within = sends.iter().filter(|at| **at < now + SECOND).count();
        // Those that are still to be sent are evenly spaced, too.
        assert!(within <= MAX_PER_SECOND * 2 && sends.len() <= MAX_PER_SECOND * 2);
        let window = sends.iter().take_while(|at| **at < sends[0] + SECOND);
        assert!(window.count() <= MAX_PER_SECOND);
    }
    assert!(f64::from(total) >= RATE * 15.0 * 0.9, "{total}");
}

/// Guards against a burst of a new leader beside the grants of the one before.
#[test]
fn new_leader_begins_with_nothing_saved_up() {
    let target = target("t", 1);
    let mut limits = limits(NOW);
    limits.set_cold(NOW, &target, Some(cold(NOW + SECOND * 20)));
    let now = NOW + SECOND * 5;
    limits.hold(now);
    assert!(matches!(
        limits.take(now, &target.id, Duration::ZERO),
        Decision::Refuse(_)
    ));
}

/// Of the limit that a target names and that of cold targets, the smaller one holds.
#[rstest]
#[case::named_is_smaller(2.0, 2.0)]
#[case::cold_is_smaller(50.0, RATE)]
fn smaller_limit_holds(#[case] named: f64, #[case] both: f64) {
    let target = target("t", 1);
    let mut limits = limits(NOW);
    limits.set_cold(NOW, &target, Some(cold(NOW + SECOND * 20)));
    limits.record_answer(NOW, &target, NOW, Some(named));
    assert_eq!(limits.rate(&target), Some(both));
    assert_eq!((limits.count(), limits.cold_count()), (1, 1));
    // An answer without a limit ends the one that was named, not the other.
    let later = NOW + SECOND;
    limits.record_answer(later, &target, later, None);
    assert_eq!(limits.rate(&target), Some(RATE));
    assert_eq!(limits.reports(later).count(), 0);
    limits.record_answer(later, &target, later, Some(named));
    assert_eq!(limits.end_cold(NOW + SECOND * 20), ["t"]);
    assert_eq!(limits.rate(&target), Some(named));
    let last = NOW + SECOND * 30;
    limits.record_answer(last, &target, last, None);
    assert_eq!(limits.rate(&target), None);
}

#[test]
fn limit_ends_with_the_cold_time() {
    let target = target("t", 1);
    let mut limits = limits(NOW);
    let until = NOW + SECOND * 20;
    limits.set_cold(NOW, &target, Some(cold(until)));
    // A countdown changes nothing but the end.
    assert!(!limits.set_cold(NOW + SECOND, &target, Some(cold(until + MS * 50))));
    assert!(limits.end_cold(until).is_empty());
    assert_eq!(limits.end_cold(until + MS * 50), ["t"]);
    assert_eq!(limits.rate(&target), None);
    assert_eq!(limits.cold_count(), 0);
}

/// Guards against requests that wait for permits of cold targets while others would take them at once.
#[test]
fn others_are_preferred_to_cold_targets() {
    let targets = [target("a", 1), target("b", 1), target("c", 1)];
    let mut limits = limits(NOW);
    for target in &targets[..2] {
        limits.set_cold(NOW, target, Some(cold(NOW + SECOND * 20)));
    }
    let waits = limits.cold_waits(NOW + SECOND * 5);
    let selector = TargetSelector::default();
    let criteria = Criteria {
        max_in_flight: 100,
        waits: &waits,
        ..Criteria::default()
    };
    let chosen = selector.choose(NOW, targets.iter(), &criteria);
    assert_eq!(chosen.map(|chosen| chosen.target.id.as_str()), Some("c"));
}
