//! Case: all processes are killed, and when they are back, stage engines fall silent for a second.

use review_standins::{
    BROKEN, HELD, NOT_RUN, Random,
    daemon::Fleet,
    engine::{Engine, Work, World},
    has_trouble,
    http::Call,
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
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
/// Requests a second, all the time.
const PER_SECOND: f64 = 2.0;
const BEFORE: Duration = Duration::from_secs(15);
/// Time from the kill until the processes are started again.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Time for which a stage engine falls silent after that, on a call that finds it idle.
const SILENCE: Duration = Duration::from_millis(590);
/// `recover-s` of the sheet.
const RECOVER: Duration = Duration::from_secs(12);
/// Time for which requests are judged after `recover-s`.
const AFTER: Duration = Duration::from_secs(30);
/// Deadline of a request, and the time after which its client gives up without an event.
const DEADLINE_MS: u64 = 6_000;
const PATIENCE: Duration = Duration::from_millis(2_000);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-notes","host":"notes.example","prefix":"/notes/","kind":"streaming","timeout-ms":6000,"target-latency-ms":500,"priority":2,"service":"s-model","max-attempts":2,"stages":[{"service":"s-stage","after":[],"bytes":8000},{"service":"s-stage","after":[0],"bytes":8000},{"service":"s-stage","after":[1],"bytes":8000},{"service":"s-stage","after":[2],"bytes":8000},{"service":"s-stage","after":[3],"bytes":8000},{"service":"s-stage","after":[4],"bytes":8000}],"public":false,"sticky":true,"resumable":true,"gap-aim-ms":200}],"services":[{"name":"s-model","health-path":"/healthz","max-connections":280,"protocol":"h1","tls":false},{"name":"s-stage","health-path":"/healthz","max-connections":280,"protocol":"h1","tls":false,"pieces":{"slots":1,"queue":2,"batch":8,"call-ms":100.0,"item-ms":10.0,"room-mb":18.0,"handle-s":4.0,"link-mbps":10000}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"],"priority":2}]}"#;

/// When a request was sent and whether it was served.
type Outcome = (Instant, bool);

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
    let mut stage_engines = Vec::new();
    let services = [("s-stage", 3, 10_000)];
    for (service, count, item_us) in services {
        let work = Work::Stage {
            call: Duration::from_millis(100),
            item: Duration::from_micros(item_us),
            hold: Duration::from_secs(4),
        };
        for index in 0..count {
            let zone = ZONES[index % 3];
            stage_engines.push(Engine::start(&world, service, zone, "v1", work.clone())?);
        }
    }
    let model = Work::Model {
        prefill: Duration::from_millis(40),
        interval: Duration::from_millis(20),
        events: 10,
        needs_inputs: true,
    };
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

    let outcomes = Arc::new(Mutex::new(Vec::<Outcome>::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let fronts: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.front).collect();
    let traffic = {
        let (record, outcomes) = (Arc::clone(&record), Arc::clone(&outcomes));
        let is_over = Arc::clone(&is_over);
        thread::spawn(move || {
            let mut random = Random::new(seed());
            let mut requests = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let front = fronts[random.next() as usize % fronts.len()];
                let (record, outcomes) = (Arc::clone(&record), Arc::clone(&outcomes));
                let number = random.next();
                requests.push(thread::spawn(move || {
                    let sent = Instant::now();
                    let is_served = send(&record, front, number);
                    lock(&outcomes).push((sent, is_served));
                }));
                let pause = (0.5 + random.fraction()) / PER_SECOND;
                thread::sleep(Duration::from_secs_f64(pause));
            }
            for request in requests {
                let _ = request.join();
            }
        })
    };
    thread::sleep(BEFORE);
    let fault = Instant::now();
    if has_trouble() {
        record.line("all processes are killed");
        for daemon in &mut fleet.daemons {
            daemon.kill();
        }
        for engine in &stage_engines {
            lock(&world.silences).insert(engine.id.clone(), SILENCE);
        }
        thread::sleep(DOWN_TIME);
        for daemon in &mut fleet.daemons {
            daemon.start()?;
        }
        record.line("the processes are started again");
    }
    let is_back = fleet.wait_until_ready(Duration::from_secs(15));
    let back = Instant::now();
    record.line(&format!("all machines are ready: {is_back}"));
    thread::sleep(RECOVER + AFTER);
    is_over.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    drop(fleet);

    let outcomes = lock(&outcomes);
    let share = |is_counted: &dyn Fn(Instant) -> bool| {
        let counted = outcomes.iter().filter(|(sent, _)| is_counted(*sent));
        let served: Vec<bool> = counted.map(|(_, is_served)| *is_served).collect();
        let count = served.iter().filter(|is_served| **is_served).count();
        (count, served.len())
    };
    let (before, sent_before) = share(&|sent| sent < fault);
    let (after, sent_after) = share(&|sent| sent > back + RECOVER);
    record.say(&format!(
        "before the final fault {before} of {sent_before} requests were served, later than recover-s after it {after} of {sent_after}"
    ));
    if !is_back || before * 4 < sent_before || sent_after < 40 {
        return Ok(NOT_RUN);
    }
    Ok(if after * 4 < sent_after { BROKEN } else { HELD })
}

/// Sends a request and returns whether it was served.
fn send(record: &Record, front: SocketAddr, number: u64) -> bool {
    let mut random = Random::new(number);
    let id = format!("{:016x}", random.next());
    let own = random.next() >> 32;
    let header = |name: &str, value: String| (name.to_owned(), value);
    let call = Call {
        method: "POST",
        path: "/notes/2f".into(),
        headers: vec![
            header("Host", "notes.example".into()),
            header("Godwithinge-Attempt-Id", id.clone()),
            header("Godwithinge-Model-Name", "m".into()),
            header("Godwithinge-Token-Counts", "715,93".into()),
            header(
                "Godwithinge-Prompt-Prefix",
                format!("5c1e07a2:103,91bd3f06:69,{own:08x}:543"),
            ),
            header("Godwithinge-Piece-Count", "1,1,1,1,1,1".into()),
            header(
                "Godwithinge-Piece-Key",
                format!("{:012x}", random.next() >> 16),
            ),
            header("Godwithinge-Deadline-Ms", DEADLINE_MS.to_string()),
            header("Api-Key", "9dnn2ctnfzs989anu6ws".into()),
        ],
        body: vec![b'x'; 300],
    };
    record.line(&format!("client sends {id} to {}", front.ip()));
    match call.send(front, PATIENCE) {
        Ok(answer) => {
            let wait = answer.header("retry-after").unwrap_or("-").to_owned();
            let status = answer.status();
            record.line(&format!(
                "client gets {status} for {id}, retry-after {wait}"
            ));
            status == 200
        }
        Err(error) => {
            record.line(&format!("client gets no answer for {id}: {error}"));
            false
        }
    }
}
