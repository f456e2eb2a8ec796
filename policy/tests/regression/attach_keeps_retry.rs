//! A first copy was told `failed` with no effect after a repeated copy had joined it.
//!
//! The repeated copy had run at another entry meanwhile, where the side effect took place. The
//! request kept the first copy's promise and answered both with `effects: none`.

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
