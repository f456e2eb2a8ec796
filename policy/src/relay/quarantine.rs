//! Records of quarantined features in the platform's store.
//!
//! All daemons may start at once, and then none of them knows what crashed targets before. Readers write
//! a record of each feature that is quarantined, and remove it when the quarantine has ended.

use super::{
    crash::{CrashTracker, Feature, QUARANTINE_TTL, Quarantine},
    leader::UnixMillis,
};
use crate::id::Time;
use std::{collections::HashMap, time::Duration};

/// Record of a quarantined feature in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Record {
    /// Start or last extension of the quarantine by the system clock.
    pub since: UnixMillis,
    /// Whether a request with the feature was tried, and its target crashed.
    pub is_confirmed: bool,
}

/// Records of quarantined features that the store has.
#[derive(Clone, Debug, Default)]
pub struct Records {
    records: HashMap<Feature, Record>,
    is_loaded: bool,
}

impl Record {
    fn new(unix_now: UnixMillis, quarantine: &Quarantine) -> Self {
        Self {
            since: unix_now.saturating_sub(quarantine.age.as_millis() as UnixMillis),
            is_confirmed: quarantine.is_confirmed,
        }
    }

    /// Returns the quarantine that is recorded.
    pub fn to_quarantine(self, unix_now: UnixMillis, feature: Feature) -> Quarantine {
        Quarantine {
            feature,
            age: Duration::from_millis(unix_now.saturating_sub(self.since)),
            is_confirmed: self.is_confirmed,
        }
    }

    /// Returns whether `latest` has to replace this record.
    fn is_outdated(&self, latest: &Self) -> bool {
        let extended = Duration::from_millis(latest.since.saturating_sub(self.since));
        extended >= QUARANTINE_TTL / 4 || latest.is_confirmed && !self.is_confirmed
    }
}

impl Records {
    /// Sets the records that the store has.
    pub fn load(&mut self, records: impl IntoIterator<Item = (Feature, Record)>) {
        self.records = records.into_iter().collect();
        self.is_loaded = true;
    }

    /// Returns whether the records were read from the store.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Records that the store has a record, or no longer has it if `record` is `None`.
    pub fn confirm(&mut self, feature: Feature, record: Option<Record>) {
        match record {
            Some(record) => self.records.insert(feature, record),
            None => self.records.remove(&feature),
        };
    }

    /// Returns the records to write to the store, and those to remove.
    pub fn pending(
        &self,
        now: Time,
        unix_now: UnixMillis,
        tracker: &CrashTracker,
    ) -> Vec<(Feature, Option<Record>)> {
        if !self.is_loaded {
            return Vec::new();
        }
        let present = tracker.quarantined(now).filter_map(|quarantine| {
            let latest = Record::new(unix_now, &quarantine);
            let recorded = self.records.get(&quarantine.feature);
            let is_pending = recorded.is_none_or(|recorded| recorded.is_outdated(&latest));
            is_pending.then_some((quarantine.feature, Some(latest)))
        });
        let ended = self.records.keys().copied();
        let ended = ended.filter(|&feature| !tracker.is_quarantined(feature));
        present
            .chain(ended.map(|feature| (feature, None)))
            .collect()
    }
}
