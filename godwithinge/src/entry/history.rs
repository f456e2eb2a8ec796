//! Bounded history of routing decisions.

use policy::{decision::Decision, id::Key};
use std::collections::VecDeque;

/// Maximum number of decisions that are kept, over all requests.
const CAPACITY: usize = 8192;

/// Ring buffer of the most recent decisions; the oldest one is evicted first.
#[derive(Debug, Default)]
pub(super) struct DecisionHistory {
    decisions: VecDeque<Decision>,
}

impl DecisionHistory {
    pub(super) fn push(&mut self, decision: Decision) {
        if self.decisions.len() >= CAPACITY {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// Returns the decisions for a request, oldest first.
    pub(super) fn of_request(&self, key: &Key) -> Vec<Decision> {
        let decisions = self.decisions.iter();
        decisions
            .filter(|decision| decision.key == *key)
            .cloned()
            .collect()
    }
}
