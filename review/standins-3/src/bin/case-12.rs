//! Streams of a route that several services share, which clients take up again after a daemon was killed.

use serde_json::{Value, json};
use standins_3::{
    case::{self, Draw, Record},
    client::{self, Answer, Call},
    engine::{Engine, Role, World},
    fleet::Fleet,
    store::Store,
};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const DEADLINE: Duration = Duration::from_secs(20);
const STREAMS: usize = 60;
const NEW_STREAMS: usize = 40;
const EVENTS: u64 = 60;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const KILL_AFTER: Duration = Duration::from_secs(3);
const SERVICES: [(&str, &str, u32); 3] = [
    ("s-one", "v1", 34),
    ("s-two", "v2", 33),
    ("s-three", "v3", 33),
];

/// Outcome of a stream.
#[derive(Default)]
struct Counts {
    whole: usize,
    broken: usize,
    taken_up: usize,
    went_on: usize,
    begun: usize,
    new: usize,
    of_two_versions: usize,
}

fn main() {
    let record = Record::create(12);
    let store = Store::start();
    let world = Arc::new(World::default());
    let role = Role::Model {
        pause: EVENT_PAUSE,
        bytes: 60,
    };
    let mut engines = Vec::new();
    for (service, version, _) in SERVICES {
        for (number, zone) in [(1, "z-a"), (2, "z-b"), (3, "z-c")] {
            let id = format!("i-{service}-{number}");
            engines.push(Engine::start(
                &world, &store, &id, service, zone, version, role,
            ));
        }
    }
    store.put("op", "config", &config());
    let mut fleet = Fleet::start(store.address, 3);
    // All daemons are linked and have read all entries.
    thread::sleep(Duration::from_secs(4));

    let counts = Mutex::new(Counts::default());
    let mut draw = Draw::new(12);
    let first = fleet.front(0);
    let others = [fleet.front(1), fleet.front(2)];
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let ids = [draw.id(), draw.id()];
            let (record, counts) = (&record, &counts);
            scope.spawn(move || follow(record, counts, first, others[number % 2], &ids));
        }
        thread::sleep(KILL_AFTER);
        if case::has_trouble() {
            fleet.kill(0);
            record.line("SIGKILL to the daemon that forwards the streams");
        }
        for number in 0..NEW_STREAMS {
            let id = draw.id();
            let (record, counts) = (&record, &counts);
            scope.spawn(move || begin(record, counts, others[number % 2], &id));
            thread::sleep(Duration::from_millis(50));
        }
    });
    for run in world.runs.lock().unwrap().iter() {
        let last = run.request.head.field("last-event-id").unwrap_or("none");
        record.line_at(
            run.at,
            format!(
                "{} ({} {}) ran {} after event {last}",
                run.engine, run.service, run.version, run.id
            ),
        );
    }
    drop(fleet);
    let counts = counts.into_inner().unwrap();
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let (went_on, begun) = (
        share(counts.went_on, counts.taken_up),
        share(counts.begun, counts.new),
    );
    let summary = format!(
        "{} streams whole, {} broken off; {} taken up, of which {} went on ({went_on:.2}); {} of {} new streams began ({begun:.2}); {} with events of two versions",
        counts.whole,
        counts.broken,
        counts.taken_up,
        counts.went_on,
        counts.begun,
        counts.new,
        counts.of_two_versions
    );
    if counts.begun * 2 < counts.new {
        record.line(&summary);
        standins_3::fleet::unable("new streams did not begin");
    }
    let is_lost = counts.taken_up >= 12 && went_on < begun / 2.0;
    case::finish(&record, is_lost || counts.of_two_versions > 2, &summary);
}

/// Sends a stream, and takes it up once if its connection breaks, as a client with one retry.
fn follow(
    record: &Record,
    counts: &Mutex<Counts>,
    first: SocketAddr,
    other: SocketAddr,
    ids: &[String; 2],
) {
    let until = Instant::now() + DEADLINE;
    let answer = client::send(first, &request(&ids[0], DEADLINE), until);
    report(record, &ids[0], &answer);
    let events = answer.event_ids();
    if answer.is_complete {
        counts.lock().unwrap().whole += 1;
        return;
    }
    counts.lock().unwrap().broken += 1;
    let Some(last) = events.last() else { return };
    let left = until.saturating_duration_since(Instant::now());
    let call = request(&ids[1], left)
        .with("Last-Event-Id", last)
        .with("Resumes", &ids[0]);
    record.line(format!(
        "taken up {} after event {last} as {}",
        ids[0], ids[1]
    ));
    let resumed = client::send(other, &call, until);
    report(record, &ids[1], &resumed);
    let mut counts = counts.lock().unwrap();
    counts.taken_up += 1;
    counts.went_on += usize::from(resumed.event_ids().first() == Some(&(last + 1)));
    let versions: BTreeSet<&str> = versions(&answer)
        .union(&versions(&resumed))
        .copied()
        .collect();
    counts.of_two_versions += usize::from(versions.len() > 1);
}

/// Begins a new stream.
fn begin(record: &Record, counts: &Mutex<Counts>, address: SocketAddr, id: &str) {
    let answer = client::send(address, &request(id, DEADLINE), Instant::now() + DEADLINE);
    report(record, id, &answer);
    let mut counts = counts.lock().unwrap();
    counts.new += 1;
    counts.begun += usize::from(answer.event_ids().first() == Some(&1));
}

fn versions(answer: &Answer) -> BTreeSet<&'static str> {
    let text = answer.text();
    let found = SERVICES
        .iter()
        .filter(|(service, version, _)| text.contains(&format!("{service} {version} ")));
    found.map(|(_, version, _)| *version).collect()
}

fn report(record: &Record, id: &str, answer: &Answer) {
    let reason = if answer.status == 200 {
        String::new()
    } else {
        answer.text().trim().to_owned()
    };
    record.line(format!(
        "answered {id} {} complete {} events {:?} to {:?} {reason}",
        answer.status,
        answer.is_complete,
        answer.event_ids().first(),
        answer.event_ids().last()
    ));
}

fn request(id: &str, deadline: Duration) -> Call {
    Call::new("POST", "/chat/7", id, deadline)
        .with("Godwithinge-Model-Name", "m")
        .with("Godwithinge-Token-Counts", format!("640,{EVENTS}"))
        .with(
            "Godwithinge-Prompt-Prefix",
            format!("5c1e07a2:500,{id}:140"),
        )
        .with_body(b"a question".to_vec())
}

fn config() -> Value {
    let split = SERVICES
        .iter()
        .map(|(service, _, weight)| json!({"service": service, "weight": weight}));
    let services = SERVICES.iter().map(|(service, _, _)| json!({
        "name": service, "health-path": "/healthz", "max-connections": 360, "protocol": "h1", "tls": false,
        "engine": {"slots": 64, "kv-tokens": 370_000},
    }));
    json!({
        "version": 1,
        "routes": [{
            "name": "r-chat", "host": "fit.example", "prefix": "/chat/", "kind": "streaming",
            "timeout-ms": 20_000, "target-latency-ms": 1700, "priority": 2,
            "traffic-split": Value::from_iter(split), "max-attempts": 2, "stages": [], "public": false,
            "sticky": true, "resumable": true, "gap-aim-ms": 200,
        }],
        "services": Value::from_iter(services),
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "tailors", "api-keys": ["k-1"]}],
    })
}
