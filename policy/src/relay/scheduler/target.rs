//! A target that makes results of a stage: its call, its room and its pace.

use super::{CallId, job::Handle};
use crate::{
    id::{DomainId, TargetId, Time},
    relay::{plan, roster::Target},
};
use compact_str::CompactString;
use std::{collections::HashMap, time::Duration};

/// Weight of the latest call in a target's pace.
const SLOWDOWN_WEIGHT: f64 = 0.4; // follows a target that turns slow within two or three calls
/// First pause of a target that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(250); // about one call
/// Longest pause of a target that failed.
const MAX_PAUSE: Duration = Duration::from_secs(2); // a crashed target is back after some seconds

/// A stage target.
#[derive(Clone, Debug)]
pub(super) struct StageTarget {
    pub id: TargetId,
    pub address: CompactString,
    pub domain: DomainId,
    pub call: Option<CallId>,
    /// Time of calls relative to what the pool's limits say.
    pub slowdown: f64,
    /// Until when the target gets no call.
    pub paused_until: Time,
    failures: u32,
    held: HashMap<Handle, Reservation>,
    /// Bytes of results whose handles are not known.
    unidentified: Vec<Reservation>,
    /// Results to be freed.
    pub to_free: Vec<Handle>,
}

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
            paused_until: Time::ZERO,
            failures: 0,
            held: HashMap::new(),
            unidentified: Vec::new(),
            to_free: Vec::new(),
        }
    }

    pub fn is_idle(&self, now: Time) -> bool {
        self.call.is_none() && now >= self.paused_until
    }

    /// Returns the bytes that are free for results.
    pub fn room(&self, limits: &plan::BatchLimits) -> u64 {
        let held = self.held.values().chain(&self.unidentified);
        let used: u64 = held.map(|held| held.bytes).sum();
        limits.room.saturating_sub(used)
    }

    /// Notes a result that the target holds.
    pub fn add_result(&mut self, handle: Handle, bytes: u64, expires_at: Time) {
        self.held.insert(handle, Reservation { bytes, expires_at });
    }

    /// Notes results that the target may hold although no handle came.
    pub fn reserve(&mut self, bytes: u64, expires_at: Time) {
        self.unidentified.push(Reservation { bytes, expires_at });
    }

    /// Gives up a result; its room is taken until the target has freed it.
    pub fn release(&mut self, handle: &Handle) {
        if self.held.contains_key(handle) {
            self.to_free.push(handle.clone());
        }
    }

    /// Notes that the target has freed results.
    pub fn remove_freed(&mut self, handles: &[Handle]) {
        for handle in handles {
            self.held.remove(handle);
        }
    }

    /// Forgets results that have lapsed.
    pub fn expire(&mut self, now: Time) {
        self.held.retain(|_, held| now < held.expires_at);
        self.unidentified.retain(|held| now < held.expires_at);
    }

    /// Notes a call that ended well, and its time relative to the limits' figures.
    pub fn record_success(&mut self, ratio: f64) {
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown);
        self.failures = 0;
    }

    /// Notes that a call takes at least `ratio` times what the limits say.
    pub fn record_overdue(&mut self, ratio: f64) {
        self.slowdown = self.slowdown.max(ratio);
    }

    /// Notes a call that failed; the target pauses.
    pub fn record_failure(&mut self, now: Time) {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        self.paused_until = now + pause.min(MAX_PAUSE);
        self.failures += 1;
    }
}
