//! Answers that clients read slowly while the configuration shortens the idle timeout.

use serde_json::{Value, json};
use standins_3::{
    case::{self, Draw, Record},
    client::{self, Call},
    engine::{Engine, Role, World},
    fleet::Fleet,
    http,
    store::Store,
};
use std::{
    io::{BufReader, Read, Write},
    net::{Shutdown, SocketAddr},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const DEADLINE: Duration = Duration::from_secs(60);
const ANSWER_BYTES: usize = 2_400_000;
/// What a client reads at a time, and the pause after it: 200 kB a second.
const READ_BYTES: usize = 4_000;
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Receive buffer of a client.
const RECEIVE_BUFFER: usize = 4 << 10;
const READERS: usize = 6;
/// Time between the requests and the configuration.
const CHANGE_AFTER: Duration = Duration::from_secs(6);
/// `config-ms` of the settings + 1 s: the time after the acknowledgement in which a configuration counts as planned work.
const PLANNED: Duration = Duration::from_secs(3);

/// What became of a request.
#[derive(Clone, Debug)]
struct Outcome {
    status: u16,
    received: usize,
    ended: Instant,
    is_complete: bool,
}

fn main() {
    let record = Record::create(14);
    let store = Store::start();
    let world = Arc::new(World::default());
    let role = Role::Plain {
        work: Duration::from_millis(30),
        bytes: ANSWER_BYTES,
    };
    let mut engines = Vec::new();
    for (number, zone) in [(1, "z-a"), (2, "z-b"), (3, "z-c")] {
        let id = format!("i-plain-{number}");
        engines.push(Engine::start(
            &world, &store, &id, "s-plain", zone, "v1", role,
        ));
    }
    store.put("op", "config", &config(1, 15_000));
    let fleet = Fleet::start(store.address, 2);
    thread::sleep(Duration::from_secs(3));

    let mut draw = Draw::new(13);
    let outcomes: [Mutex<Vec<Outcome>>; 2] = Default::default();
    let (mut sent, mut acknowledged) = (None, None);
    thread::scope(|scope| {
        // Before any change, then beside one.
        for (phase, outcomes) in outcomes.iter().enumerate() {
            for number in 0..READERS {
                let (id, address) = (draw.id(), fleet.front(number % fleet.len()));
                let record = &record;
                scope.spawn(move || {
                    let outcome = read_slowly(record, address, &id);
                    record.line(format!(
                        "answered {id} {} {} of {ANSWER_BYTES} bytes, complete {}",
                        outcome.status, outcome.received, outcome.is_complete
                    ));
                    outcomes.lock().unwrap().push(outcome);
                });
            }
            if phase == 0 {
                thread::sleep(Duration::from_secs(14));
                continue;
            }
            thread::sleep(CHANGE_AFTER);
            let idle = if case::has_trouble() { 2_000 } else { 15_000 };
            sent = Some(Instant::now());
            let at = store.put("op", "config", &config(2, idle));
            record.line_at(
                at,
                format!("configuration 2 acknowledged: idle-timeout-ms {idle}"),
            );
            acknowledged = Some(at);
        }
    });
    for run in world.runs.lock().unwrap().iter() {
        record.line_at(run.at, format!("{} ran {}", run.engine, run.id));
    }
    drop(fleet);
    let [before, beside] = outcomes.map(|outcomes| outcomes.into_inner().unwrap());
    let (Some(sent), Some(acknowledged)) = (sent, acknowledged) else {
        standins_3::fleet::unable("the configuration was not sent");
    };
    let is_cut = |outcome: &&Outcome| outcome.status == 200 && !outcome.is_complete;
    let cut_before = before.iter().filter(is_cut).count();
    let cut_beside = beside.iter().filter(is_cut);
    let cut_beside = cut_beside
        .filter(|outcome| (sent..=acknowledged + PLANNED).contains(&outcome.ended))
        .count();
    let whole = |outcomes: &[Outcome]| {
        outcomes
            .iter()
            .filter(|outcome| outcome.is_complete)
            .count()
    };
    let summary = format!(
        "before the change {} of {} answers whole, {cut_before} cut; beside it {} of {} whole, {cut_beside} cut within {PLANNED:?} of its acknowledgement",
        whole(&before),
        before.len(),
        whole(&beside),
        beside.len()
    );
    if whole(&before) * 2 < before.len() {
        record.line(&summary);
        standins_3::fleet::unable("answers are not whole without a change");
    }
    // Beside a configuration, cuts count if they are more than three times as frequent as at other times.
    case::finish(
        &record,
        cut_beside > 3 && cut_beside > cut_before * 3,
        &summary,
    );
}

/// Sends a request and reads its answer slowly, but without a pause of more than 20 ms.
fn read_slowly(record: &Record, address: SocketAddr, id: &str) -> Outcome {
    let call = Call::new("POST", "/order/7", id, DEADLINE).with_body(b"a report".to_vec());
    record.line(format!("sent {id}"));
    let mut outcome = Outcome {
        status: 0,
        received: 0,
        ended: Instant::now(),
        is_complete: false,
    };
    let Ok(mut stream) = client::connect_with_buffer(address, RECEIVE_BUFFER) else {
        return outcome;
    };
    if stream.write_all(&call.encode()).is_err() {
        return outcome;
    }
    let until = Instant::now() + DEADLINE;
    drop(stream.set_read_timeout(Some(DEADLINE)));
    let mut reader = BufReader::with_capacity(READ_BYTES, &stream);
    if let Ok(Some(head)) = http::read_head(&mut reader) {
        outcome.status = head
            .start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0);
        let length = head
            .field("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let mut buffer = vec![0; READ_BYTES];
        while outcome.received < length && Instant::now() < until {
            match reader.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(read) => outcome.received += read,
            }
            thread::sleep(READ_PAUSE);
        }
        outcome.is_complete = outcome.received == length;
    }
    outcome.ended = Instant::now();
    drop(stream.shutdown(Shutdown::Both));
    outcome
}

fn config(version: u64, idle_ms: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "r-order", "host": "fit.example", "prefix": "/order/", "kind": "non_idempotent",
            "timeout-ms": 60_000, "target-latency-ms": 1000, "priority": 2, "service": "s-plain",
            "max-attempts": 1, "stages": [], "public": false, "sticky": false,
        }],
        "services": [{"name": "s-plain", "health-path": "/healthz", "max-connections": 100,
                      "protocol": "h1", "tls": false}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": idle_ms},
        "tenants": [{"name": "tailors", "api-keys": ["k-1"]}],
    })
}
