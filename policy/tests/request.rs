//! Golden tests of request sessions at one entry: a script of events and the resulting commands.
//!
//! A golden file contains comments (`#`), script lines (`{"at": milliseconds, ...event}`) and the
//! indented output of the entry: wake-ups by its timers (`~ milliseconds`) and commands. Run with
//! `UPDATE_GOLDEN=1` to regenerate the files.

mod fixture;

use policy::{Command, Event, entry::Entry, id::Time};
use rstest::rstest;
use serde::Deserialize;
use std::{fmt::Write, fs, path::PathBuf, time::Duration};

/// Script line of a golden file: an event and its time in milliseconds.
#[derive(Deserialize)]
struct ScriptLine {
    at: u64,
    #[serde(flatten)]
    event: Event,
}

#[rstest]
#[case("answered")]
#[case("engine_dies_mid_stream")]
#[case("claim_reply_lost")]
#[case("claim_held_elsewhere")]
#[case("claim_holder_is_gone")]
#[case("call_broken_and_looked_up")]
#[case("call_broken_without_lookup")]
#[case("call_outlives_deadline")]
#[case("connection_refused")]
#[case("platform_out")]
#[case("repeated_request_refused")]
#[case("hopeless_request")]
#[case("poison")]
#[case("late_result")]
#[case("drain")]
fn session_matches_its_golden_file(#[case] name: &str) {
    let path =
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/request/{name}.txt"));
    let text = fs::read_to_string(&path).expect("golden file should be readable");
    let replayed = replay(&text);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, &replayed).expect("golden file should be writable");
    }
    assert_eq!(replayed, text);
}

/// Replays the script lines of a golden file and returns the expected content of the file.
fn replay(text: &str) -> String {
    let mut entry = fixture::entry(0, 1, false);
    let mut out = String::new();
    for line in text.lines() {
        if line.starts_with("# in flight") {
            continue;
        }
        if line.starts_with('#') || line.is_empty() {
            writeln!(out, "{line}").unwrap();
        } else if line.starts_with('{') {
            let script: ScriptLine =
                serde_json::from_str(line).expect("script line should be an event in JSON");
            let now = Duration::from_millis(script.at);
            run_timers_until(&mut entry, now, &mut out);
            writeln!(out, "{line}").unwrap();
            handle_event(&mut entry, now, script.event, &mut out);
        }
    }
    run_timers_until(&mut entry, Duration::from_secs(60), &mut out);
    writeln!(out, "# in flight at the end: {}", entry.in_flight()).unwrap();
    out
}

fn run_timers_until(entry: &mut Entry, until: Time, out: &mut String) {
    while let Some(at) = entry.wake_at().filter(|at| *at < until) {
        writeln!(out, "  ~ {:.3}", at.as_secs_f64() * 1e3).unwrap();
        handle_event(entry, at, Event::Wake, out);
    }
}

fn handle_event(entry: &mut Entry, now: Time, event: Event, out: &mut String) {
    let mut commands = Vec::new();
    entry.on(now, event, &mut commands);
    for command in &commands {
        writeln!(out, "  {}", to_json(command)).unwrap();
    }
}

fn to_json(command: &Command) -> String {
    serde_json::to_string(command).expect("command should serialize to JSON")
}
