//! Fleet-wide rate ceilings, enforced by quotas of the entries.
//!
//! Each entry admits requests of a row up to its quota of the row's ceiling. The target quota
//! follows from the demand that all entries publish: a floor for each entry, and the rest in
//! proportion to demand. An entry lowers its quota immediately and raises it only within what the
//! others have visibly left free, so the quotas do not exceed the ceiling as long as the views of
//! the entries differ by at most one [`RAISE_PERIOD`]. While the membership is not stable, no quota
//! is raised and the last quotas remain in force.

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

/// Minimum time between two raises of a quota.
///
/// It exceeds the time in which a frame propagates through the fleet.
pub const RAISE_PERIOD: Duration = Duration::from_secs(2);

/// Period at which [`Ceilings::tick`] is called.
pub const TICK: Duration = Duration::from_millis(250);

/// Fraction of a ceiling that is reserved for the floors of all entries together.
pub const FLOOR_SHARE: f64 = 0.01;

/// Maximum delay of the start of an admitted request.
///
/// A lowered quota counts as in use until all starts scheduled under it have taken place, so a
/// longer delay would postpone raises of the other entries' quotas.
pub const MAX_WAIT: Duration = Duration::from_secs(4);

/// Quotas of one entry for all ceilings.
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

/// Error of a request that would exceed a ceiling.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CeilingExceeded {
    /// Row whose ceiling is reached.
    pub row: Key,
    /// Time after which the entry could admit the request at its current quota.
    pub retry_after: Duration,
}

impl Ceilings {
    /// Creates the ceilings of the entry on `host`, which is the only member at first.
    pub fn new(host: impl Into<HostId>) -> Self {
        let host = host.into();
        Self {
            members: BTreeSet::from([host.clone()]),
            host,
            stable: true,
            limits: BTreeMap::new(),
        }
    }

    /// Applies the ceilings of the workspaces and pipelines in a table.
    ///
    /// A lower ceiling reduces the entry's quota immediately.
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

    /// Sets the hosts that share the ceilings; quotas are raised only while `stable`.
    pub fn set_members(&mut self, now: Time, members: &[HostId], stable: bool) {
        self.members = members.iter().cloned().collect();
        self.members.insert(self.host.clone());
        self.stable = stable;
        for limit in self.limits.values_mut() {
            limit.set_members(now, &self.members);
        }
    }

    /// Records the demand that another entry published; frames of other kinds are ignored.
    pub fn apply_demand(&mut self, now: Time, from: &HostId, frame: &Frame) {
        if let Frame::Demand { row, rate, quota } = frame
            && *from != self.host
            && let Some(limit) = self.limits.get_mut(row)
        {
            limit.record_demand(now, from, *rate, *quota);
        }
    }

    /// Admits a request that counts against all `rows`, or refuses it and takes no token.
    ///
    /// Returns the time to wait before the request starts, at most `max_wait` and [`MAX_WAIT`].
    ///
    /// # Errors
    ///
    /// Fails if the wait for one of the rows would be longer.
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

    /// Returns the tokens of an admitted request that never started.
    pub fn refund(&mut self, now: Time, rows: &[&Key]) {
        for row in rows {
            if let Some(limit) = self.limits.get_mut(*row) {
                limit.bucket.refund(now);
            }
        }
    }

    /// Adjusts all quotas to the demand and appends the frames to be published.
    pub fn tick(&mut self, now: Time, frames: &mut Vec<Frame>) {
        for (row, limit) in &mut self.limits {
            let update = limit.tick(now, &self.host, &self.members, self.stable);
            if let Some((rate, quota)) = update {
                let row = row.clone();
                frames.push(Frame::Demand { row, rate, quota });
            }
        }
    }

    /// Returns this entry's quota of the row's ceiling in requests per second, or `None` if the row
    /// has no ceiling.
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
