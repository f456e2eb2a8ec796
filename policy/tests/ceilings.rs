//! Enforcement of request ceilings at one entry.

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

/// Ceiling of the workspace, in requests per second.
const CEILING: f64 = 4.0;

/// Time by which the entry has the whole ceiling in use.
const WARMED_UP_AT: Time = Duration::from_secs(12);

/// Requests that are submitted at the same time; the entry accumulates at most two unused starts.
const BURST: usize = 12;

/// Returns an entry without peers whose workspace has sent requests up to [`WARMED_UP_AT`].
fn warmed_up_entry() -> Entry {
    let mut entry = entry(0, 1, false);
    let mut table = table();
    table.revision = 2;
    let workspace = table.workspaces.values_mut().next();
    workspace.expect("table should have a workspace").ceiling = Some(CEILING);
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

/// Handles an event and completes each dispatched call immediately.
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

/// Returns how many requests have dispatched their first stage.
fn started(commands: &[Command]) -> usize {
    let is_first =
        |command: &&Command| matches!(command, Command::Dispatch(call) if call.stage == 0);
    commands.iter().filter(is_first).count()
}

/// Returns the reason and the retry delay of each request that was not run.
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

/// Requests over the ceiling wait for at most [`MAX_WAIT`], and the rest are refused at once.
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

/// Requests whose deadline leaves no time to wait are refused at once, with a retry delay.
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

/// Each tick broadcasts the demand of the workspace to the peers.
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
