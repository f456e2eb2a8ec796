//! New connections at a daemon that has as many as it takes, beside clients that read their answers slowly.

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
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const DEADLINE: Duration = Duration::from_secs(30);
const REPORT_BYTES: usize = 300_000;
const READERS: usize = 40;
/// What a reader takes at a time, and the pause after it: 20 kB a second, so that it has its report in 15 s.
const READ_BYTES: usize = 1_000;
const READ_PAUSE: Duration = Duration::from_millis(50);
const RECEIVE_BUFFER: usize = 4 << 10;
/// Clients that have got an answer and keep their connection for the next request.
const KEPT: usize = 1_240;
/// Clients that connect at the same time in the beginning.
const OPENERS: usize = 16;
/// Clients that come at once.
const NEW: usize = 100;

#[derive(Default)]
struct Counts {
    whole: usize,
    cut: usize,
    other: usize,
    new: usize,
    new_served: usize,
    /// Connections of the new clients, which they keep.
    streams: Vec<TcpStream>,
}

fn main() {
    let record = Record::create("standins-3");
    let store = Store::start();
    let world = Arc::new(World::default());
    let mut engines = Vec::new();
    for (service, bytes) in [("s-orders", 800), ("s-reports", REPORT_BYTES)] {
        let role = Role::Plain {
            work: Duration::from_millis(20),
            bytes,
        };
        for (number, zone) in [(1, "z-a"), (2, "z-b"), (3, "z-c")] {
            let id = format!("i-{service}-{number}");
            engines.push(Engine::start(
                &world, &store, &id, service, zone, "v1", role,
            ));
        }
    }
    store.put("op", "config", &config());
    let fleet = Fleet::start(store.address, 1);
    thread::sleep(Duration::from_secs(4));

    let counts = Mutex::new(Counts::default());
    let mut draw = Draw::new(14);
    let address = fleet.front(0);
    let ids: Vec<String> = (0..KEPT).map(|_| draw.id()).collect();
    let kept: Vec<TcpStream> = thread::scope(|scope| {
        let openers = ids.chunks(KEPT.div_ceil(OPENERS)).map(|ids| {
            scope.spawn(move || {
                ids.iter()
                    .filter_map(|id| order(address, id))
                    .collect::<Vec<_>>()
            })
        });
        let openers: Vec<_> = openers.collect();
        openers
            .into_iter()
            .flat_map(|opener| opener.join().unwrap_or_default())
            .collect()
    });
    record.line(format!(
        "{} clients have had an answer and keep their connections",
        kept.len()
    ));
    let mut open = 0;
    thread::scope(|scope| {
        let (record, counts) = (&record, &counts);
        for _ in 0..READERS {
            let ids = [draw.id(), draw.id()];
            scope.spawn(move || read_report(record, counts, address, &ids));
        }
        thread::sleep(Duration::from_secs(4));
        if case::has_trouble() {
            record.line(format!("{NEW} clients come"));
            for _ in 0..NEW {
                let id = draw.id();
                scope.spawn(move || {
                    let stream = order(address, &id);
                    let mut counts = counts.lock().unwrap();
                    counts.new += 1;
                    counts.new_served += usize::from(stream.is_some());
                    counts.streams.extend(stream);
                });
                thread::sleep(Duration::from_millis(10));
            }
        }
        thread::sleep(Duration::from_secs(1));
        open = kept.iter().filter(|stream| is_open(stream)).count();
        record.line(format!(
            "{open} of the connections without a request are open"
        ));
    });
    for run in world
        .runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.service == "s-reports")
    {
        record.line_at(run.at, format!("{} ran {}", run.engine, run.id));
    }
    for line in fleet
        .log_lines(0, "connections of callers closed")
        .iter()
        .take(5)
    {
        record.line(format!("log of the daemon: {line}"));
    }
    drop(fleet);
    let counts = counts.into_inner().unwrap();
    let summary = format!(
        "of {READERS} reports on kept connections {} came whole, {} were cut by the daemon, {} ended otherwise; {} of {} new clients were served; {open} of {} connections without a request stayed open",
        counts.whole,
        counts.cut,
        counts.other,
        counts.new_served,
        counts.new,
        kept.len()
    );
    if kept.len() < KEPT * 9 / 10 {
        record.line(&summary);
        standins_3::fleet::unable("most connections could not be opened");
    }
    case::finish(&record, counts.cut > 3, &summary);
}

/// Sends an order and reads its answer. Returns the connection, which stays open.
fn order(address: SocketAddr, id: &str) -> Option<TcpStream> {
    let stream = client::connect_with_buffer(address, RECEIVE_BUFFER).ok()?;
    let call = Call::new("POST", "/order/1", id, DEADLINE).with_body(b"an order".to_vec());
    let mut answer = Answer::default();
    let clone = stream.try_clone().ok()?;
    client::exchange(
        clone,
        &call,
        Instant::now() + DEADLINE,
        &mut answer,
        &mut |_| (),
    )
    .ok()?;
    (answer.is_complete && answer.status == 200).then_some(stream)
}

/// Sends an order, and then asks for a report on the same connection and reads it slowly.
fn read_report(record: &Record, counts: &Mutex<Counts>, address: SocketAddr, ids: &[String; 2]) {
    let Some(mut stream) = order(address, &ids[0]) else {
        counts.lock().unwrap().other += 1;
        return;
    };
    let call = Call::new("POST", "/report/1", &ids[1], DEADLINE).with_body(b"a report".to_vec());
    let until = Instant::now() + DEADLINE;
    let (mut status, mut received, mut length) = (0, 0, 0);
    drop(stream.write_all(&call.encode()));
    drop(stream.set_read_timeout(Some(DEADLINE)));
    let mut reader = BufReader::with_capacity(READ_BYTES, &stream);
    if let Ok(Some(head)) = http::read_head(&mut reader) {
        status = head
            .start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0);
        length = head
            .field("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let mut buffer = vec![0; READ_BYTES];
        while received < length && Instant::now() < until {
            match reader.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(read) => received += read,
            }
            thread::sleep(READ_PAUSE);
        }
    }
    let is_late = Instant::now() >= until;
    record.line(format!(
        "answered {} {status} {received} of {length} bytes late {is_late}",
        ids[1]
    ));
    let mut counts = counts.lock().unwrap();
    match status {
        200 if received == length => counts.whole += 1,
        0 | 200 if !is_late => counts.cut += 1,
        _ => counts.other += 1,
    }
}

fn is_open(mut stream: &TcpStream) -> bool {
    drop(stream.set_read_timeout(Some(Duration::from_millis(1))));
    let read = stream.read(&mut [0; 1]);
    read.is_err_and(|fault| {
        matches!(
            fault.kind(),
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
        )
    })
}

fn config() -> Value {
    let route = |prefix: &str, service: &str| {
        json!({
            "name": format!("r-{service}"), "host": "fit.example", "prefix": prefix, "kind": "non_idempotent",
            "timeout-ms": 30_000, "target-latency-ms": 1000, "priority": 2, "service": service,
            "max-attempts": 1, "stages": [], "public": false, "sticky": false,
        })
    };
    let service = |name: &str| {
        json!({"name": name, "health-path": "/healthz", "max-connections": 360,
                                      "protocol": "h1", "tls": false})
    };
    json!({
        "version": 1,
        "routes": [route("/order/", "s-orders"), route("/report/", "s-reports")],
        "services": [service("s-orders"), service("s-reports")],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15_000},
        "tenants": [{"name": "tailors", "api-keys": ["k-1"]}],
    })
}
