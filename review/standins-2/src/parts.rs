//! A part of a prompt that crashes engines comes with a template that is new, twice at most.

use crate::{
    Verdict,
    builds::config,
    client,
    engine::{CRASHING_PART, Engine, Profile},
    network,
    record::Record,
    relay::{Limits, Relay},
    store::Store,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, time};

const ENGINES: usize = 4;
const MACHINES: usize = 3;
/// Time for which an engine that has crashed is down.
const DOWN: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(6);
/// Sound requests a second.
const PER_SECOND: f64 = 8.0;
/// Time for which the template before is in use.
const BEFORE: Duration = Duration::from_secs(8);
/// Time for which the new one is.
const LASTS: Duration = Duration::from_secs(17);
/// `2 x stability-window-ms`: from that long after the last crash on the rule holds.
const WINDOW: Duration = Duration::from_secs(6);
/// Times after the first use of the template at which requests with the crashing part come, and the
/// interval between further ones.
const CRASHING_AT_MS: [u64; 4] = [0, 100, 200, 300];
const CRASHING_INTERVAL: Duration = Duration::from_secs(1);
const MIN_REQUESTS: usize = 20;
/// First parts of the prompts, of which each is new when it comes into use.
const TEMPLATES: [&str; 3] = ["aa", "ab", "ac"];

fn profile(number: usize, crashes: &mpsc::UnboundedSender<String>) -> Profile {
    Profile {
        crashes: Some(crashes.clone()),
        id: format!("i-{number}"),
        service: "needle-llm".to_owned(),
        version: "v1".to_owned(),
        work: Duration::from_millis(600),
        events: 8,
        interval: Duration::from_millis(150),
    }
}

fn request(id: &str, template: &str, part: &str) -> Vec<u8> {
    let body = format!("prompt {id}");
    format!(
        "POST /chat/1 HTTP/1.1\r\nHost: fit.example\r\nGodwithinge-Attempt-Id: {id}\r\n\
         Godwithinge-Deadline-Ms: {}\r\nApi-Key: k-1\r\nGodwithinge-Model-Name: m\r\n\
         Godwithinge-Token-Counts: 9190,24\r\n\
         Godwithinge-Prompt-Prefix: {template}:2520,{part}:1780,f{id}:2000,{id}:2890\r\n\
         Content-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    )
    .into_bytes()
}

/// First attempt of a sound request.
struct Attempt {
    sent: Instant,
    has_begun: bool,
}

pub async fn run(has_trouble: bool) -> Verdict {
    let record = Record::new();
    let network = network();
    let store = Store::start(&format!("{network}.1")).await;
    let runs = Arc::new(Mutex::new(Vec::new()));
    store.put("op", "config", Some(&config()));
    let (crashes, mut crashed) = mpsc::unbounded_channel::<String>();
    let address = |number: usize| format!("{network}.{}:8080", 10 + number);
    let mut engines = BTreeMap::new();
    for number in 0..ENGINES {
        let profile = profile(number, &crashes);
        let engine = Engine::start(profile, &address(number), &store, &runs, &record).await;
        engines.insert(format!("i-{number}"), (number, engine));
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
    // Engines that crash are back after some time, under their identifier.
    let falls: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let restarts = {
        let (falls, store, runs, record) = (
            Arc::clone(&falls),
            store.clone(),
            Arc::clone(&runs),
            record.clone(),
        );
        let network = network.clone();
        tokio::spawn(async move {
            let mut back: Vec<(Instant, usize)> = Vec::new();
            loop {
                let next = back.first().map(|(at, _)| *at);
                let wake = next.unwrap_or_else(|| Instant::now() + Duration::from_secs(3_600));
                tokio::select! {
                    id = crashed.recv() => {
                        let Some(id) = id else { return };
                        if let Some((number, engine)) = engines.remove(&id) {
                            engine.crash();
                            record.say(&format!("engine {number} crashes"));
                            falls.lock().expect("lock").push(Instant::now());
                            back.push((Instant::now() + DOWN, number));
                        }
                    }
                    () = time::sleep_until(wake.into()) => {
                        let (_, number) = back.remove(0);
                        let address = format!("{network}.{}:8080", 10 + number);
                        let profile = profile(number, &crashes);
                        let engine = Engine::start(profile, &address, &store, &runs, &record).await;
                        engines.insert(format!("i-{number}"), (number, engine));
                    }
                }
            }
        })
    };
    let mut verdict = Verdict::Held;
    for round in 0..TEMPLATES.len() - 1 {
        verdict = play(round, has_trouble, &fronts, &falls, &record).await;
        if !matches!(verdict, Verdict::Held) {
            break;
        }
    }
    restarts.abort();
    for relay in &relays {
        for line in relay.log_lines("feature ") {
            record.line(&format!("{}: {line}", relay.name));
        }
    }
    verdict
}

/// Sends requests with one template, and then with the next one.
async fn play(
    round: usize,
    has_trouble: bool,
    fronts: &[SocketAddr],
    falls: &Arc<Mutex<Vec<Instant>>>,
    record: &Record,
) -> Verdict {
    let (before, template) = (TEMPLATES[round], TEMPLATES[round + 1]);
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let started = Instant::now();
    let changed = started + BEFORE;
    let end = changed + LASTS;
    let crashing = {
        let (fronts, record) = (fronts.to_vec(), record.clone());
        tokio::spawn(async move {
            if !has_trouble {
                return;
            }
            for number in 0.. {
                let after = CRASHING_AT_MS.get(number).map_or_else(
                    || CRASHING_INTERVAL * (number - CRASHING_AT_MS.len() + 2) as u32,
                    |millis| Duration::from_millis(*millis),
                );
                let at = changed + after;
                if at > end {
                    return;
                }
                time::sleep_until(at.into()).await;
                let id = format!("d{round}{number:04}");
                let front = fronts[number % fronts.len()];
                let record = record.clone();
                tokio::spawn(async move {
                    let request = request(&id, template, &format!("{CRASHING_PART}{round}"));
                    client::send(front, &request, &id, DEADLINE, &record).await;
                });
            }
        })
    };
    let mut number = 0_usize;
    while Instant::now() < end {
        let template = if Instant::now() < changed {
            before
        } else {
            template
        };
        let id = format!("e{round}{number:04}");
        let front = fronts[number % fronts.len()];
        number += 1;
        let (record, attempts) = (record.clone(), Arc::clone(&attempts));
        tokio::spawn(async move {
            let sent = Instant::now();
            let part = format!("c{}", number % 7);
            let request = request(&id, template, &part);
            let answer = client::send(front, &request, &id, DEADLINE, &record).await;
            let has_begun = answer.status == 200 && !answer.body.is_empty();
            attempts
                .lock()
                .expect("lock")
                .push(Attempt { sent, has_begun });
        });
        time::sleep(Duration::from_secs_f64(1.0 / PER_SECOND)).await;
    }
    time::sleep(DEADLINE).await;
    let _ended = crashing.await;
    let falls: Vec<Instant> = {
        let falls = falls.lock().expect("lock");
        falls.iter().copied().filter(|at| *at >= started).collect()
    };
    // The fifth crash, or the last one.
    let last = falls.get(4).or(falls.last()).copied().unwrap_or(changed);
    let attempts = attempts.lock().expect("lock");
    let share = |from: Instant, to: Instant| {
        let sent = attempts
            .iter()
            .filter(|attempt| attempt.sent >= from && attempt.sent < to);
        let (mut count, mut begun) = (0, 0);
        for attempt in sent {
            count += 1;
            begun += usize::from(attempt.has_begun);
        }
        (count, begun)
    };
    let (calm, calm_begun) = share(started, changed);
    let (later, later_begun) = share(last + WINDOW, end);
    record.say(&format!(
        "template {template}: {} crashes; before: {calm_begun} of {calm} sound requests began at the first attempt; from 6 s \
         after the fifth crash or the last one on: {later_begun} of {later}",
        falls.len()
    ));
    if calm < MIN_REQUESTS || later < MIN_REQUESTS || calm_begun * 2 < calm {
        return Verdict::NotRun;
    }
    let share = |begun: usize, count: usize| begun as f64 / count as f64;
    if share(later_begun, later) < share(calm_begun, calm) / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
