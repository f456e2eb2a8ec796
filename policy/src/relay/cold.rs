//! Targets that are cold: after a start, after an evacuation, or at any moment.
//!
//! A cold target fails if it gets many requests at once. Its entry states how long it is still cold, and
//! counts down with each write, so that the time at which it ends stays the same. Daemons take that time
//! from the latest entry. Apart from entries, daemons tell each other of cold targets: such a word only
//! ever extends the time, since it may be older than the entry.

use super::{
    leader::UnixMillis,
    registry::{Start, Target},
};
use crate::id::{TargetId, Time};
use std::{collections::HashMap, time::Duration};

/// Difference between two statements of the remaining time that says nothing new: entries and answers
/// take up to that long to arrive.
const TOLERANCE: Duration = Duration::from_secs(2);
/// Time up to which the end of a cold time is not worth a message: answers and clocks differ by as much.
const MIN_WORD: Duration = Duration::from_millis(500);
/// Maximum time for which a target is cold. Longer ones would be errors.
const MAX_COLD_TIME: Duration = Duration::from_secs(3_600);

/// Targets that are cold, by identifier.
#[derive(Clone, Debug, Default)]
pub struct ColdTargets(HashMap<TargetId, ColdTime>);

#[derive(Clone, Debug)]
struct ColdTime {
    started: UnixMillis,
    /// End by its latest entry.
    entry_until: Time,
    /// End by all other words.
    told_until: Time,
}

impl ColdTime {
    fn until(&self) -> Time {
        self.entry_until.max(self.told_until)
    }
}

impl ColdTargets {
    /// Returns whether the entry of a target that is cold for `left` says something new.
    pub fn is_news(&self, now: Time, target: &Target, left: Duration) -> bool {
        let known = self.get(&target.id, target.started_unix_ms);
        let known = known.map_or(Duration::ZERO, |known| {
            known.entry_until.saturating_sub(now)
        });
        known.abs_diff(left.min(MAX_COLD_TIME)) > TOLERANCE
    }

    /// Records the latest entry of a target, which says that it is cold for `left`.
    pub fn record_entry(&mut self, now: Time, target: &Target, left: Duration) {
        let is_known = self.0.contains_key(&target.id);
        if left.is_zero() && !is_known {
            return;
        }
        if self.get(&target.id, target.started_unix_ms).is_none() {
            // The registry has taken this start for the one that runs.
            self.0.remove(&target.id);
        }
        let known = self.entry(now, &target.id, target.started_unix_ms);
        if let Some(known) = known {
            known.entry_until = now + left.min(MAX_COLD_TIME);
        }
    }

    /// Records the word of a target or of a peer that a target is cold for `left`. Returns whether this is
    /// new.
    pub fn record_word(&mut self, now: Time, start: &Start, left: Duration) -> bool {
        if left.is_zero() {
            return false;
        }
        let Some(known) = self.entry(now, &start.target, start.started_unix_ms) else {
            return false;
        };
        let until = now + left.min(MAX_COLD_TIME);
        let before = known.until().max(now);
        known.told_until = known.told_until.max(until);
        until > before + TOLERANCE || before == now && left > MIN_WORD
    }

    /// Returns until when a target is cold; `None` if it is not.
    pub fn until(&self, now: Time, target: &Target) -> Option<Time> {
        let known = self.get(&target.id, target.started_unix_ms)?;
        Some(known.until()).filter(|until| now < *until)
    }

    /// Returns the targets that are cold by other words than their entries, and for how long.
    pub fn words(&self, now: Time) -> impl Iterator<Item = (Start, Duration)> {
        let told = self
            .0
            .iter()
            .filter(move |(_, known)| now < known.told_until);
        told.map(move |(target, known)| {
            let start = Start {
                target: target.clone(),
                started_unix_ms: known.started,
            };
            (start, known.told_until.saturating_sub(now))
        })
    }

    fn get(&self, target: &TargetId, started: UnixMillis) -> Option<&ColdTime> {
        let known = self.0.get(target)?;
        (known.started == started).then_some(known)
    }

    /// Returns what is known of a start of a target, to be changed; `None` if a later one is known. Drops
    /// targets that are no longer cold.
    fn entry(
        &mut self,
        now: Time,
        target: &TargetId,
        started: UnixMillis,
    ) -> Option<&mut ColdTime> {
        self.0
            .retain(|other, known| other == target || now < known.until());
        let new = ColdTime {
            started,
            entry_until: Time::ZERO,
            told_until: Time::ZERO,
        };
        let known = self.0.entry(target.clone()).or_insert_with(|| new.clone());
        if known.started < started {
            *known = new;
        }
        (known.started == started).then_some(known)
    }
}
