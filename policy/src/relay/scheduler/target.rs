//! State of one stage target: its current call, its memory for results and its speed.

use super::{CallId, job::Handle};
use crate::{
    id::{DomainId, TargetId, Time},
    relay::{
        leader::UnixMillis,
        plan,
        rate::{Pace, Rate},
        registry::Target,
    },
};
use compact_str::CompactString;
use std::{collections::HashMap, time::Duration};

/// Weight of the latest call in the moving average of a target's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.4; // detects a slow target within two or three calls
/// Same as [`SLOWDOWN_WEIGHT`] for a call that took less than half as long as expected: the target has
/// recovered, and each further call that it does not get costs others time.
const RECOVERY_WEIGHT: f64 = 0.8;
/// Time without a measurement after which a slow target is tried with a small call.
const PROBE_INTERVAL: Duration = Duration::from_secs(1); // a few calls; targets are slow for seconds
/// Maximum backoff after repeated failures.
const MAX_PAUSE: Duration = Duration::from_secs(2); // a crashed target is back after a few seconds

/// A target that computes the pieces of a stage, one call at a time.
#[derive(Clone, Debug)]
pub(super) struct StageTarget {
    pub id: TargetId,
    pub address: CompactString,
    pub domain: DomainId,
    /// Call in progress, if any.
    pub call: Option<CallId>,
    /// Moving average of call durations relative to the nominal duration; 1 is nominal speed.
    pub slowdown: f64,
    /// When it was last measured.
    measured_at: Time,
    /// No call is sent to the target before this time.
    pub paused_until: Time,
    /// The target wants nothing before this time.
    pub closed_until: Time,
    /// Spends the rate of requests to which the target is limited, if it is.
    pub pace: Option<Pace>,
    /// Start time of the target in milliseconds since the Unix epoch.
    pub started_unix_ms: UnixMillis,
    /// Consecutive failed calls.
    failures: u32,
    held: HashMap<Handle, Reservation>,
    /// Memory that may be taken by results whose handles are unknown.
    unidentified: Vec<Reservation>,
    /// Bytes of `held` and `unidentified` together.
    used_bytes: u64,
    /// Results that the target has yet to be told to free.
    pub to_free: Vec<Handle>,
}

/// Memory that is considered taken until a time.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    bytes: u64,
    expires_at: Time,
}

impl StageTarget {
    pub fn new(target: &Target) -> Self {
        Self {
            id: target.id.clone(),
            address: target.address.clone(),
            domain: target.domain.clone(),
            call: None,
            slowdown: 1.0,
            measured_at: Time::ZERO,
            paused_until: Time::ZERO,
            closed_until: Time::ZERO,
            pace: None,
            started_unix_ms: target.started_unix_ms,
            failures: 0,
            held: HashMap::new(),
            unidentified: Vec::new(),
            used_bytes: 0,
            to_free: Vec::new(),
        }
    }

    pub fn is_idle(&self, now: Time) -> bool {
        self.call.is_none() && now >= self.paused_until && self.is_open(now)
    }

    /// Returns whether the target takes a request.
    pub fn is_open(&self, now: Time) -> bool {
        now >= self.open_at()
    }

    /// Returns when the target takes the next request.
    pub fn open_at(&self) -> Time {
        let paced = self.pace.as_ref().map_or(Time::ZERO, Pace::open_at);
        paced.max(self.closed_until)
    }

    /// Sets the rate of requests to which the target is limited.
    pub fn set_rate(&mut self, now: Time, rate: Option<Rate>) {
        match (rate, &mut self.pace) {
            (Some(rate), Some(pace)) => pace.set_rate(now, rate),
            (Some(rate), None) => self.pace = Some(Pace::new(now, rate)),
            (None, _) => self.pace = None,
        }
    }

    /// Records a request that is sent while the target is open.
    pub fn spend(&mut self, now: Time) {
        if let Some(pace) = &mut self.pace {
            // Open, so that it is granted.
            pace.take(now, Duration::ZERO);
        }
    }

    /// Returns the number of calls a second of this duration that the target takes.
    pub fn call_rate(&self, duration: Duration) -> f64 {
        let rate = duration.as_secs_f64().recip();
        self.pace
            .as_ref()
            .map_or(rate, |pace| pace.rate().min(rate))
    }

    /// Returns the bytes available for results.
    pub fn room(&self, limits: &plan::BatchLimits) -> u64 {
        limits.result_memory.saturating_sub(self.used_bytes)
    }

    /// Records a result stored on the target until it expires.
    pub fn add_result(&mut self, handle: Handle, bytes: u64, expires_at: Time) {
        self.used_bytes += bytes;
        let reservation = Reservation { bytes, expires_at };
        if let Some(replaced) = self.held.insert(handle, reservation) {
            self.used_bytes -= replaced.bytes;
        }
    }

    /// Reserves memory for results that the target may hold although it returned no handle.
    pub fn reserve(&mut self, bytes: u64, expires_at: Time) {
        self.used_bytes += bytes;
        self.unidentified.push(Reservation { bytes, expires_at });
    }

    /// Schedules a result to be freed. Its memory counts as taken until the target confirms.
    pub fn release(&mut self, handle: &Handle) {
        if self.held.contains_key(handle) {
            self.to_free.push(handle.clone());
        }
    }

    /// Handles the end of the evacuation of the target's domain. Results that have expired meanwhile need
    /// not be freed.
    pub fn end_evacuation(&mut self, now: Time) {
        self.expire(now);
        let held = &self.held;
        self.to_free.retain(|handle| held.contains_key(handle));
        if let Some(pace) = &mut self.pace {
            pace.hold(now);
        }
    }

    /// Drops results that the target has freed.
    pub fn remove_freed(&mut self, handles: &[Handle]) {
        for handle in handles {
            if let Some(freed) = self.held.remove(handle) {
                self.used_bytes -= freed.bytes;
            }
        }
    }

    /// Drops results and reservations that have expired.
    pub fn expire(&mut self, now: Time) {
        self.held.retain(|_, held| now < held.expires_at);
        self.unidentified.retain(|held| now < held.expires_at);
        let all = self.held.values().chain(&self.unidentified);
        self.used_bytes = all.map(|held| held.bytes).sum();
    }

    /// Records a completed call; `ratio` is its duration relative to the nominal one.
    pub fn record_success(&mut self, now: Time, ratio: f64) {
        let has_recovered = ratio < self.slowdown / 2.0;
        let weight = if has_recovered {
            RECOVERY_WEIGHT
        } else {
            SLOWDOWN_WEIGHT
        };
        self.slowdown += weight * (ratio - self.slowdown);
        self.measured_at = now;
        self.failures = 0;
    }

    /// Records that a call is taking at least `ratio` times its nominal duration.
    pub fn record_overdue(&mut self, now: Time, ratio: f64) {
        self.slowdown = self.slowdown.max(ratio);
        self.measured_at = now;
    }

    /// Returns whether a target that is too slow for usual calls may be tried with a small one.
    pub fn is_probe_due(&self, now: Time) -> bool {
        now >= self.measured_at + PROBE_INTERVAL
    }

    /// Records a failed call and pauses the target with exponential backoff, which begins with the
    /// duration of a call.
    pub fn record_failure(&mut self, now: Time, call_time: Duration) {
        let pause = call_time * 2_u32.saturating_pow(self.failures.min(8));
        self.paused_until = now + pause.min(MAX_PAUSE);
        self.failures += 1;
    }

    /// Forgets failed and overdue calls.
    pub fn clear_failures(&mut self) {
        self.slowdown = 1.0;
        self.paused_until = Time::ZERO;
        self.failures = 0;
    }
}
