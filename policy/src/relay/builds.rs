//! Builds of each pool, as recorded in the platform's store.
//!
//! All daemons may start at once, and then none of them has seen which builds a pool had before. So each
//! build is recorded before streams that may be resumed begin at it, also the first one of a pool, and its
//! record outlives its last target by the time in which such a stream may be taken up. A pool with one
//! record has thus had a single build, and one without any has begun no stream.
//!
//! No time of day is compared, as the clocks of hosts may jump.

use super::{
    history::Era,
    leader::UnixMillis,
    registry::{Build, Target},
};
use crate::id::{PoolId, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

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
    records: BTreeMap<Key, Record>,
    /// Era of the store in which the records were last read; `None` before.
    era: Option<Era>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    presence: Presence,
    /// Whether the store has it. An older copy that the store came back from may lack it.
    is_stored: bool,
    /// Since when this daemon knows that the build has no targets.
    absent_since: Option<Time>,
}

impl Record {
    fn stored(presence: Presence) -> Self {
        Self {
            presence,
            is_stored: true,
            absent_since: None,
        }
    }
}

impl BuildRecords {
    /// Sets the records that the store has in `era`. Known ones that are missing from a later era were
    /// lost with it, and are [pending](Self::pending) again.
    pub fn load(&mut self, era: Era, records: impl IntoIterator<Item = (Key, Presence)>) {
        let is_later_era = self.era.is_some_and(|known| known < era);
        let mut known = std::mem::take(&mut self.records);
        for (key, presence) in records {
            let mut record = Record::stored(presence);
            let before = known.remove(&key);
            record.absent_since = before.and_then(|before| before.absent_since);
            self.records.insert(key, record);
        }
        if is_later_era {
            let lost = known.into_iter().map(|(key, mut record)| {
                record.is_stored = false;
                (key, record)
            });
            self.records.extend(lost);
        }
        self.era = Some(era);
    }

    /// Returns the builds that have records.
    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.records.keys()
    }

    /// Returns whether a build is known to be recorded.
    pub fn is_known(&self, key: &Key) -> bool {
        self.records.contains_key(key)
    }

    /// Returns whether the records were read from the store.
    pub fn is_loaded(&self) -> bool {
        self.era.is_some()
    }

    /// Records that the store has a record, or no longer has it if `presence` is `None`. Returns whether
    /// the build was not known to be recorded.
    pub fn confirm(&mut self, key: Key, presence: Option<Presence>) -> bool {
        let Some(presence) = presence else {
            self.records.remove(&key);
            return false;
        };
        let mut record = Record::stored(presence);
        let before = self.records.get(&key);
        record.absent_since = before.and_then(|before| before.absent_since);
        self.records.insert(key, record).is_none()
    }

    /// Returns the records to write to the store, and those to remove. A record is kept for `retention`
    /// after the last target of its build has left.
    pub fn pending<'a>(
        &mut self,
        now: Time,
        unix_now: UnixMillis,
        retention: Duration,
        targets: impl Iterator<Item = &'a Target>,
    ) -> Vec<(Key, Option<Presence>)> {
        let present: BTreeSet<Key> = targets
            .map(|target| (target.pool.clone(), target.build.clone()))
            .collect();
        let mut pending = Vec::new();
        for (key, record) in &mut self.records {
            if present.contains(key) {
                record.absent_since = None;
                if !record.is_stored || record.presence != Presence::Present {
                    pending.push((key.clone(), Some(Presence::Present)));
                }
                continue;
            }
            let since = *record.absent_since.get_or_insert(now);
            if now.saturating_sub(since) > retention {
                pending.push((key.clone(), None));
            } else if record.presence == Presence::Present {
                pending.push((key.clone(), Some(Presence::Left(unix_now))));
            } else if !record.is_stored {
                pending.push((key.clone(), Some(record.presence)));
            }
        }
        let appeared = present.into_iter();
        let appeared = appeared.filter(|key| !self.records.contains_key(key));
        pending.extend(appeared.map(|key| (key, Some(Presence::Present))));
        pending
    }

    /// Returns whether streams may begin at a build: it is recorded, or no build of its pool is yet.
    pub fn may_begin(&self, pool: &PoolId, build: &Build) -> bool {
        let key = (pool.clone(), build.clone());
        self.records.contains_key(&key) || self.builds(pool).next().is_none()
    }

    /// Returns the build of a pool if no other one is recorded.
    pub fn only_build(&self, pool: &str) -> Option<&Build> {
        let mut builds = self.builds(pool);
        let only = builds.next();
        only.filter(|_| builds.next().is_none())
    }

    /// Returns whether another build of the pool than `build` is recorded.
    pub fn has_other(&self, pool: &str, build: &Build) -> bool {
        self.builds(pool).any(|recorded| recorded != build)
    }

    /// Returns whether more than one build of a pool is recorded.
    pub fn is_divided(&self, pool: &str) -> bool {
        self.builds(pool).nth(1).is_some()
    }

    /// Returns whether more than one build of several pools is recorded, taken together.
    pub fn is_divided_among(&self, pools: &BTreeSet<PoolId>) -> bool {
        let mut builds = pools.iter().flat_map(|pool| self.builds(pool));
        let first = builds.next();
        builds.any(|build| Some(build) != first)
    }

    /// Returns whether more than one build is recorded, of the same pool or of two.
    pub fn has_several(&self) -> bool {
        let mut builds = self.records.keys().map(|(_, build)| build);
        let first = builds.next();
        builds.any(|build| Some(build) != first)
    }

    /// Returns whether any pool [is divided](Self::is_divided).
    pub fn is_any_divided(&self) -> bool {
        let pools = || self.records.keys().map(|(pool, _)| pool);
        pools().zip(pools().skip(1)).any(|(one, next)| one == next)
    }

    fn builds(&self, pool: &str) -> impl Iterator<Item = &Build> {
        let first = (PoolId::from(pool), Build::default());
        let records = self.records.range(first..);
        let records = records.take_while(move |((of, _), _)| of == pool);
        records.map(|((_, build), _)| build)
    }
}
