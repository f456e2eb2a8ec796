//! Case: engines leave shortly after one machine has found the store again.

use review_standins::{
    BROKEN, HELD, NOT_RUN, Random,
    daemon::Fleet,
    engine::{Engine, Work, World},
    has_trouble,
    http::Call,
    lock,
    proxy::Proxy,
    record::Record,
    seed,
    store::Store,
};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Zones of the daemons. The store's path of the second one is cut; clients use the third one.
const ZONES: [&str; 4] = ["z-a", "z-b", "z-c", "z-a"];
const CUT_DAEMON: usize = 1;
const CLIENT_DAEMON: usize = 2;
/// Each has four engines, of which one leaves.
const SERVICES: usize = 4;
const ROUNDS: usize = 8;
/// Length of the cut; the site file plays up to 5.5 s.
const CUT_TIME: Duration = Duration::from_secs(3);
/// Time from the end of the cut until the first engine leaves, and between two of them.
const LEAVE_DELAY: Duration = Duration::from_millis(600);
const LEAVE_INTERVAL: Duration = Duration::from_millis(150);
/// `drain-ms` of the sheet.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time after `drain-ms` at which an engine that leaves exits.
const LINGER: Duration = Duration::from_millis(100);
const ORDER_INTERVAL: Duration = Duration::from_millis(20);
const ORDERS: u32 = 25;

fn config() -> String {
    let routes: Vec<String> = (0..SERVICES)
        .map(|index| {
            format!(
                "{{\"name\":\"r-{index}\",\"host\":\"desk.example\",\"prefix\":\"/order-{index}/\",\
                 \"kind\":\"non_idempotent\",\"timeout-ms\":1500,\"target-latency-ms\":150,\
                 \"priority\":2,\"service\":\"s-desk-{index}\",\"max-attempts\":1,\"stages\":[],\
                 \"public\":false}}"
            )
        })
        .collect();
    let services: Vec<String> = (0..SERVICES)
        .map(|index| {
            format!(
                "{{\"name\":\"s-desk-{index}\",\"health-path\":\"/healthz\",\
                 \"max-connections\":100,\"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api-keys\":[\"9dnn2ctnfzs989anu6ws\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(","),
    )
}

/// What the engines and clients of all rounds have seen.
#[derive(Default)]
struct Seen {
    orders: usize,
    late: Vec<String>,
    lost: Vec<String>,
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
    store.write("op", "config", Some(&config()));
    let world = World::new(Arc::clone(&store), Arc::clone(&record));
    let work = Work::Plain(Duration::from_millis(60));
    let service = |index| format!("s-desk-{index}");
    let mut leaving = Vec::new();
    for index in 0..SERVICES {
        for zone in ["z-a", "z-b", "z-b"] {
            Engine::start(&world, &service(index), zone, "v1", work.clone())?;
        }
        // In the zone of the daemon that the clients use.
        leaving.push(Engine::start(
            &world,
            &service(index),
            "z-c",
            "v1",
            work.clone(),
        )?);
    }

    let mut fleet = Fleet::new(ZONES.len())?;
    let mut proxies = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let proxy = Proxy::start(store_address)?;
        fleet.start(&format!("edge-{}", index + 1), zone, proxy.address)?;
        proxies.push(proxy);
    }
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        record.say("the daemons did not become ready");
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_secs(5));

    let seen = Arc::new(Mutex::new(Seen::default()));
    let front = fleet.daemons[CLIENT_DAEMON].front;
    for round in 0..ROUNDS {
        if has_trouble() {
            record.line(&format!("round {round}: edge-2 is cut off from the store"));
            proxies[CUT_DAEMON].set_cut(true);
        }
        thread::sleep(CUT_TIME);
        proxies[CUT_DAEMON].set_cut(false);
        record.line(&format!("round {round}: edge-2 reaches the store"));
        thread::sleep(LEAVE_DELAY);
        let threads: Vec<_> = leaving
            .iter()
            .enumerate()
            .map(|(index, engine)| {
                let (engine, record, seen) =
                    (Arc::clone(engine), Arc::clone(&record), Arc::clone(&seen));
                thread::spawn(move || {
                    thread::sleep(LEAVE_INTERVAL * index as u32);
                    leave(&engine, index, &record, front, &seen);
                })
            })
            .collect();
        for one in threads {
            let _ = one.join();
        }
        for (index, engine) in leaving.iter_mut().enumerate() {
            *engine = Engine::start(&world, &service(index), "z-c", "v1", work.clone())?;
        }
        thread::sleep(Duration::from_millis(3_500));
    }
    drop(fleet);

    let seen = lock(&seen);
    record.say(&format!(
        "{} engines left; {} orders sent; {} requests reached an engine later than drain-ms after its leaving was acknowledged; {} orders got 502 from engines that had left",
        ROUNDS * SERVICES,
        seen.orders,
        seen.late.len(),
        seen.lost.len(),
    ));
    for line in seen.late.iter().take(10).chain(seen.lost.iter().take(5)) {
        record.say(line);
    }
    if seen.orders < ROUNDS * SERVICES {
        return Ok(NOT_RUN);
    }
    Ok(if seen.late.is_empty() { HELD } else { BROKEN })
}

/// Lets an engine leave, and sends orders to its service from shortly after `drain-ms` on.
fn leave(
    engine: &Arc<Engine>,
    index: usize,
    record: &Arc<Record>,
    front: SocketAddr,
    seen: &Arc<Mutex<Seen>>,
) {
    engine.leave();
    let (left_at, left_ms) = (Instant::now(), record.now_ms());
    record.line(&format!(
        "the store has acknowledged that {} is gone",
        engine.id
    ));
    let exiting = Arc::clone(engine);
    let exit_record = Arc::clone(record);
    thread::spawn(move || {
        thread::sleep((left_at + DRAIN + LINGER).saturating_duration_since(Instant::now()));
        exiting.exit();
        exit_record.line(&format!("{} exits", exiting.id));
    });
    let first = left_at + DRAIN + Duration::from_millis(10);
    let orders: Vec<_> = (0..ORDERS)
        .map(|number| {
            let (record, seen, engine) = (Arc::clone(record), Arc::clone(seen), Arc::clone(engine));
            thread::spawn(move || {
                let at = first + ORDER_INTERVAL * number;
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let mut random = Random::new(seed() ^ u64::from(number) << 48);
                let id = format!("{:016x}", random.next());
                send(&record, front, &id, index, &engine, &seen);
            })
        })
        .collect();
    for order in orders {
        let _ = order.join();
    }
    for arrival in engine.arrivals() {
        let after = arrival.at_ms - left_ms;
        if arrival.has_run && after > DRAIN.as_secs_f64() * 1e3 {
            let line = format!(
                "order {} was run by {} {after:.0} ms after its leaving was acknowledged",
                arrival.request, engine.id
            );
            record.line(&line);
            lock(seen).late.push(line);
        }
    }
}

fn send(
    record: &Record,
    front: SocketAddr,
    id: &str,
    index: usize,
    engine: &Engine,
    seen: &Mutex<Seen>,
) {
    let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    let call = Call {
        method: "POST",
        path: format!("/order-{index}/lo7"),
        headers: vec![
            header("Host", "desk.example"),
            header("Godwithinge-Attempt-Id", id),
            header("Godwithinge-Deadline-Ms", "1500"),
            header("Api-Key", "9dnn2ctnfzs989anu6ws"),
        ],
        body: b"jacket".to_vec(),
    };
    record.line(&format!("client sends order {id} for s-desk-{index}"));
    lock(seen).orders += 1;
    match call.send(front, Duration::from_secs(3)) {
        Ok(answer) => {
            record.line(&format!("client gets {} for {id}", answer.status()));
            let arrivals = engine.arrivals();
            let has_run = arrivals.iter().any(|one| one.has_run && one.request == id);
            if answer.status() == 502 && has_run {
                lock(seen)
                    .lost
                    .push(format!("order {id} was run by {} and got 502", engine.id));
            }
        }
        Err(error) => record.line(&format!("client gets no answer for {id}: {error}")),
    }
}
