//! Measures the time that an entry adds to calls of fast services.
//!
//! Two open loops run side by side against the same stand-ins: one sends requests of four stages
//! through an entry, the other makes the same four calls itself. Prints quantiles of both and the
//! difference of their medians, as JSON, and fails if that is above the goal.

use bytes::Bytes;
use godwithinge::{
    entry::Running,
    http::{Pool, Request, Reuse},
    log,
    settings::Settings,
};
use http_body_util::Full;
use hyper::Method;
use policy::{
    pool,
    table::{Pipeline, Table, Workspace},
};
use serde_json::json;
use standin::fleet::{self, Deployment, Fleet, Group};
use std::{
    error::Error,
    net::SocketAddr,
    process::ExitCode,
    time::{Duration, Instant},
};
use tokio::{
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

/// Stages of a request.
const STAGES: [&str; 4] = ["encoders", "retrievers", "rerankers", "slots"];
/// Targets in each pool.
const TARGETS: usize = 3;
/// Requests a second of each loop.
const RATE: u32 = 200;
/// Time that is measured.
const TIME: Duration = Duration::from_secs(10);
/// Time before that, in which connections are opened.
const WARM_UP: Duration = Duration::from_secs(2);
/// Longest median time that an entry may add to a request.
const GOAL: Duration = Duration::from_millis(1);
/// Longest body that is read.
const MAX_BODY: usize = 1 << 20;

#[tokio::main]
async fn main() -> ExitCode {
    // Decisions are logged as in service; the lines are not part of the result.
    if let Err(error) = log::init(log::Stream::Stderr) {
        eprintln!("{error}");
    }
    match measure().await {
        Ok(added) if added <= GOAL => ExitCode::SUCCESS,
        Ok(added) => {
            eprintln!("overhead: {added:?} is above the goal of {GOAL:?}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("overhead: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs both loops and returns the difference of their medians.
async fn measure() -> Result<Duration, Box<dyn Error>> {
    let mut settings = fleet::Settings::default();
    settings.service.time_ms = 0.0;
    settings.service.width = 64;
    let fleet = Fleet::start(deployment(), settings).await?;
    let entry = start(&fleet).await?;
    let services = services(&fleet);
    let pool = Pool::new(WARM_UP);
    let through = run(|number| through(pool.clone(), entry.address(), number));
    let direct = run(|number| direct(pool.clone(), services.clone(), number));
    let (through, direct) = tokio::join!(through, direct);
    let added = quantile(&through, 0.5).saturating_sub(quantile(&direct, 0.5));
    let report = json!({
        "rate": RATE,
        "stages": STAGES.len(),
        "entry": show(&through),
        "direct": show(&direct),
        "added_median_us": added.as_micros() as u64,
    });
    println!("{report}");
    drop(entry);
    fleet.stop().await;
    Ok(added)
}

fn deployment() -> Deployment {
    let group = |name: &str| Group {
        pool: pool::Pool::new(name),
        count: TARGETS,
    };
    Deployment {
        region: "r".into(),
        domains: vec!["a".into()],
        groups: STAGES.map(group).into(),
        table: Table {
            revision: 1,
            workspaces: [("w".into(), Workspace::default())].into(),
            pipelines: [("p".into(), Pipeline::new(STAGES))].into(),
            ..Table::default()
        },
    }
}

async fn start(fleet: &Fleet) -> Result<Running, Box<dyn Error>> {
    let mut settings = Settings::from_str("settings", include_str!("../../settings/wasfi.ini"))?;
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    settings.daemon.listen = loopback;
    settings.daemon.peer_listen = loopback;
    settings.platform.address = fleet.platform().address();
    settings.peers.seeds.clear();
    settings.pools = fleet.pools();
    let entry = Running::start(settings).await?;
    while !entry.daemon().is_ready() || entry.daemon().hosts().is_empty() {
        time::sleep(Duration::from_millis(10)).await;
    }
    Ok(entry)
}

/// Returns the addresses of one service of each stage, for each of the targets.
fn services(fleet: &Fleet) -> Vec<[String; STAGES.len()]> {
    let address = |pool: &str, number: usize| {
        let node = fleet.pool(pool).nth(number);
        node.map_or_else(String::new, |node| node.host().address.to_string())
    };
    (0..TARGETS)
        .map(|number| STAGES.map(|pool| address(pool, number)))
        .collect()
}

/// Sends at a steady rate and returns the times of those after the warm-up, in order of length.
async fn run<F>(send: impl Fn(u32) -> F) -> Vec<Duration>
where
    F: Future<Output = Option<Duration>> + Send + 'static,
{
    let mut ticks = time::interval(Duration::from_secs(1) / RATE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let warm_up = RATE * WARM_UP.as_secs() as u32;
    let count = warm_up + RATE * TIME.as_secs() as u32;
    let mut exchanges = JoinSet::new();
    for number in 0..count {
        ticks.tick().await;
        let exchange = send(number);
        exchanges.spawn(async move { (number, exchange.await) });
    }
    let ended = exchanges.join_all().await;
    let times = ended.into_iter().filter(|(number, _)| *number >= warm_up);
    let mut times: Vec<_> = times.filter_map(|(_, time)| time).collect();
    times.sort_unstable();
    times
}

/// Sends one request through the entry.
async fn through(pool: Pool, entry: SocketAddr, number: u32) -> Option<Duration> {
    let body = json!({
        "workspace": "w",
        "request": format!("r{number}"),
        "deadline_ms": 4000,
        "payload": {"crew": number},
    });
    let started = Instant::now();
    let address = entry.to_string();
    exchange(
        &pool,
        &address,
        "/v1/pipelines/p/requests",
        body.to_string(),
    )
    .await?;
    Some(started.elapsed())
}

/// Makes the calls of one request, one after another.
async fn direct(
    pool: Pool,
    services: Vec<[String; STAGES.len()]>,
    number: u32,
) -> Option<Duration> {
    let started = Instant::now();
    let addresses = &services[number as usize % services.len()];
    for (stage, address) in STAGES.iter().zip(addresses) {
        let body = json!({
            "request": format!("d{number}"),
            "workspace": "w",
            "stage": stage,
            "input": {"payload": {"crew": number}, "results": {}},
        });
        exchange(&pool, address, "/call", body.to_string()).await?;
    }
    Some(started.elapsed())
}

async fn exchange(pool: &Pool, address: &str, path: &str, body: String) -> Option<Bytes> {
    let mut request = Request::new(Full::new(body.into()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().ok()?;
    let response = pool.send(address, request, Reuse::Newest).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.bytes(MAX_BODY).await.ok()
}

fn show(times: &[Duration]) -> serde_json::Value {
    let micros = |q| quantile(times, q).as_micros() as u64;
    json!({
        "answered": times.len(),
        "p50_us": micros(0.5),
        "p90_us": micros(0.9),
        "p99_us": micros(0.99),
    })
}

/// Returns a quantile of times that are in order; zero if there are none.
fn quantile(times: &[Duration], q: f64) -> Duration {
    let at = (times.len() as f64 * q) as usize;
    times.get(at).copied().unwrap_or_default()
}
