//! Which requests that must not be repeated a daemon that shuts down still sends.

use policy::{
    id::Time,
    relay::shutdown::{RunTimes, Timetable},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;

const ROUTE: &str = "note";
/// Time from the signal until requests without a response are given up, for `grace-s` 8.
const LAST_CALL: Time = Duration::from_millis(7_350);
/// Time from the signal until new requests are rejected.
const CLOSE: Time = Duration::from_millis(2_800);
/// Time for which callers wait, longer than the grace period.
const PATIENCE: Duration = Duration::from_secs(20);
/// Runs that are remembered.
const MEMORY: u32 = 32;
const SEEDS: u64 = 200;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn before_last_call(duration: f64) -> Time {
    LAST_CALL.saturating_sub(seconds(duration))
}

/// Returns the duration of a run: `median` seconds, a few times as long now and then, at most `max`.
fn duration(random: &mut ChaCha8Rng, median: f64, max: f64) -> Duration {
    let uniform: f64 = random.random_range(0.02..0.98);
    seconds((median * (uniform / (1.0 - uniform)).powf(0.7)).min(max))
}

/// What became of the requests of a daemon that shut down.
#[derive(Debug, Default)]
struct Counts {
    sent: u32,
    /// Sent, and not finished in time.
    cut: u32,
    refused: u32,
}

/// Replays requests every 50 ms until the daemon rejects them, after others whose runs are known.
fn replay(seed: u64, median: f64, max: f64, counts: &mut Counts) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut runs = RunTimes::default();
    for _ in 0..100 {
        runs.record(ROUTE, duration(&mut random, median, max), true);
    }
    let mut now = Time::ZERO;
    while now < CLOSE {
        let latest = runs.latest_send(ROUTE, now + PATIENCE, LAST_CALL);
        let run = duration(&mut random, median, max);
        if latest.is_some_and(|latest| latest <= now) {
            counts.refused += 1;
        } else {
            counts.sent += 1;
            counts.cut += u32::from(now + run > LAST_CALL);
        }
        now += Duration::from_millis(50);
    }
}

/// A request that is sent and cut off has taken longer than all runs that are remembered, which happens to
/// one in 33.
#[rstest]
#[case::short(0.5, 4.0)]
#[case::some_too_long(1.5, 8.0)]
#[case::most_too_long(6.0, 30.0)]
fn few_requests_are_cut(#[case] median: f64, #[case] max: f64) {
    let mut counts = Counts::default();
    for seed in 0..SEEDS {
        replay(seed, median, max, &mut counts);
    }
    println!("{counts:?}");
    assert!(counts.cut * (MEMORY + 1) <= counts.sent + counts.refused);
    if CLOSE + seconds(max) <= LAST_CALL {
        assert_eq!(counts.refused, 0);
    }
}

#[test]
fn request_that_ends_by_itself_is_sent_at_any_time() {
    let mut runs = RunTimes::default();
    runs.record(ROUTE, PATIENCE, true);
    assert_eq!(runs.latest_send(ROUTE, LAST_CALL, LAST_CALL), None);
}

#[test]
fn request_of_an_unknown_route_is_not_sent() {
    let mut runs = RunTimes::default();
    runs.record("another", seconds(0.1), true);
    let latest = runs.latest_send(ROUTE, PATIENCE, LAST_CALL);
    assert_eq!(latest, Some(Time::ZERO));
}

#[test]
fn longest_of_the_latest_runs_counts() {
    let mut runs = RunTimes::default();
    let latest = |runs: &RunTimes| runs.latest_send(ROUTE, PATIENCE, LAST_CALL);
    runs.record(ROUTE, seconds(3.0), true);
    for _ in 1..MEMORY {
        runs.record(ROUTE, seconds(1.0), true);
    }
    assert_eq!(latest(&runs), Some(before_last_call(3.0)));
    runs.record(ROUTE, seconds(1.0), true);
    assert_eq!(latest(&runs), Some(before_last_call(1.0)));
    runs.record(ROUTE, seconds(10.0), true);
    assert_eq!(latest(&runs), Some(Time::ZERO));
}

/// A run that was not completed says how long others last at least.
#[test]
fn incomplete_run_only_prolongs() {
    let mut runs = RunTimes::default();
    let latest = |runs: &RunTimes| runs.latest_send(ROUTE, PATIENCE, LAST_CALL);
    runs.record(ROUTE, seconds(0.1), false);
    assert_eq!(latest(&runs), Some(Time::ZERO));
    runs.record(ROUTE, seconds(1.0), true);
    for _ in 0..MEMORY {
        runs.record(ROUTE, seconds(0.1), false);
    }
    assert_eq!(latest(&runs), Some(before_last_call(1.0)));
    runs.record(ROUTE, seconds(2.0), false);
    assert_eq!(latest(&runs), Some(before_last_call(2.0)));
}

/// What is interrupted was sent within 3 s of the signal and is at work in the last sixth of the grace period,
/// as the users' rules require.
#[rstest]
fn interruptions_are_excused(#[values(2, 3, 4, 6, 8, 30, 300)] grace_period: u64) {
    let grace_period = Duration::from_secs(grace_period);
    let times = Timetable::new(grace_period);
    assert!(times.close <= seconds(3.0) && times.close < times.last_call);
    assert!(times.last_call * 6 >= grace_period * 5, "{times:?}");
    assert!(times.last_call < times.exit && times.exit <= times.latest_exit);
    assert!(times.latest_exit < grace_period);
}

#[test]
fn timetable_of_the_sites() {
    let times = Timetable::new(Duration::from_secs(8));
    assert_eq!((times.close, times.last_call), (CLOSE, LAST_CALL));
}
