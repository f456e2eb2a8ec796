//! Ejection of targets that fail, and their way back.

use crate::{fault::Fault, id::Time};
use std::time::Duration;

/// Points of consecutive failures at which a target is ejected.
const EJECT_POINTS: u32 = 3;

/// Time of the first ejection; each further one takes twice as long.
const FIRST_EJECTION: Duration = Duration::from_millis(250);

/// Most doublings of the time of an ejection.
const DOUBLINGS: u32 = 5;

/// Successes in a row after which earlier ejections are forgotten.
const FORGIVEN: u32 = 32;

/// Weight of one call in the share of failed calls.
const FAILURE_GAIN: f64 = 0.1;

/// Time after which a lost target is probed even if it has not reported again.
const LOST_PROBE: Duration = Duration::from_secs(10);

/// Time in which the share of failed calls fades to the e-th part.
const FAILURE_FADE: Duration = Duration::from_secs(5);

/// Time in which the failures of a domain fade to the e-th part.
const OUTAGE_FADE: Duration = Duration::from_secs(3);

/// Health of one target, as this entry's calls show it.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    points: u32,
    ejections: u32,
    successes: u32,
    ejected: Option<Ejection>,
    failures: f64,
    failed_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    since: Time,
    until: Time,
    /// Whether the target itself was gone.
    lost: bool,
}

/// What a target may be given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Access {
    /// Calls up to its limit.
    Open,
    /// One call at a time, which shows whether the target works again.
    Probe,
    /// Nothing.
    Closed,
}

impl Health {
    /// Returns what the target may be given now.
    ///
    /// A lost target that used to report (`reports`) is left alone until it reports again.
    pub fn access(&self, now: Time, reports: bool) -> Access {
        let Some(ejection) = self.ejected else {
            return Access::Open;
        };
        let awaited = ejection.lost && reports && now < ejection.since + LOST_PROBE;
        if awaited || now < ejection.until {
            Access::Closed
        } else {
            Access::Probe
        }
    }

    /// Returns the share of calls that failed lately.
    pub fn failures(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.failed_at);
        self.failures * (-age.as_secs_f64() / FAILURE_FADE.as_secs_f64()).exp()
    }

    /// Notes that a call ended well, and returns whether that ends an ejection.
    pub fn succeeded(&mut self) -> bool {
        self.points = 0;
        self.failures *= 1.0 - FAILURE_GAIN;
        self.successes += 1;
        if self.successes >= FORGIVEN {
            self.ejections = 0;
        }
        self.ejected.take().is_some()
    }

    /// Notes that a call failed, and returns whether that ejects the target.
    ///
    /// Calls that were in flight when the target was ejected don't eject it again.
    pub fn failed(&mut self, now: Time, fault: Fault) -> bool {
        self.successes = 0;
        let failures = self.failures(now);
        self.failures = failures + FAILURE_GAIN * (1.0 - failures);
        self.failed_at = now;
        self.points += points(fault);
        let ejects = match self.ejected {
            None => self.points >= EJECT_POINTS,
            Some(ejection) => now >= ejection.until,
        };
        if ejects {
            self.eject(now, is_loss(fault));
        }
        ejects
    }

    /// Notes that the target gave a report, and returns whether that ends an ejection.
    ///
    /// A report shows that a lost target is back. Where a call may not be repeated (`idempotent`
    /// is false), it takes the place of a probe.
    pub fn reported(&mut self, now: Time, idempotent: bool) -> bool {
        self.ejected
            .take_if(|ejection| now >= ejection.until && (ejection.lost || !idempotent))
            .is_some()
    }

    fn eject(&mut self, now: Time, lost: bool) {
        let pause = FIRST_EJECTION * (1 << self.ejections.min(DOUBLINGS));
        self.ejections += 1;
        self.points = 0;
        self.ejected = Some(Ejection {
            since: now,
            until: now + pause,
            lost,
        });
    }
}

/// Returns whether a fault shows that the target is gone and its cache with it.
pub(super) const fn is_loss(fault: Fault) -> bool {
    matches!(fault, Fault::Unsent | Fault::Broken)
}

/// Returns how much a failure speaks against its target.
const fn points(fault: Fault) -> u32 {
    match fault {
        Fault::Unsent => 3,
        Fault::Broken => 2,
        Fault::Silent | Fault::Error => 1,
        Fault::Busy { .. } | Fault::Rejected => 0,
    }
}

/// Fading count of the ejections in one failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outage {
    level: f64,
    at: Time,
}

impl Outage {
    /// Returns the ejections of the last seconds.
    pub fn level(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at);
        self.level * (-age.as_secs_f64() / OUTAGE_FADE.as_secs_f64()).exp()
    }

    /// Notes an ejection.
    pub fn add(&mut self, now: Time) {
        self.level = self.level(now) + 1.0;
        self.at = now;
    }
}
