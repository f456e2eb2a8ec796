//! Golden tests of the decisions of one entry in load scenarios of a small deployment.
//!
//! A script line consists of a time in milliseconds, a verb and its arguments. The indented lines
//! below it are the entry's decisions and the outcomes that it reported.

use policy::{
    Command, Event, Outcome, Table,
    decision::Decision,
    entry::{Entry, Settings},
    fault::Fault,
    host::{Host, Report, State},
    id::{AttemptId, Key, Time},
    pool::Pool,
    table::{Pipeline, Workspace},
};
use rstest::rstest;
use std::{collections::BTreeMap, fmt::Write, fs, path::PathBuf, sync::Arc, time::Duration};

const POOL: &str = "engines";

/// Engines of each session; the first letter of a name is its failure domain.
const TARGETS: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];

struct Session {
    entry: Entry,
    hosts: Vec<Host>,
    /// Attempts in flight, by request and target.
    attempts: BTreeMap<(String, String), AttemptId>,
    out: String,
}

fn table() -> Table {
    let mut table = Table {
        revision: 1,
        ..Table::default()
    };
    for (name, share) in [("tailors", 2.0), ("fitters", 1.0)] {
        let row = Workspace {
            share,
            ..Workspace::default()
        };
        table.workspaces.insert(name.into(), row);
    }
    for (name, priority) in [("fit", 0), ("draft", -1)] {
        let row = Pipeline {
            priority,
            ..Pipeline::new([POOL])
        };
        table.pipelines.insert(name.into(), row);
    }
    table
}

fn host(name: &str) -> Host {
    Host {
        host: name.into(),
        target: name.into(),
        pool: POOL.into(),
        address: name.into(),
        domain: name[..1].into(),
        region: "amman".into(),
        state: State::Live,
    }
}

impl Session {
    fn new() -> Self {
        let idle_timeout = Duration::from_secs(1);
        let entry = Entry::new(Settings {
            host: "entry-1".into(),
            domain: "a".into(),
            incarnation: 1,
            seed: 6,
            pools: vec![
                Pool::new(POOL)
                    .with_engine("m", 40)
                    .with_limits(Duration::from_secs(20), idle_timeout),
            ],
            queue: 6,
            remember: Duration::from_secs(60),
        });
        let mut session = Self {
            entry,
            hosts: TARGETS.map(host).into(),
            attempts: BTreeMap::new(),
            out: String::new(),
        };
        let table = Arc::new(table());
        session.handle_event(Time::ZERO, Event::Table { table });
        let hosts = session.hosts.clone();
        session.handle_event(Time::ZERO, Event::Hosts { hosts });
        session
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        let mut commands = Vec::new();
        self.entry.on(now, event, &mut commands);
        for command in commands {
            self.record_command(command);
        }
    }

    /// Runs the timers that are due before `time`.
    fn run_timers_until(&mut self, time: Time) {
        while let Some(at) = self.entry.wake_at().filter(|at| *at < time) {
            let before = self.out.len();
            self.handle_event(at, Event::Wake);
            if self.out.len() > before {
                let line = format!("  at {}\n", at.as_millis());
                self.out.insert_str(before, &line);
            }
        }
    }

    fn record_command(&mut self, command: Command) {
        match command {
            Command::Dispatch(call) => {
                let call_key = (call.key.request.to_string(), call.target.to_string());
                self.attempts.insert(call_key, call.attempt);
            }
            Command::Cancel { attempt } => {
                let found = self.attempts.iter().find(|(_, id)| **id == attempt);
                if let Some((call_key, _)) = found.map(|(call_key, id)| (call_key.clone(), *id)) {
                    writeln!(self.out, "  cancel {} at {}", call_key.0, call_key.1).unwrap();
                    self.attempts.remove(&call_key);
                }
            }
            Command::LogDecision(decision) => self.record_decision(&decision),
            Command::Finish { key, outcome } => {
                let request = &key.request;
                let text = match outcome {
                    Outcome::Answered { .. } => "answered".to_owned(),
                    Outcome::NotRun { reason, .. } => format!("not_run {reason}"),
                    Outcome::Failed { reason, .. } => format!("failed {reason}"),
                    Outcome::Unknown { .. } => "unknown".to_owned(),
                };
                writeln!(self.out, "  finish {request} {text}").unwrap();
            }
            _ => {}
        }
    }

    fn record_decision(&mut self, decision: &Decision) {
        let request = &decision.key.request;
        write!(self.out, "  {} {request}", decision.choice).unwrap();
        if let Some(target) = &decision.target {
            write!(self.out, " at {target}:").unwrap();
        }
        for candidate in &decision.candidates {
            write!(self.out, " {}={:.3}", candidate.target, candidate.score).unwrap();
        }
        self.out.push('\n');
    }

    fn execute(&mut self, now: Time, verb: &str, arguments: &[&str]) {
        match (verb, arguments) {
            ("submit", [workspace, pipeline, requests @ .., deadline]) => {
                let deadline = Duration::from_millis(deadline.parse().unwrap());
                for request in requests {
                    let key = Key::new(*workspace, *pipeline, *request);
                    let payload = format!("{{\"prompt\":\"{request}\"}}").into();
                    let retry = false;
                    self.handle_event(
                        now,
                        Event::Submit {
                            key,
                            deadline,
                            retry,
                            payload,
                        },
                    );
                }
            }
            ("part", [requests @ .., tokens]) => {
                let tokens = tokens.parse().unwrap();
                let event = |attempt| Event::Progress {
                    attempt,
                    text: "x".into(),
                    tokens,
                };
                for request in requests {
                    let call_key = self
                        .attempts
                        .keys()
                        .find(|call_key| call_key.0 == **request);
                    let call_key = call_key.expect("request should have an attempt in flight");
                    let attempt = self.attempts[call_key];
                    self.handle_event(now, event(attempt));
                }
            }
            ("done", requests) => self.end(
                requests,
                |attempt| {
                    let result = "{\"text\":\"x\"}".into();
                    Event::Done { attempt, result }
                },
                now,
            ),
            ("broken", requests) => self.fail(requests, Fault::Broken, now),
            ("unsent", requests) => self.fail(requests, Fault::Unsent, now),
            ("silent", requests) => self.fail(requests, Fault::Silent, now),
            ("load", [targets @ .., load, rate, age]) => {
                let report = Report {
                    running: load.parse().unwrap(),
                    max_concurrency: 2,
                    tokens_per_second: rate.parse().unwrap(),
                    prefill_per_second: 4000.0,
                    age: Duration::from_millis(age.parse().unwrap()),
                    models: vec!["m".into()],
                    ..Report::default()
                };
                for target in targets {
                    let (target, report) = ((*target).into(), report.clone());
                    self.handle_event(now, Event::Load { target, report });
                }
            }
            ("unlist", targets) => {
                self.hosts
                    .retain(|host| !targets.contains(&host.target.as_str()));
                let hosts = self.hosts.clone();
                self.handle_event(now, Event::Hosts { hosts });
            }
            ("wake", []) => self.handle_event(now, Event::Wake),
            _ => panic!("unknown verb or wrong arguments: {verb} {arguments:?}"),
        }
    }

    fn fail(&mut self, requests: &[&str], fault: Fault, now: Time) {
        self.end(requests, |attempt| Event::Failed { attempt, fault }, now);
    }

    /// Ends the attempts that match `REQUEST`, `REQUEST@TARGET`, or `@TARGET` for all at a target.
    fn end(&mut self, names: &[&str], event: impl Fn(AttemptId) -> Event, now: Time) {
        for name in names {
            let (request, target) = name.split_once('@').unwrap_or((name, ""));
            let matches_name = |(known, at): &&(String, String)| {
                (request.is_empty() || known == request) && (target.is_empty() || at == target)
            };
            let calls: Vec<_> = self.attempts.keys().filter(matches_name).cloned().collect();
            assert!(!calls.is_empty(), "no attempt in flight matches {name}");
            for call_key in calls {
                let attempt = self.attempts.remove(&call_key).unwrap();
                self.handle_event(now, event(attempt));
            }
        }
    }
}

/// Replays the script lines of a golden file and returns the expected content of the file.
fn replay(text: &str) -> String {
    let mut session = Session::new();
    for line in text.lines().filter(|line| !line.starts_with(' ')) {
        if line.starts_with('#') || line.is_empty() {
            writeln!(session.out, "{line}").unwrap();
            continue;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let now = Duration::from_millis(words[0].parse().unwrap());
        session.run_timers_until(now);
        writeln!(session.out, "{line}").unwrap();
        session.execute(now, words[1], &words[2..]);
    }
    session.out
}

#[rstest]
#[case("steady")]
#[case("burst")]
#[case("slow_engine")]
#[case("dead_engine")]
#[case("lost_domain")]
#[case("flood")]
#[case("late_reports")]
#[case("long_and_short")]
#[case("resend")]
#[case("moved_stream")]
fn session_matches_its_golden_file(#[case] name: &str) {
    let path =
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/scenario/{name}.txt"));
    let text = fs::read_to_string(&path).expect("golden file should be readable");
    let replayed = replay(&text);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, &replayed).expect("golden file should be writable");
    }
    assert_eq!(replayed, text);
}
