//! Measurements without a daemon: decisions, the prefix index, and commits at the platform.

use super::{Error, Name, Point, Settings, Slope, usage, world::host};
use crate::platform;
use godwithinge::platform::{Client, Transaction};
use policy::{
    host::{Host, Report},
    id::{AttemptId, BlockHash, ModelId, Time},
    placement::{Engine, Event, Model, Placement, Settings as Limits},
    pool::Pool,
    router::{CallResult, Requirements, Router},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::{
    net::{Ipv4Addr, SocketAddr},
    process,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Targets that a decision compares.
const CANDIDATES: [usize; 5] = [8, 16, 64, 256, 600];
/// Decisions of one measurement.
const DECISIONS: u32 = 20_000;
/// Prompts in the prefix index.
const PROMPTS: [usize; 4] = [250, 500, 1_000, 2_000];
/// Blocks of one prompt.
const BLOCKS: usize = 32;
/// Engines of a planning round.
const ENGINES: [usize; 4] = [50, 100, 200, 600];
/// Planning rounds of one measurement.
const ROUNDS: u32 = 50;
/// Rows in one commit.
const GROUPS: [usize; 3] = [1, 4, 16];
/// Clients that commit at once, each after its last commit.
const CLIENTS: usize = 8;
/// Time that the platform takes for a commit, in milliseconds.
const COMMIT_MS: u64 = 5;
/// Longest time of an exchange with the platform.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Calls that one target runs at once.
const WIDTH: u32 = 8;

fn hosts(count: usize) -> Vec<Host> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    (0..count).map(|at| host("engines", at, address)).collect()
}

fn report() -> Report {
    Report {
        running: 3,
        max_concurrency: WIDTH,
        tokens_per_second: 30.0,
        prefill_per_second: 4_000.0,
        models: vec!["m".into()],
        ..Report::default()
    }
}

/// Returns a router that compares all of `count` targets.
fn router(count: usize) -> Router {
    let pool = Pool::new("engines").with_engine("m", 64);
    let mut router = Router::new("domain-0".into(), &[pool]).with_subset("entry-0", count);
    let hosts = hosts(count);
    router.set_hosts(Time::ZERO, &hosts);
    for host in &hosts {
        router.record_report(Time::ZERO, &host.target, &report());
    }
    router
}

pub(super) fn decision(settings: &Settings) -> Vec<Slope> {
    let (pool, workspace) = ("engines".into(), "workspace-0".into());
    let mut points = Vec::new();
    for count in CANDIDATES {
        let mut router = router(count);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let need = Requirements {
            pool: &pool,
            workspace: &workspace,
            prefix: &[],
            tokens: 64,
            excluded: &[],
            exclusive: false,
        };
        for _ in 0..settings.repeats {
            let begun = Instant::now();
            for _ in 0..DECISIONS {
                let _ = std::hint::black_box(router.choose(Time::ZERO, &need, &mut rng));
            }
            let each = begun.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS);
            points.push(Point::new(count as f64, each));
        }
    }
    vec![Slope::new(Name::Decision, "candidates", "time µs", points)]
}

pub(super) fn prefix() -> Vec<Slope> {
    let (pool, workspace) = ("engines".into(), "workspace-0".into());
    let mut points = Vec::new();
    let mut kept = Vec::new();
    for count in PROMPTS {
        let mut router = router(WIDTH as usize);
        let before = usage::memory(process::id());
        for at in 0..count {
            let prefix: Vec<BlockHash> = (0..BLOCKS).map(|block| hash(at, block)).collect();
            let need = Requirements {
                pool: &pool,
                workspace: &workspace,
                prefix: &prefix,
                tokens: 64,
                excluded: &[],
                exclusive: false,
            };
            let attempt = AttemptId {
                incarnation: 1,
                sequence: at as u64,
            };
            let target = format!("engines-{:04}", at % WIDTH as usize).into();
            router.record_start(Time::ZERO, attempt, &target, &need);
            router.record_end(Time::ZERO, attempt, CallResult::Succeeded);
        }
        let used = usage::memory(process::id()) - before;
        points.push(Point::new((count * BLOCKS) as f64, used));
        // What is kept can't be given to the next measurement.
        kept.push(router);
    }
    vec![Slope::new(
        Name::Prefix,
        "index entries",
        "memory B",
        points,
    )]
}

fn hash(prompt: usize, block: usize) -> BlockHash {
    ((prompt << 16) + block) as u64 * 0x9E37_79B9_7F4A_7C15
}

pub(super) fn placement(settings: &Settings) -> Vec<Slope> {
    let mut points = Vec::new();
    for count in ENGINES {
        let mut placement = Placement::new(limits());
        let engines = hosts(count).into_iter().map(|host| Engine {
            target: host.target,
            fenced: true,
            models: vec!["m".into(), "n".into()],
        });
        let engines: Vec<_> = engines.collect();
        let targets: Vec<_> = engines.iter().map(|engine| engine.target.clone()).collect();
        placement.on(Time::ZERO, Event::Engines { engines }, &mut Vec::new());
        for _ in 0..settings.repeats {
            let begun = Instant::now();
            for round in 0..ROUNDS {
                let now = Duration::from_secs(u64::from(round));
                for target in &targets {
                    let (target, report) = (target.clone(), report());
                    placement.on(now, Event::Report { target, report }, &mut Vec::new());
                }
                let (fenced, unfenced) = (Some(1), Some(1));
                let plan = Event::Plan { fenced, unfenced };
                placement.on(now, plan, &mut Vec::new());
            }
            let each = begun.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
            points.push(Point::new(count as f64, each));
        }
    }
    let value = "time µs of a round with all reports";
    vec![Slope::new(Name::Placement, "engines", value, points)]
}

fn limits() -> Limits {
    let model = |name: &str| -> (ModelId, Model) { (name.into(), Model::default()) };
    Limits {
        models: [model("m"), model("n")].into(),
        models_per_engine: 1,
        max_changes: 2,
        load_interval: Duration::from_secs(10),
        apply_timeout: Duration::from_secs(300),
        drain_timeout: Duration::from_secs(30),
        cooldown: Duration::from_secs(60),
        smoothing: Duration::from_secs(10),
        report_ttl: Duration::from_secs(5),
        report_spacing: Duration::from_millis(50),
        raise_at: 0.8,
        lower_at: 0.5,
    }
}

pub(super) async fn claims(settings: &Settings) -> Result<Vec<Slope>, Error> {
    let (mut rows, mut commits) = (Vec::new(), Vec::new());
    for group in GROUPS {
        for _ in 0..settings.repeats {
            let platform = platform::start(platform::Settings {
                delay_ms: COMMIT_MS,
                ..platform::Settings::default()
            });
            let platform = platform.await?;
            let seconds = settings.seconds as f64;
            let mut clients = JoinSet::new();
            for client in 0..CLIENTS {
                let address = platform.address().to_string();
                let until = Instant::now() + Duration::from_secs(settings.seconds);
                clients.spawn(commit(Client::new(address, TIMEOUT), client, group, until));
            }
            clients.join_all().await;
            let counters = platform.counters();
            rows.push(Point::new(group as f64, counters.writes as f64 / seconds));
            commits.push(Point::new(group as f64, counters.commits as f64 / seconds));
        }
    }
    let slope = |value, points| Slope::new(Name::Claims, "rows in a commit", value, points);
    Ok(vec![slope("rows/s", rows), slope("commits/s", commits)])
}

/// Commits groups of claim rows, each under the condition that it is absent.
async fn commit(client: Client, number: usize, group: usize, until: Instant) {
    let mut sequence = 0;
    while Instant::now() < until {
        let mut transaction = Transaction::new();
        for _ in 0..group {
            sequence += 1;
            let key = format!("workspace/order/{number}-{sequence}/0");
            let value = json!({
                "state": "held", "target": "orders-0001",
                "attempt": {"incarnation": 1, "sequence": sequence},
            });
            transaction = transaction
                .with_check("claims", &key, 0)
                .with_write("claims", &key, value);
        }
        // A commit that fails is not counted by the platform.
        drop(client.commit(&transaction).await);
    }
}
