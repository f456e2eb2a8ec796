//! Targets of all pools, as registered in the platform's store.
//!
//! Engines are released, scaled and crash while requests arrive. A target is taken out of use as
//! soon as its entry says `draining` or is removed. Entries may expire while the store is
//! unavailable, so after an outage missing entries count as removed only once the store has been
//! available for [`REGISTRATION_GRACE`]. A store that comes back from an older copy shows entries
//! of targets as they were then; these are ignored until the target writes its entry again.

use super::{
    builds::BuildRecords, cold::ColdTargets, departure::Departures, ending::Endings,
    evacuation::Evacuations, history::Version, leader::UnixMillis,
};
use crate::id::{DomainId, PoolId, TargetId, Time};
use compact_str::CompactString;
use std::{collections::BTreeMap, time::Duration};

/// Time within which targets whose entries expired in an outage register again, as specified on
/// the users' page on discovery.
pub const REGISTRATION_GRACE: Duration = Duration::from_millis(1_900);

/// Time for which the last entry of a removed target is remembered. A copy that the store comes back
/// from is some seconds old.
const REMOVAL_MEMORY: Duration = Duration::from_secs(60);

/// Number of entries of an earlier start after the first one that show that it is the one that runs: the
/// second of them was written after the first was read.
const LIVE_ENTRIES: u32 = 2;

/// Version of the software of a target.
pub type Build = CompactString;

/// Entry of a target in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The target.
    pub target: Target,
    /// Number of entries that the target wrote since its start.
    pub sequence: u64,
    /// Version of the entry.
    pub version: Version,
    /// Time for which the target is still cold.
    pub cold_for: Duration,
}

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
    /// Version of the target's software, not of the model that it serves.
    pub build: Build,
    /// Number of calls that the target processes concurrently.
    pub slots: u32,
    /// Whether the target accepts new work; false while it drains.
    pub is_ready: bool,
    /// Start time of the target in milliseconds since the Unix epoch.
    pub started_unix_ms: UnixMillis,
}

/// One start of a target, as told to other daemons.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// The target.
    pub target: TargetId,
    /// Its start time in milliseconds since the Unix epoch; 0 if unknown.
    pub started_unix_ms: UnixMillis,
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
    /// Last entries of removed targets, and when they were removed.
    removed: BTreeMap<TargetId, (Registration, Time)>,
    /// Entries of starts earlier than the known ones, by target.
    earlier_starts: BTreeMap<TargetId, EarlierStart>,
    /// Until when missing entries may be registered again.
    lenient_until: Time,
    /// When a target of this pool and build was last removed or replaced.
    former_builds: BTreeMap<(PoolId, Build), Time>,
    /// Since when targets are known.
    known_since: Option<Time>,
    departures: Departures,
    endings: Endings,
    evacuations: Evacuations,
    cold: ColdTargets,
}

#[derive(Clone, Debug)]
struct Entry {
    registration: Registration,
    /// Until when the target is kept although its entry is missing from the store.
    kept_until: Option<Time>,
    /// Whether the entry before was one of a later start.
    replaced_later_start: bool,
}

/// Entries of a start earlier than the known one. The clock of a target may have been set back before it
/// started, and another writer may have given its entry a start that is too late.
#[derive(Clone, Debug)]
struct EarlierStart {
    /// The last of them.
    last: Registration,
    /// Number of further ones with rising sequence numbers, in the same era of the store.
    further: u32,
}

impl EarlierStart {
    fn is_continued_by(&self, next: &Registration) -> bool {
        next.target.started_unix_ms == self.last.target.started_unix_ms
            && next.version.era == self.last.version.era
            && next.sequence > self.last.sequence
    }
}

impl Registry {
    /// Returns whether an entry is older than the last known one of the same target. Within an era
    /// of the store, only an entry of an earlier start is, until [`LIVE_ENTRIES`] more have followed.
    pub fn is_outdated(&self, registration: &Registration) -> bool {
        let earlier = self.earlier_starts.get(&registration.target.id);
        let is_live = earlier.is_some_and(|earlier| {
            earlier.further + 1 >= LIVE_ENTRIES && earlier.is_continued_by(registration)
        });
        !is_live && self.precedes_last(registration)
    }

    /// Records an entry that [is outdated](Self::is_outdated). Returns whether it is a new one.
    pub fn record_outdated(&mut self, registration: Registration) -> bool {
        let known = self.earlier_starts.get(&registration.target.id);
        let further = match known {
            Some(known) if registration.version <= known.last.version => return false,
            Some(known) if known.is_continued_by(&registration) => known.further + 1,
            _ => 0,
        };
        let id = registration.target.id.clone();
        let last = registration;
        self.earlier_starts
            .insert(id, EarlierStart { last, further });
        true
    }

    /// Returns whether a target's entry replaced one of a later start. Daemons that have not seen enough
    /// entries still ignore it.
    pub fn has_replaced_later_start(&self, id: &str) -> bool {
        let entry = self.targets.get(id);
        entry.is_some_and(|entry| entry.replaced_later_start)
    }

    fn precedes_last(&self, registration: &Registration) -> bool {
        let known = self.targets.get(&registration.target.id);
        let known = known.map(|entry| &entry.registration);
        let removed = self.removed.get(&registration.target.id);
        let Some(last) = known.or(removed.map(|(last, _)| last)) else {
            return false;
        };
        let (started, last_started) = (
            registration.target.started_unix_ms,
            last.target.started_unix_ms,
        );
        let is_later_era = registration.version.era > last.version.era;
        // Without a start time, a restarted target can't be told from an older entry.
        if started != last_started || started == 0 {
            return started < last_started && (known.is_some() || is_later_era);
        }
        match known {
            Some(_) => is_later_era && registration.sequence < last.sequence,
            // The entry with which the target was last seen is no sign of life.
            None => is_later_era && registration.sequence <= last.sequence,
        }
    }

    /// Returns whether an entry of an earlier era of the store was written after the known one, which
    /// is that of the older copy: the write was lost with the store, but a peer has seen it.
    pub fn is_lost_write(&self, registration: &Registration) -> bool {
        let known = self.targets.get(&registration.target.id);
        known.is_some_and(|known| {
            let known = &known.registration;
            let position = |entry: &Registration| (entry.target.started_unix_ms, entry.sequence);
            // Without a start time, the sequence numbers of two starts can't be told apart.
            let is_comparable = known.target.started_unix_ms > 0;
            registration.version.era < known.version.era
                && is_comparable
                && position(registration) > position(known)
        })
    }

    /// Returns whether an entry says nothing new of a known target but that it lives.
    pub fn is_refresh(&self, registration: &Registration) -> bool {
        let known = self.targets.get(&registration.target.id);
        known.is_some_and(|known| {
            let last = &known.registration;
            let mut target = registration.target.clone();
            target.is_ready &= !self.departures.contains(&target);
            known.kept_until.is_none()
                && last.target == target
                && last.version.era == registration.version.era
        })
    }

    /// Adds or updates a target and returns the resulting change, if any. An entry that
    /// [is outdated](Self::is_outdated) is ignored.
    pub fn upsert(&mut self, now: Time, mut registration: Registration) -> Option<TargetChange> {
        if self.is_outdated(&registration) {
            self.record_outdated(registration);
            return None;
        }
        let (id, started) = (&registration.target.id, registration.target.started_unix_ms);
        self.earlier_starts.remove(id);
        let known = self.targets.get(id);
        let replaced_later_start = known.is_some_and(|known| {
            let known_started = known.registration.target.started_unix_ms;
            known_started > started || known_started == started && known.replaced_later_start
        });
        if replaced_later_start {
            // What is known of the later start is not known of this one.
            self.departures.remove_later(id, started);
            self.endings.remove_later(id, started);
        }
        registration.target.is_ready &= !self.departures.contains(&registration.target);
        self.endings.record_entry(&registration);
        self.known_since.get_or_insert(now);
        let target = &registration.target;
        let change = match self.targets.get(&target.id) {
            Some(known) if known.registration.target == *target && known.kept_until.is_none() => {
                None
            }
            Some(_) | None if target.is_ready => Some(TargetChange::Added(target.clone())),
            Some(_) => Some(TargetChange::Draining(target.clone())),
            None => None,
        };
        let id = target.id.clone();
        self.removed.remove(&id);
        let entry = Entry {
            registration,
            kept_until: None,
            replaced_later_start,
        };
        let build = entry.registration.target.build.clone();
        if let Some(replaced) = self.targets.insert(id, entry)
            && replaced.registration.target.build != build
        {
            self.record_former_build(now, &replaced.registration.target);
        }
        change
    }

    /// Handles the removal of a target's entry from the store. If `is_lenient`, the target is kept
    /// until [`expire`](Self::expire) removes it.
    pub fn remove(&mut self, now: Time, id: &str, is_lenient: bool) -> Option<TargetChange> {
        if is_lenient {
            // A peer that reads the store may know of an outage that this daemon did not notice.
            let kept_until = if self.is_lenient(now) {
                self.lenient_until
            } else {
                now + REGISTRATION_GRACE
            };
            let entry = self.targets.get_mut(id)?;
            entry.kept_until.get_or_insert(kept_until);
            return None;
        }
        self.forget(now, id)
    }

    /// Returns whether a target's entry is missing and the target is kept for the rest of the grace
    /// period, and a removal at `version` is that of this entry, not of an earlier one.
    pub fn is_missing_since(&self, id: &str, version: Version) -> bool {
        let entry = self.targets.get(id);
        entry
            .is_some_and(|entry| entry.kept_until.is_some() && entry.registration.version < version)
    }

    fn forget(&mut self, now: Time, id: &str) -> Option<TargetChange> {
        let Entry { registration, .. } = self.targets.remove(id)?;
        let target = registration.target.clone();
        self.record_former_build(now, &target);
        self.departures.remove_unknown_start(&target.id);
        self.removed.insert(target.id.clone(), (registration, now));
        Some(TargetChange::Gone(target))
    }

    /// Records that a target has said that it leaves, to this daemon or to a peer. Returns the
    /// resulting change, if any.
    pub fn record_departure(&mut self, now: Time, departure: &Start) -> Option<TargetChange> {
        self.departures.record(now, departure);
        let entry = self.targets.get_mut(&departure.target)?;
        let target = &mut entry.registration.target;
        if !target.is_ready || !self.departures.contains(target) {
            return None;
        }
        target.is_ready = false;
        Some(TargetChange::Draining(target.clone()))
    }

    /// Returns whether a target has said that it leaves.
    pub fn has_departed(&self, target: &Target) -> bool {
        self.departures.contains(target)
    }

    /// Records that the process of a target seems to have ended, as this daemon or a peer has found.
    /// Returns whether this is new.
    pub fn record_ending(&mut self, now: Time, ending: &Start) -> bool {
        self.endings.record(now, ending)
    }

    /// Records that a target has answered a question with its start, over a connection that was opened at
    /// `asked` or later. Returns whether it had seemed to have ended.
    pub fn record_answer(&mut self, asked: Time, start: &Start) -> bool {
        self.endings.record_answer(asked, start)
    }

    /// Returns whether the process that a target's entry describes seems to have ended.
    pub fn has_ended(&self, target: &Target) -> bool {
        self.endings.contains(target)
    }

    /// Returns whether what arrives from a target may come from a later process of another build than
    /// the one that `target` describes, as it was when the target was selected.
    pub fn may_be_replaced(&self, target: &Target) -> bool {
        self.has_ended(target) || self.has_other_build(target)
    }

    /// Returns whether a target has registered with another build since `target` was selected.
    pub fn has_other_build(&self, target: &Target) -> bool {
        let known = self.get(&target.id);
        known.is_some_and(|known| known.build != target.build)
    }

    /// Returns all targets whose processes seem to have ended.
    pub fn endings(&self) -> impl Iterator<Item = Start> {
        self.endings.all()
    }

    /// Returns all targets that have said that they leave.
    pub fn departures(&self) -> impl Iterator<Item = Start> {
        self.departures.all()
    }

    fn record_former_build(&mut self, now: Time, target: &Target) {
        let key = (target.pool.clone(), target.build.clone());
        self.former_builds.insert(key, now);
    }

    /// Returns the build of a pool if all of its targets had the same one during the last `period`.
    ///
    /// A daemon that has started since then relies on the records of the store, of which this build's has
    /// to be the only one. Without records, it relies on the start times of the present targets by the
    /// clock `unix_now`, since a former build was replaced by targets that started.
    pub fn single_build(
        &self,
        now: Time,
        unix_now: UnixMillis,
        pool: &str,
        period: Duration,
        records: &BuildRecords,
    ) -> Option<&Build> {
        let present = || self.all().filter(|target| target.pool == pool);
        let build = &present().next()?.build;
        let is_recent = |last: Time| now.saturating_sub(last) <= period;
        // A process that has ended may have been replaced by one of another build.
        let has_other = present().any(|target| target.build != *build || self.has_ended(target))
            || self
                .former_builds
                .iter()
                .any(|((of, former), last)| of == pool && former != build && is_recent(*last));
        let is_known_for_period = self.known_since.is_some_and(|since| !is_recent(since));
        let has_started_before = |target: &Target| {
            let age = unix_now.saturating_sub(target.started_unix_ms);
            Duration::from_millis(age) > period
        };
        let is_excluded = is_known_for_period
            || if records.is_loaded() {
                records.only_build(pool) == Some(build)
            } else {
                present().all(has_started_before)
            };
        (!has_other && is_excluded).then_some(build)
    }

    /// Returns the build of a pool if it is the only one of which streams can be, given the records that the
    /// store has now. Streams may have begun at a process that has replaced one which has ended, and whose
    /// entry is not known yet.
    pub fn recorded_build<'a>(&self, pool: &str, records: &'a BuildRecords) -> Option<&'a Build> {
        let build = records.only_build(pool)?;
        let mut present = self.all().filter(|target| target.pool == pool);
        let is_only = present.all(|target| target.build == *build && !self.has_ended(target));
        is_only.then_some(build)
    }

    /// Returns whether the store may show an older copy, in which targets are missing that have not
    /// registered again. A daemon that has just started does not know when the store came back.
    pub fn may_show_copy(&self, now: Time) -> bool {
        let is_recent = |since: Time| now.saturating_sub(since) <= REGISTRATION_GRACE;
        let mut entries = self.targets.values();
        let has_come_back = entries.any(|entry| entry.registration.version.era > 0);
        has_come_back && self.known_since.is_none_or(is_recent)
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
        self.removed
            .retain(|_, (_, removed_at)| now < *removed_at + REMOVAL_MEMORY);
        let targets = &self.targets;
        self.earlier_starts
            .retain(|target, _| targets.contains_key(target));
        self.departures
            .expire(now, |target| targets.contains_key(target));
        self.endings
            .expire(now, |target| targets.contains_key(target));
        if self.is_lenient(now) {
            return Vec::new();
        }
        let is_expired = |kept_until: Time| now >= kept_until;
        let expired = self.targets.iter();
        let expired = expired.filter(|(_, entry)| entry.kept_until.is_some_and(is_expired));
        let expired: Vec<TargetId> = expired.map(|(id, _)| id.clone()).collect();
        let changes = expired.iter().filter_map(|id| self.forget(now, id));
        changes.collect()
    }

    /// Returns the evacuated failure domains.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the evacuated failure domains, to be changed.
    pub fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Returns which targets are cold.
    pub fn cold(&self) -> &ColdTargets {
        &self.cold
    }

    /// Returns which targets are cold, to be changed.
    pub fn cold_mut(&mut self) -> &mut ColdTargets {
        &mut self.cold
    }

    /// Returns whether a target is in a failure domain that is evacuated.
    pub fn is_evacuated(&self, target: &Target) -> bool {
        self.evacuations.contains(&target.domain)
    }

    /// Returns whether a target accepts new work, and its failure domain is not evacuated.
    pub fn may_use(&self, target: &Target) -> bool {
        target.is_ready && !self.is_evacuated(target)
    }

    /// Returns all targets that [may be used](Self::may_use).
    pub fn usable(&self) -> impl Iterator<Item = &Target> {
        self.all().filter(|target| self.may_use(target))
    }

    /// Returns the targets of a pool that [may be used](Self::may_use).
    pub fn ready<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Target> {
        self.usable().filter(move |target| target.pool == pool)
    }

    /// Returns a target, which may drain or be missing.
    pub fn get(&self, id: &str) -> Option<&Target> {
        let entry = self.targets.get(id)?;
        Some(&entry.registration.target)
    }

    /// Returns a target like [`get`](Self::get), or as its last entry described it if that has been removed
    /// for less than [`REMOVAL_MEMORY`].
    pub fn get_or_removed(&self, id: &str) -> Option<&Target> {
        let removed = self.removed.get(id);
        self.get(id)
            .or_else(|| removed.map(|(registration, _)| &registration.target))
    }

    /// Returns a target as its latest entry describes it, or as `target` does if no entry of a later start
    /// is known.
    pub fn latest(&self, target: &Target) -> Target {
        let known = self.get(&target.id);
        let later = known.filter(|known| known.started_unix_ms > target.started_unix_ms);
        later.unwrap_or(target).clone()
    }

    /// Returns all targets, including those that drain or are missing, by identifier.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.targets
            .values()
            .map(|entry| &entry.registration.target)
    }
}
