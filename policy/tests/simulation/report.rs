//! Outcome of a simulation.

use policy::{
    id::{TargetId, Time},
    relay::scheduler::Refusal,
};
use std::{collections::HashMap, time::Duration};

/// Number of requests of one kind by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub submitted: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
}

/// A refused job.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    pub reason: Refusal,
    /// Time left until its deadline.
    pub left: Duration,
}

/// Outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub counts: [Counts; 3],
    pub refusals: Vec<Refused>,
    /// Jobs that were open when the scheduler abandoned them.
    pub abandoned: usize,
    /// Pieces whose inputs no longer existed.
    pub expired_inputs: u32,
    /// Pieces without memory for their result.
    pub without_room: u32,
    /// Pieces that were sent with too few inputs.
    pub missing_inputs: u32,
    /// When calls and releases of results were sent to each target.
    pub sends: HashMap<TargetId, Vec<Time>>,
    /// When each request ended, and whether it was late or refused.
    pub(super) ends: Vec<(Time, bool)>,
}

impl Report {
    /// Returns the fraction of a kind's requests that were served on time.
    pub fn on_time(&self, kind: usize) -> f64 {
        let counts = self.counts[kind];
        f64::from(counts.on_time) / f64::from(counts.submitted.max(1))
    }

    /// Returns the fraction of a kind's requests that were served, on time or late.
    pub fn served(&self, kind: usize) -> f64 {
        let counts = self.counts[kind];
        f64::from(counts.on_time + counts.late) / f64::from(counts.submitted.max(1))
    }

    /// Returns the number of refused requests.
    pub fn refused(&self) -> u32 {
        self.counts.iter().map(|counts| counts.refused).sum()
    }

    /// Returns the fraction of late or refused requests among those that ended after `time`.
    pub fn late_after(&self, time: Time) -> f64 {
        let ends = self.ends.iter().filter(|(at, _)| *at > time);
        let (all, late) = ends.fold((0.0, 0.0), |(all, late), (_, is_late)| {
            (all + 1.0, late + f64::from(u8::from(*is_late)))
        });
        late / f64::max(all, 1.0)
    }
}
