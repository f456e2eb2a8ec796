//! Detection of payloads that crash their targets.
//!
//! A payload that is sent repeatedly under new request identifiers can crash each target that
//! starts to run it. After [`MAX_CRASHES`] crashes within [`CRASH_WINDOW`] it is refused.

use crate::id::Time;
use std::{collections::HashMap, time::Duration};

/// Hash of the content of a request; equal for requests that cause the same work.
pub type PayloadHash = u64;

/// Number of crashes after which a payload is refused; the users' rules let it reach three more
/// targets.
pub const MAX_CRASHES: usize = 3;
/// Time for which a crash counts against a payload. Crashed targets are back within seconds.
pub const CRASH_WINDOW: Duration = Duration::from_secs(60);
/// Number of payloads from which expired ones are dropped.
const MAX_PAYLOADS: usize = 4_096; // at 64 bytes each, less than 1 MB

/// Recent crashes by payload.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    crashes: HashMap<PayloadHash, Vec<Time>>,
}

impl CrashHistory {
    /// Records that a target crashed while it ran a payload.
    pub fn record(&mut self, now: Time, payload: PayloadHash) {
        if self.crashes.len() >= MAX_PAYLOADS {
            self.crashes
                .retain(|_, times| times.iter().any(|time| now < *time + CRASH_WINDOW));
        }
        self.crashes.entry(payload).or_default().push(now);
    }

    /// Clears the crashes of a payload that ran to completion.
    pub fn clear(&mut self, payload: PayloadHash) {
        self.crashes.remove(&payload);
    }

    /// Returns whether a payload has crashed too many targets recently.
    pub fn is_refused(&self, now: Time, payload: PayloadHash) -> bool {
        let crashes = self.crashes.get(&payload);
        let recent = crashes.into_iter().flatten();
        recent.filter(|&&time| now < time + CRASH_WINDOW).count() >= MAX_CRASHES
    }
}
