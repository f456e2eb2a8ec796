//! Streams that began at one version of the engines' software go on at another one.

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
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::time;

const STREAMS: usize = 8;
const DEADLINE: Duration = Duration::from_secs(20);

pub fn config() -> Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "r-chat", "host": "fit.example", "prefix": "/chat/", "kind": "streaming",
            "timeout-ms": 20000, "target-latency-ms": 1700, "priority": 2, "service": "needle-llm",
            "max-attempts": 2, "stages": [], "public": false, "sticky": true, "resumable": true,
            "gap-aim-ms": 200,
        }],
        "services": [{"name": "needle-llm", "health-path": "/healthz", "max-connections": 360}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "crew", "api-keys": ["k-1"]}],
    })
}

pub fn profile(number: usize, version: &str) -> Profile {
    Profile {
        crashes: None,
        id: format!("i-{number}"),
        service: "needle-llm".to_owned(),
        version: version.to_owned(),
        work: Duration::from_millis(60),
        events: 130,
        interval: Duration::from_millis(120),
    }
}

fn request(id: &str, left: Duration, last: Option<(&str, u64)>) -> Vec<u8> {
    let resumed = last.map_or(String::new(), |(first, last)| {
        format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n")
    });
    let body = "prompt";
    format!(
        "POST /chat/1 HTTP/1.1\r\nHost: fit.example\r\nGodwithinge-Attempt-Id: {id}\r\n\
         Godwithinge-Deadline-Ms: {}\r\nApi-Key: k-1\r\nGodwithinge-Model-Name: m\r\n\
         Godwithinge-Token-Counts: 9190,240\r\nGodwithinge-Prompt-Prefix: 5c1e07a2:2520,91bd3f06:3780,{id}:2890\r\n\
         {resumed}Content-Length: {}\r\n\r\n{body}",
        left.as_millis(),
        body.len()
    )
    .into_bytes()
}

/// Returns the last event of a text, and the versions that wrote its complete events.
fn parse(text: &str) -> (u64, BTreeSet<String>) {
    let mut last = 0;
    let mut versions = BTreeSet::new();
    for event in text
        .split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n"))
    {
        let number = event.lines().find_map(|line| line.strip_prefix("id: "));
        last = number
            .and_then(|number| number.parse().ok())
            .unwrap_or(last);
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        let version = data.and_then(|data| data.split(' ').next());
        versions.extend(version.map(str::to_owned));
    }
    (last, versions)
}

/// Waits of a client before its few retries, unless it is told a longer one.
const RETRY_DELAYS: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(4),
];

/// One attempt of a client that took its stream up.
pub struct Resumption {
    pub sent: Instant,
    /// Whether the stream went on.
    pub has_events: bool,
}

/// What a client has at the end.
#[derive(Default)]
pub struct Stream {
    /// Versions of which it has events.
    pub versions: BTreeSet<String>,
    pub is_complete: bool,
    pub has_begun: bool,
    pub resumptions: Vec<Resumption>,
}

/// One client: begins a stream, and takes it up a few times within its deadline.
///
/// `fronts` are the addresses for its first attempt, `later` those that it learns for others.
pub async fn follow(
    number: usize,
    fronts: Vec<SocketAddr>,
    later: Vec<SocketAddr>,
    record: Record,
) -> Stream {
    let started = Instant::now();
    let mut stream = Stream::default();
    let mut first = None;
    let mut last = 0;
    for attempt in 0..=RETRY_DELAYS.len() {
        let left = DEADLINE.saturating_sub(started.elapsed());
        if left < Duration::from_millis(100) {
            break;
        }
        let id = format!("c{number:02}a{attempt:02}");
        let resumed = first.as_deref().map(|first: &str| (first, last));
        let known = if attempt == 0 { &fronts } else { &later };
        let front = known[(number + attempt) % known.len()];
        let (sent, is_resumed) = (Instant::now(), resumed.is_some());
        let answer = client::send(front, &request(&id, left, resumed), &id, left, &record).await;
        let (seen, versions) = match answer.status {
            200 => parse(&answer.text()),
            _ => (0, BTreeSet::new()),
        };
        if is_resumed {
            let has_events = seen > 0;
            stream.resumptions.push(Resumption { sent, has_events });
        }
        stream.versions.extend(versions);
        if seen > 0 {
            stream.has_begun = true;
            first.get_or_insert(id);
            last = seen;
        }
        if answer.status == 200 && answer.is_complete {
            stream.is_complete = true;
            return stream;
        }
        if let Some(delay) = RETRY_DELAYS.get(attempt) {
            let asked = crate::http::field(&answer.fields, "retry-after").parse();
            let asked = Duration::from_secs_f64(asked.unwrap_or(0.0));
            let left = DEADLINE.saturating_sub(started.elapsed());
            time::sleep(asked.min(left / 3).max(*delay)).await;
        }
    }
    stream
}

pub async fn run(has_trouble: bool) -> Verdict {
    let record = Record::new();
    let network = network();
    let store = Store::start(&format!("{network}.1")).await;
    let runs = Arc::new(Mutex::new(Vec::new()));
    store.put("op", "config", Some(&config()));
    let mut engines = BTreeMap::new();
    for number in 0..2 {
        let address = format!("{network}.{}:8080", 10 + number);
        let engine = Engine::start(profile(number, "v1"), &address, &store, &runs, &record).await;
        engines.insert(number, engine);
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
    time::sleep(Duration::from_secs(4)).await;
    let fronts: Vec<SocketAddr> = relays.iter().map(|relay| relay.front).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            tokio::spawn(follow(
                number,
                fronts.clone(),
                fronts.clone(),
                record.clone(),
            ))
        })
        .collect();
    time::sleep(Duration::from_secs(2)).await;
    if has_trouble {
        record.say("all engines of the service crash");
        for engine in engines.values() {
            engine.crash();
        }
        time::sleep(Duration::from_secs(2)).await;
        for number in 0..2 {
            let address = format!("{network}.{}:8080", 10 + number);
            let engine =
                Engine::start(profile(number, "v2"), &address, &store, &runs, &record).await;
            engines.insert(number, engine);
        }
        record.say("they are back with version v2");
        time::sleep(Duration::from_millis(600)).await;
        record.say("all processes of the system are killed");
        for relay in &mut relays {
            relay.kill();
        }
        time::sleep(Duration::from_secs(1)).await;
        for relay in &mut relays {
            relay.start();
        }
        record.say("they are started again");
    }
    let mut mixed = 0;
    let mut complete = 0;
    for client in clients {
        let Ok(stream) = client.await else {
            return Verdict::NotRun;
        };
        complete += usize::from(stream.is_complete);
        mixed += usize::from(stream.versions.len() > 1);
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
        "{complete} of {STREAMS} streams complete; {mixed} hold events of two versions (allowed: 2)"
    ));
    if !has_trouble && complete < STREAMS {
        return Verdict::NotRun;
    }
    if mixed > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
