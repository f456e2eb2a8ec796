//! Builds of each pool, as recorded in the platform's store.
//!
//! All daemons may start at once, and then none of them has seen which builds a pool had before. So a
//! pool that has more than one build has each of them recorded in the store, and also when the last
//! target of a build has left. Pools that always had a single build have no records.

use super::{
    leader::UnixMillis,
    registry::{Build, Target},
};
use crate::id::PoolId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time after which the record of a build that has left is removed.
const RECORD_TTL: Duration = Duration::from_secs(3_600); // streams last minutes at most

/// A build of a pool.
pub type Key = (PoolId, Build);

/// Whether a build has targets in its pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// It has targets, including those that drain.
    Present,
    /// The last one was found to have left at this time by the system clock.
    Left(UnixMillis),
}

/// Records of builds, and which of them the store has.
#[derive(Clone, Debug, Default)]
pub struct BuildRecords {
    records: BTreeMap<Key, Presence>,
    is_loaded: bool,
}

impl BuildRecords {
    /// Sets the records that the store has.
    pub fn load(&mut self, records: impl IntoIterator<Item = (Key, Presence)>) {
        self.records = records.into_iter().collect();
        self.is_loaded = true;
    }

    /// Returns the builds that have records.
    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.records.keys()
    }

    /// Returns whether the records were read from the store.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Records that the store has a record, or no longer has it if `presence` is `None`.
    pub fn confirm(&mut self, key: Key, presence: Option<Presence>) {
        match presence {
            Some(presence) => self.records.insert(key, presence),
            None => self.records.remove(&key),
        };
    }

    /// Returns the records to write to the store, and those to remove.
    pub fn pending<'a>(
        &self,
        unix_now: UnixMillis,
        targets: impl Iterator<Item = &'a Target>,
    ) -> Vec<(Key, Option<Presence>)> {
        let present: BTreeSet<Key> = targets
            .map(|target| (target.pool.clone(), target.build.clone()))
            .collect();
        let needs_record = |(pool, _): &&Key| {
            let builds = present.iter().filter(|(of, _)| of == pool);
            builds.count() > 1 || self.records.keys().any(|(of, _)| of == pool)
        };
        let appeared = present
            .iter()
            .filter(needs_record)
            .filter(|key| self.records.get(key) != Some(&Presence::Present))
            .map(|key| (key.clone(), Some(Presence::Present)));
        let absent = self
            .records
            .iter()
            .filter(|(key, _)| !present.contains(key));
        let absent = absent.filter_map(|(key, presence)| match presence {
            Presence::Present => Some((key.clone(), Some(Presence::Left(unix_now)))),
            Presence::Left(at) if elapsed(unix_now, *at) > RECORD_TTL => Some((key.clone(), None)),
            Presence::Left(_) => None,
        });
        appeared.chain(absent).collect()
    }

    /// Returns whether the pool may have had another build than `build` during the last `period`.
    pub fn has_other(
        &self,
        unix_now: UnixMillis,
        pool: &str,
        build: &Build,
        period: Duration,
    ) -> bool {
        let others = self
            .records
            .iter()
            .filter(|((of, other), _)| of == pool && other != build);
        others.into_iter().any(|(_, presence)| match presence {
            Presence::Present => true,
            Presence::Left(at) => elapsed(unix_now, *at) <= period,
        })
    }
}

fn elapsed(unix_now: UnixMillis, since: UnixMillis) -> Duration {
    Duration::from_millis(unix_now.saturating_sub(since))
}
