//! Case: stage engines send a second answer, which arrives where the next answer is expected.

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
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const DAEMONS: usize = 3;
const CLIENTS: usize = 14;
const STAGE_ENGINES: usize = 5;
/// 0.6 of the service's engines are faulty, the largest share that the site file plays.
const FAULTY_ENGINES: usize = 3;
/// 0.03 of their answers are sent twice, the largest figure that the site file plays with `extra`.
const EXTRA_PER_MILLE: usize = 30;
/// Length of the disruption, as in the site file, how often it comes, and the time between.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const ROUNDS: usize = 6;
const CALM_TIME: Duration = Duration::from_secs(4);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-brief","host":"brief.example","prefix":"/brief/","kind":"streaming","timeout-ms":6000,"target-latency-ms":1100,"priority":1,"service":"s-model","max-attempts":2,"stages":[{"service":"s-stage","after":[],"bytes":60000}],"public":false,"sticky":true,"resumable":true,"gap-aim-ms":200}],"services":[{"name":"s-model","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false},{"name":"s-stage","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false,"pieces":{"slots":1,"queue":2,"batch":18,"call-ms":200.0,"item-ms":9.5,"room-mb":2.3,"handle-s":4.0,"link-mbps":10000}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

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
    let zones = ["z-a", "z-b", "z-c"];
    let stage = Work::Stage {
        call: Duration::from_millis(200),
        item: Duration::from_micros(9_500),
        hold: Duration::from_secs(4),
    };
    let model = Work::Model {
        prefill: Duration::from_millis(120),
        interval: Duration::from_millis(20),
        events: 8,
        needs_inputs: true,
    };
    for index in 0..STAGE_ENGINES {
        let engine = Engine::start(&world, "s-stage", zones[index % 3], "v1", stage.clone())?;
        if index < FAULTY_ENGINES {
            lock(&world.extra.engines).push(engine.id.clone());
        }
    }
    for zone in zones {
        Engine::start(&world, "s-model", zone, "v1", model.clone())?;
    }
    world
        .extra
        .per_mille
        .store(EXTRA_PER_MILLE, Ordering::SeqCst);

    let mut fleet = Fleet::new(DAEMONS)?;
    for (index, zone) in zones.iter().enumerate() {
        fleet.start(&format!("edge-{}", index + 1), zone, store_address)?;
    }
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        record.say("the daemons did not become ready");
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_secs(5));

    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let foreign = Arc::new(Mutex::new(Vec::new()));
    let fronts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.front).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (is_over, served) = (Arc::clone(&is_over), Arc::clone(&served));
            let (foreign, record) = (Arc::clone(&foreign), Arc::clone(&record));
            let front = fronts[index % fronts.len()];
            thread::spawn(move || {
                let mut random = Random::new(seed() ^ (index as u64) << 40);
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("{:016x}", random.next());
                    let key = format!("{:012x}", random.next() >> 16);
                    send(&record, front, &id, &key, &mut random, &served, &foreign);
                }
            })
        })
        .collect();

    for round in 0..ROUNDS {
        thread::sleep(CALM_TIME);
        if has_trouble() {
            record.line(&format!("round {round}: second answers begin"));
            world.extra.is_on.store(true, Ordering::SeqCst);
        }
        thread::sleep(TROUBLE_TIME);
        world.extra.is_on.store(false, Ordering::SeqCst);
        record.line(&format!("round {round}: second answers end"));
    }
    thread::sleep(CALM_TIME);
    is_over.store(true, Ordering::SeqCst);
    let end = Instant::now() + Duration::from_secs(10);
    for client in clients {
        if Instant::now() < end {
            let _ = client.join();
        }
    }
    drop(fleet);

    let foreign = lock(&foreign);
    record.say(&format!(
        "{} of {} answers of faulty engines were sent twice; {} requests served, {} of them with another request's data",
        world.extra.sent.load(Ordering::SeqCst),
        world.extra.answers(),
        served.load(Ordering::SeqCst),
        foreign.len(),
    ));
    for line in foreign.iter().take(10) {
        record.say(line);
    }
    if served.load(Ordering::SeqCst) < 50 {
        record.say("too few requests were served");
        return Ok(NOT_RUN);
    }
    Ok(if foreign.is_empty() { HELD } else { BROKEN })
}

/// Sends one request and checks that its stream is about its own key.
fn send(
    record: &Record,
    front: std::net::SocketAddr,
    id: &str,
    key: &str,
    random: &mut Random,
    served: &AtomicUsize,
    foreign: &Mutex<Vec<String>>,
) {
    let own = random.next() >> 32;
    let header = |name: &str, value: String| (name.to_owned(), value);
    let call = Call {
        method: "POST",
        path: "/brief/2f".into(),
        headers: vec![
            header("Host", "brief.example".into()),
            header("Godwithinge-Attempt-Id", id.into()),
            header("Godwithinge-Model-Name", "m".into()),
            header("Godwithinge-Token-Counts", "1460,80".into()),
            header(
                "Godwithinge-Prompt-Prefix",
                format!("5c1e07a2:800,91bd3f06:410,{own:08x}:250"),
            ),
            header("Godwithinge-Piece-Count", "1".into()),
            header("Godwithinge-Piece-Key", key.into()),
            header("Godwithinge-Deadline-Ms", "6000".into()),
            header("Api-Key", "9dnn2ctnfzs989anu6ws".into()),
        ],
        body: vec![b'x'; 300],
    };
    record.line(&format!("client sends {id} with key {key}"));
    let answer = call.send(front, Duration::from_secs(7));
    match answer {
        Ok(answer) if answer.status() == 200 => {
            served.fetch_add(1, Ordering::SeqCst);
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let about = body.lines().find_map(|line| line.strip_prefix("data: v1 "));
            let about = about.and_then(|about| about.split(' ').next());
            let about = about.unwrap_or_default().to_owned();
            record.line(&format!("client gets 200 for {id}, about {about}"));
            if about != key {
                let line = format!("request {id} with key {key} was answered with data of {about}");
                record.line(&line);
                lock(foreign).push(line);
            }
        }
        Ok(answer) => {
            record.line(&format!("client gets {} for {id}", answer.status()));
            thread::sleep(Duration::from_millis(300));
        }
        Err(error) => {
            record.line(&format!("client gets no answer for {id}: {error}"));
            thread::sleep(Duration::from_millis(300));
        }
    }
}
