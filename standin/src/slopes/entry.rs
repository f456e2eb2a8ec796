//! Cost of one idle entry.

use super::{
    Error, Name, Point, Settings, Slope,
    stub::Targets,
    world::{Daemon, MODEL, World, table},
};
use crate::platform::Write;
use std::time::Duration;
use tokio::time;

/// Targets on the host list.
const TARGETS: [usize; 5] = [10, 50, 150, 300, 600];
/// Workspaces in the table.
const WORKSPACES: [usize; 4] = [5, 1_000, 2_500, 5_100];
/// Edits during one measurement.
const EDITS: [usize; 4] = [0, 10, 20, 40];
/// Time for a daemon to settle after it is ready.
const SETTLE: Duration = Duration::from_secs(3);

/// What one idle daemon costs over a while.
pub(super) struct Idle {
    /// Bytes a second to and from the platform.
    pub(super) platform: f64,
    /// Bytes a second to and from targets.
    pub(super) targets: f64,
    /// Share of a core.
    pub(super) cores: f64,
    /// Memory, in bytes.
    pub(super) memory: f64,
}

/// Measures a daemon that only keeps itself up to date.
pub(super) async fn idle(
    settings: &Settings,
    world: &World,
    targets: &Targets,
    daemon: &Daemon,
) -> Idle {
    time::sleep(SETTLE).await;
    let before = (world.relay.bytes.get(), targets.bytes.get());
    let time = daemon.processor_time();
    time::sleep(Duration::from_secs(settings.seconds)).await;
    let seconds = settings.seconds as f64;
    Idle {
        platform: (world.relay.bytes.get() - before.0) as f64 / seconds,
        targets: (targets.bytes.get() - before.1) as f64 / seconds,
        cores: (daemon.processor_time() - time) / seconds,
        memory: daemon.memory(),
    }
}

/// Turns measurements at several sizes into slopes.
pub(super) fn slopes(name: Name, size: &'static str, idles: &[(usize, Idle)]) -> Vec<Slope> {
    let slope = |value, read: fn(&Idle) -> f64| {
        let points = idles
            .iter()
            .map(|(size, idle)| Point::new(*size as f64, read(idle)));
        Slope::new(name, size, value, points.collect())
    };
    vec![
        slope("platform B/s", |idle| idle.platform),
        slope("target B/s", |idle| idle.targets),
        slope("cores", |idle| idle.cores),
        slope("memory B", |idle| idle.memory),
    ]
}

pub(super) async fn targets(settings: &Settings) -> Result<Vec<Slope>, Error> {
    let mut idles = Vec::new();
    for count in TARGETS {
        for _ in 0..settings.repeats {
            let targets = Targets::start(count, MODEL).await?;
            let mut world = World::start(&settings.place, 5, World::engines(&targets)).await?;
            let daemon = world.entry(1, "").await?;
            idles.push((count, idle(settings, &world, &targets, &daemon).await));
        }
    }
    Ok(slopes(Name::Targets, "targets", &idles))
}

pub(super) async fn workspaces(settings: &Settings) -> Result<Vec<Slope>, Error> {
    let mut idles = Vec::new();
    let mut starts = Vec::new();
    for count in WORKSPACES {
        for _ in 0..settings.repeats {
            let targets = Targets::start(5, MODEL).await?;
            let mut world = World::start(&settings.place, count, World::engines(&targets)).await?;
            let daemon = world.entry(1, "").await?;
            starts.push(Point::new(count as f64, world.relay.bytes.get() as f64));
            idles.push((count, idle(settings, &world, &targets, &daemon).await));
        }
    }
    let mut slopes = slopes(Name::Workspaces, "workspaces", &idles);
    slopes.push(Slope::new(
        Name::Workspaces,
        "workspaces",
        "platform bytes at a start",
        starts,
    ));
    Ok(slopes)
}

pub(super) async fn edits(settings: &Settings) -> Result<Vec<Slope>, Error> {
    let (mut bytes, mut times) = (Vec::new(), Vec::new());
    for count in EDITS {
        for _ in 0..settings.repeats {
            let targets = Targets::start(5, MODEL).await?;
            let mut world = World::start(&settings.place, 5_100, World::engines(&targets)).await?;
            let daemon = world.entry(1, "").await?;
            time::sleep(SETTLE).await;
            let before = (world.relay.bytes.get(), daemon.processor_time());
            let pause = Duration::from_secs(settings.seconds) / (count as u32 + 1);
            for edit in 0..count {
                change(&world, edit);
                time::sleep(pause).await;
            }
            time::sleep(pause).await;
            let passed = daemon.processor_time() - before.1;
            let read = (world.relay.bytes.get() - before.0) as f64;
            bytes.push(Point::new(count as f64, read));
            times.push(Point::new(count as f64, passed));
        }
    }
    Ok(vec![
        Slope::new(Name::Edits, "edits", "platform B", bytes),
        Slope::new(Name::Edits, "edits", "processor s", times),
    ])
}

/// Writes one workspace's row and the revision, as an accepted edit does.
fn change(world: &World, edit: usize) {
    let mut row = table(1).workspaces.into_values().next().unwrap_or_default();
    row.share = 2.0 + edit as f64;
    let write = |key: &str, value| Write {
        table: "weights".into(),
        key: key.into(),
        value,
    };
    let row = serde_json::to_value(row).unwrap_or_default();
    let revision = serde_json::json!({"revision": edit + 2});
    let writes = vec![
        write(&format!("workspace/workspace-{edit:05}"), row),
        write("revision", revision),
    ];
    // Without checks there is nothing to conflict with.
    drop(world.platform.commit(&[], writes));
}
