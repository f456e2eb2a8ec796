//! Streams that clients take up again after all processes of the system were killed, while engines of
//! two software versions serve side by side.

use crate::{
    Verdict,
    builds::{Stream, config, follow, profile},
    engine::Engine,
    network,
    record::Record,
    relay::{Limits, Relay},
    store::Store,
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{task::JoinHandle, time};

const STREAMS: usize = 24;
/// Number of streams that are taken up at machines in touch from which the rule counts.
const MIN_STREAMS: usize = 12;
/// `stability-window-ms`.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

pub async fn run(has_trouble: bool) -> Verdict {
    let record = Record::new();
    let network = network();
    let store = Store::start(&format!("{network}.1")).await;
    let runs = Arc::new(Mutex::new(Vec::new()));
    store.put("op", "config", Some(&config()));
    let mut engines = Vec::new();
    for (number, version) in ["v1", "v1", "v2", "v2"].into_iter().enumerate() {
        let address = format!("{network}.{}:8080", 10 + number);
        engines
            .push(Engine::start(profile(number, version), &address, &store, &runs, &record).await);
    }
    let ips: Vec<String> = (0..3)
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
    let begin = |number: usize| {
        tokio::spawn(follow(
            number,
            fronts.clone(),
            fronts.clone(),
            record.clone(),
        ))
    };
    let clients: Vec<JoinHandle<Stream>> = (0..STREAMS).map(begin).collect();
    time::sleep(Duration::from_secs(2)).await;
    let mut restarted = Instant::now();
    if has_trouble {
        record.say("all processes of the system are killed");
        for relay in &mut relays {
            relay.kill();
        }
        time::sleep(Duration::from_secs(1)).await;
        for relay in &mut relays {
            relay.start();
        }
        restarted = Instant::now();
        record.say("they are started again");
    }
    // New streams at machines in touch.
    time::sleep(STABILITY_WINDOW + Duration::from_millis(500)).await;
    let new: Vec<JoinHandle<Stream>> = (STREAMS..2 * STREAMS).map(begin).collect();
    let mut complete = 0;
    let mut mixed = 0;
    let (mut taken_up, mut went_on) = (0, 0);
    for client in clients {
        let Ok(stream) = client.await else {
            return Verdict::NotRun;
        };
        complete += usize::from(stream.is_complete);
        mixed += usize::from(stream.versions.len() > 1);
        let in_touch = stream.resumptions.iter();
        let mut in_touch = in_touch
            .filter(|one| one.sent >= restarted + STABILITY_WINDOW)
            .peekable();
        taken_up += usize::from(in_touch.peek().is_some());
        went_on += usize::from(in_touch.any(|one| one.has_events));
    }
    let mut begun = 0;
    for client in new {
        let Ok(stream) = client.await else {
            return Verdict::NotRun;
        };
        begun += usize::from(stream.has_begun);
    }
    for relay in &relays {
        for line in relay.log_lines("stream taken up") {
            record.line(&format!("{}: {line}", relay.name));
        }
    }
    for (key, value) in store.documents("godwithinge-builds") {
        record.line(&format!("record of a build: {key} {value}"));
    }
    record.say(&format!(
        "{STREAMS} streams, {complete} complete, {mixed} of two versions; {taken_up} taken up at machines \
         in touch, of which {went_on} went on; {begun} of {STREAMS} new streams began"
    ));
    if begun < STREAMS / 2 || !has_trouble && complete < STREAMS {
        return Verdict::NotRun;
    }
    let (share, new_share) = (
        went_on as f64 / taken_up.max(1) as f64,
        begun as f64 / STREAMS as f64,
    );
    if taken_up >= MIN_STREAMS && share < new_share / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
