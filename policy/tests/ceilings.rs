//! Ceilings of workspaces and pipelines at one entry.

mod fixture;

use fixture::{entry, millis, table};
use policy::{
    Command, Event, Outcome,
    ceiling::MAX_WAIT,
    entry::Entry,
    id::{Key, Time},
    outcome::Reason,
};
use std::{sync::Arc, time::Duration};

/// Requests a second that the workspace may send.
const CEILING: f64 = 4.0;

/// When the entry has the whole ceiling in use.
const WARMED_UP_AT: Time = Duration::from_secs(12);

/// Requests that are sent at once; the entry saves up at most two.
const BURST: usize = 12;

/// Returns an entry that is alone and whose workspace has asked for its ceiling for a while.
fn warmed_up_entry() -> Entry {
    let mut entry = entry(0, 1, false);
    let mut table = table();
    table.revision = 2;
    let workspace = table.workspaces.values_mut().next();
    workspace.expect("the table has a workspace").ceiling = Some(CEILING);
    let event = Event::Table {
        table: Arc::new(table),
    };
    entry.on(Duration::ZERO, event, &mut Vec::new());
    let mut at = Duration::ZERO;
    while at < WARMED_UP_AT {
        let name = format!("warm-{}", at.as_millis());
        submit(&mut entry, at, &name, millis(100), &mut Vec::new());
        run_timers(&mut entry, at, &mut Vec::new());
        at += millis(200);
    }
    run_timers(&mut entry, WARMED_UP_AT, &mut Vec::new());
    entry
}

fn submit(entry: &mut Entry, at: Time, name: &str, deadline: Duration, out: &mut Vec<Command>) {
    let key = Key::new("w", "read", name);
    let event = Event::Submit {
        key,
        deadline,
        retry: false,
        payload: "{}".into(),
    };
    handle_and_answer(entry, at, event, out);
}

fn run_timers(entry: &mut Entry, until: Time, out: &mut Vec<Command>) {
    while let Some(at) = entry.wake_at().filter(|at| *at <= until) {
        handle_and_answer(entry, at, Event::Wake, out);
    }
}

/// Hands over an event and answers each call at once.
fn handle_and_answer(entry: &mut Entry, at: Time, event: Event, out: &mut Vec<Command>) {
    let mut next = out.len();
    entry.on(at, event, out);
    while next < out.len() {
        if let Command::Dispatch(call) = &out[next] {
            let (attempt, result) = (call.attempt, "{}".into());
            entry.on(at, Event::Done { attempt, result }, out);
        }
        next += 1;
    }
}

fn submit_burst(entry: &mut Entry, deadline: Duration) -> Vec<Command> {
    let mut out = Vec::new();
    for number in 0..BURST {
        submit(
            entry,
            WARMED_UP_AT,
            &format!("r{number}"),
            deadline,
            &mut out,
        );
    }
    out
}

/// Returns how many requests have begun their first stage.
fn started(commands: &[Command]) -> usize {
    let is_first =
        |command: &&Command| matches!(command, Command::Dispatch(call) if call.stage == 0);
    commands.iter().filter(is_first).count()
}

/// Returns why requests were not run, and when their callers are to come back.
fn refusals(commands: &[Command]) -> Vec<(Reason, Duration)> {
    let refusal = |command: &Command| match command {
        Command::Finish {
            outcome:
                Outcome::NotRun {
                    reason,
                    retry_after,
                },
            ..
        } => Some((*reason, *retry_after)),
        _ => None,
    };
    commands.iter().filter_map(refusal).collect()
}

/// Requests over the ceiling wait for at most a second, and the others are told at once.
#[test]
fn requests_wait_for_the_ceiling_within_the_limit() {
    let mut entry = warmed_up_entry();
    let mut commands = submit_burst(&mut entry, Duration::from_secs(60));
    let refused = refusals(&commands).len();
    run_timers(&mut entry, WARMED_UP_AT + MAX_WAIT, &mut commands);
    let started = started(&commands);
    let most = (CEILING * MAX_WAIT.as_secs_f64() * 1.05) as usize + 2;
    assert!(
        (CEILING as usize..=most).contains(&started),
        "{started} started"
    );
    assert_eq!(started + refused, BURST);
}

/// Requests that can't wait are told at once that they were not run, and when to come back.
#[test]
fn requests_that_cannot_wait_are_refused_at_once() {
    let mut entry = warmed_up_entry();
    let commands = submit_burst(&mut entry, millis(100));
    let refusals = refusals(&commands);
    assert_eq!(refusals.len() + started(&commands), BURST);
    assert!(refusals.len() >= BURST - 3, "{refusals:?}");
    for (reason, retry_after) in refusals {
        assert_eq!(reason, Reason::Ceiling);
        assert!(retry_after > millis(100));
    }
}

/// A tick tells the peers what the workspace asks for.
#[test]
fn demand_is_published() {
    let mut entry = warmed_up_entry();
    let mut commands = submit_burst(&mut entry, Duration::from_secs(1));
    run_timers(
        &mut entry,
        WARMED_UP_AT + Duration::from_secs(3),
        &mut commands,
    );
    let is_broadcast = |command: &&Command| matches!(command, Command::Broadcast { .. });
    assert!(commands.iter().any(|command| is_broadcast(&command)));
}
