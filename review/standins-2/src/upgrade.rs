//! The engines of a service are started again one after the other, with other software.

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
    time::Duration,
};
use tokio::{task::JoinHandle, time};

const STREAMS: usize = 8;
/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;
const ENGINES: usize = 4;
/// Time from the start of an engine to its first entry; shorter than `heartbeat-ms`, which is 1.2 s.
const REGISTRATION_DELAY: Duration = Duration::from_millis(800);
/// Time for which an engine is down.
const DOWN: Duration = Duration::from_secs(2);
/// Time from the return of one engine to the end of the next one.
const GAP: Duration = Duration::from_millis(500);

pub async fn run(has_trouble: bool) -> Verdict {
    let record = Record::new();
    let network = network();
    let store = Store::start(&format!("{network}.1")).await;
    let runs = Arc::new(Mutex::new(Vec::new()));
    store.put("op", "config", Some(&config()));
    let address = |number: usize| format!("{network}.{}:8080", 10 + number);
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        engines.push(
            Engine::start(
                profile(number, "v1"),
                &address(number),
                &store,
                &runs,
                &record,
            )
            .await,
        );
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
    let clients: Vec<JoinHandle<Stream>> = (0..STREAMS)
        .map(|number| {
            tokio::spawn(follow(
                number,
                fronts.clone(),
                fronts.clone(),
                record.clone(),
            ))
        })
        .collect();
    time::sleep(Duration::from_secs(1)).await;
    let counts: Vec<usize> = (0..ENGINES)
        .map(|number| {
            let runs = runs.lock().expect("lock");
            runs.iter()
                .filter(|run| run.engine == format!("i-{number}"))
                .count()
        })
        .collect();
    record.say(&format!("streams at the engines: {counts:?}"));
    // Those with fewer streams first.
    let mut order: Vec<usize> = (0..ENGINES).collect();
    order.sort_by_key(|&number| counts[number]);
    if has_trouble {
        for number in order {
            record.say(&format!("engine {number} ends"));
            engines[number].crash();
            let state = (store.clone(), Arc::clone(&runs), record.clone());
            let address = address(number);
            let restart = tokio::spawn(async move {
                time::sleep(DOWN).await;
                let (store, runs, record) = state;
                record.say(&format!("engine {number} is back with version v2"));
                let profile = profile(number, "v2");
                let delay = REGISTRATION_DELAY;
                Engine::start_registered_after(delay, profile, &address, &store, &runs, &record)
                    .await
            });
            time::sleep(DOWN + GAP).await;
            if let Ok(engine) = restart.await {
                engines.push(engine);
            }
        }
    }
    let mut complete = 0;
    let mut mixed = 0;
    for client in clients {
        let Ok(stream) = client.await else {
            return Verdict::NotRun;
        };
        complete += usize::from(stream.is_complete);
        mixed += usize::from(stream.versions.len() > 1);
    }
    record.say(&format!(
        "{complete} of {STREAMS} streams complete; {mixed} hold events of two versions (allowed: {ALLOWED})"
    ));
    if !has_trouble && complete < STREAMS {
        return Verdict::NotRun;
    }
    if mixed > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
