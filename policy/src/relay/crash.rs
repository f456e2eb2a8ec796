//! Payloads whose targets die while they run them.
//!
//! Load pattern: one payload comes again and again under new identifiers and kills each target that
//! begins to run it. After [`MAX_DEATHS`] within [`MEMORY`] it is refused.

use crate::id::Time;
use std::{collections::HashMap, time::Duration};

/// Hash of what makes two requests the same work.
pub type Mark = u64;

/// Deaths after which a payload is refused; the users' rules let it reach three more targets.
pub const MAX_DEATHS: usize = 3;
/// Time for which a death is laid to a payload; a day's targets are back within some seconds.
pub const MEMORY: Duration = Duration::from_secs(60);
/// Most payloads that are remembered.
const MAX_MARKS: usize = 4_096; // 64 bytes each keep it under 1 MB

/// Deaths by payload.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    deaths: HashMap<Mark, Vec<Time>>,
}

impl Ledger {
    /// Notes that a target died while it ran a payload.
    pub fn note(&mut self, now: Time, mark: Mark) {
        if self.deaths.len() >= MAX_MARKS {
            self.deaths
                .retain(|_, times| times.iter().any(|time| now < *time + MEMORY));
        }
        self.deaths.entry(mark).or_default().push(now);
    }

    /// Forgets the deaths of a payload that ran to its end.
    pub fn clear(&mut self, mark: Mark) {
        self.deaths.remove(&mark);
    }

    /// Returns whether a payload is refused.
    pub fn is_refused(&self, now: Time, mark: Mark) -> bool {
        let deaths = self.deaths.get(&mark);
        let recent = deaths.into_iter().flatten();
        recent.filter(|&&time| now < time + MEMORY).count() >= MAX_DEATHS
    }
}
