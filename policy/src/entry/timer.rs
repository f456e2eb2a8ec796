//! Timers of an entry.

use crate::id::{AttemptId, Key, Time};
use std::{cmp::Reverse, collections::BinaryHeap};

/// What is due at a time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Due {
    /// The deadline of a request passes.
    Deadline(Key),
    /// The pause of a request ends, unless the request has moved on since.
    Delay {
        /// Name of the request.
        key: Key,
        /// Number of the request's state change that the pause belongs to.
        epoch: u64,
    },
    /// The parts of the ceilings are looked at again.
    CeilingTick,
    /// An attempt is slow enough to be doubled.
    Hedge(AttemptId),
}

/// Timers in order of time.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Time, Due)>>,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Time, due: Due) {
        self.heap.push(Reverse((at, due)));
    }

    /// Returns the time of the first timer.
    pub fn first(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes a timer that is due at `now`.
    pub fn pop(&mut self, now: Time) -> Option<Due> {
        if self.first()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, due))| due)
    }
}
