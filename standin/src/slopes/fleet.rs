//! Cost of one entry among others, and of replacing entries.

use super::{
    Error, Name, Point, Settings, Slope,
    entry::{Idle, slopes},
    stub::Targets,
    world::{Daemon, MODEL, World},
};
use crate::fetch;
use std::time::Duration;
use tokio::time;

/// Entries in the fleet.
const DAEMONS: [usize; 4] = [7, 14, 28, 56];
/// Entries that are replaced.
const REPLACED: [usize; 4] = [0, 2, 4, 8];
/// Time for all daemons to settle after the last is ready.
const SETTLE: Duration = Duration::from_secs(8);
/// Targets on the host list; few, so that the daemons' part shows.
const TARGETS: usize = 5;
/// What the lines of the counter of peer traffic begin with.
const PEER_BYTES: &str = "gwi_control_bytes_total{kind=\"peer";

async fn start(world: &mut World, count: usize) -> Result<Vec<Daemon>, Error> {
    let mut daemons = Vec::new();
    for number in 0..count {
        daemons.push(world.entry(number, "").await?);
    }
    time::sleep(SETTLE).await;
    Ok(daemons)
}

pub(super) async fn daemons(settings: &Settings) -> Result<Vec<Slope>, Error> {
    let (mut idles, mut peers, mut reads) = (Vec::new(), Vec::new(), Vec::new());
    for count in DAEMONS {
        for _ in 0..settings.repeats {
            let targets = Targets::start(TARGETS, MODEL).await?;
            let mut world = World::start(&settings.place, 5, World::engines(&targets)).await?;
            let daemons = start(&mut world, count).await?;
            let share = settings.seconds as f64 * count as f64;
            let before = (world.relay.bytes.get(), targets.bytes.get());
            let (read, peer) = (world.platform.counters().reads, peer_bytes(&daemons).await);
            let used = processor_time(&daemons);
            time::sleep(Duration::from_secs(settings.seconds)).await;
            let used = processor_time(&daemons) - used;
            let memory: f64 = daemons.iter().map(Daemon::memory).sum();
            let idle = Idle {
                platform: (world.relay.bytes.get() - before.0) as f64 / share,
                targets: (targets.bytes.get() - before.1) as f64 / share,
                cores: used / share,
                memory: memory / count as f64,
            };
            idles.push((count, idle));
            let size = count as f64;
            let read = (world.platform.counters().reads - read) as f64;
            reads.push(Point::new(size, read / settings.seconds as f64));
            let peer = peer_bytes(&daemons).await - peer;
            peers.push(Point::new(size, peer / share));
        }
    }
    let mut slopes = slopes(Name::Daemons, "daemons", &idles);
    let doublings = peers
        .iter()
        .map(|point| Point::new(point.x.log2(), point.y));
    let doublings = doublings.collect();
    slopes.push(Slope::new(
        Name::Daemons,
        "log2 of daemons",
        "peer B/s",
        doublings,
    ));
    slopes.push(Slope::new(Name::Daemons, "daemons", "peer B/s", peers));
    let value = "platform reads/s of the fleet";
    slopes.push(Slope::new(Name::Daemons, "daemons", value, reads));
    Ok(slopes)
}

fn processor_time(daemons: &[Daemon]) -> f64 {
    daemons.iter().map(Daemon::processor_time).sum()
}

/// Returns the bytes of all daemons' peer links, sent and received.
async fn peer_bytes(daemons: &[Daemon]) -> f64 {
    let mut sum = 0.0;
    for daemon in daemons {
        let metrics = fetch::get(daemon.address, "/metrics").await;
        let text = metrics.map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
        let text = text.unwrap_or_default();
        let lines = text.lines().filter(|line| line.starts_with(PEER_BYTES));
        let values = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
        sum += values.sum::<f64>();
    }
    sum
}

pub(super) async fn replacements(settings: &Settings) -> Result<Vec<Slope>, Error> {
    let (mut reads, mut writes, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for count in REPLACED {
        for _ in 0..settings.repeats {
            let targets = Targets::start(TARGETS, MODEL).await?;
            let hosts = World::engines(&targets);
            let mut world = World::start(&settings.place, 5_100, hosts).await?;
            let before = world.platform.counters();
            let read = world.relay.bytes.get();
            for number in 0..count {
                drop(world.entry(number, "").await?);
            }
            let after = world.platform.counters();
            let size = count as f64;
            reads.push(Point::new(size, (after.reads - before.reads) as f64));
            writes.push(Point::new(size, (after.writes - before.writes) as f64));
            bytes.push(Point::new(size, (world.relay.bytes.get() - read) as f64));
        }
    }
    let slope = |value, points| Slope::new(Name::Replacements, "replacements", value, points);
    Ok(vec![
        slope("platform reads", reads),
        slope("platform writes", writes),
        slope("platform B", bytes),
    ])
}
