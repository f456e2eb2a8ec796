//! Bounded memory of decisions.

use policy::{decision::Decision, id::Key};
use std::collections::VecDeque;

/// Decisions that are remembered at most.
const CAPACITY: usize = 8192;

/// Bounded memory of decisions; the oldest give way to new ones.
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

    /// Returns the decisions about a request, in order.
    pub(super) fn of_request(&self, key: &Key) -> Vec<Decision> {
        let decisions = self.decisions.iter();
        decisions
            .filter(|decision| decision.key == *key)
            .cloned()
            .collect()
    }
}
