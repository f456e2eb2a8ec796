//! Targets whose processes seem to have ended.
//!
//! A target may start again within a second, under its identifier and address and with another build
//! of its software, and its entry is some heartbeats old. Until a later start is known, nothing that
//! the entry says of the process can be relied on. That the process has ended is seen on connections:
//! they break, and new ones are refused. The network may do the same. Two further entries of the same
//! start show that the process lives: the second one was written after the first one was read, and
//! so after the connections broke.

use super::{
    leader::UnixMillis,
    registry::{Registration, Start, Target},
};
use crate::id::{TargetId, Time};
use std::{collections::BTreeMap, time::Duration};
use strum::IntoStaticStr;

/// What a check of a target's process shows; the name is a label value.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Process {
    /// It answers, or accepts connections and keeps them open.
    Alive,
    /// Its host refuses connections, as it does when no process listens.
    Ended,
    /// It can't be reached, or does not keep connections open.
    Unknown,
}

impl Process {
    /// Returns what the start that a target states in an answer, if any, shows of the process that its
    /// entry describes.
    pub fn with_start(target: &Target, started: Option<UnixMillis>) -> Self {
        match started.and_then(|started| last_ended_start(target, started)) {
            Some(_) => Self::Ended,
            None => Self::Alive,
        }
    }

    /// Returns whether an end that only the end of the connection marks is that of the response. The end of
    /// the process closes connections in order as well.
    pub fn confirms_end(self) -> bool {
        match self {
            Self::Alive => true,
            Self::Ended | Self::Unknown => false,
        }
    }
}

/// Returns the last start of a target that has ended, given that it states `started` in an answer; `None`
/// unless that is later than the start in its entry. Entries of starts in between may still arrive.
pub fn last_ended_start(target: &Target, started: UnixMillis) -> Option<UnixMillis> {
    let known = target.started_unix_ms;
    (known > 0 && started > known).then(|| started - 1)
}

/// Time for which the ending of a target without an entry is remembered.
const ENDING_MEMORY: Duration = Duration::from_secs(60);

/// Targets whose processes seem to have ended, by identifier.
#[derive(Clone, Debug, Default)]
pub(super) struct Endings(BTreeMap<TargetId, Ending>);

#[derive(Clone, Copy, Debug)]
struct Ending {
    started: UnixMillis,
    recorded_at: Time,
    /// Sequence number of the first entry of the same start that came later.
    next_sequence: Option<u64>,
}

impl Endings {
    /// Records that a start of a target seems to have ended. Returns whether this is new.
    pub fn record(&mut self, now: Time, ending: &Start) -> bool {
        let started = ending.started_unix_ms;
        let known = self.0.get(&ending.target);
        if known.is_some_and(|known| known.started > started) {
            return false;
        }
        let is_new = known.is_none_or(|known| known.started < started);
        let ending_state = Ending {
            started,
            recorded_at: now,
            next_sequence: None,
        };
        self.0.insert(ending.target.clone(), ending_state);
        is_new
    }

    /// Returns whether this start of a target seems to have ended.
    pub fn contains(&self, target: &Target) -> bool {
        let ending = self.0.get(&target.id);
        ending.is_some_and(|ending| ending.started >= target.started_unix_ms)
    }

    /// Drops what is known of starts of a target later than `started`.
    pub fn remove_later(&mut self, target: &TargetId, started: UnixMillis) {
        if self
            .0
            .get(target)
            .is_some_and(|known| known.started > started)
        {
            self.0.remove(target);
        }
    }

    /// Records an entry, which may show that the target lives or has started again.
    pub fn record_entry(&mut self, registration: &Registration) {
        let target = &registration.target;
        let Some(ending) = self.0.get_mut(&target.id) else {
            return;
        };
        let is_later_start = target.started_unix_ms > ending.started;
        let is_same_start = target.started_unix_ms == ending.started;
        let is_alive = ending
            .next_sequence
            .is_some_and(|sequence| registration.sequence > sequence);
        if is_later_start || is_same_start && is_alive {
            self.0.remove(&target.id);
        } else if is_same_start {
            ending.next_sequence.get_or_insert(registration.sequence);
        }
    }

    /// Records that a target has answered a question with its start, over a connection that was opened at
    /// `asked` or later. Returns whether it had seemed to have ended.
    pub fn record_answer(&mut self, asked: Time, start: &Start) -> bool {
        let known = self.0.get(&start.target);
        let is_refuted = known.is_some_and(|known| {
            known.started == start.started_unix_ms && known.recorded_at <= asked
        });
        if is_refuted {
            self.0.remove(&start.target);
        }
        is_refuted
    }

    /// Drops endings recorded long ago of targets for which `has_entry` is false.
    pub fn expire(&mut self, now: Time, has_entry: impl Fn(&TargetId) -> bool) {
        self.0
            .retain(|target, ending| has_entry(target) || now < ending.recorded_at + ENDING_MEMORY);
    }

    /// Returns all of them.
    pub fn all(&self) -> impl Iterator<Item = Start> {
        self.0.iter().map(|(target, ending)| Start {
            target: target.clone(),
            started_unix_ms: ending.started,
        })
    }
}
