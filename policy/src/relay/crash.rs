//! Payloads whose targets die while they run them.
//!
//! Load pattern: one payload comes again and again under new identifiers and kills each target that
//! begins to run it. After [`MAX_DEATHS`] within [`MEMORY`] it is refused.

use crate::id::Time;
use std::{collections::HashMap, time::Duration};

/// Hash of what makes two requests the same work.
pub type PayloadHash = u64;

/// Deaths after which a payload is refused; the users' rules let it reach three more targets.
pub const MAX_CRASHES: usize = 3;
/// Time for which a death is laid to a payload; a day's targets are back within some seconds.
pub const CRASH_WINDOW: Duration = Duration::from_secs(60);
/// Most payloads that are remembered.
const MAX_PAYLOADS: usize = 4_096; // 64 bytes each keep it under 1 MB

/// Deaths by payload.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    crashes: HashMap<PayloadHash, Vec<Time>>,
}

impl CrashHistory {
    /// Notes that a target died while it ran a payload.
    pub fn record(&mut self, now: Time, payload: PayloadHash) {
        if self.crashes.len() >= MAX_PAYLOADS {
            self.crashes
                .retain(|_, times| times.iter().any(|time| now < *time + CRASH_WINDOW));
        }
        self.crashes.entry(payload).or_default().push(now);
    }

    /// Forgets the deaths of a payload that ran to its end.
    pub fn clear(&mut self, payload: PayloadHash) {
        self.crashes.remove(&payload);
    }

    /// Returns whether a payload is refused.
    pub fn is_refused(&self, now: Time, payload: PayloadHash) -> bool {
        let crashes = self.crashes.get(&payload);
        let recent = crashes.into_iter().flatten();
        recent.filter(|&&time| now < time + CRASH_WINDOW).count() >= MAX_CRASHES
    }
}
