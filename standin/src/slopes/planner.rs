//! Cost of the planner that holds a region's lease.

use super::{
    Error, Name, Settings, Slope,
    entry::{idle, slopes},
    stub::Targets,
    world::{MODEL, World},
};

/// Engines of the region.
const ENGINES: [usize; 4] = [10, 50, 100, 200];

pub(super) async fn engines(settings: &Settings) -> Result<Vec<Slope>, Error> {
    let mut idles = Vec::new();
    for count in ENGINES {
        for _ in 0..settings.repeats {
            let targets = Targets::start(count, MODEL).await?;
            let world = World::start(&settings.place, 5, World::engines(&targets)).await?;
            let daemon = world.planner("").await?;
            idles.push((count, idle(settings, &world, &targets, &daemon).await));
        }
    }
    Ok(slopes(Name::Planner, "engines", &idles))
}
