//! Cost of requests at one entry.

use super::{
    Error, Name, Point, Settings, Slope,
    world::{Daemon, MODEL, World, host},
};
use crate::{engine, fetch, service};
use std::{net::SocketAddr, ops::Range, sync::Arc, time::Duration};
use tokio::{task::JoinSet, time};

/// Requests of one measurement.
const REQUESTS: [usize; 4] = [0, 500, 1_000, 2_000];
/// Tokens of each streamed answer.
const TOKENS: [usize; 4] = [1, 64, 256, 512];
/// Requests in flight.
const IN_FLIGHT: [usize; 4] = [0, 250, 500, 1_000];
/// Streamed requests of one measurement.
const STREAMS: usize = 200;
/// Requests before each measurement.
const WARM: usize = 100;
/// Requests that are sent at once.
const CALLERS: usize = 16;
/// Time for a daemon to settle.
const SETTLE: Duration = Duration::from_secs(3);
/// Settings that keep all results and take all requests.
const LIMITS: &str = "[entry]\nremember = 10m\nqueue = 4096\n";
/// Calls that a fake runs at once.
const WIDTH: u32 = 4_096;
/// Time of a call to a service, in milliseconds.
const CALL_MS: f64 = 1.0;

/// An entry before one engine and two services.
struct Bench {
    world: Arc<World>,
    daemon: Daemon,
    _engine: engine::Server,
    _services: [service::Server; 2],
}

impl Bench {
    async fn new(settings: &Settings, time_ms: f64) -> Result<Self, Error> {
        let engine = engine::start(engine::Settings {
            models: vec![MODEL.into()],
            width: WIDTH,
            tokens_per_second: 1e6,
            prefill_per_second: 1e9,
            ..engine::Settings::default()
        });
        let service = |pool: &str| {
            service::start(service::Settings {
                pool: pool.into(),
                time_ms,
                width: WIDTH,
                ..service::Settings::default()
            })
        };
        let engine = engine.await?;
        let services = [service("lookups").await?, service("orders").await?];
        let hosts = vec![
            host("engines", 0, engine.address()),
            host("lookups", 0, services[0].address()),
            host("orders", 0, services[1].address()),
        ];
        let mut world = World::start(&settings.place, 5, hosts).await?;
        let daemon = world.entry(1, LIMITS).await?;
        time::sleep(SETTLE).await;
        Ok(Self {
            world: Arc::new(world),
            daemon,
            _engine: engine,
            _services: services,
        })
    }

    /// Sends requests from several callers and fails unless all are answered.
    async fn send(
        &self,
        pipeline: &'static str,
        ids: Range<usize>,
        prompt: &str,
    ) -> Result<(), Error> {
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let (world, address) = (Arc::clone(&self.world), self.daemon.address);
            let (prompt, ids) = (prompt.to_owned(), ids.clone());
            callers.spawn(async move {
                let mut failed = 0;
                for at in ids.skip(caller).step_by(CALLERS) {
                    let id = format!("{pipeline}-{at}");
                    failed += usize::from(!world.send(address, pipeline, &id, &prompt).await);
                }
                failed
            });
        }
        let failed: usize = callers.join_all().await.into_iter().sum();
        if failed > 0 {
            return Err(Error::Unanswered(failed));
        }
        Ok(())
    }
}

pub(super) async fn requests(settings: &Settings) -> Result<Vec<Slope>, Error> {
    let mut slopes = Vec::new();
    for (pipeline, values) in [("lookup", LOOKUP_VALUES), ("order", ORDER_VALUES)] {
        let mut points = [const { Vec::new() }; LOOKUP_VALUES.len()];
        for count in REQUESTS {
            for _ in 0..settings.repeats {
                let bench = Bench::new(settings, CALL_MS).await?;
                bench.send(pipeline, 0..WARM, "warm=1").await?;
                let before = bench.world.platform.counters();
                let (time, memory) = (bench.daemon.processor_time(), bench.daemon.memory());
                let bytes = bench.world.relay.bytes.get();
                bench
                    .send(pipeline, WARM..WARM + count, "a few words")
                    .await?;
                // Settlements of claims are written a little later.
                time::sleep(SETTLE).await;
                let after = bench.world.platform.counters();
                let used = bench.daemon.processor_time() - time;
                let read = [
                    used,
                    bench.daemon.memory() - memory,
                    (after.reads - before.reads) as f64,
                    (after.writes - before.writes) as f64,
                    (after.commits - before.commits) as f64,
                    (bench.world.relay.bytes.get() - bytes) as f64,
                ];
                for (points, value) in points.iter_mut().zip(read) {
                    points.push(Point::new(count as f64, value));
                }
            }
        }
        for (value, points) in values.into_iter().zip(points) {
            slopes.push(Slope::new(Name::Requests, "requests", value, points));
        }
    }
    Ok(slopes)
}

/// What is measured of requests without a claim.
const LOOKUP_VALUES: [&str; 6] = [
    "lookup: processor s",
    "lookup: memory B (results remembered)",
    "lookup: platform reads",
    "lookup: platform rows written",
    "lookup: platform commits",
    "lookup: platform B",
];

/// What is measured of requests with a claim.
const ORDER_VALUES: [&str; 6] = [
    "order: processor s",
    "order: memory B (results remembered)",
    "order: platform reads",
    "order: platform rows written",
    "order: platform commits",
    "order: platform B",
];

pub(super) async fn tokens(settings: &Settings) -> Result<Vec<Slope>, Error> {
    let mut points = Vec::new();
    for count in TOKENS {
        for _ in 0..settings.repeats {
            let bench = Bench::new(settings, CALL_MS).await?;
            let prompt = format!("tokens={count}");
            bench.send("draft", 0..CALLERS, "tokens=1").await?;
            let before = bench.daemon.processor_time();
            bench
                .send("draft", CALLERS..CALLERS + STREAMS, &prompt)
                .await?;
            let used = bench.daemon.processor_time() - before;
            let each = used / STREAMS as f64;
            points.push(Point::new(count as f64, each));
        }
    }
    let value = "processor s for each request";
    Ok(vec![Slope::new(Name::Tokens, "tokens", value, points)])
}

pub(super) async fn in_flight(settings: &Settings) -> Result<Vec<Slope>, Error> {
    let mut points = Vec::new();
    for count in IN_FLIGHT {
        for _ in 0..settings.repeats {
            let bench = Bench::new(settings, SLOW_MS).await?;
            let before = bench.daemon.memory();
            let mut callers = JoinSet::new();
            for at in 0..count {
                let (world, address) = (Arc::clone(&bench.world), bench.daemon.address);
                callers.spawn(async move {
                    let id = format!("slow-{at}");
                    world.send(address, "lookup", &id, "a few words").await
                });
            }
            time::sleep(SETTLE).await;
            let used = bench.daemon.memory() - before;
            let open = in_flight_at(bench.daemon.address).await;
            points.push(Point::new(open, used));
            // Whether late requests are answered is of no account here.
            callers.shutdown().await;
        }
    }
    let value = "memory B";
    let size = "requests in flight";
    Ok(vec![Slope::new(Name::InFlight, size, value, points)])
}

/// Returns the requests without an outcome at an entry.
async fn in_flight_at(entry: SocketAddr) -> f64 {
    let metrics = fetch::get(entry, "/metrics").await.unwrap_or_default();
    let text = String::from_utf8_lossy(&metrics).into_owned();
    let mut lines = text.lines();
    let count = lines.find_map(|line| line.strip_prefix("gwi_in_flight ")?.parse().ok());
    count.unwrap_or_default()
}

/// Time of a slow call to a service, in milliseconds.
const SLOW_MS: f64 = 8_000.0;
