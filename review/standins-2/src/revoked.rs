//! A configuration takes a key away, and adds a route that lists a stage before the one that it reads.

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
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::time;

/// `config-ms`.
const CONFIG_BOUND: Duration = Duration::from_millis(2_000);
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time for which requests are sent after the change.
const LASTS: Duration = Duration::from_secs(12);

/// Returns a configuration in which `key` is the only one. If it has the added route, that one's first
/// stage reads the results of its second one if `is_reversed`, and otherwise the other way round.
fn config(version: u64, key: &str, added: Option<bool>) -> Value {
    let mut routes = vec![json!({
        "name": "r-order", "host": "fit.example", "prefix": "/order/", "kind": "non_idempotent",
        "timeout-ms": 1500, "target-latency-ms": 150, "priority": 2, "service": "orders-desk",
        "max-attempts": 1, "stages": [], "public": false,
    })];
    if let Some(is_reversed) = added {
        let (first, second) = if is_reversed {
            (vec![1], vec![])
        } else {
            (vec![], vec![0])
        };
        routes.push(json!({
            "name": "r-note", "host": "fit.example", "prefix": "/note/", "kind": "streaming",
            "timeout-ms": 6000, "target-latency-ms": 1800, "priority": 0, "service": "needle-llm",
            "max-attempts": 1, "public": false, "sticky": true, "resumable": false, "gap-aim-ms": 200,
            "stages": [
                {"service": "fabric-stock", "after": first, "bytes": 60000},
                {"service": "fabric-stock", "after": second, "bytes": 8000},
            ],
        }));
    }
    let pieces = json!({"slots": 1, "queue": 2, "batch": 18, "call-ms": 200.0, "item-ms": 9.5,
                        "room-mb": 2.3, "handle-s": 4.0, "link-mbps": 10000});
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "orders-desk", "health-path": "/healthz", "max-connections": 100},
            {"name": "needle-llm", "health-path": "/healthz", "max-connections": 360},
            {"name": "fabric-stock", "health-path": "/healthz", "max-connections": 360, "pieces": pieces},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "crew", "api-keys": [key]}],
    })
}

fn request(id: &str, key: &str) -> Vec<u8> {
    format!(
        "POST /order/1 HTTP/1.1\r\nHost: fit.example\r\nGodwithinge-Attempt-Id: {id}\r\n\
         Godwithinge-Deadline-Ms: 1500\r\nApi-Key: {key}\r\nContent-Length: 5\r\n\r\norder"
    )
    .into_bytes()
}

pub async fn run(has_trouble: bool) -> Verdict {
    let record = Record::new();
    let network = network();
    let store = Store::start(&format!("{network}.1")).await;
    let runs = Arc::new(Mutex::new(Vec::new()));
    store.put("op", "config", Some(&config(3, "k-old", None)));
    let mut engines = Vec::new();
    for (number, service) in ["orders-desk", "needle-llm", "fabric-stock"]
        .into_iter()
        .enumerate()
    {
        let profile = Profile {
            crashes: None,
            id: format!("i-{number}"),
            service: service.to_owned(),
            version: "v1".to_owned(),
            work: Duration::from_millis(30),
            events: 8,
            interval: Duration::from_millis(20),
        };
        let address = format!("{network}.{}:8080", 10 + number);
        engines.push(Engine::start(profile, &address, &store, &runs, &record).await);
    }
    let ips: Vec<String> = (0..2)
        .map(|number| format!("{network}.{}", 100 + number))
        .collect();
    let limits = Limits {
        memory_mb: 260,
        grace_s: 8,
    };
    let mut relays: Vec<Relay> = ips
        .iter()
        .map(|ip| Relay::new(ip, &ips, store.address, &limits))
        .collect();
    for relay in &mut relays {
        relay.start();
    }
    for relay in &relays {
        if !relay.wait_until_ready(Duration::from_secs(10)).await {
            return Verdict::NotRun;
        }
    }
    time::sleep(Duration::from_secs(5)).await;
    let fronts: Vec<SocketAddr> = relays.iter().map(|relay| relay.front).collect();
    let answer = client::send(
        fronts[0],
        &request("first", "k-old"),
        "first",
        DEADLINE,
        &record,
    )
    .await;
    if answer.status != 200 {
        return Verdict::NotRun;
    }
    let version = config(5, "k-new", Some(has_trouble));
    record.say("version 5: k-old is taken away, k-new and a route with two stages are added");
    record.line(&version["routes"][1].to_string());
    store.put("op", "config", Some(&version));
    let changed = Instant::now();
    let (mut sent, mut old_runs, mut new_refusals) = (0, 0, 0);
    while changed.elapsed() < LASTS {
        for (machine, front) in fronts.iter().enumerate() {
            let is_late = changed.elapsed() > CONFIG_BOUND;
            let number = sent;
            sent += 1;
            let (old, new) = (format!("o{number:04}"), format!("n{number:04}"));
            let answer =
                client::send(*front, &request(&old, "k-old"), &old, DEADLINE, &record).await;
            let has_run = runs.lock().expect("lock").iter().any(|run| run.id == old);
            if is_late && has_run {
                old_runs += 1;
                record.line(&format!(
                    "{old} at machine {machine} ran with the old key: {}",
                    answer.status
                ));
            }
            let answer =
                client::send(*front, &request(&new, "k-new"), &new, DEADLINE, &record).await;
            new_refusals += usize::from(is_late && matches!(answer.status, 401 | 403 | 404));
        }
        time::sleep(Duration::from_millis(200)).await;
    }
    for relay in &relays {
        for line in relay.log_lines("configuration left out") {
            record.line(&format!("{}: {line}", relay.name));
        }
    }
    record.say(&format!(
        "later than 2 s after the acknowledgement: {old_runs} requests ran with the key that was taken \
         away, {new_refusals} with the new key were refused"
    ));
    if old_runs > 0 || new_refusals > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
