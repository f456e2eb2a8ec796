//! Patience with a target that sends nothing for a call.
//!
//! A sound target may fall silent for a second or so, on all its connections, and go on. Another send
//! costs part of the retry budget, and the prompt is read again, and when all targets are silent at
//! once it only adds to their load. A target that sends events of other calls meanwhile is not silent,
//! so that a call that it forgot, or starves, is sent elsewhere sooner. So is one whose caller would
//! otherwise give up before another target could answer: after a gap of two seconds, four times the
//! objective or eight times the maximum event gap, whichever is longest.

use crate::id::{TargetId, Time};
use std::{collections::HashMap, time::Duration};

/// Time without an event after which a target that sends nothing at all is not expected to go on.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);
/// Multiple of the maximum event gap for [`MAX_SILENCE`].
const MAX_SILENCE_GAPS: u32 = 6;
/// Multiple of the maximum event gap after which a call is given up by a target that sends others.
const MAX_STALL_GAPS: u32 = 4;
/// Time without a first event, in addition to the prefill, after which a call is given up by a target
/// that sends others; a few times the usual time under load.
const MAX_FIRST_EVENT_STALL: Duration = Duration::from_millis(900);
/// Time that another target takes to the first event, in addition to the prefill.
const MOVE_TIME: Duration = Duration::from_millis(300); // round trips and other requests' prefills
/// Time without any event after which a target has been silent.
const MIN_SILENCE: Duration = Duration::from_millis(300); // several events of a busy target

/// Number of targets from which those that are silent are dropped.
const MAX_TARGETS: usize = 10_000;

/// How long a call waits for an event before it is sent to another target, if there is one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience {
    /// With a target that sends events of other calls.
    active: Duration,
    /// With a target that sends nothing.
    silent: Duration,
}

/// When targets last sent events, of whichever call.
#[derive(Clone, Debug, Default)]
pub struct Activity {
    targets: HashMap<TargetId, Period>,
}

/// Period without a silence.
#[derive(Clone, Copy, Debug)]
struct Period {
    start: Time,
    last_event: Time,
}

impl Patience {
    /// Returns the patience with a call whose prompt takes the time `prefill` to prefill, and whose
    /// caller gives up after `caller_patience`.
    pub fn before_first_event(prefill: Duration, caller_patience: Duration) -> Self {
        let active = MAX_FIRST_EVENT_STALL + prefill;
        let latest_move = caller_patience.saturating_sub(prefill + MOVE_TIME);
        Self {
            active,
            silent: (MAX_SILENCE + prefill).min(latest_move).max(active),
        }
    }

    /// Returns the patience between two events that should be at most `gap` apart.
    pub fn between_events(gap: Duration) -> Self {
        Self {
            active: gap * MAX_STALL_GAPS,
            silent: MAX_SILENCE.max(gap * MAX_SILENCE_GAPS),
        }
    }

    /// Returns the time without an event in which it is not exhausted, whatever the target does.
    pub fn min(&self) -> Duration {
        self.active.min(self.silent)
    }

    /// Returns whether this is the last moment to send a call to another target, which is to answer
    /// within `left`, when the process ends. A call without the head of a response, which may wait for
    /// its turn, is not moved earlier.
    pub fn is_last_move(&self, left: Duration) -> bool {
        left <= self.active + MOVE_TIME
    }

    /// Returns whether a call that has had no event from its target since `since` is to be sent to
    /// another one.
    pub fn is_exhausted(
        &self,
        now: Time,
        since: Time,
        target: &TargetId,
        activity: &Activity,
    ) -> bool {
        now.saturating_sub(since) >= self.silent || activity.duration(target, since) >= self.active
    }
}

impl Activity {
    /// Records an event of a target.
    pub fn record(&mut self, now: Time, target: &TargetId) {
        if self.targets.len() > MAX_TARGETS {
            self.targets
                .retain(|_, period| now.saturating_sub(period.last_event) < MAX_SILENCE);
        }
        let period = self.targets.entry(target.clone()).or_insert(Period {
            start: now,
            last_event: now,
        });
        if now.saturating_sub(period.last_event) >= MIN_SILENCE {
            period.start = now;
        }
        period.last_event = now;
    }

    /// Drops the state of a target that has ended.
    pub fn remove(&mut self, target: &TargetId) {
        self.targets.remove(target);
    }

    /// Returns for how long after `since` the target has sent events without a silence.
    fn duration(&self, target: &TargetId, since: Time) -> Duration {
        self.targets.get(target).map_or(Duration::ZERO, |period| {
            period.last_event.saturating_sub(period.start.max(since))
        })
    }
}
