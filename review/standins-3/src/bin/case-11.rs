//! Stages that a configuration lists in another order than they run in.

use serde_json::{Value, json};
use standins_3::{
    case::{self, Draw, Record},
    client::{self, Call},
    engine::{Engine, Role, World},
    fleet::Fleet,
    store::Store,
};
use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const DEADLINE: Duration = Duration::from_secs(6);
/// `config-ms` of the settings, and some more.
const IN_FORCE: Duration = Duration::from_millis(3_000);
const PHASE: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_millis(200);

/// A stage as the operator lists it.
#[derive(Clone)]
struct Stage {
    service: &'static str,
    after: Vec<usize>,
}

/// A request of a client, and the route that it takes.
struct Sent {
    stages: Vec<Stage>,
    counts: Vec<u64>,
    key: String,
}

fn stage(service: &'static str, after: &[usize]) -> Stage {
    Stage {
        service,
        after: after.to_vec(),
    }
}

fn main() {
    let record = Record::create(11);
    let store = Store::start();
    let world = Arc::new(World::default());
    let pause = Duration::from_millis(20);
    let model = Role::Model { pause, bytes: 60 };
    let maker = Role::Stage {
        call: Duration::from_millis(100),
        item: Duration::from_millis(5),
    };
    let mut engines = Vec::new();
    for (service, role) in [("s-model", model), ("s-scan", maker), ("s-match", maker)] {
        for (number, zone) in [(1, "z-a"), (2, "z-b")] {
            let id = format!("i-{service}-{number}");
            engines.push(Engine::start(
                &world, &store, &id, service, zone, "v1", role,
            ));
        }
    }
    let in_order = vec![stage("s-scan", &[]), stage("s-match", &[0])];
    // The second stage of the list makes the inputs of the first one.
    let out_of_order = vec![stage("s-match", &[1]), stage("s-scan", &[])];
    let added = if case::has_trouble() {
        out_of_order
    } else {
        in_order.clone()
    };
    let routes = vec![("/brief/", in_order.clone())];
    store.put("op", "config", &config(1, &routes));
    let fleet = Fleet::start(store.address, 2);

    let sent: Mutex<HashMap<String, Sent>> = Mutex::default();
    let mut draw = Draw::new(11);
    let (mut asked, mut served) = ([0, 0], [0, 0]);
    for (phase, prefix, stages) in [(0, "/brief/", &in_order), (1, "/note/", &added)] {
        if phase == 1 {
            let mut routes = routes.clone();
            routes.push(("/note/", added.clone()));
            let acknowledged = store.put("op", "config", &config(2, &routes));
            record.line_at(
                acknowledged,
                format!(
                    "configuration 2 acknowledged: adds /note/ with {}",
                    text(&added)
                ),
            );
            thread::sleep(IN_FORCE);
        }
        let end = Instant::now() + PHASE;
        let results = Mutex::new(Vec::new());
        thread::scope(|scope| {
            let mut number = 0;
            while Instant::now() < end {
                // The stage that reads inputs has one piece, the other one has three.
                let counts: Vec<u64> = stages
                    .iter()
                    .map(|stage| if stage.after.is_empty() { 3 } else { 1 })
                    .collect();
                let (id, key) = (draw.id(), draw.id());
                let call = request(&format!("{prefix}{number}"), &id, &key, &counts, &mut draw);
                let address = fleet.front(number % fleet.len());
                let stages = stages.clone();
                sent.lock().unwrap().insert(
                    id.clone(),
                    Sent {
                        stages,
                        counts: counts.clone(),
                        key,
                    },
                );
                let (record, results) = (&record, &results);
                scope.spawn(move || {
                    record.line(format!("sent {id} {} pieces {counts:?}", call.path));
                    let answer = client::send(address, &call, Instant::now() + DEADLINE);
                    record.line(format!(
                        "answered {id} {} complete {} events {}",
                        answer.status,
                        answer.is_complete,
                        answer.event_ids().len()
                    ));
                    results
                        .lock()
                        .unwrap()
                        .push(answer.status == 200 && answer.is_complete);
                });
                number += 1;
                thread::sleep(PAUSE);
            }
        });
        let results = results.into_inner().unwrap();
        asked[phase] = results.len();
        served[phase] = results.iter().filter(|is_served| **is_served).count();
    }
    drop(fleet);
    let sent = sent.into_inner().unwrap();
    let faults = judge(&record, &world, &sent);
    let summary = format!(
        "{} of {} requests served on /brief/, {} of {} on /note/; UNASKED {} items, MIXED {}",
        served[0], asked[0], served[1], asked[1], faults.0, faults.1
    );
    if served[0] * 2 < asked[0] {
        record.line(&summary);
        standins_3::fleet::unable("requests were not served on the first route");
    }
    case::finish(&record, faults.0 + faults.1 > 0, &summary);
}

fn request(path: &str, id: &str, key: &str, counts: &[u64], draw: &mut Draw) -> Call {
    let counts: Vec<String> = counts.iter().map(u64::to_string).collect();
    Call::new("POST", path, id, DEADLINE)
        .with("Godwithinge-Model-Name", "m")
        .with("Godwithinge-Token-Counts", "740,6")
        .with(
            "Godwithinge-Prompt-Prefix",
            format!("5c1e07a2:600,{}:140", draw.id()),
        )
        .with("Godwithinge-Piece-Count", counts.join(","))
        .with("Godwithinge-Piece-Key", key)
        .with_body(b"a fitting".to_vec())
}

/// Checks what the engines were asked for. Returns the number of items that no request has, and of those, and
/// of requests, that had other inputs than theirs.
fn judge(record: &Record, world: &World, sent: &HashMap<String, Sent>) -> (usize, usize) {
    let (mut unasked, mut mixed) = (0, 0);
    // What each handle holds, by the engine's own account.
    let mut made: HashMap<String, (String, u64, u64)> = HashMap::new();
    let calls = world.calls.lock().unwrap();
    for call in calls.iter() {
        for (item, handle) in call.items.iter().zip(&call.handles) {
            let id = item["id"].as_str().unwrap_or_default().to_owned();
            let number = |name: &str| item[name].as_u64().unwrap_or(u64::MAX);
            let (stage, piece) = (number("stage"), number("piece"));
            record.line_at(
                call.at,
                format!("{} ({}) was asked for {item}", call.engine, call.service),
            );
            if let Some(handle) = handle {
                made.insert(handle.clone(), (id, stage, piece));
            }
        }
    }
    for call in calls.iter() {
        for item in &call.items {
            let id = item["id"].as_str().unwrap_or_default();
            let number = |name: &str| item[name].as_u64().unwrap_or(u64::MAX) as usize;
            let (stage, piece) = (number("stage"), number("piece"));
            let request = sent.get(id);
            let known = request.and_then(|sent| Some((sent, sent.stages.get(stage)?)));
            let Some((request, of)) = known.filter(|(sent, of)| {
                of.service == call.service && (piece as u64) < sent.counts[stage]
            }) else {
                unasked += 1;
                record.line(format!(
                    "UNASKED: an engine of {} was asked for stage {stage} piece {piece} of {id}",
                    call.service
                ));
                continue;
            };
            if of.after.is_empty() && item["key"].as_str() != Some(&request.key) {
                unasked += 1;
                record.line(format!(
                    "UNASKED: stage {stage} piece {piece} of {id} has another key"
                ));
            }
            let inputs = handles(
                item["inputs"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter_map(Value::as_str),
            );
            if !of.after.is_empty() && inputs_of(&made, &inputs) != expected(request, id, &of.after)
            {
                mixed += 1;
                record.line(format!(
                    "MIXED: stage {stage} piece {piece} of {id} has other inputs"
                ));
            }
        }
    }
    for run in world.runs.lock().unwrap().iter() {
        record.line_at(run.at, format!("{} ran {}", run.engine, run.id));
        let Some(request) = sent.get(&run.id) else {
            unasked += 1;
            continue;
        };
        let inputs = run
            .request
            .head
            .field("godwithinge-input-count")
            .unwrap_or_default();
        let inputs = handles(inputs.split(',').filter(|handle| !handle.is_empty()));
        let last: Vec<usize> = (0..request.stages.len())
            .filter(|stage| {
                !request
                    .stages
                    .iter()
                    .any(|other| other.after.contains(stage))
            })
            .collect();
        if inputs_of(&made, &inputs) != expected(request, &run.id, &last) {
            mixed += 1;
            record.line(format!(
                "MIXED: {} ran with other inputs than its own",
                run.id
            ));
        }
    }
    (unasked, mixed)
}

fn handles<'a>(handles: impl Iterator<Item = &'a str>) -> Vec<String> {
    handles.map(str::to_owned).collect()
}

/// Returns what handles hold, as the makers were told.
fn inputs_of(
    made: &HashMap<String, (String, u64, u64)>,
    inputs: &[String],
) -> BTreeSet<(String, u64, u64)> {
    inputs
        .iter()
        .filter_map(|handle| made.get(handle).cloned())
        .collect()
}

/// Returns all pieces of some stages of a request.
fn expected(sent: &Sent, id: &str, stages: &[usize]) -> BTreeSet<(String, u64, u64)> {
    let pieces = stages
        .iter()
        .flat_map(|&stage| (0..sent.counts[stage]).map(move |piece| (stage as u64, piece)));
    pieces
        .map(|(stage, piece)| (id.to_owned(), stage, piece))
        .collect()
}

fn text(stages: &[Stage]) -> String {
    let stages = stages
        .iter()
        .map(|stage| json!({"service": stage.service, "after": stage.after}));
    Value::from_iter(stages).to_string()
}

fn config(version: u64, routes: &[(&str, Vec<Stage>)]) -> Value {
    let routes = routes.iter().map(|(prefix, stages)| {
        let stages = stages.iter();
        let stages = stages.map(|stage| json!({"service": stage.service, "after": stage.after, "bytes": 8000}));
        json!({
            "name": format!("r{}", prefix.replace('/', "-")), "host": "fit.example", "prefix": prefix,
            "kind": "streaming", "timeout-ms": 6000, "target-latency-ms": 1800, "priority": 0,
            "service": "s-model", "max-attempts": 1, "stages": Value::from_iter(stages),
            "public": false, "sticky": true, "resumable": false, "gap-aim-ms": 200,
        })
    });
    let pieces = json!({"slots": 1, "queue": 2, "batch": 8, "call-ms": 100.0, "item-ms": 5.0,
                        "room-mb": 18.0, "handle-s": 4.0, "link-mbps": 10000});
    json!({
        "version": version, "routes": Value::from_iter(routes),
        "services": [
            {"name": "s-model", "health-path": "/healthz", "max-connections": 360, "protocol": "h1",
             "tls": false, "engine": {"slots": 64, "kv-tokens": 370000}},
            {"name": "s-scan", "health-path": "/healthz", "max-connections": 360, "pieces": pieces},
            {"name": "s-match", "health-path": "/healthz", "max-connections": 360, "pieces": pieces},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "tailors", "api-keys": ["k-1"]}],
    })
}
