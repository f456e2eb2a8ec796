//! Guards against quarantining harmless payloads when a failure domain is lost.
//!
//! All targets of the domain died at almost the same time. A call that broke at one target was
//! retried at a second one, which died too, and both deaths were attributed to the payload.

use policy::{
    Command, Event,
    command::Frame,
    entry::{Entry, Settings},
    fault::Fault,
    host::{Host, State},
    id::{AttemptId, Key, TargetId, Time},
    pool::Pool,
    table::{Pipeline, Table},
};
use rstest::rstest;
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

fn submit(request: &str) -> Event {
    Event::Submit {
        key: Key::new("w", "read", request),
        deadline: Duration::from_secs(4),
        retry: false,
        payload: format!("\"{request}\"").into(),
    }
}

#[test]
fn broken_call_is_repeated_in_another_domain() {
    for seed in 0..20 {
        let mut entry = entry(seed);
        let mut commands = Vec::new();
        entry.on(Time::ZERO, submit("r"), &mut commands);
        let (attempt, first) = dispatched(&commands).expect("first call should be dispatched");
        let fault = Fault::Broken;
        commands.clear();
        let at = Duration::from_millis(5);
        entry.on(at, Event::Failed { attempt, fault }, &mut commands);
        let at = entry.wake_at().unwrap_or(at);
        entry.on(at, Event::Wake, &mut commands);
        let (_, second) = dispatched(&commands).expect("second call should be dispatched");
        assert_ne!(first[..1], second[..1], "{first} and then {second}");
    }
}

/// Breaks the connections of `calls`, and returns how many payloads the entry clears.
fn count_cleared(entry: &mut Entry, calls: &[(AttemptId, TargetId)]) -> usize {
    let mut commands = Vec::new();
    for (at, (attempt, _)) in calls.iter().enumerate() {
        let event = Event::Failed {
            attempt: *attempt,
            fault: Fault::Broken,
        };
        entry.on(Duration::from_millis(at as u64), event, &mut commands);
    }
    let frames = commands.iter().filter_map(|command| match command {
        Command::Broadcast { frame } => Some(frame),
        _ => None,
    });
    let frames = frames.filter(|frame| matches!(frame, Frame::Cleared { .. }));
    frames.count()
}

#[rstest]
#[case::same_domain("a", 2)]
#[case::other_domain("b", 0)]
fn deaths_in_one_domain_clear_payloads(#[case] domain: &str, #[case] expected: usize) {
    let mut entry = entry(1);
    let mut calls = Vec::new();
    for number in 0..40 {
        let mut commands = Vec::new();
        entry.on(Time::ZERO, submit(&format!("r{number}")), &mut commands);
        calls.extend(dispatched(&commands));
    }
    let first = calls
        .iter()
        .find(|(_, target)| target.starts_with('a'))
        .expect("a call should go to domain a");
    let second = calls
        .iter()
        .find(|(_, target)| target.starts_with(domain) && *target != first.1)
        .expect("a call should go to another target");
    let pair = [first.clone(), second.clone()];
    assert_eq!(count_cleared(&mut entry, &pair), expected, "{pair:?}");
}
