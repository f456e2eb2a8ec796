//! Ejection of targets that fail, and their way back.

use crate::{fault::Fault, id::Time};
use std::time::Duration;

/// Points of consecutive failures at which a target is ejected.
const EJECTION_THRESHOLD: u32 = 3;

/// Time of the first ejection; each further one takes twice as long.
const BASE_EJECTION: Duration = Duration::from_millis(250);

/// Most doublings of the time of an ejection.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// Successes in a row after which earlier ejections are forgotten.
const EJECTION_RESET_SUCCESSES: u32 = 32;

/// Weight of one call in the share of failed calls.
const FAILURE_GAIN: f64 = 0.1;

/// Time after which a lost target is probed even if it has not reported again.
const LOST_PROBE_DELAY: Duration = Duration::from_secs(10);

/// Time in which the share of failed calls fades to the e-th part.
const FAILURE_DECAY: Duration = Duration::from_secs(5);

/// Time in which the failures of a domain fade to the e-th part.
const EJECTION_DECAY: Duration = Duration::from_secs(3);

/// Health of one target, as this entry's calls show it.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    failure_points: u32,
    ejections: u32,
    consecutive_successes: u32,
    ejected: Option<Ejection>,
    failure_rate: f64,
    failure_rate_at: Time,
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
pub(super) enum Availability {
    /// Calls up to its limit.
    Available,
    /// One call at a time, which shows whether the target works again.
    Probe,
    /// Nothing.
    Ejected,
}

impl Health {
    /// Returns what the target may be given now.
    ///
    /// A lost target that used to report (`reports`) is left alone until it reports again.
    pub fn availability(&self, now: Time, has_reported: bool) -> Availability {
        let Some(ejection) = self.ejected else {
            return Availability::Available;
        };
        let awaits_report =
            ejection.lost && has_reported && now < ejection.since + LOST_PROBE_DELAY;
        if awaits_report || now < ejection.until {
            Availability::Ejected
        } else {
            Availability::Probe
        }
    }

    /// Returns the share of calls that failed lately.
    pub fn failure_rate(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.failure_rate_at);
        self.failure_rate * (-age.as_secs_f64() / FAILURE_DECAY.as_secs_f64()).exp()
    }

    /// Notes that a call ended well, and returns whether that ends an ejection.
    pub fn record_success(&mut self) -> bool {
        self.failure_points = 0;
        self.failure_rate *= 1.0 - FAILURE_GAIN;
        self.consecutive_successes += 1;
        if self.consecutive_successes >= EJECTION_RESET_SUCCESSES {
            self.ejections = 0;
        }
        self.ejected.take().is_some()
    }

    /// Notes that a call failed, and returns whether that ejects the target.
    ///
    /// Calls that were in flight when the target was ejected don't eject it again.
    pub fn record_failure(&mut self, now: Time, fault: Fault) -> bool {
        self.consecutive_successes = 0;
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + FAILURE_GAIN * (1.0 - failure_rate);
        self.failure_rate_at = now;
        self.failure_points += failure_points(fault);
        let ejects = match self.ejected {
            None => self.failure_points >= EJECTION_THRESHOLD,
            Some(ejection) => now >= ejection.until,
        };
        if ejects {
            self.eject(now, is_target_loss(fault));
        }
        ejects
    }

    /// Notes that the target gave a report, and returns whether that ends an ejection.
    ///
    /// A report shows that a lost target is back. Where a call may not be repeated (`idempotent`
    /// is false), it takes the place of a probe.
    pub fn record_report(&mut self, now: Time, idempotent: bool) -> bool {
        self.ejected
            .take_if(|ejection| now >= ejection.until && (ejection.lost || !idempotent))
            .is_some()
    }

    fn eject(&mut self, now: Time, lost: bool) {
        let duration = BASE_EJECTION * (1 << self.ejections.min(MAX_EJECTION_DOUBLINGS));
        self.ejections += 1;
        self.failure_points = 0;
        self.ejected = Some(Ejection {
            since: now,
            until: now + duration,
            lost,
        });
    }
}

/// Returns whether a fault shows that the target is gone and its cache with it.
pub(super) const fn is_target_loss(fault: Fault) -> bool {
    matches!(fault, Fault::Unsent | Fault::Broken)
}

/// Returns how much a failure speaks against its target.
const fn failure_points(fault: Fault) -> u32 {
    match fault {
        Fault::Unsent => 3,
        Fault::Broken => 2,
        Fault::Silent | Fault::Error => 1,
        Fault::Busy { .. } | Fault::Rejected => 0,
    }
}

/// Fading count of the ejections in one failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DomainEjections {
    count: f64,
    updated_at: Time,
}

impl DomainEjections {
    /// Returns the ejections of the last seconds.
    pub fn count(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.count * (-age.as_secs_f64() / EJECTION_DECAY.as_secs_f64()).exp()
    }

    /// Notes an ejection.
    pub fn add(&mut self, now: Time) {
        self.count = self.count(now) + 1.0;
        self.updated_at = now;
    }
}
