//! Guards against admitting requests that a later stage's queue is certain to refuse.
//!
//! Admission counted only the queue of the first stage. In a burst no request was refused on
//! arrival, and requests ran three stages before the queue of the last one refused them.

use crate::fixture::{entry, millis};
use policy::{
    Command, Event, Outcome,
    id::{AttemptId, Key, Time},
};

fn submit(request: &str, deadline: u64) -> Event {
    Event::Submit {
        key: Key::new("w", "read", request),
        deadline: millis(deadline),
        retry: false,
        payload: format!("\"{request}\"").into(),
    }
}

fn encoder_calls(commands: &[Command]) -> Vec<AttemptId> {
    let calls = commands.iter().filter_map(|command| match command {
        Command::Dispatch(call) if call.stage == 0 => Some(call.attempt),
        _ => None,
    });
    calls.collect()
}

#[test]
fn request_behind_a_long_later_queue_is_not_run() {
    let mut entry = entry(0, 1, false);
    let mut commands = Vec::new();
    for number in 0..40 {
        let event = submit(&format!("r{number}"), 60_000);
        entry.on(Time::ZERO, event, &mut commands);
        for attempt in encoder_calls(&std::mem::take(&mut commands)) {
            let result = "1".into();
            entry.on(millis(1), Event::Done { attempt, result }, &mut commands);
        }
    }
    commands.clear();
    entry.on(millis(1), submit("late", 10), &mut commands);
    let refused = commands.iter().any(|command| {
        matches!(command, Command::Finish { key, outcome: Outcome::NotRun { .. } }
            if key.request == "late")
    });
    assert!(refused, "{commands:?}");
    assert!(encoder_calls(&commands).is_empty(), "{commands:?}");
}
