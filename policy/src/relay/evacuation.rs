//! Failure domains that the operator has evacuated.
//!
//! While a domain is evacuated, its targets get no further requests. The operator writes a row for each
//! evacuation to the store and deletes it at the end. Daemons that cannot reach the store learn of both
//! from their peers, which may tell of them in any order and more than once. So a row counts only if it
//! is newer than what is known of its domain. A read of the whole table also shows which rows there are
//! not: rows that are no newer than the read and missing from it have been deleted.

use super::history::Version;
use crate::{hash, id::DomainId};
use std::collections::BTreeMap;

/// A row about the evacuation of a domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The domain.
    pub domain: DomainId,
    /// Version of the row, or of the read that showed its deletion.
    pub version: Version,
    /// Whether the row exists; false if it was deleted.
    pub is_present: bool,
}

/// Begin or end of the evacuation of a domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The domain.
    pub domain: DomainId,
    /// Whether it is evacuated from now on.
    pub is_evacuated: bool,
}

/// Evacuations that this daemon knows of.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Version of the latest row of each domain, and whether the row exists.
    rows: BTreeMap<DomainId, (Version, bool)>,
    /// Version of the latest read of the whole table, by this daemon or by a peer.
    read_at: Option<Version>,
}

impl Evacuations {
    /// Applies a row that was read from the store. Returns the resulting change, if any.
    pub fn apply(&mut self, record: Record) -> Option<Change> {
        let Record {
            domain,
            version,
            is_present,
        } = record;
        let known = self.rows.get(&domain).copied();
        let known_at = known.map(|(known_at, _)| known_at).or(self.read_at);
        if known_at.is_some_and(|known_at| version <= known_at) {
            return None;
        }
        let was_present = known.is_some_and(|(_, is_present)| is_present);
        self.rows.insert(domain.clone(), (version, is_present));
        (was_present != is_present).then_some(Change {
            domain,
            is_evacuated: is_present,
        })
    }

    /// Applies all rows that the table had at `read_at`, and possibly later ones. Older rows that are not
    /// among them have been deleted. Returns the resulting changes.
    pub fn replace(&mut self, read_at: Version, records: Vec<Record>) -> Vec<Change> {
        let known = self.rows.iter();
        let deleted = known.filter(|(domain, (version, is_present))| {
            let is_missing = records.iter().all(|record| record.domain != **domain);
            *is_present && *version < read_at && is_missing
        });
        let deleted: Vec<Record> = deleted
            .map(|(domain, _)| Record {
                domain: domain.clone(),
                version: read_at,
                is_present: false,
            })
            .collect();
        let changes = deleted.into_iter().chain(records);
        let changes = changes.filter_map(|record| self.apply(record)).collect();
        let read_at = self.read_at.unwrap_or_default().max(read_at);
        self.read_at = Some(read_at);
        // The read shows these deletions by itself.
        self.rows
            .retain(|_, (version, is_present)| *is_present || *version > read_at);
        changes
    }

    /// Applies what a peer knows, with the version of its latest read of the whole table. Returns the
    /// resulting changes.
    pub fn merge(&mut self, read_at: Option<Version>, records: Vec<Record>) -> Vec<Change> {
        if let Some(read_at) = read_at {
            return self.replace(read_at, records);
        }
        let changes = records.into_iter();
        changes.filter_map(|record| self.apply(record)).collect()
    }

    /// Returns whether a domain is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        self.rows
            .get(domain)
            .is_some_and(|(_, is_present)| *is_present)
    }

    /// Returns the evacuated domains.
    pub fn domains(&self) -> impl Iterator<Item = &DomainId> {
        let present = self.rows.iter().filter(|(_, (_, is_present))| *is_present);
        present.map(|(domain, _)| domain)
    }

    /// Returns all that is known of domains, to be told to a peer.
    pub fn records(&self) -> impl Iterator<Item = Record> {
        let rows = self.rows.iter();
        rows.map(|(domain, (version, is_present))| Record {
            domain: domain.clone(),
            version: *version,
            is_present: *is_present,
        })
    }

    /// Returns the version of the latest read of the whole table; `None` if there was none.
    pub fn read_at(&self) -> Option<Version> {
        self.read_at
    }

    /// Returns a number that is the same at daemons with the same evacuated domains; `None` if there are
    /// none.
    pub fn digest(&self) -> Option<u64> {
        let domains: Vec<&str> = self.domains().map(DomainId::as_str).collect();
        (!domains.is_empty()).then(|| hash::texts(&domains))
    }
}
