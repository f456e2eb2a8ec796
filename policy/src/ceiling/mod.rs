//! Ceilings that hold over the whole fleet.
//!
//! Each entry admits requests of a row up to its part of the row's ceiling. What part an entry
//! should have follows from the demand that all entries published: a floor for each, and the rest
//! in proportion to demand. An entry lowers its part at once, and raises it only into what it has
//! seen the others leave free, so that the parts do not exceed the ceiling while views differ by
//! no more than one [`RAISE_PERIOD`]. While members are in doubt no part is raised, and the last
//! parts stand.

mod bucket;
mod limit;

use crate::{
    command::Frame,
    id::{HostId, Time},
    table::{
        Table,
        row::{Key, Kind},
    },
};
use bucket::TokenBucket;
use limit::RowLimit;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Shortest time between two raises of a part; longer than a frame takes through the fleet.
pub const RAISE_PERIOD: Duration = Duration::from_secs(2);

/// Time between two calls of [`Ceilings::tick`].
pub const TICK: Duration = Duration::from_millis(250);

/// Share of a ceiling that is set aside for the floors of all entries together.
pub const FLOOR_SHARE: f64 = 0.01;

/// Longest time by which a start is put off.
///
/// A part that is lowered counts as in use until the starts that were put off under it are over,
/// so a longer wait delays the parts of the others.
pub const MAX_WAIT: Duration = Duration::from_secs(4);

/// Parts of all ceilings that one entry has in use.
///
/// ```
/// use policy::{
///     ceiling::Ceilings,
///     table::{Table, Workspace, row::{Key, Kind, Row}},
/// };
/// use std::time::Duration;
///
/// let mut table = Table::default();
/// let ceiling = Some(10.0);
/// table.insert("tailors", Row::Workspace(Workspace { ceiling, ..Workspace::default() }));
///
/// let mut ceilings = Ceilings::new("a");
/// ceilings.set_table(Duration::ZERO, &table);
/// let tailors = Key::new(Kind::Workspace, "tailors");
/// let start = ceilings.admit(Duration::ZERO, &[&tailors], Duration::ZERO);
/// assert_eq!(start, Ok(Duration::ZERO));
/// ```
#[derive(Debug)]
pub struct Ceilings {
    host: HostId,
    members: BTreeSet<HostId>,
    stable: bool,
    limits: BTreeMap<Key, RowLimit>,
}

/// The request would exceed a ceiling.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CeilingExceeded {
    /// Row whose ceiling is reached.
    pub row: Key,
    /// Time after which the entry could admit the request.
    pub retry_after: Duration,
}

impl Ceilings {
    /// Creates the ceilings of the entry on `host`, which has no other member yet.
    pub fn new(host: impl Into<HostId>) -> Self {
        let host = host.into();
        Self {
            members: BTreeSet::from([host.clone()]),
            host,
            stable: true,
            limits: BTreeMap::new(),
        }
    }

    /// Takes in the ceilings of workspaces and pipelines.
    ///
    /// A lowered ceiling lowers the entry's part at once.
    pub fn set_table(&mut self, now: Time, table: &Table) {
        let mut limits = BTreeMap::new();
        for (key, ceiling) in ceilings(table) {
            let limit = match self.limits.remove(&key) {
                Some(limit) => limit.with_ceiling(now, ceiling),
                None => RowLimit::new(now, ceiling, self.members.len()),
            };
            limits.insert(key, limit);
        }
        self.limits = limits;
    }

    /// Returns whether no row has a ceiling.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Takes in who shares the ceilings, and whether all of them are heard from.
    pub fn set_members(&mut self, now: Time, members: &[HostId], stable: bool) {
        self.members = members.iter().cloned().collect();
        self.members.insert(self.host.clone());
        self.stable = stable;
        for limit in self.limits.values_mut() {
            limit.set_members(now, &self.members);
        }
    }

    /// Takes in the demand that another entry published.
    pub fn apply_demand(&mut self, now: Time, from: &HostId, frame: &Frame) {
        if let Frame::Demand { row, rate, quota } = frame
            && *from != self.host
            && let Some(limit) = self.limits.get_mut(row)
        {
            limit.record_demand(now, from, *rate, *quota);
        }
    }

    /// Admits a request of all `rows`, or refuses it and takes nothing.
    ///
    /// Returns how long the request has to wait before it starts, at most `max_wait` and
    /// [`MAX_WAIT`].
    ///
    /// # Errors
    ///
    /// Fails if a row is at its ceiling for longer.
    pub fn admit(
        &mut self,
        now: Time,
        rows: &[&Key],
        max_wait: Duration,
    ) -> Result<Duration, CeilingExceeded> {
        let max_wait = max_wait.min(MAX_WAIT);
        let mut wait = Duration::ZERO;
        let mut exceeded = None;
        for row in rows {
            let Some(limit) = self.limits.get_mut(*row) else {
                continue;
            };
            limit.record_offered(now);
            let delay = limit.bucket.time_to_token(now);
            if delay > max_wait && exceeded.is_none() {
                exceeded = Some(CeilingExceeded {
                    row: (*row).clone(),
                    retry_after: delay,
                });
            }
            wait = wait.max(delay);
        }
        if let Some(exceeded) = exceeded {
            return Err(exceeded);
        }
        for row in rows {
            if let Some(limit) = self.limits.get_mut(*row) {
                limit.bucket.take(now);
            }
        }
        Ok(wait)
    }

    /// Lets another request start in place of an admitted one that never started.
    pub fn refund(&mut self, now: Time, rows: &[&Key]) {
        for row in rows {
            if let Some(limit) = self.limits.get_mut(*row) {
                limit.bucket.refund(now);
            }
        }
    }

    /// Moves all parts towards the demand and appends what the other entries must know.
    pub fn tick(&mut self, now: Time, frames: &mut Vec<Frame>) {
        for (row, limit) in &mut self.limits {
            let update = limit.tick(now, &self.host, &self.members, self.stable);
            if let Some((rate, quota)) = update {
                let row = row.clone();
                frames.push(Frame::Demand { row, rate, quota });
            }
        }
    }

    /// Returns the part of the row's ceiling that this entry has in use, in requests a second.
    pub fn quota(&self, row: &Key) -> Option<f64> {
        self.limits.get(row).map(|limit| limit.bucket.rate())
    }
}

fn ceilings(table: &Table) -> impl Iterator<Item = (Key, f64)> {
    let workspaces = table.workspaces.iter();
    let workspaces = workspaces.map(|(name, row)| (Kind::Workspace, name, row.ceiling));
    let pipelines = table.pipelines.iter();
    let pipelines = pipelines.map(|(name, row)| (Kind::Pipeline, name, row.ceiling));
    workspaces
        .chain(pipelines)
        .filter_map(|(kind, name, ceiling)| Some((Key::new(kind, name.clone()), ceiling?)))
}
