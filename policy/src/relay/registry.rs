//! Targets of all pools, as registered in the platform's store.
//!
//! Engines are released, scaled and crash while requests arrive. A target is taken out of use as
//! soon as its entry says `draining` or is removed. Entries may expire while the store is
//! unavailable, so after an outage missing entries count as removed only once the store has been
//! available for [`REGISTRATION_GRACE`].

use crate::id::{DomainId, PoolId, TargetId, Time};
use compact_str::CompactString;
use std::{collections::BTreeMap, time::Duration};

/// Time within which targets whose entries expired in an outage register again, as specified on
/// the users' page on discovery.
pub const REGISTRATION_GRACE: Duration = Duration::from_millis(1_900);

/// A registered target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Identifier, which differs for each start of the target.
    pub id: TargetId,
    /// Pool that the target serves.
    pub pool: PoolId,
    /// Address for calls.
    pub address: CompactString,
    /// Failure domain.
    pub domain: DomainId,
    /// Number of calls that the target processes concurrently.
    pub slots: u32,
    /// Whether the target accepts new work; false while it drains.
    pub is_ready: bool,
    /// Start time of the target in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// A change to the targets in use.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetChange {
    /// A target was added or changed, and accepts new work.
    Added(Target),
    /// A known target no longer accepts new work.
    Draining(Target),
    /// A target has ended.
    Gone(Target),
}

/// Registered targets of all pools.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    targets: BTreeMap<TargetId, Entry>,
    /// Until when missing entries may be registered again.
    lenient_until: Time,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// When the entry was first found missing from the store.
    missing_since: Option<Time>,
}

impl Registry {
    /// Adds or updates a target and returns the resulting change, if any. An entry of an earlier
    /// start than the known one is ignored.
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

    /// Handles the removal of a target's entry from the store. If `is_lenient`, the target is kept
    /// until [`expire`](Self::expire) removes it.
    pub fn remove(&mut self, now: Time, id: &str, is_lenient: bool) -> Option<TargetChange> {
        if is_lenient {
            let entry = self.targets.get_mut(id)?;
            entry.missing_since.get_or_insert(now);
            return None;
        }
        let entry = self.targets.remove(id)?;
        Some(TargetChange::Gone(entry.target))
    }

    /// Starts the grace period anew because the store is unavailable or has just become available.
    pub fn record_outage(&mut self, now: Time) {
        self.lenient_until = now + REGISTRATION_GRACE;
    }

    /// Returns whether the grace period after an outage is still running.
    pub fn is_lenient(&self, now: Time) -> bool {
        now < self.lenient_until
    }

    /// Removes targets that did not register again within the grace period.
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

    /// Returns the targets of a pool that accept new work.
    pub fn ready<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Target> {
        self.all()
            .filter(move |target| target.pool == pool && target.is_ready)
    }

    /// Returns all targets, including those that drain or are missing, by identifier.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|entry| &entry.target)
    }
}
