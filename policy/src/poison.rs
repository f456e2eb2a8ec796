//! Quarantine of payloads that end the targets that run them.

use crate::{
    hash,
    id::{BlockHash, PipelineId, TargetId, Time, WorkspaceId},
};
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

/// Deaths of targets after which a payload is quarantined.
const QUARANTINE_DEATHS: usize = 2;

/// Reports of one target's death within this time count once.
const SAME_DEATH: Duration = Duration::from_secs(1);

/// Time that a suspect is remembered after its last death.
const SUSPECT_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Time that a quarantine lasts after its last death.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// What is known of a payload.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Status {
    /// The payload ended no target, as far as is known.
    Clear,
    /// A target died while it ran the payload, which may now run on one target at a time.
    Suspect {
        /// Targets that died.
        targets: Vec<TargetId>,
    },
    /// The payload ended several targets and may not run.
    Quarantined,
}

/// Payloads that targets died of, by fingerprint.
#[derive(Debug)]
pub struct Poison {
    records: HashMap<BlockHash, Record>,
    order: BTreeSet<Rank>,
    capacity: usize,
}

#[derive(Clone, Debug)]
struct Record {
    targets: Vec<TargetId>,
    last: Time,
}

/// Order in which records are evicted: suspects first, then by age.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    quarantined: bool,
    last: Time,
    fingerprint: BlockHash,
}

impl Record {
    fn is_quarantined(&self) -> bool {
        self.targets.len() >= QUARANTINE_DEATHS
    }

    fn rank(&self, fingerprint: BlockHash) -> Rank {
        Rank {
            quarantined: self.is_quarantined(),
            last: self.last,
            fingerprint,
        }
    }

    fn expires_at(&self) -> Time {
        self.last
            + if self.is_quarantined() {
                QUARANTINE_RETENTION
            } else {
                SUSPECT_RETENTION
            }
    }
}

/// Returns the fingerprint of a payload, the same under each request id and at each entry.
pub fn fingerprint(workspace: &WorkspaceId, pipeline: &PipelineId, payload: &str) -> BlockHash {
    hash::texts(&[workspace, pipeline, payload])
}

impl Poison {
    /// Creates an empty set that remembers at most `capacity` payloads, but at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            records: HashMap::new(),
            order: BTreeSet::new(),
            capacity: capacity.max(1),
        }
    }

    /// Returns all payloads that ended targets, with those targets.
    pub fn suspects(&self) -> impl Iterator<Item = (BlockHash, Vec<TargetId>)> {
        let order = self.order.iter().map(|rank| rank.fingerprint);
        order.map(|fingerprint| (fingerprint, self.deaths(fingerprint).to_vec()))
    }

    /// Returns how many payloads are suspect or quarantined.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no payload is suspect or quarantined.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns what is known of a payload.
    pub fn status(&self, fingerprint: BlockHash) -> Status {
        match self.records.get(&fingerprint) {
            None => Status::Clear,
            Some(record) if record.is_quarantined() => Status::Quarantined,
            Some(record) => Status::Suspect {
                targets: record.targets.clone(),
            },
        }
    }

    /// Returns the targets that died of a payload, one entry a death.
    pub fn deaths(&self, fingerprint: BlockHash) -> &[TargetId] {
        self.records
            .get(&fingerprint)
            .map_or(&[], |record| &record.targets)
    }

    /// Notes that `target` died while it ran a payload, and returns the new status.
    ///
    /// A second death of the same target counts once it is later than the first by a second.
    pub fn died(&mut self, now: Time, fingerprint: BlockHash, target: &TargetId) -> Status {
        let mut targets = self.deaths(fingerprint).to_vec();
        let again = self
            .records
            .get(&fingerprint)
            .is_none_or(|record| now >= record.last + SAME_DEATH);
        if again || !targets.contains(target) {
            targets.push(target.clone());
        }
        self.insert(now, fingerprint, targets);
        self.status(fingerprint)
    }

    /// Clears a suspect that ran to its end; a quarantine stays.
    pub fn survived(&mut self, fingerprint: BlockHash) {
        if matches!(self.status(fingerprint), Status::Suspect { .. }) {
            self.remove(fingerprint);
        }
    }

    /// Takes in what a peer or the platform knows, and returns whether it was news.
    ///
    /// Of each target the larger number of deaths counts, so that the same facts may come in any
    /// order and any number of times.
    pub fn merge(&mut self, now: Time, fingerprint: BlockHash, targets: &[TargetId]) -> bool {
        let mut merged = self.deaths(fingerprint).to_vec();
        let before = merged.len();
        for (at, target) in targets.iter().enumerate() {
            let theirs = count(&targets[..=at], target);
            if theirs > count(&merged, target) && merged.len() < QUARANTINE_DEATHS {
                merged.push(target.clone());
            }
        }
        let news = merged.len() > before;
        if news {
            self.insert(now, fingerprint, merged);
        }
        news
    }

    /// Forgets the payloads whose retention has passed.
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
            && let Some(rank) = self.order.first().copied()
        {
            self.remove(rank.fingerprint);
        }
        let record = Record { targets, last: now };
        self.order.insert(record.rank(fingerprint));
        self.records.insert(fingerprint, record);
    }

    fn remove(&mut self, fingerprint: BlockHash) {
        if let Some(record) = self.records.remove(&fingerprint) {
            self.order.remove(&record.rank(fingerprint));
        }
    }
}

fn count(targets: &[TargetId], target: &TargetId) -> usize {
    targets.iter().filter(|other| *other == target).count()
}
