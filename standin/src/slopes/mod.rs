//! Slopes: how the cost of the daemons grows with one size, measured on this machine.

mod entry;
mod fit;
mod fleet;
mod local;
mod planner;
mod requests;
mod spread;
mod stub;
mod usage;
mod world;

pub use self::{
    fit::{Fit, Point},
    world::Place,
};

use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, io,
};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Name of a measurement, which gives one or more slopes.
#[derive(
    Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub enum Name {
    /// Cost of an idle entry by targets on the host list.
    Targets,
    /// Cost of an idle entry by workspaces in the table.
    Workspaces,
    /// Cost of one entry by entries in the fleet.
    Daemons,
    /// Cost of an entry by edits.
    Edits,
    /// Time until an edit is in force everywhere by entries in the fleet.
    Spread,
    /// Reads and writes at the platform by replaced entries.
    Replacements,
    /// Processor time, memory and platform exchanges of an entry by requests.
    Requests,
    /// Processor time of an entry by streamed tokens.
    Tokens,
    /// Memory of an entry by requests in flight.
    InFlight,
    /// Rows and commits a second at the platform by rows in a commit.
    Claims,
    /// Time of a routing decision by candidates.
    Decision,
    /// Memory of the prefix index by entries.
    Prefix,
    /// Time of a planning round by engines.
    Placement,
    /// Cost of the planner by engines.
    Planner,
}

/// How a measurement is made.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Programs and folder.
    pub place: Place,
    /// Times that each point is measured.
    pub repeats: usize,
    /// Seconds over which rates are measured.
    pub seconds: u64,
}

/// One slope: a value at several sizes, and the line through them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// Measurement that gave it.
    pub name: String,
    /// What the size counts.
    pub size: &'static str,
    /// What is measured, with its unit.
    pub value: &'static str,
    /// The points, one for each size and repeat.
    pub points: Vec<Point>,
    /// Line through the points.
    pub fit: Fit,
    /// Largest difference among repeats of one size.
    pub spread: f64,
}

/// Why there is no slope.
#[derive(Debug)]
pub enum Error {
    /// A file, socket or process failed.
    Io(io::Error),
    /// A daemon was not ready in time.
    Slow(String),
    /// Requests were not answered.
    Unanswered(usize),
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::Slow(daemon) => write!(f, "daemon \"{daemon}\" was not ready in time"),
            Self::Unanswered(count) => write!(f, "{count} requests were not answered"),
        }
    }
}

impl std::error::Error for Error {}

impl Slope {
    fn new(name: Name, size: &'static str, value: &'static str, points: Vec<Point>) -> Self {
        Self {
            name: name.to_string(),
            size,
            value,
            fit: Fit::new(&points),
            spread: spread(&points),
            points,
        }
    }
}

impl Slope {
    /// Returns the head of a Markdown table of slopes.
    pub fn table_head() -> &'static str {
        "| measurement | size | value | points | base | slope | r² | spread |\n\
         |---|---|---|---|---|---|---|---|"
    }

    /// Returns the slope as a row of a Markdown table.
    pub fn table_row(&self) -> String {
        let sizes: BTreeSet<u64> = self.points.iter().map(|point| point.x as u64).collect();
        let sizes: Vec<_> = sizes.iter().map(ToString::to_string).collect();
        format!(
            "| {} | {} | {} | {} × {} | {:.4} | {:.6} | {:.3} | {:.4} |",
            self.name,
            self.size,
            self.value,
            sizes.join(", "),
            self.points.len() / sizes.len().max(1),
            self.fit.base,
            self.fit.slope,
            self.fit.r2,
            self.spread,
        )
    }
}

/// Returns the largest difference among points of one size.
fn spread(points: &[Point]) -> f64 {
    let mut sizes = BTreeMap::<u64, (f64, f64)>::new();
    for point in points {
        let range = sizes
            .entry(point.x.to_bits())
            .or_insert((f64::INFINITY, f64::NEG_INFINITY));
        *range = (range.0.min(point.y), range.1.max(point.y));
    }
    let ranges = sizes.values().map(|(least, most)| most - least);
    ranges.fold(0.0, f64::max)
}

/// Measures and returns the slopes of one name.
///
/// # Errors
///
/// Fails if a daemon can't be started or does not answer.
pub async fn measure(name: Name, settings: &Settings) -> Result<Vec<Slope>, Error> {
    world::create(&settings.place.folder)?;
    match name {
        Name::Targets => entry::targets(settings).await,
        Name::Workspaces => entry::workspaces(settings).await,
        Name::Edits => entry::edits(settings).await,
        Name::Daemons => fleet::daemons(settings).await,
        Name::Spread => spread::edits(settings).await,
        Name::Replacements => fleet::replacements(settings).await,
        Name::Requests => requests::requests(settings).await,
        Name::Tokens => requests::tokens(settings).await,
        Name::InFlight => requests::in_flight(settings).await,
        Name::Claims => local::claims(settings).await,
        Name::Decision => Ok(local::decision(settings)),
        Name::Prefix => Ok(local::prefix()),
        Name::Placement => Ok(local::placement(settings)),
        Name::Planner => planner::engines(settings).await,
    }
}
