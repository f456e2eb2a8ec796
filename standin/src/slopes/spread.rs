//! Time until an accepted edit is in force at all entries.

use super::{
    Error, Name, Point, Settings, Slope,
    stub::Targets,
    world::{Daemon, MODEL, World},
};
use crate::fetch;
use godwithinge::{platform::Client, table::Store};
use policy::table::{
    edit::{Cell, Edit},
    row::{Column, Key, Kind},
};
use std::{io, time::Duration};
use tokio::time::{self, Instant};

/// Entries in the fleet.
const DAEMONS: [usize; 4] = [7, 14, 28, 56];
/// Edits of each fleet.
const EDITS: usize = 10;
/// Time for all daemons to settle after the last is ready.
const SETTLE: Duration = Duration::from_secs(8);
/// Time between two looks at an entry.
const POLL: Duration = Duration::from_millis(5);
/// Longest time until an edit is in force at an entry.
const PATIENCE: Duration = Duration::from_secs(30);
/// Longest time of one exchange with the platform.
const TIMEOUT: Duration = Duration::from_secs(5);
/// What the line of the revision in force begins with.
const REVISION: &str = "gwi_table_revision ";
/// Settings of an entry that reads the table at its start only.
const SELDOM: &str = "[entry]\ntable_poll = 3600s\n";
/// Settings of an entry that reads the table at once.
const OFTEN: &str = "[entry]\ntable_poll = 50ms\n";

/// How entries learn of an edit.
#[derive(Clone, Copy)]
enum Way {
    /// Each entry reads the table, and passes it on.
    All,
    /// One entry reads the table; the others hear of it from their peers.
    Peers,
}

pub(super) async fn edits(settings: &Settings) -> Result<Vec<Slope>, Error> {
    let mut slopes = Vec::new();
    for way in [Way::All, Way::Peers] {
        let (mut means, mut longest) = (Vec::new(), Vec::new());
        for count in DAEMONS {
            for _ in 0..settings.repeats {
                let times = spread(settings, count, way).await?;
                let mean = times.iter().sum::<f64>() / times.len() as f64;
                means.push(Point::new(count as f64, mean));
                let most = times.into_iter().fold(0.0, f64::max);
                longest.push(Point::new(count as f64, most));
            }
        }
        let (mean, most) = match way {
            Way::All => ("mean s until in force everywhere", "longest s of 10 edits"),
            Way::Peers => ("mean s, by peers alone", "longest s, by peers alone"),
        };
        slopes.push(Slope::new(Name::Spread, "daemons", mean, means));
        slopes.push(Slope::new(Name::Spread, "daemons", most, longest));
    }
    Ok(slopes)
}

/// Returns the seconds that each edit took.
async fn spread(settings: &Settings, count: usize, way: Way) -> Result<Vec<f64>, Error> {
    let targets = Targets::start(5, MODEL).await?;
    let mut world = World::start(&settings.place, 5, World::engines(&targets)).await?;
    let mut daemons = Vec::new();
    for number in 0..count {
        let lines = match way {
            Way::All => "",
            Way::Peers if number == 0 => OFTEN,
            Way::Peers => SELDOM,
        };
        daemons.push(world.entry(number, lines).await?);
    }
    time::sleep(SETTLE).await;
    let store = Store::new(Client::new(world.platform.address().to_string(), TIMEOUT));
    let mut times = Vec::new();
    for at in 0..EDITS {
        // Edits fall at any time between two reads of an entry.
        time::sleep(Duration::from_millis(1000 + 237 * at as u64)).await;
        let entry = store.edit(&edit(at), 0).await;
        let entry = entry.map_err(|error| Error::Io(io::Error::other(error)))?;
        let accepted = Instant::now();
        for daemon in &daemons {
            in_force(daemon, entry.revision).await?;
        }
        times.push(accepted.elapsed().as_secs_f64());
    }
    Ok(times)
}

fn edit(at: usize) -> Edit {
    Edit {
        id: format!("edit-{at}").into(),
        who: "slopes".into(),
        base: 1 + at as u64,
        cells: vec![Cell {
            row: Key::new(Kind::Workspace, "workspace-00000"),
            column: Column::Share,
            value: format!("{}", 2 + at).into(),
        }],
    }
}

async fn in_force(daemon: &Daemon, revision: u64) -> Result<(), Error> {
    let limit = Instant::now() + PATIENCE;
    while Instant::now() < limit {
        let text = fetch::get(daemon.address, "/metrics").await;
        let text = text.map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
        let text = text.unwrap_or_default();
        let held = text.lines().find_map(|line| line.strip_prefix(REVISION));
        if held.and_then(|held| held.parse().ok()) >= Some(revision) {
            return Ok(());
        }
        time::sleep(POLL).await;
    }
    Err(Error::Slow(daemon.address.to_string()))
}
