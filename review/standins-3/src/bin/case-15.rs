//! Short streams of two software versions, when all daemons are killed at once: KNOWN-RED.txt lists the
//! bench's days `power-off-and-releases` and `losses-and-releases`.

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
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const DAEMONS: usize = 7;
const DEADLINE: Duration = Duration::from_secs(6);
/// 17 events, as `full-fitting-brief` has on the sheet.
const EVENTS: u64 = 17;
const EVENT_PAUSE: Duration = Duration::from_millis(18);
/// Time between two streams.
const INTERVAL: Duration = Duration::from_millis(8);
/// Number of times that all daemons are killed, and the time before each one.
const KILLS: usize = 1;
const BEFORE: Duration = Duration::from_secs(6);
const DOWN: Duration = Duration::from_millis(700);
/// `stability-window-ms` of the settings.
const STABILITY: Duration = Duration::from_secs(3);
/// Waits of a client before its few retries, unless `Retry-After` asks for a longer one.
const RETRY_DELAYS: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_millis(1_000),
    Duration::from_millis(2_600),
];
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// A stream that was broken off after an event.
struct TakenUp {
    went_on: bool,
    /// Whether a try was sent to machines in touch, and whether one of these went on.
    in_touch: Option<bool>,
    versions: usize,
}

#[derive(Default)]
struct Counts {
    whole: usize,
    broken: usize,
    taken_up: Vec<TakenUp>,
    new: usize,
    begun: usize,
}

struct Scene<'a> {
    record: &'a Record,
    counts: Mutex<Counts>,
    fronts: Vec<SocketAddr>,
    /// From when the machines are in touch again; absent before the kill.
    in_touch_from: Mutex<Option<Instant>>,
}

fn main() {
    let record = Record::create(15);
    let store = Store::start();
    let world = Arc::new(World::default());
    let role = Role::Model {
        pause: EVENT_PAUSE,
        bytes: 60,
    };
    let mut engines = Vec::new();
    for version in VERSIONS {
        for (number, zone) in [(1, "z-a"), (2, "z-b"), (3, "z-c")] {
            let id = format!("i-{version}-{number}");
            engines.push(Engine::start(
                &world, &store, &id, "s-model", zone, version, role,
            ));
        }
    }
    store.put("op", "config", &config());
    let mut fleet = Fleet::start(store.address, DAEMONS);
    thread::sleep(Duration::from_secs(6));

    let scene = Scene {
        record: &record,
        counts: Mutex::default(),
        fronts: (0..DAEMONS).map(|index| fleet.front(index)).collect(),
        in_touch_from: Mutex::default(),
    };
    let mut draw = Draw::new(std::process::id().into());
    for kill in 0..KILLS as u64 {
        let is_over = AtomicBool::new(false);
        thread::scope(|scope| {
            let (scene, is_over) = (&scene, &is_over);
            scope.spawn(move || {
                let mut draw = Draw::new(16 + kill);
                while !is_over.load(Ordering::SeqCst) {
                    let seed = draw.next();
                    scope.spawn(move || follow(scene, seed));
                    thread::sleep(INTERVAL);
                }
            });
            // The kill comes at any moment of the daemons' own intervals.
            thread::sleep(BEFORE + Duration::from_millis(draw.below(500)));
            is_over.store(true, Ordering::SeqCst);
            if case::has_trouble() {
                for index in 0..DAEMONS {
                    fleet.signal(index, "KILL");
                }
                record.line("SIGKILL to all daemons");
                for index in 0..DAEMONS {
                    fleet.kill(index);
                }
                thread::sleep(DOWN);
                for index in 0..DAEMONS {
                    fleet.spawn(index);
                }
                record.line("all daemons are started again");
                *scene.in_touch_from.lock().unwrap() = Some(Instant::now() + STABILITY);
            }
            thread::sleep(STABILITY + Duration::from_millis(200));
            for _ in 0..20 {
                let seed = draw.next();
                scope.spawn(move || begin(scene, seed));
                thread::sleep(Duration::from_millis(50));
            }
        });
        *scene.in_touch_from.lock().unwrap() = None;
    }
    drop(fleet);
    let counts = scene.counts.into_inner().unwrap();
    let went_on = counts
        .taken_up
        .iter()
        .filter(|stream| stream.went_on)
        .count();
    let in_touch = counts.taken_up.iter().filter_map(|stream| stream.in_touch);
    let in_touch: Vec<bool> = in_touch.collect();
    let in_touch_on = in_touch.iter().filter(|went_on| **went_on).count();
    let two = counts
        .taken_up
        .iter()
        .filter(|stream| stream.versions > 1)
        .count();
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let begun = share(counts.begun, counts.new);
    let summary = format!(
        "{} streams whole, {} broken off; {} taken up, {went_on} of them went on at any try; {} taken up at machines in touch, {in_touch_on} of them went on; {} of {} new streams began; {two} with events of two versions",
        counts.whole,
        counts.broken,
        counts.taken_up.len(),
        in_touch.len(),
        counts.begun,
        counts.new
    );
    if counts.begun * 2 < counts.new {
        record.line(&summary);
        standins_3::fleet::unable("new streams did not begin");
    }
    // Counted in both ways: tries at machines in touch alone, and all tries.
    let is_low = |part, all| all >= 12 && share(part, all) < begun / 2.0;
    let is_lost = is_low(in_touch_on, in_touch.len()) && is_low(went_on, counts.taken_up.len());
    case::finish(&record, is_lost || two > 2, &summary);
}

/// Sends a stream, and takes it up a few times within its deadline if its connection breaks.
fn follow(scene: &Scene<'_>, seed: u64) {
    let mut draw = Draw::new(seed);
    let first = draw.id();
    let until = Instant::now() + DEADLINE;
    let answer = client::send(front(scene, &mut draw), &request(&first, DEADLINE), until);
    let events = answer.event_ids();
    if answer.is_complete && answer.status == 200 {
        scene.counts.lock().unwrap().whole += 1;
        return;
    }
    scene.counts.lock().unwrap().broken += 1;
    let Some(last) = events.last() else { return };
    scene
        .record
        .line(format!("{first} broken off after event {last}"));
    let mut stream = TakenUp {
        went_on: false,
        in_touch: None,
        versions: versions(&[&answer]),
    };
    let mut asked = Duration::ZERO;
    for delay in RETRY_DELAYS {
        let left = until.saturating_duration_since(Instant::now());
        thread::sleep(delay.max(asked.min(left / 3)));
        let id = draw.id();
        let left = until.saturating_duration_since(Instant::now());
        let call = request(&id, left)
            .with("Last-Event-Id", last)
            .with("Resumes", &first);
        let in_touch_from = *scene.in_touch_from.lock().unwrap();
        let is_in_touch = in_touch_from.is_some_and(|from| Instant::now() >= from);
        let resumed = client::send(front(scene, &mut draw), &call, until);
        asked = resumed.retry_after().unwrap_or_default();
        if resumed.status == 0 {
            continue;
        }
        stream.went_on = resumed.event_ids().first() == Some(&(last + 1));
        stream.versions = stream.versions.max(versions(&[&answer, &resumed]));
        if is_in_touch {
            stream.in_touch = Some(stream.went_on);
        }
        scene.record.line(format!(
            "{first} taken up as {id}, in touch {is_in_touch}: {} {}",
            resumed.status,
            if resumed.status == 200 {
                String::new()
            } else {
                resumed.text().trim().to_owned()
            }
        ));
        if stream.went_on {
            break;
        }
    }
    scene.counts.lock().unwrap().taken_up.push(stream);
}

fn begin(scene: &Scene<'_>, seed: u64) {
    let mut draw = Draw::new(seed);
    let id = draw.id();
    let answer = client::send(
        front(scene, &mut draw),
        &request(&id, DEADLINE),
        Instant::now() + DEADLINE,
    );
    let mut counts = scene.counts.lock().unwrap();
    counts.new += 1;
    counts.begun += usize::from(answer.event_ids().first() == Some(&1));
}

fn front(scene: &Scene<'_>, draw: &mut Draw) -> SocketAddr {
    scene.fronts[draw.below(DAEMONS as u64) as usize]
}

fn versions(answers: &[&Answer]) -> usize {
    let found: BTreeSet<&str> = answers
        .iter()
        .flat_map(|answer| {
            let text = answer.text();
            VERSIONS
                .into_iter()
                .filter(move |version| text.contains(&format!(" {version} ")))
        })
        .collect();
    found.len()
}

fn request(id: &str, deadline: Duration) -> Call {
    Call::new("POST", "/brief/7", id, deadline)
        .with("Godwithinge-Model-Name", "m")
        .with("Godwithinge-Token-Counts", format!("640,{EVENTS}"))
        .with(
            "Godwithinge-Prompt-Prefix",
            format!("5c1e07a2:500,{id}:140"),
        )
        .with_body(b"a brief".to_vec())
}

fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "r-brief", "host": "fit.example", "prefix": "/brief/", "kind": "streaming",
            "timeout-ms": 6_000, "target-latency-ms": 1100, "priority": 1, "service": "s-model",
            "max-attempts": 2, "stages": [], "public": false, "sticky": true, "resumable": true,
            "gap-aim-ms": 200,
        }],
        "services": [{"name": "s-model", "health-path": "/healthz", "max-connections": 360,
                      "protocol": "h1", "tls": false, "engine": {"slots": 64, "kv-tokens": 370_000}}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "tailors", "api-keys": ["k-1"]}],
    })
}
