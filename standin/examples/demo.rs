//! Sends a crew fitting request and a label filing through two entries each, all on loopback.
//!
//! Prints answers, decisions and totals, and fails if something is not as expected.

use bytes::Bytes;
use godwithinge::{entry::Running, log, settings::Settings};
use http_body_util::BodyExt;
use hyper::Method;
use policy::{
    decision::{Choice, Decision},
    id::Key,
};
use serde_json::{Value, json};
use standin::{
    fetch,
    fleet::{self, Deployment, Fleet, Name, Node, Size},
};
use std::{
    collections::BTreeMap, error::Error, fmt, net::SocketAddr, process::ExitCode, time::Duration,
};
use tokio::time;

/// Longest time until an entry is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two looks at something that is waited for.
const POLL: Duration = Duration::from_millis(10);
/// Token of the operators in the settings.
const TOKEN: &str = "replace-this-token";

/// A deployment and the request that is sent through it.
struct Scene {
    name: Name,
    settings: &'static str,
    pipeline: &'static str,
    workspace: &'static str,
    request: &'static str,
    deadline_ms: u64,
    payload: Value,
    /// Pool whose call must take effect exactly once, if there is one.
    once: Option<&'static str>,
}

/// Something that is not as expected.
#[derive(Debug)]
enum Surprise {
    NotReady(SocketAddr),
    Outcome(Value),
    Repeated(Value),
    Decisions(usize),
    Effects(u32),
}

impl fmt::Display for Surprise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotReady(entry) => write!(f, "entry {entry} is not ready"),
            Self::Outcome(outcome) => write!(f, "outcome is not an answer: {outcome}"),
            Self::Repeated(outcome) => write!(f, "repeated request got another answer: {outcome}"),
            Self::Decisions(count) => write!(f, "{count} stages were routed"),
            Self::Effects(count) => write!(f, "call took effect {count} times"),
        }
    }
}

impl Error for Surprise {}

#[tokio::main]
async fn main() -> ExitCode {
    if let Err(error) = log::init(log::Stream::Stderr) {
        eprintln!("{error}");
    }
    for scene in [fitting(), filing()] {
        if let Err(error) = play(&scene).await {
            eprintln!("demo: {}: {error}", scene.request);
            return ExitCode::FAILURE;
        }
    }
    println!("all as expected");
    ExitCode::SUCCESS
}

fn fitting() -> Scene {
    Scene {
        name: Name::Wasfi,
        settings: include_str!("../../settings/wasfi.ini"),
        pipeline: "fitting",
        workspace: "tailors",
        request: "fit-17",
        deadline_ms: 4000,
        payload: json!({"prompt": "Summarise the measurements of crew member 17 for a cabin jacket."}),
        once: None,
    }
}

fn filing() -> Scene {
    Scene {
        name: Name::Addis,
        settings: include_str!("../../settings/addis.ini"),
        pipeline: "filing",
        workspace: "head-office",
        request: "label-204",
        deadline_ms: 30_000,
        payload: json!({"prompt": "Draft the label dossier of the 2026 red from Bole, tokens=64."}),
        once: Some("filing-desk"),
    }
}

/// Sends the request of a scene, repeats it at another entry, and compares with what is expected.
async fn play(scene: &Scene) -> Result<(), Box<dyn Error>> {
    let deployment = Deployment::new(scene.name, Size::Full);
    let fleet = Fleet::start(deployment, fleet::Settings::default()).await?;
    let one = start(scene, &fleet, "entry-1", 0).await?;
    let two = start(scene, &fleet, "entry-2", 1).await?;
    println!(
        "== {}: {} through {}",
        scene.name, scene.request, scene.pipeline
    );

    let answer = send(scene, one.address(), false).await?;
    println!("answer: {answer}");
    if answer["outcome"] != "answered" {
        return Err(Surprise::Outcome(answer).into());
    }
    let again = send(scene, two.address(), true).await?;
    if again != answer {
        return Err(Surprise::Repeated(again).into());
    }

    let decisions = decisions(scene, one.address()).await?;
    show(&decisions);
    let stages = fleet.deployment().table.pipelines[scene.pipeline]
        .stages
        .len();
    let routed = decisions.iter().filter(|made| made.choice == Choice::Best);
    let routed = routed.count();
    if routed != stages {
        return Err(Surprise::Decisions(routed).into());
    }
    if let Some(pool) = scene.once {
        let effects = effects(&fleet, pool);
        println!("effects at {pool}: {effects}");
        if effects != 1 {
            return Err(Surprise::Effects(effects).into());
        }
    }
    summarise(&fleet);
    drop((one, two));
    fleet.stop().await;
    Ok(())
}

/// Starts an entry with the settings of the deployment and waits until it is ready.
async fn start(
    scene: &Scene,
    fleet: &Fleet,
    host: &str,
    domain: usize,
) -> Result<Running, Box<dyn Error>> {
    let mut settings = Settings::from_str("settings", scene.settings)?;
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    settings.daemon.host = host.into();
    settings.daemon.domain = fleet.deployment().domains[domain].clone();
    settings.daemon.listen = loopback;
    settings.daemon.peer_listen = loopback;
    settings.platform.address = fleet.platform().address();
    settings.peers.seeds.clear();
    let running = Running::start(settings).await?;
    let ready = async {
        while !running.daemon().is_ready() || running.daemon().hosts().is_empty() {
            time::sleep(POLL).await;
        }
    };
    match time::timeout(READY_TIMEOUT, ready).await {
        Ok(()) => Ok(running),
        Err(_elapsed) => Err(Surprise::NotReady(running.address()).into()),
    }
}

async fn send(scene: &Scene, entry: SocketAddr, retry: bool) -> Result<Value, Box<dyn Error>> {
    let path = format!("/v1/pipelines/{}/requests", scene.pipeline);
    let body = json!({
        "workspace": scene.workspace,
        "request": scene.request,
        "deadline_ms": scene.deadline_ms,
        "retry": retry,
        "payload": scene.payload,
    });
    match fetch::post(entry, &path, body.to_string()).await {
        Ok(body) | Err(fetch::Error::Status(_, body)) => Ok(serde_json::from_slice(&body)?),
        Err(error) => Err(error.into()),
    }
}

async fn decisions(scene: &Scene, entry: SocketAddr) -> Result<Vec<Decision>, Box<dyn Error>> {
    let key = Key::new(scene.workspace, scene.pipeline, scene.request);
    let path = format!(
        "/v1/requests/{}/{}/{}/decisions",
        key.pipeline, key.workspace, key.request
    );
    let token = format!("Bearer {TOKEN}");
    let headers = [("authorization", token.as_str())];
    let response = fetch::send(entry, Method::GET, &path, Bytes::new(), &headers).await?;
    let body = response.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}

fn show(decisions: &[Decision]) {
    for made in decisions {
        let target = made.target.as_deref().unwrap_or("-");
        println!(
            "decision: stage {} pool {} {} {target} of {} candidates, table revision {}",
            made.stage,
            made.pool,
            made.choice,
            made.candidates.len(),
            made.revision
        );
    }
}

fn effects(fleet: &Fleet, pool: &str) -> u32 {
    let servers = fleet.pool(pool).map(Node::server);
    servers
        .flat_map(|server| server.effects().into_values())
        .map(|effect| effect.count)
        .sum()
}

/// Prints the calls of each pool.
fn summarise(fleet: &Fleet) {
    let mut calls: BTreeMap<String, u64> = BTreeMap::new();
    for node in fleet.services() {
        let count = node.server().counters().calls;
        *calls.entry(node.host().pool.to_string()).or_default() += count;
    }
    for node in fleet.engines() {
        let count = node.server().counters().calls;
        *calls.entry(node.host().pool.to_string()).or_default() += count;
    }
    calls.retain(|_, count| *count > 0);
    println!("calls: {calls:?}");
}
