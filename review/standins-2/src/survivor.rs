//! Streams that clients take up again after most machines were lost for good, while all engines have the
//! same software version.

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

const MACHINES: usize = 7;
const STREAMS: usize = 84;
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
    for number in 0..3 {
        let address = format!("{network}.{}:8080", 10 + number);
        engines.push(Engine::start(profile(number, "v1"), &address, &store, &runs, &record).await);
    }
    let ips: Vec<String> = (0..MACHINES)
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
    // The directory of the machine that is left soon names only that one.
    let left = vec![fronts[MACHINES - 1]];
    let later = if has_trouble { left } else { fronts.clone() };
    let begin = |number: usize, fronts: &[SocketAddr]| {
        tokio::spawn(follow(
            number,
            fronts.to_vec(),
            later.clone(),
            record.clone(),
        ))
    };
    let clients: Vec<JoinHandle<Stream>> =
        (0..STREAMS).map(|number| begin(number, &fronts)).collect();
    time::sleep(Duration::from_secs(2)).await;
    if has_trouble {
        record.say("all machines but one are lost");
        for relay in &mut relays[..MACHINES - 1] {
            relay.kill();
        }
    }
    let lost = Instant::now();
    // New streams at the machine when it is in touch in any reading of the rule.
    time::sleep(STABILITY_WINDOW + Duration::from_millis(500)).await;
    let new: Vec<JoinHandle<Stream>> = (STREAMS..2 * STREAMS)
        .map(|number| begin(number, &later))
        .collect();
    let mut complete = 0;
    let mut mixed = 0;
    // All that are taken up, and those that are 3 s or more after the loss: the links of the machine that is
    // left ended with the others.
    let (mut taken_up, mut went_on) = (0, 0);
    let (mut late, mut late_went_on) = (0, 0);
    for client in clients {
        let Ok(stream) = client.await else {
            return Verdict::NotRun;
        };
        complete += usize::from(stream.is_complete);
        mixed += usize::from(stream.versions.len() > 1);
        taken_up += usize::from(!stream.resumptions.is_empty());
        went_on += usize::from(stream.resumptions.iter().any(|one| one.has_events));
        let tries = stream.resumptions.iter();
        let mut tries = tries
            .filter(|one| one.sent >= lost + STABILITY_WINDOW)
            .peekable();
        late += usize::from(tries.peek().is_some());
        late_went_on += usize::from(tries.any(|one| one.has_events));
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
        "{STREAMS} streams, {complete} complete, {mixed} of two versions; {taken_up} taken up, of which {went_on} \
         went on; {late} taken up 3 s or more after the loss, of which {late_went_on} went on; {begun} of \
         {STREAMS} new streams began"
    ));
    if begun < STREAMS / 2 || !has_trouble && complete < STREAMS {
        return Verdict::NotRun;
    }
    let new_share = begun as f64 / STREAMS as f64;
    let is_broken = |count: usize, went_on: usize| {
        count >= MIN_STREAMS && went_on as f64 / (count as f64) < new_share / 2.0
    };
    if is_broken(taken_up, went_on) && is_broken(late, late_went_on) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
