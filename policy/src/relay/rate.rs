//! Limits on the rate of requests that targets name.
//!
//! A target in need says in its answers how many requests a second it takes from all daemons
//! together, for as long as it says so. Answers overtake each other, so that one without a limit ends
//! it only if its request was sent after the limit was last named.

use super::{leader::UnixMillis, registry::Target};
use crate::id::{TargetId, Time};
use std::collections::HashMap;

/// Number of requests a second.
pub type Rate = f64;

/// Limits that targets have named, by target.
#[derive(Clone, Debug, Default)]
pub struct Limits(HashMap<TargetId, State>);

#[derive(Clone, Debug)]
struct State {
    /// Start of the target that named it.
    started: UnixMillis,
    rate: Rate,
    /// When it was last named.
    named_at: Time,
}

impl Limits {
    /// Records what an answer to a request that was sent at `sent_at` says of the target's limit.
    /// Returns whether this changes the limit.
    pub fn record_answer(
        &mut self,
        now: Time,
        target: &Target,
        sent_at: Time,
        rate: Option<Rate>,
    ) -> bool {
        let known = self.get(target).map(|state| (state.rate, state.named_at));
        match (rate, known) {
            (Some(rate), _) => {
                let state = State {
                    started: target.started_unix_ms,
                    rate,
                    named_at: now,
                };
                self.0.insert(target.id.clone(), state);
                known.is_none_or(|(earlier, _)| earlier.to_bits() != rate.to_bits())
            }
            (None, Some((_, named_at))) if sent_at > named_at => {
                self.0.remove(&target.id);
                true
            }
            (None, _) => false,
        }
    }

    /// Returns the limit of a target, if it names one.
    pub fn rate(&self, target: &Target) -> Option<Rate> {
        self.get(target).map(|state| state.rate)
    }

    /// Drops the limit of a target that has ended.
    pub fn remove_target(&mut self, target: &TargetId) {
        self.0.remove(target);
    }

    /// Returns the number of targets that name a limit.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    fn get(&self, target: &Target) -> Option<&State> {
        let state = self.0.get(&target.id)?;
        (state.started == target.started_unix_ms).then_some(state)
    }
}
