//! Graceful shutdown completes all requests in flight.

use crate::common::{
    ClientRequest, ENGINE, Entry, IDEMPOTENT, NON_IDEMPOTENT_LOOKUP, Reply, TestCluster, wait_until,
};
use http_body_util::BodyExt;
use hyper::Method;
use policy::claim::Row;
use serde_json::{Value, json};
use standin::fetch;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{task::JoinSet, time};

/// Number of entry daemons.
const ENTRY_COUNT: usize = 7;
/// Number of concurrent callers, each of which sends its requests sequentially.
const CALLER_COUNT: usize = 12;
/// Time for which callers cache a directory response: the `directory_ttl` of 500 ms that the test
/// cluster sets, less the maximum jitter of 20%, as no caller may keep one for longer.
const DIRECTORY_TTL: Duration = Duration::from_millis(400);

/// State shared by the callers: entry addresses for directory requests, and results.
struct LoadGenerator {
    stop: AtomicBool,
    answered: AtomicUsize,
    failed: Mutex<Vec<Reply>>,
    seeds: Mutex<Vec<SocketAddr>>,
}

async fn fetch_directory(load: &LoadGenerator) -> Vec<SocketAddr> {
    loop {
        let seeds = load.seeds.lock().expect("lock is not poisoned").clone();
        for seed in seeds {
            let path = "/v1/entries?workspace=tailors&domain=a";
            let Ok(body) = fetch::get(seed, path).await else {
                continue;
            };
            let answer: Value = serde_json::from_slice(&body).expect("directory answers JSON");
            let entries = answer["entries"].as_array().expect("entries are listed");
            let addresses = entries
                .iter()
                .map(|it| it["address"].as_str().expect("address"));
            return addresses
                .map(|it| it.parse().expect("IP and port"))
                .collect();
        }
    }
}

/// Sends requests sequentially to the entries that the directory lists.
async fn run_caller(load: Arc<LoadGenerator>, caller: usize) {
    let mut number = 0;
    while !load.stop.load(Ordering::Relaxed) {
        let entries = fetch_directory(&load).await;
        let fresh = time::Instant::now();
        while fresh.elapsed() < DIRECTORY_TTL && !load.stop.load(Ordering::Relaxed) {
            number += 1;
            let pipeline = [IDEMPOTENT, ENGINE, NON_IDEMPOTENT_LOOKUP][number % 3];
            let payload = json!({"prompt": "tokens=12"});
            let request =
                ClientRequest::new(pipeline, &format!("c{caller}-{number}")).with_payload(payload);
            let entry = entries[(caller + number) % entries.len()];
            let reply = if pipeline == ENGINE {
                stream(&request, entry).await
            } else {
                request.send(entry).await
            };
            if reply.outcome() == "answered" {
                load.answered.fetch_add(1, Ordering::Relaxed);
            } else {
                load.failed
                    .lock()
                    .expect("lock is not poisoned")
                    .push(reply);
            }
        }
    }
}

async fn stream(request: &ClientRequest, entry: SocketAddr) -> Reply {
    match request.try_stream(entry, None, usize::MAX).await {
        Some((_, Some(outcome))) => Reply::Body(200, outcome),
        _ => Reply::Lost,
    }
}

/// Rolling replacement: each entry is drained under load and replaced; no request fails.
#[tokio::test(flavor = "multi_thread")]
async fn each_entry_in_turn() {
    let cluster = TestCluster::start(4).await;
    let mut entries: Vec<Entry> = Vec::new();
    for number in 0..ENTRY_COUNT {
        entries.push(cluster.start_ready_entry(&format!("e{number}")).await);
    }
    let load = Arc::new(LoadGenerator {
        stop: AtomicBool::new(false),
        answered: AtomicUsize::new(0),
        failed: Mutex::default(),
        seeds: Mutex::default(),
    });
    set_seeds(&load, &entries).await;
    let mut callers = JoinSet::new();
    for caller in 0..CALLER_COUNT {
        callers.spawn(run_caller(Arc::clone(&load), caller));
    }
    for number in 0..ENTRY_COUNT {
        let before = load.answered.load(Ordering::Relaxed);
        wait_until("load", || {
            load.answered.load(Ordering::Relaxed) > before + 20
        })
        .await;
        let draining_entry = entries.remove(0);
        set_seeds(&load, &entries).await;
        draining_entry.signal("TERM");
        wait_until("end of the entry", || {
            draining_entry.exit_status().is_some()
        })
        .await;
        assert_eq!(
            draining_entry.exit_status().and_then(|it| it.code()),
            Some(0)
        );
        entries.push(cluster.start_ready_entry(&format!("e{number}-new")).await);
    }
    load.stop.store(true, Ordering::Relaxed);
    while let Some(ended) = callers.join_next().await {
        ended.expect("task does not panic");
    }
    let failed = load.failed.lock().expect("lock is not poisoned");
    assert!(
        failed.is_empty(),
        "{} failed: {:?}",
        failed.len(),
        failed.first()
    );
}

async fn set_seeds(load: &LoadGenerator, entries: &[Entry]) {
    let mut seeds = Vec::new();
    for entry in entries {
        seeds.push(entry.address().await);
    }
    *load.seeds.lock().expect("lock is not poisoned") = seeds;
}

/// A draining entry completes a long call; a second `SIGTERM` logs what is still in flight.
#[tokio::test(flavor = "multi_thread")]
async fn long_call() {
    let cluster = TestCluster::start(1).await;
    let entry = cluster.start_ready_entry("e1").await;
    cluster.configure_services("desks", |it| it.time_ms = 3500.0);
    let request = ClientRequest::new(NON_IDEMPOTENT_LOOKUP, "r").with_deadline(8000);
    let drain = async {
        wait_until("call", || cluster.call_count("desks") == 1).await;
        entry.signal("TERM");
        wait_until("draining", || entry.log_count("draining") == 1).await;
        entry.signal("TERM");
        wait_until("report", || entry.log_count("still in flight") == 1).await;
    };
    let (reply, ()) = tokio::join!(entry.send(&request), drain);
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
    wait_until("end of the entry", || entry.exit_status().is_some()).await;
    assert_eq!(cluster.effect_count("desks", "r"), 1);
}

/// The platform is unavailable while a claim is unsettled; the draining entry exits only after the
/// settlement is written.
#[tokio::test(flavor = "multi_thread")]
async fn unsettled_claim() {
    let cluster = TestCluster::start(1).await;
    let entry = cluster.start_ready_entry("e1").await;
    cluster.configure_services("desks", |it| it.delay_reply_ms = 300);
    let request = ClientRequest::new(NON_IDEMPOTENT_LOOKUP, "r");
    let outage = async {
        wait_until("effect", || cluster.effect_count("desks", "r") == 1).await;
        cluster.fleet.platform().control(|it| it.outage = true);
    };
    let (reply, ()) = tokio::join!(entry.send(&request), outage);
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
    entry.signal("TERM");
    wait_until("last phase", || entry.log_count("finishing") == 1).await;
    cluster.fleet.platform().control(|it| it.outage = false);
    cluster
        .wait_for_claim(NON_IDEMPOTENT_LOOKUP, "r", |row| {
            matches!(row, Row::Done { .. })
        })
        .await;
    wait_until("end of the entry", || entry.exit_status().is_some()).await;
}

/// An operator drains an entry through `/v1/drain`; the directory no longer lists it.
#[tokio::test(flavor = "multi_thread")]
async fn drained_by_operator() {
    let cluster = TestCluster::start(1).await;
    let (one, two) = tokio::join!(
        cluster.start_ready_entry("e1"),
        cluster.start_ready_entry("e2")
    );
    let address = one.address().await;
    let token = [("authorization", "Bearer operators")];
    let path = "/v1/drain";
    let response = fetch::send(address, Method::POST, path, "".into(), &token).await;
    let response = response.expect("entry answers");
    assert_eq!(response.status(), 200);
    drop(response.into_body().collect().await);
    wait_until("end of the entry", || one.exit_status().is_some()).await;
    let body = fetch::get(two.address().await, "/v1/entries")
        .await
        .expect("directory answers");
    let answer: Value = serde_json::from_slice(&body).expect("directory answers JSON");
    let hosts: Vec<_> = answer["entries"]
        .as_array()
        .expect("entries")
        .iter()
        .collect();
    assert_eq!(
        (hosts.len(), &hosts[0]["host"]),
        (1, &"e2".into()),
        "{answer}"
    );
}
