//! Case: open connections to engines have gone silent, and a machine is restarted a while later.

use review_standins::{
    BROKEN, HELD, NOT_RUN, Random,
    daemon::Fleet,
    engine::{Engine, Work, World},
    has_trouble,
    http::Call,
    json::{self, Value},
    lock,
    record::Record,
    seed,
    store::Store,
};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    process::exit,
    sync::{Arc, Mutex, atomic::{AtomicUsize, Ordering}},
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
const ROUNDS: usize = 4;
/// Streams at the same time, after which a daemon keeps as many open connections.
const WARM_UP: u32 = 12;
const REQUESTS: u32 = 8;
/// Time from the moment at which the connections went silent to SIGTERM; `stability-window-ms` of the
/// sheet is 3 s.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Time from SIGTERM to the requests. The daemon still takes requests then.
const REQUEST_DELAY: Duration = Duration::from_millis(1_500);
/// `grace-s` of the sheet, and the time after it until which a SIGTERM counts as planned work.
const GRACE: Duration = Duration::from_secs(8);
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// `loss-slack-ms` of the sheet.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Deadline of a request, which is also its route's timeout.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time without an event after which a client gives up: four times the objective.
const PATIENCE: Duration = Duration::from_millis(6_800);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-chat","host":"chat.example","prefix":"/chat/","kind":"streaming","timeout-ms":20000,"target-latency-ms":1700,"priority":2,"service":"s-model","max-attempts":2,"stages":[],"public":false,"sticky":true,"resumable":true,"gap-aim-ms":200}],"services":[{"name":"s-model","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"],"priority":2}]}"#;

#[derive(Default)]
struct Seen {
    served: AtomicUsize,
    gave_up: AtomicUsize,
    lost: Mutex<Vec<String>>,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_default();
    exit(run(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        NOT_RUN
    }))
}

fn run(folder: &Path) -> io::Result<i32> {
    let record = Arc::new(Record::new(folder)?);
    let (store, store_address) = Store::start()?;
    store.write("op", "config", Some(CONFIG));
    let world = World::new(Arc::clone(&store), Arc::clone(&record));
    let model = Work::Model {
        prefill: Duration::from_millis(60),
        interval: Duration::from_millis(20),
        events: 20,
        needs_inputs: false,
    };
    let mut engines = Vec::new();
    for zone in ZONES {
        engines.push(Engine::start(&world, "s-model", zone, "v1", model.clone())?);
    }
    let mut fleet = Fleet::new(ZONES.len())?;
    for (index, zone) in ZONES.iter().enumerate() {
        fleet.start(&format!("edge-{}", index + 1), zone, store_address)?;
    }
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        record.say("the daemons did not become ready");
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_secs(5));

    let seen = Arc::new(Seen::default());
    for round in 0..ROUNDS {
        let daemon = &mut fleet.daemons[round % ZONES.len()];
        let front = daemon.front;
        send_all(&record, &seen, front, WARM_UP, Instant::now(), None);
        if has_trouble() {
            record.line("the open connections to the engines go silent");
            for engine in &engines {
                engine.silence_connections();
            }
        }
        thread::sleep(CALM_TIME);
        // Some clients keep an answer of the directory three times as long as its ttl.
        let valid = resolve(daemon.directory(), front) * 3;
        if valid < REQUEST_DELAY + Duration::from_millis(500) {
            record.say("the directory does not name the daemon for long enough");
            return Ok(NOT_RUN);
        }
        let term = Instant::now();
        if has_trouble() {
            record.line(&format!("{} gets SIGTERM", daemon.name));
            daemon.signal("TERM");
        }
        let term_of = has_trouble().then_some(term);
        send_all(&record, &seen, front, REQUESTS, term + REQUEST_DELAY, term_of);
        if has_trouble() {
            let end = term + GRACE + AFTER_GRACE;
            while !daemon.has_exited() && Instant::now() < end {
                thread::sleep(Duration::from_millis(5));
            }
            record.line(&format!("{} has ended", daemon.name));
            daemon.kill();
            daemon.start()?;
        }
        thread::sleep(Duration::from_secs(6));
    }
    drop(fleet);

    let lost = lock(&seen.lost);
    record.say(&format!(
        "{ROUNDS} rounds; {} requests served, {} given up by their clients, {} lost",
        seen.served.load(Ordering::SeqCst),
        seen.gave_up.load(Ordering::SeqCst),
        lost.len(),
    ));
    for line in lost.iter().take(10) {
        record.say(line);
    }
    if seen.served.load(Ordering::SeqCst) < ROUNDS * WARM_UP as usize {
        return Ok(NOT_RUN);
    }
    Ok(if lost.is_empty() { HELD } else { BROKEN })
}

fn send_all(
    record: &Arc<Record>,
    seen: &Arc<Seen>,
    front: SocketAddr,
    count: u32,
    at: Instant,
    term: Option<Instant>,
) {
    let requests: Vec<_> = (0..count)
        .map(|number| {
            let (record, seen) = (Arc::clone(record), Arc::clone(seen));
            thread::spawn(move || {
                let at = at + Duration::from_millis(5) * number;
                thread::sleep(at.saturating_duration_since(Instant::now()));
                send(&record, &seen, front, number, term);
            })
        })
        .collect();
    for request in requests {
        let _ = request.join();
    }
}

/// Asks a daemon where to connect, and returns for how long its answer names `front`.
fn resolve(directory: SocketAddr, front: SocketAddr) -> Duration {
    let call = Call {
        method: "GET",
        path: "/resolve?name=chat.example&region=r".into(),
        headers: vec![("Host".into(), "directory".into())],
        body: Vec::new(),
    };
    let answer = call.send(directory, Duration::from_secs(1)).ok();
    let body = answer.and_then(|answer| json::parse(&answer.body));
    let addresses = body.as_ref().and_then(|body| body.get("addresses"));
    let addresses = addresses.map(Value::list).unwrap_or_default();
    let front = front.to_string();
    if !addresses.iter().any(|one| one.text() == Some(&front)) {
        return Duration::ZERO;
    }
    let ttl = body.as_ref().and_then(|body| body.get("ttl-s"));
    Duration::from_secs_f64(ttl.and_then(Value::number).unwrap_or(0.0).clamp(0.0, 5.0))
}

fn send(record: &Record, seen: &Seen, front: SocketAddr, number: u32, term: Option<Instant>) {
    let mut random = Random::new(seed() ^ u64::from(number) << 40);
    let id = format!("{:016x}", random.next());
    let own = random.next() >> 32;
    let header = |name: &str, value: String| (name.to_owned(), value);
    let call = Call {
        method: "POST",
        path: "/chat/2f".into(),
        headers: vec![
            header("Host", "chat.example".into()),
            header("Godwithinge-Attempt-Id", id.clone()),
            header("Godwithinge-Model-Name", "m".into()),
            header("Godwithinge-Token-Counts", "715,273".into()),
            header(
                "Godwithinge-Prompt-Prefix",
                format!("5c1e07a2:103,{own:08x}:612"),
            ),
            header("Godwithinge-Deadline-Ms", DEADLINE.as_millis().to_string()),
            header("Api-Key", "9dnn2ctnfzs989anu6ws".into()),
        ],
        body: vec![b'x'; 300],
    };
    record.line(&format!("client sends {id} to {}", front.ip()));
    let sent = Instant::now();
    match call.send(front, PATIENCE) {
        Ok(answer) => {
            if answer.status() == 200 {
                seen.served.fetch_add(1, Ordering::SeqCst);
            }
            record.line(&format!("client gets {} for {id}", answer.status()));
        }
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            seen.gave_up.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("client gives {id} up"));
        }
        Err(error) => {
            record.line(&format!("client gets no answer for {id}: {error}"));
            let held = sent.elapsed();
            let Some(term) = term else { return };
            if held > LOSS_SLACK && term.elapsed() <= GRACE + AFTER_GRACE {
                let line = format!(
                    "request {id} was read, held for {} ms and closed without an answer, {} ms after SIGTERM",
                    held.as_millis(),
                    term.elapsed().as_millis(),
                );
                record.line(&line);
                lock(&seen.lost).push(line);
            }
        }
    }
}
