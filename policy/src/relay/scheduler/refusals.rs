//! Refused requests whose callers may come back.
//!
//! A refusal names a time at which the request can be served. Those times are handed out one after the other,
//! as fast as a part of the pool works, and the work is reserved, so that callers who come back as told are
//! accepted. A caller who comes back is known by what its attempts have in common, since each of them may have an
//! identifier of its own; its objective is that of the first attempt.

use super::{
    admission::Sums,
    job::{RequestIdentity, RunningJob},
    shares::Kind,
};
use crate::id::{PoolId, Time};
use std::{collections::HashMap, time::Duration};

/// Maximum number of refused requests that are remembered.
const MAX_REFUSED: usize = 8_192; // those of a burst of 1,000 a second
/// Part of a pool's work that is reserved for callers who come back.
const RESERVED_SHARE: f64 = 0.1; // the rest keeps the wait of new requests as it is
/// Time for which work is reserved after the time that a refusal names.
const GRACE: Duration = Duration::from_millis(300);
/// Fraction of the callers that are expected to come back until it is known.
const INITIAL_RETURN_RATE: f64 = 0.3;
/// Weight of the latest caller in that fraction.
const RETURN_WEIGHT: f64 = 0.05;
/// Time before which a caller may come back, for clocks and timers.
const EARLY: Duration = Duration::from_millis(20);

/// A refused request.
#[derive(Clone, Debug)]
struct Refused {
    kind: Kind,
    objective: Time,
    deadline: Time,
    reservation: Option<Reservation>,
}

/// Work that is reserved for a caller who comes back.
#[derive(Clone, Debug)]
struct Reservation {
    at: Time,
    pieces: Sums,
}

/// What is known of a request that comes back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Returned {
    /// Kind of the request.
    pub kind: Kind,
    /// Objective of the first attempt.
    pub objective: Time,
    /// Whether it comes at the time for which work was reserved, or later.
    pub is_as_told: bool,
}

/// Refused requests, and the work that is reserved for them.
#[derive(Clone, Debug)]
pub(super) struct Refusals {
    by_request: HashMap<RequestIdentity, Refused>,
    /// When the next request can be told to come back, by pool.
    next: HashMap<PoolId, Time>,
    /// Fraction of the callers that come back as told.
    return_rate: f64,
}

impl Default for Refusals {
    fn default() -> Self {
        Self {
            by_request: HashMap::new(),
            next: HashMap::new(),
            return_rate: INITIAL_RETURN_RATE,
        }
    }
}

impl Refusals {
    /// Removes and returns a request that comes back.
    pub fn take(&mut self, now: Time, request: RequestIdentity) -> Option<Returned> {
        let refused = self.by_request.remove(&request)?;
        let reservation = refused.reservation.as_ref();
        if reservation.is_some() {
            self.return_rate += RETURN_WEIGHT * (1.0 - self.return_rate);
        }
        Some(Returned {
            kind: refused.kind,
            objective: refused.objective,
            is_as_told: reservation.is_some_and(|reserved| now + EARLY >= reserved.at),
        })
    }

    /// Remembers a request that is refused without a time to come back.
    pub fn remember(&mut self, running: &RunningJob) {
        self.insert(running, None);
    }

    /// Reserves work of a pool for a refused request, and returns when its caller is to come back; `None` if
    /// that is later than `latest`. `work` is the time that the pool needs for it.
    pub fn reserve(
        &mut self,
        running: &RunningJob,
        pool: &PoolId,
        work: Duration,
        (earliest, latest): (Time, Time),
    ) -> Option<Time> {
        let at = self.next.get(pool).map_or(earliest, |at| earliest.max(*at));
        if at > latest || self.by_request.len() >= MAX_REFUSED {
            return None;
        }
        self.next
            .insert(pool.clone(), at + work.div_f64(RESERVED_SHARE));
        let mut pieces = Sums::new();
        running.add_missing_pieces(&mut pieces);
        self.insert(running, Some(Reservation { at, pieces }));
        Some(at)
    }

    fn insert(&mut self, running: &RunningJob, reservation: Option<Reservation>) {
        if self.by_request.len() < MAX_REFUSED {
            let refused = Refused {
                kind: running.kind,
                objective: running.job.objective,
                deadline: running.job.deadline,
                reservation,
            };
            self.by_request.insert(running.job.identity, refused);
        }
    }

    /// Forgets requests whose deadline has passed and reservations that were not used, and returns the
    /// objectives and pieces of the others, with the fraction that is expected to be used.
    pub fn review(&mut self, now: Time) -> (f64, impl Iterator<Item = (Time, &Sums)>) {
        self.by_request.retain(|_, refused| now < refused.deadline);
        for refused in self.by_request.values_mut() {
            let unused = refused
                .reservation
                .take_if(|reservation| now >= reservation.at + GRACE);
            if unused.is_some() {
                self.return_rate -= RETURN_WEIGHT * self.return_rate;
            }
        }
        let reserved = self.by_request.values().filter_map(|refused| {
            let reservation = refused.reservation.as_ref()?;
            Some((refused.objective, &reservation.pieces))
        });
        (self.return_rate, reserved)
    }
}
