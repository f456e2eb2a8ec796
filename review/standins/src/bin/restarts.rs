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
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
/// Patient clients, each with one request at a time; always the same number, from start to end.
const CLIENTS: usize = 25;
/// Pieces of a request's only stage.
const PIECES: usize = 6;
/// `grace-s` of the sheet, and the time after it until which a SIGTERM counts as planned work.
const GRACE: Duration = Duration::from_secs(8);
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// Time between the end of a restart and the next SIGTERM.
const CALM_TIME: Duration = Duration::from_secs(9);
/// Deadline of a request, and its route's timeout.
const DEADLINE: Duration = Duration::from_secs(8);
/// `loss-slack-ms` of the sheet.
const LOSS_SLACK: Duration = Duration::from_millis(200);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-chat","host":"chat.example","prefix":"/chat/","kind":"streaming","timeout-ms":8000,"target-latency-ms":2000,"priority":1,"service":"s-model","max-attempts":2,"stages":[{"service":"s-stage","after":[],"bytes":8000}],"public":false,"sticky":true,"resumable":true,"gap-aim-ms":200}],"services":[{"name":"s-model","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false},{"name":"s-stage","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false,"pieces":{"slots":1,"queue":2,"batch":8,"call-ms":200.0,"item-ms":21.0,"room-mb":18.0,"handle-s":4.0,"link-mbps":10000}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"],"priority":2}]}"#;

/// A request that got no complete answer.
struct Unanswered {
    id: String,
    front: SocketAddr,
    sent: Instant,
    ended: Instant,
}

/// What the clients share.
struct Clients {
    record: Arc<Record>,
    directories: Vec<SocketAddr>,
    is_over: AtomicBool,
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
        events: 20,
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

    let directories = fleet.daemons.iter().map(|daemon| daemon.directory());
    let clients = Arc::new(Clients {
        record: Arc::clone(&record),
        directories: directories.collect(),
        is_over: AtomicBool::new(false),
        served: AtomicUsize::new(0),
        refused: AtomicUsize::new(0),
        unanswered: Mutex::default(),
    });
    let threads: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let clients = Arc::clone(&clients);
            thread::spawn(move || clients.run(index))
        })
        .collect();

    // SIGTERM and exit of each restart, with the daemon's address.
    let mut restarts: Vec<(IpAddr, Instant)> = Vec::new();
    thread::sleep(Duration::from_secs(12));
    for index in 0..ZONES.len() {
        if has_trouble() {
            let daemon = &mut fleet.daemons[index];
            record.line(&format!("{} gets SIGTERM", daemon.name));
            restarts.push((daemon.front.ip(), Instant::now()));
            daemon.signal("TERM");
            let end = Instant::now() + GRACE;
            while !daemon.has_exited() && Instant::now() < end {
                thread::sleep(Duration::from_millis(5));
            }
            record.line(&format!("{} has ended", daemon.name));
            daemon.kill();
            thread::sleep(Duration::from_millis(300));
            daemon.start()?;
        } else {
            thread::sleep(GRACE);
        }
        thread::sleep(CALM_TIME);
    }
    clients.is_over.store(true, Ordering::SeqCst);
    for client in threads {
        let _ = client.join();
    }
    drop(fleet);

    let reached = lock(&world.reached);
    let unanswered = lock(&clients.unanswered);
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
            if has_reached { "an engine had begun on it" } else { "no engine had been asked for anything of it" },
        );
        record.line(&line);
        // What an engine may still have worked on at the end is not counted.
        if restart.is_some() && !has_reached && held > LOSS_SLACK && held < DEADLINE {
            lost.push(line);
        }
    }
    let served = clients.served.load(Ordering::SeqCst);
    record.say(&format!(
        "{} restarts; {served} requests served, {} refused, {} without an answer, {} of these lost",
        restarts.len(),
        clients.refused.load(Ordering::SeqCst),
        unanswered.len(),
        lost.len(),
    ));
    for line in lost.iter().take(10) {
        record.say(line);
    }
    if served < 50 {
        return Ok(NOT_RUN);
    }
    Ok(if lost.is_empty() { HELD } else { BROKEN })
}

impl Clients {
    fn run(&self, index: usize) {
        let mut random = Random::new(seed() ^ (index as u64) << 40);
        let mut addresses: Vec<SocketAddr> = Vec::new();
        let mut resolved = Instant::now();
        let mut ttl = Duration::ZERO;
        while !self.is_over.load(Ordering::SeqCst) {
            if addresses.is_empty() || resolved.elapsed() >= ttl {
                if let Some((found, valid)) = self.resolve(&mut random) {
                    (addresses, ttl, resolved) = (found, valid, Instant::now());
                }
            }
            if addresses.is_empty() {
                thread::sleep(Duration::from_millis(100));
                continue;
            }
            let front = addresses[random.next() as usize % addresses.len()];
            if !self.send(front, &mut random) {
                // Clients leave out addresses that have failed them.
                addresses.retain(|address| *address != front);
            }
        }
    }

    /// Asks up to three daemons where to connect.
    fn resolve(&self, random: &mut Random) -> Option<(Vec<SocketAddr>, Duration)> {
        let first = random.next() as usize;
        for turn in 0..3 {
            let directory = self.directories[(first + turn) % self.directories.len()];
            let call = Call {
                method: "GET",
                path: "/resolve?name=chat.example&region=r".into(),
                headers: vec![("Host".into(), "directory".into())],
                body: Vec::new(),
            };
            let Ok(answer) = call.send(directory, Duration::from_secs(1)) else {
                continue;
            };
            let Some(body) = json::parse(&answer.body) else {
                continue;
            };
            let found = body.get("addresses").map(Value::list).unwrap_or_default();
            let found = found.iter().filter_map(|address| address.text()?.parse().ok());
            let found: Vec<SocketAddr> = found.collect();
            let ttl = body.get("ttl-s").and_then(Value::number).unwrap_or(0.0);
            if !found.is_empty() {
                return Some((found, Duration::from_secs_f64(ttl.clamp(0.0, 5.0))));
            }
        }
        None
    }

    /// Sends one request and returns whether the daemon answered.
    fn send(&self, front: SocketAddr, random: &mut Random) -> bool {
        let id = format!("{:016x}", random.next());
        let key = format!("{:012x}", random.next() >> 16);
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
                header("Godwithinge-Piece-Count", PIECES.to_string()),
                header("Godwithinge-Piece-Key", key),
                header("Godwithinge-Deadline-Ms", DEADLINE.as_millis().to_string()),
                header("Api-Key", "9dnn2ctnfzs989anu6ws".into()),
            ],
            body: vec![b'x'; 300],
        };
        self.record.line(&format!("client sends {id} to {}", front.ip()));
        let sent = Instant::now();
        match call.send(front, DEADLINE + Duration::from_secs(1)) {
            Ok(answer) if answer.status() == 200 => {
                self.served.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!("client gets 200 for {id}"));
                true
            }
            Ok(answer) => {
                self.refused.fetch_add(1, Ordering::SeqCst);
                self.record
                    .line(&format!("client gets {} for {id}", answer.status()));
                let wait = answer.header("retry-after").and_then(|wait| wait.parse().ok());
                thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.3_f64).clamp(0.02, 5.0)));
                true
            }
            // The daemon is not there; nothing was sent.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => false,
            Err(error) => {
                self.record
                    .line(&format!("client gets no answer for {id}: {error}"));
                lock(&self.unanswered).push(Unanswered {
                    id,
                    front,
                    sent,
                    ended: Instant::now(),
                });
                false
            }
        }
    }
}
