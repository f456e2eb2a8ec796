//! Timer queue of an entry.

use crate::id::{AttemptId, Key, Time};
use std::{cmp::Reverse, collections::BinaryHeap};

/// Action that a timer triggers; actions at the same time are ordered as declared here.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Due {
    /// Ends a request at its deadline.
    Deadline(Key),
    /// Continues a delayed request, unless its state has changed since the timer was set.
    Delay {
        /// Key of the request.
        key: Key,
        /// Value of the request's `epoch` when the timer was set.
        epoch: u64,
    },
    /// Rebalances the entry's parts of the ceilings.
    CeilingTick,
    /// Checks whether an attempt is slow enough to be hedged.
    Hedge(AttemptId),
}

/// Timers, earliest first. A timer can't be cancelled; its handler checks whether it still applies.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Time, Due)>>,
}

impl Timers {
    /// Adds a timer that fires at `at`.
    pub fn set(&mut self, at: Time, due: Due) {
        self.heap.push(Reverse((at, due)));
    }

    /// Returns the time of the earliest timer.
    pub fn first(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn pop(&mut self, now: Time) -> Option<Due> {
        if self.first()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, due))| due)
    }
}
