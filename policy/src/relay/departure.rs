//! Targets that have said that they leave.
//!
//! In a release, targets leave one after the other, and each of hundreds of daemons sends to all of
//! them. A target says in its answers that it leaves before the store does, or although the store
//! does not. The word of the target itself holds against entries and reports that still say that it
//! is ready; only a later start of the target ends it.

use super::{
    leader::UnixMillis,
    registry::{Start, Target},
};
use crate::id::{TargetId, Time};
use std::{collections::BTreeMap, time::Duration};

/// Time for which the departure of a target without an entry is remembered. Entries that the store
/// shows again are some seconds old.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(60);

/// Targets that leave, by identifier, with the start that leaves and when it was recorded.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures(BTreeMap<TargetId, (UnixMillis, Time)>);

impl Departures {
    /// Records that a target leaves, unless a later start of it is known to leave.
    pub fn record(&mut self, now: Time, departure: &Start) {
        let started = departure.started_unix_ms;
        let known = self.0.entry(departure.target.clone());
        let known = known.or_insert((started, now));
        *known = (known.0.max(started), now);
    }

    /// Returns whether this start of a target leaves.
    pub fn contains(&self, target: &Target) -> bool {
        let departure = self.0.get(&target.id);
        departure.is_some_and(|(started, _)| *started >= target.started_unix_ms)
    }

    /// Drops what is known of starts of a target later than `started`.
    pub fn remove_later(&mut self, target: &TargetId, started: UnixMillis) {
        if self.0.get(target).is_some_and(|known| known.0 > started) {
            self.0.remove(target);
        }
    }

    /// Drops what is known of a target whose starts can't be told apart.
    pub fn remove_unknown_start(&mut self, target: &TargetId) {
        if self.0.get(target).is_some_and(|(started, _)| *started == 0) {
            self.0.remove(target);
        }
    }

    /// Drops departures recorded long ago of targets for which `has_entry` is false.
    pub fn expire(&mut self, now: Time, has_entry: impl Fn(&TargetId) -> bool) {
        self.0.retain(|target, (_, recorded_at)| {
            has_entry(target) || now < *recorded_at + DEPARTURE_MEMORY
        });
    }

    /// Returns all of them.
    pub fn all(&self) -> impl Iterator<Item = Start> {
        self.0.iter().map(|(target, (started, _))| Start {
            target: target.clone(),
            started_unix_ms: *started,
        })
    }
}
