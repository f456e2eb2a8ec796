//! A daemon that is stopped after its settings file has changed without a signal.

use serde_json::{Value, json};
use standins_3::{
    case::{self, Draw, Record},
    client::{self, Call},
    engine::{Engine, Role, World},
    fleet::Fleet,
    store::Store,
};
use std::{
    collections::HashMap,
    fs,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const DEADLINE: Duration = Duration::from_secs(20);
const REQUESTS: usize = 10;
/// Duration of a stage call, of which the two engines run one at a time each.
const CALL: Duration = Duration::from_millis(1_500);
const GRACE_BEFORE: u64 = 8;
const GRACE_AFTER: u64 = 4;
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// What became of a request.
struct Outcome {
    sent: Instant,
    ended: Instant,
    status: u16,
    is_complete: bool,
}

fn main() {
    let record = Record::create("standins-3");
    let store = Store::start();
    let world = Arc::new(World::default());
    let model = Role::Model {
        pause: Duration::from_millis(20),
        bytes: 60,
    };
    let maker = Role::Stage {
        call: CALL,
        item: Duration::ZERO,
    };
    let mut engines = Vec::new();
    for (service, role) in [("s-model", model), ("s-scan", maker)] {
        for (number, zone) in [(1, "z-a"), (2, "z-b")] {
            let id = format!("i-{service}-{number}");
            engines.push(Engine::start(
                &world, &store, &id, service, zone, "v1", role,
            ));
        }
    }
    store.put("op", "config", &config());
    let mut fleet = Fleet::start(store.address, 2);
    thread::sleep(Duration::from_secs(4));
    let grace = if case::has_trouble() {
        let file = fleet.settings_file(0);
        let text = fs::read_to_string(file).expect("the settings file is readable");
        let text = text.replace(
            &format!("grace-s = {GRACE_BEFORE}\n"),
            &format!("grace-s = {GRACE_AFTER}\n"),
        );
        fs::write(file, text).expect("the settings file is writable");
        record.line(format!(
            "the settings file of daemon 0 has grace-s = {GRACE_AFTER} from now on, no signal"
        ));
        GRACE_AFTER
    } else {
        GRACE_BEFORE
    };
    thread::sleep(Duration::from_secs(3));

    let outcomes: Mutex<HashMap<String, Outcome>> = Mutex::default();
    let mut draw = Draw::new(15);
    let address = fleet.front(0);
    let mut terminated = Instant::now();
    thread::scope(|scope| {
        for _ in 0..REQUESTS {
            let (id, key) = (draw.id(), draw.id());
            let (record, outcomes) = (&record, &outcomes);
            scope.spawn(move || {
                let sent = Instant::now();
                record.line(format!("sent {id}"));
                let answer = client::send(address, &request(&id, &key), sent + DEADLINE);
                record.line(format!(
                    "answered {id} {} complete {} events {} {}",
                    answer.status,
                    answer.is_complete,
                    answer.event_ids().len(),
                    if answer.status == 200 {
                        String::new()
                    } else {
                        answer.text().trim().to_owned()
                    }
                ));
                let outcome = Outcome {
                    sent,
                    ended: Instant::now(),
                    status: answer.status,
                    is_complete: answer.is_complete,
                };
                outcomes.lock().unwrap().insert(id, outcome);
            });
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(Duration::from_millis(300));
        terminated = Instant::now();
        fleet.signal(0, "TERM");
        record.line("SIGTERM to daemon 0");
        while terminated.elapsed() < Duration::from_secs(grace) {
            if let Some(status) = fleet.has_exited(0) {
                record.line(format!("daemon 0 has ended: {status}"));
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        if fleet.process_id(0).is_some() {
            fleet.kill(0);
            record.line(format!("SIGKILL to daemon 0, {grace} s after SIGTERM"));
        }
    });
    drop(fleet);
    // Engines record their calls when they end.
    thread::sleep(CALL + Duration::from_millis(500));
    let outcomes = outcomes.into_inner().unwrap();
    let last_sixth = terminated + Duration::from_secs(grace).mul_f64(5.0 / 6.0);
    let (mut answered, mut excused, mut lost) = (0, 0, 0);
    for (id, outcome) in &outcomes {
        if outcome.is_complete && outcome.status != 0 {
            answered += 1;
        } else if is_in_work(&world, id, last_sixth) {
            excused += 1;
        } else if outcome.ended > outcome.sent + LOSS_SLACK {
            lost += 1;
            record.line(format!(
                "LOST: {id} had no complete answer, and no engine was at work on it"
            ));
        }
    }
    let summary = format!(
        "{answered} of {} requests answered, {excused} cut while an engine was at work on them, {lost} cut while they waited",
        outcomes.len()
    );
    case::finish(&record, lost > 0, &summary);
}

/// Returns whether an engine worked on a request, or on a piece of it, at or after `since`.
fn is_in_work(world: &World, id: &str, since: Instant) -> bool {
    let calls = world.calls.lock().unwrap();
    let has_call = calls.iter().any(|call| {
        call.at + CALL >= since
            && call
                .items
                .iter()
                .any(|item| item["id"].as_str() == Some(id))
    });
    has_call || world.runs.lock().unwrap().iter().any(|run| run.id == id)
}

fn request(id: &str, key: &str) -> Call {
    Call::new("POST", "/note/7", id, DEADLINE)
        .with("Godwithinge-Model-Name", "m")
        .with("Godwithinge-Token-Counts", "640,6")
        .with(
            "Godwithinge-Prompt-Prefix",
            format!("5c1e07a2:500,{id}:140"),
        )
        .with("Godwithinge-Piece-Count", "1")
        .with("Godwithinge-Piece-Key", key)
        .with_body(b"a note".to_vec())
}

fn config() -> Value {
    let pieces = json!({"slots": 1, "queue": 2, "batch": 1, "call-ms": CALL.as_millis() as u64, "item-ms": 1.0,
                        "room-mb": 18.0, "handle-s": 4.0, "link-mbps": 10000});
    json!({
        "version": 1,
        "routes": [{
            "name": "r-note", "host": "fit.example", "prefix": "/note/", "kind": "streaming",
            "timeout-ms": 20_000, "target-latency-ms": 15_000, "priority": 2, "service": "s-model",
            "max-attempts": 2, "stages": [{"service": "s-scan", "after": [], "bytes": 8000}],
            "public": false, "sticky": true, "resumable": true, "gap-aim-ms": 200,
        }],
        "services": [
            {"name": "s-model", "health-path": "/healthz", "max-connections": 360, "protocol": "h1",
             "tls": false, "engine": {"slots": 64, "kv-tokens": 370_000}},
            {"name": "s-scan", "health-path": "/healthz", "max-connections": 360, "pieces": pieces},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "tailors", "api-keys": ["k-1"]}],
    })
}
