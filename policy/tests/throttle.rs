//! Replays of events at a leader whose choices of calls take long.

use policy::{id::Time, relay::scheduler::Throttle};
use rstest::rstest;
use std::time::Duration;

/// Largest part of the time that choices may take, so that the leader can read replies and send calls.
const MAX_PART: u32 = 4; // a quarter
const RUN_LENGTH: Duration = Duration::from_secs(2);

/// Time taken by all choices, and the longest that an event waited for one.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    chosen_for: Duration,
    /// End of the last choice.
    ended: Time,
    longest_wait: Duration,
}

/// Plays an event each `interval`, each of which is to be followed by a choice that takes `choice`.
fn play(interval: Duration, choice: Duration) -> Outcome {
    let mut throttle = Throttle::default();
    let mut outcome = Outcome::default();
    let mut event: Time = Duration::ZERO;
    let mut now = event;
    while event < RUN_LENGTH {
        now = now.max(event);
        if let Some(open_at) = throttle.wait(now) {
            now = open_at;
        }
        outcome.longest_wait = outcome.longest_wait.max(now.saturating_sub(event));
        throttle.record(now, now + choice);
        now += choice;
        outcome.chosen_for += choice;
        outcome.ended = now;
        // The choice is made for all events that came before it.
        while event + choice <= now {
            event += interval;
        }
    }
    outcome
}

#[rstest]
#[case::large_site_in_a_burst(400, 1_000)]
#[case::a_slow_host(400, 5_000)]
#[case::queues_of_ten_thousands(100, 40_000)]
fn choices_leave_time_for_connections(#[case] interval_us: u64, #[case] choice_us: u64) {
    let choice = Duration::from_micros(choice_us);
    let outcome = play(Duration::from_micros(interval_us), choice);
    assert!(
        outcome.chosen_for <= outcome.ended / MAX_PART + choice,
        "{outcome:?}"
    );
    assert!(outcome.longest_wait <= choice * 5, "{outcome:?}");
}

#[test]
fn events_of_small_sites_wait_for_nothing() {
    let outcome = play(Duration::from_millis(2), Duration::from_micros(100));
    assert_eq!(outcome.longest_wait, Duration::ZERO);
}
