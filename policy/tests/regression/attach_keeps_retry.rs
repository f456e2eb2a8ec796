//! Guards against reporting `effects: none` to a repeated copy whose side effect took place.
//!
//! The copy had already run at another entry before it was attached to the first copy's request,
//! which was not marked as repeated and failed with `effects: none` for both.

use crate::fixture::entry;
use policy::{
    Command, Event, Outcome,
    id::{Key, Time},
};
use std::time::Duration;

#[test]
fn attached_repeat_gets_unknown() {
    let mut entry = entry(0, 1, false);
    let mut commands = Vec::new();
    let mut submit = |at, deadline, retry| {
        let event = Event::Submit {
            key: Key::new("w", "order", "r"),
            deadline: Duration::from_millis(deadline),
            retry,
            payload: "{}".into(),
        };
        entry.on(Duration::from_millis(at), event, &mut commands);
    };
    submit(0, 700, false);
    submit(600, 1300, true);
    let wake: Time = Duration::from_millis(1900);
    entry.on(wake, Event::Wake, &mut commands);
    let outcomes: Vec<_> = commands
        .iter()
        .filter_map(|command| match command {
            Command::Finish { outcome, .. } => Some(outcome),
            _ => None,
        })
        .collect();
    assert!(
        matches!(outcomes[..], [Outcome::Unknown { .. }]),
        "{outcomes:?}"
    );
}
