//! Targets of all pools, from their entries in the platform's store.
//!
//! Load pattern: engines are released, scaled and crash while requests arrive. An entry that says
//! `draining`, or is gone, takes its target out at once. Entries may lapse while the store is away;
//! they count as gone only once the store has been back for [`RETURN`].

use crate::id::{DomainId, PoolId, TargetId, Time};
use compact_str::CompactString;
use std::{collections::BTreeMap, time::Duration};

/// Time in which entries that lapsed during an outage come back; from the users' page on discovery.
pub const REGISTRATION_GRACE: Duration = Duration::from_millis(1_900);

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
    pub started_unix_ms: u64,
}

/// Change of the targets in use.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetChange {
    /// A target takes work.
    Added(Target),
    /// A target takes no new work.
    Draining(Target),
    /// A target has ended.
    Gone(Target),
}

/// Targets of all pools.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    targets: BTreeMap<TargetId, Entry>,
    /// Until when entries that lapsed are given to come back.
    lenient_until: Time,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// When the entry was found missing.
    missing_since: Option<Time>,
}

impl Registry {
    /// Takes in the entry of one target.
    pub fn upsert(&mut self, target: Target) -> Option<TargetChange> {
        let known = self.targets.get(&target.id);
        let change = match known {
            Some(known) if known.target == target && known.missing_since.is_none() => None,
            Some(known) if known.target.started_unix_ms > target.started_unix_ms => return None,
            Some(_) | None if target.is_ready => Some(TargetChange::Added(target.clone())),
            Some(_) => Some(TargetChange::Draining(target.clone())),
            None => None,
        };
        let entry = Entry {
            target,
            missing_since: None,
        };
        self.targets.insert(entry.target.id.clone(), entry);
        change
    }

    /// Notes that the entry of a target is gone from the store; a lenient roster waits for it.
    pub fn remove(&mut self, now: Time, id: &str, is_lenient: bool) -> Option<TargetChange> {
        if is_lenient {
            let entry = self.targets.get_mut(id)?;
            entry.missing_since.get_or_insert(now);
            return None;
        }
        let entry = self.targets.remove(id)?;
        Some(TargetChange::Gone(entry.target))
    }

    /// Notes that the store can't be read, or has come back just now.
    pub fn record_outage(&mut self, now: Time) {
        self.lenient_until = now + REGISTRATION_GRACE;
    }

    /// Returns whether entries that lapsed in an outage may still come back.
    pub fn is_lenient(&self, now: Time) -> bool {
        now < self.lenient_until
    }

    /// Drops entries that did not come back in time after an outage.
    pub fn expire(&mut self, now: Time) -> Vec<TargetChange> {
        if self.is_lenient(now) {
            return Vec::new();
        }
        let expired = self.targets.values();
        let expired = expired.filter(|entry| entry.missing_since.is_some());
        let expired: Vec<TargetId> = expired.map(|entry| entry.target.id.clone()).collect();
        let removed = expired.iter().filter_map(|id| self.targets.remove(id));
        removed
            .map(|entry| TargetChange::Gone(entry.target))
            .collect()
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
