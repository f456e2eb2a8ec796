//! A target that makes results of a stage: its call, its room and its pace.

use super::{CallId, job::Handle};
use crate::{
    id::{DomainId, TargetId, Time},
    relay::{plan, roster::Target},
};
use compact_str::CompactString;
use std::{collections::HashMap, time::Duration};

/// Weight of the latest call in a target's pace.
const PACE_WEIGHT: f64 = 0.4; // follows a target that turns slow within two or three calls
/// First pause of a target that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(250); // about one call
/// Longest pause of a target that failed.
const MAX_PAUSE: Duration = Duration::from_secs(2); // a crashed target is back after some seconds

/// A stage target.
#[derive(Clone, Debug)]
pub(super) struct Press {
    pub id: TargetId,
    pub address: CompactString,
    pub domain: DomainId,
    pub call: Option<CallId>,
    /// Time of calls relative to what the pool's limits say.
    pub pace: f64,
    /// Until when the target gets no call.
    pub paused_until: Time,
    failures: u32,
    held: HashMap<Handle, Held>,
    /// Bytes of results whose handles are not known.
    unnamed: Vec<Held>,
    /// Results to be freed.
    pub unwanted: Vec<Handle>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    bytes: u64,
    until: Time,
}

impl Press {
    pub fn new(target: &Target) -> Self {
        Self {
            id: target.id.clone(),
            address: target.address.clone(),
            domain: target.domain.clone(),
            call: None,
            pace: 1.0,
            paused_until: Time::ZERO,
            failures: 0,
            held: HashMap::new(),
            unnamed: Vec::new(),
            unwanted: Vec::new(),
        }
    }

    pub fn is_idle(&self, now: Time) -> bool {
        self.call.is_none() && now >= self.paused_until
    }

    /// Returns the bytes that are free for results.
    pub fn room(&self, limits: &plan::Press) -> u64 {
        let held = self.held.values().chain(&self.unnamed);
        let used: u64 = held.map(|held| held.bytes).sum();
        limits.room.saturating_sub(used)
    }

    /// Notes a result that the target holds.
    pub fn hold(&mut self, handle: Handle, bytes: u64, until: Time) {
        self.held.insert(handle, Held { bytes, until });
    }

    /// Notes results that the target may hold although no handle came.
    pub fn hold_unnamed(&mut self, bytes: u64, until: Time) {
        self.unnamed.push(Held { bytes, until });
    }

    /// Gives up a result; its room is taken until the target has freed it.
    pub fn free(&mut self, handle: &Handle) {
        if self.held.contains_key(handle) {
            self.unwanted.push(handle.clone());
        }
    }

    /// Notes that the target has freed results.
    pub fn note_freed(&mut self, handles: &[Handle]) {
        for handle in handles {
            self.held.remove(handle);
        }
    }

    /// Forgets results that have lapsed.
    pub fn expire(&mut self, now: Time) {
        self.held.retain(|_, held| now < held.until);
        self.unnamed.retain(|held| now < held.until);
    }

    /// Notes a call that ended well, and its time relative to the limits' figures.
    pub fn note_done(&mut self, ratio: f64) {
        self.pace += PACE_WEIGHT * (ratio - self.pace);
        self.failures = 0;
    }

    /// Notes that a call takes at least `ratio` times what the limits say.
    pub fn note_overdue(&mut self, ratio: f64) {
        self.pace = self.pace.max(ratio);
    }

    /// Notes a call that failed; the target pauses.
    pub fn note_failed(&mut self, now: Time) {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        self.paused_until = now + pause.min(MAX_PAUSE);
        self.failures += 1;
    }
}
