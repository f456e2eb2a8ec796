//! A burst of requests whose bodies are as long as the configuration allows.

use crate::{
    Verdict, client,
    engine::{Engine, Profile},
    network,
    record::Record,
    relay::{Limits, Relay},
    store::Store,
};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::time;

/// `limits.max-body-bytes` of the site's configuration.
const BODY_BYTES: usize = 4_194_304;
/// `memory-mb` of the site's machines.
const MEMORY_MB: f64 = 260.0;
/// Requests of the class `full-fitting-brief` a second, and the burst of the site's days.
const PER_SECOND: f64 = 9.44;
const BURST: f64 = 2.5;
const BURST_TIME: Duration = Duration::from_millis(6_900);
const DEADLINE: Duration = Duration::from_secs(6);
const BURSTS: usize = 4;
const PAUSE: Duration = Duration::from_secs(13);
/// Ends of its own that the rule allows to each machine.
const ALLOWED_ENDS: u64 = 2;

fn config() -> Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "r-brief", "host": "fit.example", "prefix": "/brief/", "kind": "streaming",
            "timeout-ms": 6000, "target-latency-ms": 1100, "priority": 1, "service": "needle-llm",
            "max-attempts": 2, "stages": [], "public": false, "sticky": true, "resumable": true,
            "gap-aim-ms": 200,
        }],
        "services": [{"name": "needle-llm", "health-path": "/healthz", "max-connections": 360}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": BODY_BYTES,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "crew", "api-keys": ["k-1"]}],
    })
}

fn request(id: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /brief/1 HTTP/1.1\r\nHost: fit.example\r\nGodwithinge-Attempt-Id: {id}\r\n\
         Godwithinge-Deadline-Ms: {}\r\nApi-Key: k-1\r\nGodwithinge-Model-Name: m\r\n\
         Godwithinge-Token-Counts: 9190,52\r\n\
         Godwithinge-Prompt-Prefix: 5c1e07a2:2520,91bd3f06:3780,{id}:2890\r\n\
         Content-Length: {}\r\n\r\n",
        DEADLINE.as_millis(),
        body.len()
    );
    let mut request = head.into_bytes();
    request.extend_from_slice(body);
    request
}

/// Sends requests at a rate for a time, in turn to the machines.
async fn load(
    fronts: &[SocketAddr],
    rate: f64,
    lasts: Duration,
    next: &AtomicU64,
    body: &Arc<Vec<u8>>,
    record: &Record,
    ends: &Arc<Mutex<[usize; 2]>>,
) {
    let started = Instant::now();
    while started.elapsed() < lasts {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let front = fronts[number as usize % fronts.len()];
        let (record, body, ends) = (record.clone(), Arc::clone(body), Arc::clone(ends));
        tokio::spawn(async move {
            let id = format!("b{number:05}");
            let request = request(&id, &body);
            let answer = client::send(front, &request, &id, DEADLINE, &record).await;
            let is_served = answer.status == 200 && answer.is_complete;
            ends.lock().expect("lock")[usize::from(is_served)] += 1;
        });
        time::sleep(Duration::from_secs_f64(1.0 / rate)).await;
    }
}

pub async fn run(has_trouble: bool) -> Verdict {
    let record = Record::new();
    let network = network();
    let store = Store::start(&format!("{network}.1")).await;
    let runs = Arc::new(Mutex::new(Vec::new()));
    store.put("op", "config", Some(&config()));
    let mut engines = Vec::new();
    for number in 0..9 {
        let profile = Profile {
            crashes: None,
            id: format!("i-{number}"),
            service: "needle-llm".to_owned(),
            version: "v1".to_owned(),
            work: Duration::from_millis(600),
            events: 28,
            interval: Duration::from_millis(170),
        };
        let address = format!("{network}.{}:8080", 10 + number);
        engines.push(Engine::start(profile, &address, &store, &runs, &record).await);
    }
    let ips: Vec<String> = (0..2)
        .map(|number| format!("{network}.{}", 100 + number))
        .collect();
    let limits = Limits {
        memory_mb: MEMORY_MB as u64,
        grace_s: 8,
    };
    let relays: Vec<Relay> = ips
        .iter()
        .map(|ip| Relay::new(ip, &ips, store.address, &limits))
        .collect();
    let fronts: Vec<SocketAddr> = relays.iter().map(|relay| relay.front).collect();
    let relays: Vec<Arc<Mutex<Relay>>> = relays
        .into_iter()
        .map(|relay| Arc::new(Mutex::new(relay)))
        .collect();
    for relay in &relays {
        relay.lock().expect("lock").start();
    }
    time::sleep(Duration::from_secs(5)).await;
    // The platform: kills a process that exceeds its memory, and starts it again after a short delay.
    let kills: Vec<Arc<AtomicU64>> = relays.iter().map(|_| Arc::default()).collect();
    let peaks: Vec<Arc<AtomicU64>> = relays.iter().map(|_| Arc::default()).collect();
    let mut guards = Vec::new();
    for ((relay, kills), peak) in relays.iter().zip(&kills).zip(&peaks) {
        let (relay, kills, peak, record) = (
            Arc::clone(relay),
            Arc::clone(kills),
            Arc::clone(peak),
            record.clone(),
        );
        guards.push(tokio::spawn(async move {
            loop {
                time::sleep(Duration::from_millis(20)).await;
                let used = relay.lock().expect("lock").memory_mb();
                peak.fetch_max(used as u64, Ordering::Relaxed);
                if used > MEMORY_MB {
                    kills.fetch_add(1, Ordering::Relaxed);
                    {
                        let mut process = relay.lock().expect("lock");
                        process.kill();
                        let name = &process.name;
                        record.say(&format!("{name} uses {used:.0} MB of {MEMORY_MB}: killed"));
                    }
                    time::sleep(Duration::from_millis(500)).await;
                    relay.lock().expect("lock").start();
                }
            }
        }));
    }
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let next = AtomicU64::new(0);
    let ends: Arc<Mutex<[usize; 2]>> = Arc::default();
    for number in 0..BURSTS {
        let rate = if has_trouble {
            PER_SECOND * BURST
        } else {
            PER_SECOND
        };
        record.say(&format!("burst {number}: {rate:.1} requests a second"));
        load(&fronts, rate, BURST_TIME, &next, &body, &record, &ends).await;
        load(
            &fronts,
            PER_SECOND,
            PAUSE.saturating_sub(BURST_TIME),
            &next,
            &body,
            &record,
            &ends,
        )
        .await;
    }
    time::sleep(DEADLINE).await;
    for guard in guards {
        guard.abort();
    }
    let kills: Vec<u64> = kills
        .iter()
        .map(|kills| kills.load(Ordering::Relaxed))
        .collect();
    let peaks: Vec<u64> = peaks
        .iter()
        .map(|peak| peak.load(Ordering::Relaxed))
        .collect();
    let [failed, served] = *ends.lock().expect("lock");
    record.say(&format!(
        "{served} requests served, {failed} not; processes killed for their memory: {kills:?}; \
         peaks in MB: {peaks:?}"
    ));
    if !has_trouble && served == 0 {
        return Verdict::NotRun;
    }
    if kills.iter().all(|kills| *kills > ALLOWED_ENDS) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
