//! Pauses that targets ask for when they turn requests away.
//!
//! In a burst, targets that are full tell each daemon for how long they want nothing from it. Hundreds
//! of daemons hold a few requests each, so that none of them sees the load of the others: what a target
//! asks for is all that a daemon knows. While other targets of the pool take requests, those go there.
//! When all targets have asked for a pause, requests that arrive would otherwise go to whichever target
//! looks best, and each of them prolongs the overload. They are refused at once instead, with the time
//! after which the first target takes requests again, unless that is so soon that waiting serves the
//! caller better. Refused callers return spread out, since they would otherwise all meet the first
//! target that is open again.

use super::{leader::UnixMillis, registry::Target};
use crate::id::{TargetId, Time};
use std::{collections::HashMap, time::Duration};

/// Maximum pause. Longer ones would keep a target out of use after its overload, on the word of one
/// answer.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);
/// Fraction of the time until the first target is open over which refused callers are spread.
const RETURN_SPREAD: f64 = 0.5;
/// Minimum of that spread, since the callers' requests arrive over about the same time.
const MIN_RETURN_SPREAD: Duration = Duration::from_millis(100);

/// What is best for a request whose pool has no open target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Wait for the first target that is open again.
    Wait(Duration),
    /// Refuse at once; the caller may retry after this time.
    Refuse(Duration),
}

/// Targets that have asked this daemon for a pause.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    /// The start of each target that asked, and the end of its pause.
    targets: HashMap<TargetId, (UnixMillis, Time)>,
}

impl Pauses {
    /// Records that a target wants nothing for `pause`. A pause is never shortened by a later one.
    pub fn record(&mut self, now: Time, target: &Target, pause: Duration) {
        self.targets.retain(|_, (_, end)| now < *end);
        let started = target.started_unix_ms;
        let end = now + pause.min(MAX_PAUSE);
        let known = self.targets.entry(target.id.clone());
        let known = known.or_insert((started, end));
        *known = match *known {
            (of, earlier) if of == started => (started, end.max(earlier)),
            _ => (started, end),
        };
    }

    /// Returns the end of a target's pause; `None` if it is not paused.
    pub fn end(&self, now: Time, target: &Target) -> Option<Time> {
        let (started, end) = self.targets.get(&target.id)?;
        (*started == target.started_unix_ms && now < *end).then_some(*end)
    }

    /// Returns whether a target wants nothing from this daemon.
    pub fn is_paused(&self, now: Time, target: &Target) -> bool {
        self.end(now, target).is_some()
    }

    /// Returns the time until the first of several targets is open; `None` if one is, or if there are
    /// no targets.
    pub fn time_to_open<'a>(
        &self,
        now: Time,
        targets: impl Iterator<Item = &'a Target>,
    ) -> Option<Duration> {
        time_to_open(now, targets.map(|target| self.end(now, target)))
    }

    /// Drops all state of a target that has ended.
    pub fn remove_target(&mut self, target: &TargetId) {
        self.targets.remove(target);
    }
}

/// Returns the time until the first of several targets is open, given when each of them is; `None` if
/// one is open now, or if there are no targets.
pub fn time_to_open(now: Time, ends: impl Iterator<Item = Option<Time>>) -> Option<Duration> {
    let mut first: Option<Time> = None;
    for end in ends {
        let end = end?;
        first = Some(first.map_or(end, |first| first.min(end)));
    }
    first.map(|end| end.saturating_sub(now))
}

/// Decides about a request whose pool has no open target for `time_to_open`. It may wait for
/// `max_wait`; `turn`, from 0 to 1, is its place among the callers that are refused meanwhile.
pub fn decide(time_to_open: Duration, max_wait: Duration, turn: f64) -> Decision {
    if time_to_open <= max_wait {
        return Decision::Wait(time_to_open);
    }
    Decision::Refuse(retry_after(time_to_open, turn))
}

/// Returns the time after which a refused caller may retry.
pub fn retry_after(time_to_open: Duration, turn: f64) -> Duration {
    let spread = time_to_open.mul_f64(RETURN_SPREAD).max(MIN_RETURN_SPREAD);
    time_to_open + spread.mul_f64(turn.clamp(0.0, 1.0))
}
