//! Patience with targets that are silent, dead, or starve some of their calls.

use policy::{
    id::{TargetId, Time},
    relay::patience::{Activity, Patience},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::{ops::Range, time::Duration};

/// Maximum event gap of the calls.
const GAP: Duration = Duration::from_millis(200);
/// Time after which callers give up.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Longest silence at which a call may be moved, since another target needs some time.
const LATEST_MOVE: Duration = Duration::from_millis(1_700);
const TARGETS: usize = 9;
const CALLS_PER_TARGET: usize = 12;
const STEP: Duration = Duration::from_millis(10);
/// Length of a run in steps.
const STEPS: u32 = 500;

/// A call whose events come at intervals of up to 80 ms.
struct Call {
    target: usize,
    last_event: Time,
    next_event: Time,
    /// Silence at which the patience with its target was exhausted.
    moved_after: Option<Duration>,
}

/// Runs calls at all targets, of which those for which `is_silent` returns true send nothing, and
/// returns the calls.
fn run(seed: u64, is_silent: impl Fn(usize, usize, Time) -> bool) -> Vec<Call> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut activity = Activity::default();
    let patience = Patience::between_events(GAP);
    let targets: Vec<TargetId> = (0..TARGETS).map(|id| id.to_string().into()).collect();
    let calls = (0..TARGETS * CALLS_PER_TARGET).map(|index| Call {
        target: index % TARGETS,
        last_event: Time::ZERO,
        next_event: STEP * random.random_range(0..8),
        moved_after: None,
    });
    let mut calls: Vec<Call> = calls.collect();
    for now in (0..STEPS).map(|step| STEP * step) {
        for (index, call) in calls.iter_mut().enumerate() {
            if call.moved_after.is_some() {
                continue;
            }
            let target = &targets[call.target];
            if now >= call.next_event && !is_silent(call.target, index, now) {
                activity.record(now, target);
                call.last_event = now;
                call.next_event = now + STEP * random.random_range(1..9);
            } else if patience.is_exhausted(now, call.last_event, target, &activity) {
                call.moved_after = Some(now.saturating_sub(call.last_event));
            }
        }
    }
    calls
}

fn is_within(range: &Range<u64>, now: Time) -> bool {
    range.contains(&(now.as_millis() as u64))
}

#[rstest]
fn silence_of_a_second_moves_no_call(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let silence = 1_000..2_200;
    let all = run(seed, |_, _, now| is_within(&silence, now));
    assert!(all.iter().all(|call| call.moved_after.is_none()));
    let one = run(seed, |target, _, now| {
        target == 3 && is_within(&silence, now)
    });
    assert!(one.iter().all(|call| call.moved_after.is_none()));
}

#[rstest]
fn calls_of_a_dead_target_move_before_their_callers_give_up(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let calls = run(seed, |target, _, now| target == 3 && now > CALLER_PATIENCE);
    for call in calls {
        assert_eq!(call.moved_after.is_some(), call.target == 3);
        assert!(call.moved_after.is_none_or(|after| after < LATEST_MOVE));
    }
}

/// The target goes on with its other calls.
#[rstest]
fn starved_call_moves_sooner(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let calls = run(seed, |_, call, now| call == 3 && now > CALLER_PATIENCE);
    for (index, call) in calls.iter().enumerate() {
        assert_eq!(call.moved_after.is_some(), index == 3);
    }
    let after = calls[3].moved_after.unwrap_or_default();
    assert!(after >= GAP * 4 && after < GAP * 5, "{after:?}");
}

#[test]
fn first_event_is_waited_for_longer_with_a_long_prompt() {
    let (activity, target) = (Activity::default(), TargetId::from("3"));
    let prefill = Duration::from_secs(1);
    let is_exhausted = |prefill| {
        let patience = Patience::before_first_event(prefill, CALLER_PATIENCE);
        let now = Duration::from_millis(1_600);
        patience.is_exhausted(now, Time::ZERO, &target, &activity)
    };
    assert!(is_exhausted(Duration::ZERO));
    assert!(!is_exhausted(prefill));
}

/// The other target has to read the prompt, too, before the caller leaves.
#[test]
fn first_event_of_a_long_prompt_is_not_waited_for_until_the_caller_gives_up() {
    let (activity, target) = (Activity::default(), TargetId::from("3"));
    let prefill = Duration::from_millis(600);
    let is_exhausted = |caller_patience| {
        let patience = Patience::before_first_event(prefill, caller_patience);
        let now = Duration::from_millis(1_500);
        patience.is_exhausted(now, Time::ZERO, &target, &activity)
    };
    assert!(is_exhausted(CALLER_PATIENCE));
    assert!(!is_exhausted(CALLER_PATIENCE * 2));
}

/// A process ends in `left`: another target has the time of a first event under load before it, and a
/// call that waits for its turn keeps its place until then.
#[rstest]
fn last_move_leaves_time_for_an_answer(#[values(0, 200, 1_000)] prefill_ms: u64) {
    const USUAL: Duration = Duration::from_millis(900);
    let prefill = Duration::from_millis(prefill_ms);
    let patience = Patience::before_first_event(prefill, CALLER_PATIENCE);
    assert!(patience.is_last_move(prefill + USUAL));
    assert!(!patience.is_last_move(prefill + 2 * USUAL));
}
