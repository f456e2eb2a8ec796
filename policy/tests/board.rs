//! Gathering of pieces into calls, replayed in virtual time against the load of the users' sites.

mod yard;

use policy::relay::scheduler::Refusal;
use rstest::rstest;
use std::time::Duration;
use yard::{BRIEF, CHAT, NOTE, Pattern, Yard};

/// Pieces that a board may send in vain until it knows the room that another one has taken: a call
/// for each of the 13 targets.
const MAX_WITHOUT_ROOM: u32 = 3 * 8 + 5 * 18 + 5 * 28;
/// Requests of the burst that a lost board may cost: those of 4 s, of which it is missed for 1.3 s
/// and its results are made again for the rest.
const LOST_REQUESTS: u32 = 92; // 2.0 times 11.5 a second
/// Length of the replayed days; a burst and what follows it.
const DAY: Duration = Duration::from_secs(24);

fn burst(kind: usize, times: f64) -> Pattern {
    Pattern::of_site().with_burst(kind, times, 4.0, 10.0)
}

#[rstest]
fn calm_day_is_on_time(#[values(1, 2, 3)] seed: u64) {
    let day = Yard::new(seed).run(&Pattern::of_site(), DAY);
    for kind in [BRIEF, NOTE, CHAT] {
        assert!(
            day.on_time(kind) >= 0.9,
            "kind {kind}: {:?}",
            day.tally[kind]
        );
    }
    assert_eq!(day.refused(), 0);
}

/// Requests that can be on time go first, so that a burst does not make everybody late.
#[rstest]
fn burst_of_the_kind_that_binds_leaves_most_on_time(#[values(1, 2, 3)] seed: u64) {
    let day = Yard::new(seed).run(&burst(NOTE, 2.5), DAY);
    assert!(day.on_time(NOTE) >= 0.6, "{:?}", day.tally);
    assert!(day.served(NOTE) >= 0.9, "{:?}", day.tally);
    assert!(day.on_time(BRIEF) >= 0.9, "{:?}", day.tally);
}

/// The queue of a burst is gone some seconds after it.
#[rstest]
fn burst_is_over_soon_after_its_end(#[values(1, 2, 3)] seed: u64) {
    let day = Yard::new(seed).run(&burst(NOTE, 2.5), DAY);
    let late = day.late_after(Duration::from_secs(16));
    assert!(
        late <= 0.1,
        "{late} of the requests after the burst are late"
    );
}

/// Results wait for no reader until they lapse, and room is never promised twice.
#[rstest]
fn no_work_is_wasted_in_a_burst(#[values(NOTE, BRIEF)] kind: usize) {
    let day = Yard::new(4).run(&burst(kind, 2.5), DAY);
    assert_eq!((day.gone, day.without_room), (0, 0));
}

/// Targets die in a burst; their pieces are made again, and only with their inputs.
#[rstest]
fn dead_targets_cost_no_inputs(#[values(1, 2, 3)] seed: u64) {
    let pattern = burst(NOTE, 2.0).with_deaths(5.0, 9.0);
    let day = Yard::new(seed).run(&pattern, DAY);
    assert_eq!(day.without_inputs, 0);
    assert!(day.served(NOTE) >= 0.8, "{:?}", day.tally);
}

/// The board is lost in a burst with all that it knew. The next one takes all open jobs at once,
/// while the targets still hold results that it has not heard of.
#[rstest]
fn lost_board_costs_few_requests(#[values(1, 2, 3)] seed: u64) {
    let pattern = burst(NOTE, 2.0).with_lost_board(6.0);
    let day = Yard::new(seed).run(&pattern, DAY);
    let failed = day.refusals.iter();
    let failed = failed.filter(|refusal| refusal.reason == Refusal::Failed);
    assert_eq!(failed.count(), 0);
    assert!(
        day.without_room <= MAX_WITHOUT_ROOM,
        "{} pieces without room",
        day.without_room
    );
    assert!(day.tally[NOTE].refused <= LOST_REQUESTS, "{:?}", day.tally);
}

/// A target that turns slow costs its share of the work, not the requests that wait for it.
#[rstest]
fn slow_target_is_left_for_others(#[values(1, 2, 3)] seed: u64) {
    let pattern = Pattern::of_site().with_slow_target(4.0, 5.0);
    let day = Yard::new(seed).run(&pattern, DAY);
    assert!(day.on_time(NOTE) >= 0.75, "{:?}", day.tally);
    assert!(day.served(NOTE) >= 0.97, "{:?}", day.tally);
}

/// A refusal comes while the caller can still come back, not at its deadline.
#[rstest]
fn refusals_come_early(#[values(1, 2, 3)] seed: u64) {
    let day = Yard::new(seed).run(&burst(NOTE, 5.0), DAY);
    let early = day
        .refusals
        .iter()
        .filter(|refusal| refusal.left > Duration::from_secs(1));
    let share = early.count() as f64 / day.refusals.len().max(1) as f64;
    assert!(day.refusals.len() > 10, "the burst is too small to refuse");
    assert!(
        share >= 0.5,
        "{share} of {} refusals are early",
        day.refusals.len()
    );
}

#[test]
fn job_of_a_pool_without_targets_is_refused_at_once() {
    let mut yard = Yard::new(1);
    yard.remove_targets(0);
    let day = yard.run(&Pattern::of_site(), Duration::from_secs(2));
    let reasons: Vec<Refusal> = day.refusals.iter().map(|refusal| refusal.reason).collect();
    assert!(reasons.iter().all(|reason| *reason == Refusal::NoTarget));
    assert!(!reasons.is_empty());
}
