//! Case: machines are stopped and started in turn while requests wait for their stages.

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
    net::{IpAddr, SocketAddr},
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
/// Requests of a clump. Together they keep the stage's only engine busy for 5.9 s.
const REQUESTS: u32 = 16;
/// Pieces of a request's only stage; a call takes as many, and 368 ms for them.
const PIECES: usize = 8;
/// Time from SIGTERM to the clump, and between its requests. The daemon still takes requests then.
const CLUMP_DELAY: Duration = Duration::from_millis(2_550);
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Deadline of a request, which is also its route's timeout.
const DEADLINE: Duration = Duration::from_secs(8);
/// `grace-s` of the sheet, and the time after it until which a SIGTERM counts as planned work.
const GRACE: Duration = Duration::from_secs(8);
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// Time between the end of a restart and the next SIGTERM.
const CALM_TIME: Duration = Duration::from_secs(6);
/// Number of restarts; the machines take turns.
const RESTARTS: usize = 5;
/// `loss-slack-ms` of the sheet.
const LOSS_SLACK: Duration = Duration::from_millis(200);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"draft.example","prefix":"/draft/","kind":"streaming","timeout-ms":8000,"target-latency-ms":2000,"priority":1,"service":"s-model","max-attempts":2,"stages":[{"service":"s-stage","after":[],"bytes":8000}],"public":false,"sticky":true,"resumable":true,"gap-aim-ms":200}],"services":[{"name":"s-model","health-path":"/healthz","max-connections":280,"protocol":"h1","tls":false},{"name":"s-stage","health-path":"/healthz","max-connections":280,"protocol":"h1","tls":false,"pieces":{"slots":1,"queue":2,"batch":8,"call-ms":200.0,"item-ms":21.0,"room-mb":18.0,"handle-s":4.0,"link-mbps":10000}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"]}]}"#;

/// A request that got no complete answer.
struct Unanswered {
    id: String,
    front: SocketAddr,
    sent: Instant,
    ended: Instant,
}

/// What the clients have seen.
#[derive(Default)]
struct Seen {
    served: AtomicUsize,
    refused: AtomicUsize,
    unanswered: Mutex<Vec<Unanswered>>,
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
    let stage = Work::Stage {
        call: Duration::from_millis(200),
        item: Duration::from_millis(21),
        hold: Duration::from_secs(4),
    };
    let model = Work::Model {
        prefill: Duration::from_millis(60),
        interval: Duration::from_millis(20),
        events: 12,
        needs_inputs: true,
    };
    Engine::start(&world, "s-stage", "z-a", "v1", stage)?;
    for zone in ZONES {
        Engine::start(&world, "s-model", zone, "v1", model.clone())?;
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
    // SIGTERM of each restart, with the daemon's address.
    let mut restarts: Vec<(IpAddr, Instant)> = Vec::new();
    for turn in 0..RESTARTS {
        let daemon = &mut fleet.daemons[turn % ZONES.len()];
        // Some clients keep an answer of the directory three times as long as its ttl.
        let valid = resolve(daemon.directory(), daemon.front) * 3;
        if valid < CLUMP_DELAY + Duration::from_millis(250) {
            record.say("the directory does not name the daemon for long enough");
            return Ok(NOT_RUN);
        }
        let term = Instant::now();
        if has_trouble() {
            record.line(&format!("{} gets SIGTERM", daemon.name));
            restarts.push((daemon.front.ip(), term));
            daemon.signal("TERM");
        }
        let front = daemon.front;
        let requests: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let (record, seen) = (Arc::clone(&record), Arc::clone(&seen));
                thread::spawn(move || {
                    let at = term + CLUMP_DELAY + REQUEST_INTERVAL * number;
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    send(&record, &seen, front, number);
                })
            })
            .collect();
        for request in requests {
            let _ = request.join();
        }
        if has_trouble() {
            let end = term + GRACE + AFTER_GRACE;
            while !daemon.has_exited() && Instant::now() < end {
                thread::sleep(Duration::from_millis(5));
            }
            record.line(&format!("{} has ended", daemon.name));
            daemon.kill();
            daemon.start()?;
        }
        thread::sleep(CALM_TIME);
    }
    drop(fleet);

    let reached = lock(&world.reached);
    let unanswered = lock(&seen.unanswered);
    let mut lost = Vec::new();
    for one in unanswered.iter() {
        let restart = restarts.iter().find(|(ip, at)| {
            *ip == one.front.ip() && one.ended >= *at && one.ended <= *at + GRACE + AFTER_GRACE
        });
        let held = one.ended - one.sent;
        let has_reached = reached.contains(&one.id);
        let line = format!(
            "request {} to {} was read, held for {} ms and closed without an answer, {} ms after SIGTERM; {}",
            one.id,
            one.front.ip(),
            held.as_millis(),
            restart.map_or(0, |(_, at)| (one.ended - *at).as_millis()),
            if has_reached {
                "an engine had begun on it"
            } else {
                "no engine had been asked for anything of it"
            },
        );
        record.line(&line);
        // What an engine may still have worked on at the end is not counted.
        if restart.is_some() && !has_reached && held > LOSS_SLACK && held < DEADLINE {
            lost.push(line);
        }
    }
    let served = seen.served.load(Ordering::SeqCst);
    record.say(&format!(
        "{} restarts; {served} requests served, {} refused, {} without an answer, {} of these lost",
        restarts.len(),
        seen.refused.load(Ordering::SeqCst),
        unanswered.len(),
        lost.len(),
    ));
    for line in lost.iter().take(10) {
        record.say(line);
    }
    if served < 30 {
        return Ok(NOT_RUN);
    }
    Ok(if lost.is_empty() { HELD } else { BROKEN })
}

/// Asks a daemon where to connect, and returns for how long its answer names `front`.
fn resolve(directory: SocketAddr, front: SocketAddr) -> Duration {
    let call = Call {
        method: "GET",
        path: "/resolve?name=draft.example&region=r".into(),
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

fn send(record: &Record, seen: &Seen, front: SocketAddr, number: u32) {
    let mut random = Random::new(seed() ^ u64::from(number) << 40);
    let id = format!("{:016x}", random.next());
    let own = random.next() >> 32;
    let header = |name: &str, value: String| (name.to_owned(), value);
    let call = Call {
        method: "POST",
        path: "/draft/2f".into(),
        headers: vec![
            header("Host", "draft.example".into()),
            header("Godwithinge-Attempt-Id", id.clone()),
            header("Godwithinge-Model-Name", "m".into()),
            header("Godwithinge-Token-Counts", "715,273".into()),
            header(
                "Godwithinge-Prompt-Prefix",
                format!("5c1e07a2:103,{own:08x}:612"),
            ),
            header("Godwithinge-Piece-Count", PIECES.to_string()),
            header(
                "Godwithinge-Piece-Key",
                format!("{:012x}", random.next() >> 16),
            ),
            header("Godwithinge-Deadline-Ms", DEADLINE.as_millis().to_string()),
            header("Api-Key", "9dnn2ctnfzs989anu6ws".into()),
        ],
        body: vec![b'x'; 300],
    };
    record.line(&format!("client sends {id} to {}", front.ip()));
    let sent = Instant::now();
    match call.send(front, DEADLINE + Duration::from_secs(1)) {
        Ok(answer) if answer.status() == 200 => {
            seen.served.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("client gets 200 for {id}"));
        }
        Ok(answer) => {
            seen.refused.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("client gets {} for {id}", answer.status()));
        }
        // The daemon is not there; nothing was sent.
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            record.line(&format!("client finds no daemon for {id}"));
        }
        Err(error) => {
            record.line(&format!("client gets no answer for {id}: {error}"));
            lock(&seen.unanswered).push(Unanswered {
                id,
                front,
                sent,
                ended: Instant::now(),
            });
        }
    }
}
