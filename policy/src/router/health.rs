//! Outlier ejection: takes failing targets out of rotation and probes them for recovery.

use crate::{fault::Fault, id::Time};
use std::time::Duration;

/// Sum of failure points, without a success in between, at which a target is ejected.
const EJECTION_THRESHOLD: u32 = 3;

/// Duration of the first ejection; doubles with each further one.
const BASE_EJECTION: Duration = Duration::from_millis(250);

/// Upper limit on the doublings of [`BASE_EJECTION`].
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// Consecutive successes after which the ejection backoff is reset.
const EJECTION_RESET_SUCCESSES: u32 = 32;

/// Weight of one call in the moving average of the failure rate.
const FAILURE_GAIN: f64 = 0.1;

/// Time after which a lost target is probed even without a new report.
const LOST_PROBE_DELAY: Duration = Duration::from_secs(10);

/// Time constant of the exponential decay of a target's failure rate.
const FAILURE_DECAY: Duration = Duration::from_secs(5);

/// Time constant of the exponential decay of the ejections in a failure domain.
const EJECTION_DECAY: Duration = Duration::from_secs(3);

/// Health of one target, derived from the calls of this entry.
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
    /// Whether the fault showed that the target itself was lost.
    lost: bool,
}

/// Whether a target can be given calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Availability {
    /// The target takes calls up to its limit.
    Available,
    /// The target takes one call at a time, as a probe for recovery.
    Probe,
    /// The target takes no calls.
    Ejected,
}

impl Health {
    /// Returns whether the target can be given calls at `now`.
    ///
    /// A lost target that has reported before (`has_reported`) is not probed until it reports again
    /// or [`LOST_PROBE_DELAY`] has passed.
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

    /// Returns the recent share of failed calls, between 0 and 1.
    pub fn failure_rate(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.failure_rate_at);
        self.failure_rate * (-age.as_secs_f64() / FAILURE_DECAY.as_secs_f64()).exp()
    }

    /// Records a successful call and returns whether it ends an ejection.
    pub fn record_success(&mut self) -> bool {
        self.failure_points = 0;
        self.failure_rate *= 1.0 - FAILURE_GAIN;
        self.consecutive_successes += 1;
        if self.consecutive_successes >= EJECTION_RESET_SUCCESSES {
            self.ejections = 0;
        }
        self.ejected.take().is_some()
    }

    /// Records a failed call and returns whether it ejects the target.
    ///
    /// Failures during an ejection do not extend it, since they come from calls that were in flight
    /// when it began.
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

    /// Records a report and returns whether it ends an ejection.
    ///
    /// A report shows that a lost target is back. If calls are not idempotent, a report takes the
    /// place of a probe, since a failed probe could not be retried.
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

/// Returns whether a fault indicates that the target, and with it its prefix cache, is lost.
pub(super) const fn is_target_loss(fault: Fault) -> bool {
    matches!(fault, Fault::Unsent | Fault::Broken)
}

/// Returns the weight of a failure toward an ejection.
///
/// Busy and rejected calls do not indicate a fault of the target.
const fn failure_points(fault: Fault) -> u32 {
    match fault {
        Fault::Unsent => 3,
        Fault::Broken => 2,
        Fault::Silent | Fault::Error => 1,
        Fault::Busy { .. } | Fault::Rejected => 0,
    }
}

/// Exponentially decaying count of the ejections in one failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DomainEjections {
    count: f64,
    updated_at: Time,
}

impl DomainEjections {
    /// Returns the decayed count at `now`.
    pub fn count(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.count * (-age.as_secs_f64() / EJECTION_DECAY.as_secs_f64()).exp()
    }

    pub fn add(&mut self, now: Time) {
        self.count = self.count(now) + 1.0;
        self.updated_at = now;
    }
}
