//! Many clients that read their streams slowly, at one daemon.

use serde_json::{Value, json};
use standins_3::{
    case::{self, Draw, Record},
    client::{self, Answer, Call},
    engine::{Engine, Role, World},
    fleet::Fleet,
    http,
    store::Store,
};
use std::{
    collections::HashSet,
    fs,
    io::{BufReader, Read, Write},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const DEADLINE: Duration = Duration::from_secs(20);
const CLIENTS: usize = 1_200;
const ENGINES: usize = 20;
/// Clients that send one short order after the other on a kept connection.
const BUYERS: usize = 40;
const ORDER_WORK: Duration = Duration::from_millis(500);
const EVENT_BYTES: usize = 4_000;
const EVENTS: u64 = 200;
/// What a slow client reads at a time, and the pause after it: 60 kB a second, so that it has its stream of
/// 0.8 MB in 14 s.
const READ_BYTES: usize = 3_000;
const READ_PAUSE: Duration = Duration::from_millis(50);
const RECEIVE_BUFFER: usize = 4 << 10;
/// `memory-mb` of the settings.
const MEMORY_BYTES: u64 = 260_000_000;
const STACK_BYTES: usize = 256 << 10;

#[derive(Default)]
struct Counts {
    kept: usize,
    whole: usize,
    cut: usize,
    refused: usize,
    ordered: usize,
    /// Orders on kept connections that ended without a byte of an answer.
    unanswered: Vec<String>,
}

fn main() {
    let record = Record::create(13);
    let store = Store::start();
    let world = Arc::new(World::default());
    let role = Role::Model {
        pause: Duration::from_millis(1),
        bytes: EVENT_BYTES,
    };
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let (id, zone) = (
            format!("i-model-{number}"),
            ["z-a", "z-b", "z-c"][number % 3],
        );
        engines.push(Engine::start(
            &world, &store, &id, "s-model", zone, "v1", role,
        ));
    }
    let role = Role::Plain {
        work: ORDER_WORK,
        bytes: 800,
    };
    for number in 0..ENGINES {
        let (id, zone) = (
            format!("i-plain-{number}"),
            ["z-a", "z-b", "z-c"][number % 3],
        );
        engines.push(Engine::start(
            &world, &store, &id, "s-plain", zone, "v1", role,
        ));
    }
    store.put("op", "config", &config());
    let mut fleet = Fleet::start(store.address, 1);
    thread::sleep(Duration::from_secs(3));

    let (counts, is_over) = (Mutex::new(Counts::default()), AtomicBool::new(false));
    let mut draw = Draw::new(15);
    let address = fleet.front(0);
    let mut most = 0;
    let mut is_killed = false;
    thread::scope(|scope| {
        let (record, counts, is_over) = (&record, &counts, &is_over);
        for number in 0..BUYERS {
            let draw = Draw::new(1_000 + number as u64);
            scope.spawn(move || buy(counts, is_over, address, draw));
        }
        scope.spawn(move || {
            let clients: Vec<_> = (0..CLIENTS)
                .map(|_| {
                    let ids = [draw.id(), draw.id()];
                    let client = thread::Builder::new().stack_size(STACK_BYTES);
                    let client =
                        client.spawn_scoped(scope, move || run(record, counts, address, &ids));
                    thread::sleep(Duration::from_millis(2));
                    client.expect("a thread can be started")
                })
                .collect();
            for client in clients {
                drop(client.join());
            }
            is_over.store(true, Ordering::SeqCst);
        });
        // The platform kills a process that exceeds its memory.
        while !is_over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(100));
            let Some(id) = fleet.process_id(0) else {
                continue;
            };
            let used = resident_bytes(id);
            if used / 10_000_000 > most / 10_000_000 {
                record.line(format!("the daemon has {} MB", used / 1_000_000));
            }
            most = most.max(used);
            if used > MEMORY_BYTES && !is_killed {
                is_killed = true;
                record.line(format!(
                    "the daemon has {used} bytes, more than {MEMORY_BYTES}: killed"
                ));
                fleet.kill(0);
            }
        }
    });
    record.line(format!(
        "engines ran {} requests",
        world.runs.lock().unwrap().len()
    ));
    drop(fleet);
    let ran: HashSet<String> = world
        .runs
        .lock()
        .unwrap()
        .iter()
        .map(|run| run.id.clone())
        .collect();
    let counts = counts.into_inner().unwrap();
    let unanswered = counts.unanswered.iter();
    let unanswered = unanswered
        .inspect(|id| record.line(format!("no answer to {id}, run {}", ran.contains(*id))))
        .filter(|id| ran.contains(*id))
        .count();
    let summary = format!(
        "the daemon had {} MB at most, killed {is_killed}; of {} streams on kept connections {} came whole, {} were cut after an engine had begun, {} were refused; of {} orders on kept connections {unanswered} were passed on and got no byte of an answer",
        most / 1_000_000,
        counts.kept,
        counts.whole,
        counts.cut,
        counts.refused,
        counts.ordered
    );
    if counts.kept * 2 < CLIENTS {
        record.line(&summary);
        standins_3::fleet::unable("most connections could not be opened");
    }
    // The rule counts connections that are closed without an answer; streams that had begun are only reported.
    case::finish(&record, unanswered > 3, &summary);
}

/// Sends orders on one connection until it ends or all streams have ended.
fn buy(counts: &Mutex<Counts>, is_over: &AtomicBool, address: SocketAddr, mut draw: Draw) {
    let Ok(stream) = client::connect(address) else {
        return;
    };
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let (id, mut answer) = (draw.id(), Answer::default());
        let call = Call::new("POST", "/order/7", &id, DEADLINE).with_body(b"an order".to_vec());
        let until = Instant::now() + DEADLINE;
        drop(client::exchange(
            clone,
            &call,
            until,
            &mut answer,
            &mut |_| (),
        ));
        let mut counts = counts.lock().unwrap();
        counts.ordered += usize::from(number > 0);
        if answer.status == 0 && number > 0 && Instant::now() < until {
            counts.unanswered.push(id);
        }
        if !answer.is_complete {
            return;
        }
    }
}

/// Sends a short request and then a stream on one connection.
fn run(record: &Record, counts: &Mutex<Counts>, address: SocketAddr, ids: &[String; 2]) {
    let Ok(mut stream) = client::connect_with_buffer(address, RECEIVE_BUFFER) else {
        return;
    };
    let until = Instant::now() + DEADLINE;
    let mut first = Answer::default();
    let Ok(clone) = stream.try_clone() else {
        return;
    };
    drop(client::exchange(
        clone,
        &request(&ids[0], 2),
        until,
        &mut first,
        &mut |_| (),
    ));
    if !first.is_complete || first.status != 200 {
        record.line(format!(
            "answered {} {} complete {}",
            ids[0], first.status, first.is_complete
        ));
        return;
    }
    counts.lock().unwrap().kept += 1;
    if stream
        .write_all(&request(&ids[1], EVENTS).encode())
        .is_err()
    {
        return;
    }
    let until = Instant::now() + DEADLINE;
    drop(stream.set_read_timeout(Some(DEADLINE)));
    let mut reader = BufReader::with_capacity(READ_BYTES, Slow(&stream));
    let mut answer = Answer::default();
    if let Ok(Some(head)) = http::read_head(&mut reader) {
        answer.status = head
            .start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0);
        answer.head = head;
        while answer.status == 200 && Instant::now() < until {
            match http::read_chunk(&mut reader) {
                Ok(chunk) if chunk.is_empty() => answer.is_complete = true,
                Ok(chunk) => {
                    answer.body.extend(chunk);
                    continue;
                }
                Err(_) => {}
            }
            break;
        }
    }
    let is_late = Instant::now() >= until;
    record.line(format!(
        "answered {} {} complete {} events {} late {is_late}",
        ids[1],
        answer.status,
        answer.is_complete,
        answer.event_ids().len()
    ));
    let mut counts = counts.lock().unwrap();
    match answer.status {
        200 if answer.is_complete => counts.whole += 1,
        200 if !is_late => counts.cut += 1,
        200 => {}
        _ => counts.refused += 1,
    }
}

/// Reads without a pause, or slowly.
struct Slow<'a>(&'a std::net::TcpStream);

impl Read for Slow<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let read = self.0.read(buffer)?;
        if case::has_trouble() {
            thread::sleep(READ_PAUSE);
        }
        Ok(read)
    }
}

fn resident_bytes(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    let kib: u64 = line
        .split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse().ok())
        .unwrap_or(0);
    kib * 1_024
}

fn request(id: &str, events: u64) -> Call {
    Call::new("POST", "/chat/7", id, DEADLINE)
        .with("Godwithinge-Model-Name", "m")
        .with("Godwithinge-Token-Counts", format!("640,{events}"))
        .with(
            "Godwithinge-Prompt-Prefix",
            format!("5c1e07a2:500,{id}:140"),
        )
        .with_body(b"a question".to_vec())
}

fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "r-chat", "host": "fit.example", "prefix": "/chat/", "kind": "streaming",
            "timeout-ms": 20_000, "target-latency-ms": 1700, "priority": 2, "service": "s-model",
            "max-attempts": 2, "stages": [], "public": false, "sticky": true, "resumable": true,
            "gap-aim-ms": 200,
        }, {
            "name": "r-order", "host": "fit.example", "prefix": "/order/", "kind": "non_idempotent",
            "timeout-ms": 20_000, "target-latency-ms": 1000, "priority": 2, "service": "s-plain",
            "max-attempts": 1, "stages": [], "public": false, "sticky": false,
        }],
        "services": [{"name": "s-model", "health-path": "/healthz", "max-connections": 360,
                      "protocol": "h1", "tls": false, "engine": {"slots": 64, "kv-tokens": 370_000}},
                     {"name": "s-plain", "health-path": "/healthz", "max-connections": 100,
                      "protocol": "h1", "tls": false}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "tailors", "api-keys": ["k-1"]}],
    })
}
