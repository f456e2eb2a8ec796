//! Quarantine of poison payloads, which crash the targets that run them.

use crate::{
    hash,
    id::{BlockHash, PipelineId, TargetId, Time, WorkspaceId},
};
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

/// Number of crashes at which a payload is quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// Reports of a crash of the same target within this time count once.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a suspect payload is remembered after its last crash.
const SUSPECT_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Duration of a quarantine after the last crash.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Status of a payload.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Status {
    /// No crash of the payload is known.
    Clear,
    /// A target crashed while it ran the payload, which may now run on one target at a time.
    Suspect {
        /// Targets that crashed, one element per crash.
        targets: Vec<TargetId>,
    },
    /// The payload crashed several targets and must not run.
    Quarantined,
}

/// Crash records of payloads by fingerprint, in bounded memory.
#[derive(Debug)]
pub struct PoisonTracker {
    records: HashMap<BlockHash, Record>,
    eviction_order: BTreeSet<EvictionKey>,
    capacity: usize,
}

#[derive(Clone, Debug)]
struct Record {
    targets: Vec<TargetId>,
    last_crash: Time,
}

/// Key of the eviction order: suspects before quarantined payloads, then the oldest crash first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EvictionKey {
    quarantined: bool,
    last_crash: Time,
    fingerprint: BlockHash,
}

impl Record {
    fn is_quarantined(&self) -> bool {
        self.targets.len() >= QUARANTINE_CRASHES
    }

    fn eviction_key(&self, fingerprint: BlockHash) -> EvictionKey {
        EvictionKey {
            quarantined: self.is_quarantined(),
            last_crash: self.last_crash,
            fingerprint,
        }
    }

    fn expires_at(&self) -> Time {
        self.last_crash
            + if self.is_quarantined() {
                QUARANTINE_RETENTION
            } else {
                SUSPECT_RETENTION
            }
    }
}

/// Returns the fingerprint of a payload.
///
/// It does not depend on the request identifier and is the same at all entries.
pub fn fingerprint(workspace: &WorkspaceId, pipeline: &PipelineId, payload: &str) -> BlockHash {
    hash::texts(&[workspace, pipeline, payload])
}

impl PoisonTracker {
    /// Creates an empty tracker that remembers at most `capacity` payloads, but at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            records: HashMap::new(),
            eviction_order: BTreeSet::new(),
            capacity: capacity.max(1),
        }
    }

    /// Returns all suspect and quarantined payloads with the targets that they crashed.
    pub fn suspects(&self) -> impl Iterator<Item = (BlockHash, Vec<TargetId>)> {
        let eviction_order = self
            .eviction_order
            .iter()
            .map(|eviction_key| eviction_key.fingerprint);
        eviction_order.map(|fingerprint| (fingerprint, self.crashes(fingerprint).to_vec()))
    }

    /// Returns the number of suspect and quarantined payloads.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no payload is suspect or quarantined.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the status of a payload.
    pub fn status(&self, fingerprint: BlockHash) -> Status {
        match self.records.get(&fingerprint) {
            None => Status::Clear,
            Some(record) if record.is_quarantined() => Status::Quarantined,
            Some(record) => Status::Suspect {
                targets: record.targets.clone(),
            },
        }
    }

    /// Returns the targets that a payload crashed, one element per crash.
    pub fn crashes(&self, fingerprint: BlockHash) -> &[TargetId] {
        self.records
            .get(&fingerprint)
            .map_or(&[], |record| &record.targets)
    }

    /// Records that `target` crashed while it ran a payload, and returns the new status.
    ///
    /// A further crash of the same target counts if it is reported at least a second after the last
    /// one, so that several reports of one crash count once.
    pub fn record_crash(&mut self, now: Time, fingerprint: BlockHash, target: &TargetId) -> Status {
        let mut targets = self.crashes(fingerprint).to_vec();
        let is_separate = self
            .records
            .get(&fingerprint)
            .is_none_or(|record| now >= record.last_crash + SAME_CRASH_WINDOW);
        if is_separate || !targets.contains(target) {
            targets.push(target.clone());
        }
        self.insert(now, fingerprint, targets);
        self.status(fingerprint)
    }

    /// Removes a suspect payload that ran to completion; a quarantine is kept.
    pub fn clear_suspect(&mut self, fingerprint: BlockHash) {
        if matches!(self.status(fingerprint), Status::Suspect { .. }) {
            self.remove(fingerprint);
        }
    }

    /// Merges crashes known to a peer or the platform, and returns whether any of them was new.
    ///
    /// The larger number of crashes of each target is kept, so the merge is idempotent and does not
    /// depend on the order of messages.
    pub fn merge(&mut self, now: Time, fingerprint: BlockHash, targets: &[TargetId]) -> bool {
        let mut merged = self.crashes(fingerprint).to_vec();
        let before = merged.len();
        for (index, target) in targets.iter().enumerate() {
            let reported = count(&targets[..=index], target);
            if reported > count(&merged, target) && merged.len() < QUARANTINE_CRASHES {
                merged.push(target.clone());
            }
        }
        let changed = merged.len() > before;
        if changed {
            self.insert(now, fingerprint, merged);
        }
        changed
    }

    /// Removes the payloads whose retention has expired.
    pub fn expire(&mut self, now: Time) {
        let old: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.expires_at() <= now)
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in old {
            self.remove(fingerprint);
        }
    }

    fn insert(&mut self, now: Time, fingerprint: BlockHash, targets: Vec<TargetId>) {
        self.remove(fingerprint);
        if self.records.len() >= self.capacity
            && let Some(eviction_key) = self.eviction_order.first().copied()
        {
            self.remove(eviction_key.fingerprint);
        }
        let record = Record {
            targets,
            last_crash: now,
        };
        self.eviction_order.insert(record.eviction_key(fingerprint));
        self.records.insert(fingerprint, record);
    }

    fn remove(&mut self, fingerprint: BlockHash) {
        if let Some(record) = self.records.remove(&fingerprint) {
            self.eviction_order
                .remove(&record.eviction_key(fingerprint));
        }
    }
}

fn count(targets: &[TargetId], target: &TargetId) -> usize {
    targets.iter().filter(|other| *other == target).count()
}
