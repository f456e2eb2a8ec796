//! Targets of all pools, from their entries in the platform's store.
//!
//! Load pattern: engines are released, scaled and crash while requests arrive. An entry that says
//! `draining`, or is gone, takes its target out at once. Entries may lapse while the store is away;
//! they count as gone only once the store has been back for [`RETURN`].

use crate::id::{DomainId, PoolId, TargetId, Time};
use compact_str::CompactString;
use std::{collections::BTreeMap, time::Duration};

/// Time in which entries that lapsed during an outage come back; from the users' page on discovery.
pub const RETURN: Duration = Duration::from_millis(1_900);

/// A target that registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of this incarnation.
    pub id: TargetId,
    /// Pool that the target serves.
    pub pool: PoolId,
    /// Address for calls.
    pub address: CompactString,
    /// Failure domain.
    pub domain: DomainId,
    /// Calls that the target works on at once.
    pub slots: u32,
    /// Whether the target takes new work.
    pub is_ready: bool,
    /// Start of the target in milliseconds since 1970.
    pub born: u64,
}

/// Change of the targets in use.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A target takes work.
    Added(Target),
    /// A target takes no new work.
    Draining(Target),
    /// A target has ended.
    Gone(Target),
}

/// Targets of all pools.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    targets: BTreeMap<TargetId, Entry>,
    /// Until when entries that lapsed are given to come back.
    lenient_until: Time,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// When the entry was found missing.
    missing: Option<Time>,
}

impl Roster {
    /// Takes in the entry of one target.
    pub fn put(&mut self, target: Target) -> Option<Change> {
        let before = self.targets.get(&target.id);
        let change = match before {
            Some(before) if before.target == target && before.missing.is_none() => None,
            Some(before) if before.target.born > target.born => return None,
            Some(_) | None if target.is_ready => Some(Change::Added(target.clone())),
            Some(_) => Some(Change::Draining(target.clone())),
            None => None,
        };
        let entry = Entry {
            target,
            missing: None,
        };
        self.targets.insert(entry.target.id.clone(), entry);
        change
    }

    /// Notes that the entry of a target is gone from the store; a lenient roster waits for it.
    pub fn remove(&mut self, now: Time, id: &str, is_lenient: bool) -> Option<Change> {
        if is_lenient {
            let entry = self.targets.get_mut(id)?;
            entry.missing.get_or_insert(now);
            return None;
        }
        let entry = self.targets.remove(id)?;
        Some(Change::Gone(entry.target))
    }

    /// Notes that the store can't be read, or has come back just now.
    pub fn note_outage(&mut self, now: Time) {
        self.lenient_until = now + RETURN;
    }

    /// Returns whether entries that lapsed in an outage may still come back.
    pub fn is_lenient(&self, now: Time) -> bool {
        now < self.lenient_until
    }

    /// Drops entries that did not come back in time after an outage.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        if self.is_lenient(now) {
            return Vec::new();
        }
        let late = self.targets.values();
        let late = late.filter(|entry| entry.missing.is_some());
        let late: Vec<TargetId> = late.map(|entry| entry.target.id.clone()).collect();
        let removed = late.iter().filter_map(|id| self.targets.remove(id));
        removed.map(|entry| Change::Gone(entry.target)).collect()
    }

    /// Returns the targets of a pool that take new work.
    pub fn ready<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Target> {
        self.all()
            .filter(move |target| target.pool == pool && target.is_ready)
    }

    /// Returns all targets.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|entry| &entry.target)
    }
}
