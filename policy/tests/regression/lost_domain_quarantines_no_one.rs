//! A lost failure domain put innocent payloads into quarantine.
//!
//! Its targets died within moments. A call that broke at the first was repeated at the second,
//! which died as well, and the two deaths were held against the payload.

use policy::{
    Command, Event,
    entry::{Entry, Settings},
    fault::Fault,
    host::{Host, State},
    id::{AttemptId, Key, TargetId, Time},
    pool::Pool,
    table::{Pipeline, Table},
};
use std::{sync::Arc, time::Duration};

fn host(target: &str, domain: &str) -> Host {
    Host {
        host: target.into(),
        target: target.into(),
        pool: "desk".into(),
        address: target.into(),
        domain: domain.into(),
        region: "r".into(),
        state: State::Live,
    }
}

fn entry(seed: u64) -> Entry {
    let mut entry = Entry::new(Settings {
        host: "entry-1".into(),
        domain: "a".into(),
        incarnation: 1,
        seed,
        pools: vec![Pool::new("desk")],
        queue: 16,
        remember: Duration::from_secs(60),
    });
    let mut table = Table {
        revision: 1,
        ..Table::default()
    };
    table
        .pipelines
        .insert("read".into(), Pipeline::new(["desk"]));
    let near = ["a1", "a2", "a3", "a4"].map(|target| host(target, "a"));
    let hosts = near.into_iter().chain([host("b1", "b")]).collect();
    let events = [
        Event::Table {
            table: Arc::new(table),
        },
        Event::Hosts { hosts },
    ];
    for event in events {
        entry.on(Time::ZERO, event, &mut Vec::new());
    }
    entry
}

fn dispatched(commands: &[Command]) -> Option<(AttemptId, TargetId)> {
    commands.iter().rev().find_map(|command| match command {
        Command::Dispatch(call) => Some((call.attempt, call.target.clone())),
        _ => None,
    })
}

#[test]
fn broken_call_is_repeated_in_another_domain() {
    for seed in 0..20 {
        let mut entry = entry(seed);
        let mut commands = Vec::new();
        let submit = Event::Submit {
            key: Key::new("w", "read", "r"),
            deadline: Duration::from_secs(4),
            retry: false,
            payload: "{}".into(),
        };
        entry.on(Time::ZERO, submit, &mut commands);
        let (attempt, first) = dispatched(&commands).expect("a first call");
        let fault = Fault::Broken;
        commands.clear();
        let at = Duration::from_millis(5);
        entry.on(at, Event::Failed { attempt, fault }, &mut commands);
        let at = entry.wake_at().unwrap_or(at);
        entry.on(at, Event::Wake, &mut commands);
        let (_, second) = dispatched(&commands).expect("a second call");
        assert_ne!(first[..1], second[..1], "{first} and then {second}");
    }
}
