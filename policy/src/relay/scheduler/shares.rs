//! Shares of each kind of request that a pool accepts.
//!
//! If a pool is too short for all, the order of its queue alone lets one kind bear the whole shortage: that
//! with the shortest objective, which cannot wait, or that with the shortest deadline. A kind is therefore
//! refused while another one that was refused for the same pool has a smaller share accepted.

use super::job::Job;
use crate::id::Time;
use std::time::Duration;

/// Time constant of the shares.
const SHARE_SECONDS: f64 = 4.0; // most of a burst
/// Time after a refusal for which a kind counts as short of capacity.
const SHORTAGE: Duration = Duration::from_millis(300); // a kind with 10 requests a second shows it
/// Number of requests from which the share of a kind is known.
const MIN_OFFERED: f64 = 3.0;
/// Maximum number of kinds.
const MAX_KINDS: usize = 32; // a site has three to five
/// Amount by which the share of a kind may exceed that of a less urgent one, of one as urgent, and of a more
/// urgent one.
const MAX_LEAD: [f64; 3] = [0.04, 0.03, 0.01]; // a less urgent kind may lead by 0.05 at most

/// Requests with the same priority and nearly the same time to their objective.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Kind {
    priority: u8,
    /// In tenths of seconds.
    time_to_objective: u64,
}

impl Kind {
    pub fn new(now: Time, job: &Job) -> Self {
        let time = job.objective.saturating_sub(now);
        Self {
            priority: job.priority,
            time_to_objective: (time.as_millis() as u64 + 50) / 100,
        }
    }
}

/// Numbers of requests of each kind that asked for a pool in the last seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    kinds: Vec<Counts>,
}

#[derive(Clone, Debug)]
struct Counts {
    kind: Kind,
    offered: f64,
    accepted: f64,
    updated_at: Time,
    /// When the pool was last too short for a request.
    refused_at: Option<Time>,
}

impl Counts {
    fn share(&self) -> f64 {
        self.accepted / self.offered.max(f64::EPSILON)
    }

    fn is_short(&self, now: Time) -> bool {
        let is_known = self.offered >= MIN_OFFERED;
        is_known && self.refused_at.is_some_and(|at| now < at + SHORTAGE)
    }
}

impl Shares {
    /// Returns whether a kind is accepted although other kinds are short of capacity.
    pub fn allow(&self, now: Time, kind: Kind) -> bool {
        let Some(own) = self.kinds.iter().find(|counts| counts.kind == kind) else {
            return true;
        };
        let others = self.kinds.iter();
        let mut short = others.filter(|counts| counts.kind != kind && counts.is_short(now));
        own.offered < MIN_OFFERED
            || short.all(|other| {
                let lead = MAX_LEAD[match kind.priority.cmp(&other.kind.priority) {
                    std::cmp::Ordering::Less => 0,
                    std::cmp::Ordering::Equal => 1,
                    std::cmp::Ordering::Greater => 2,
                }];
                own.share() <= other.share() + lead
            })
    }

    /// Records a new request and whether it was accepted.
    pub fn record(&mut self, now: Time, kind: Kind, is_accepted: bool) {
        let is_known = self.kinds.iter().any(|counts| counts.kind == kind);
        if !is_known && self.kinds.len() < MAX_KINDS {
            self.kinds.push(Counts {
                kind,
                offered: 0.0,
                accepted: 0.0,
                updated_at: now,
                refused_at: None,
            });
        }
        if let Some(counts) = self.counts(now, kind) {
            counts.offered += 1.0;
            counts.accepted += f64::from(u8::from(is_accepted));
        }
    }

    /// Records that a request that was accepted is refused, or accepted after it was refused.
    pub fn correct(&mut self, now: Time, kind: Kind, is_accepted: bool) {
        if let Some(counts) = self.counts(now, kind) {
            let change = if is_accepted { 1.0 } else { -1.0 };
            counts.accepted = (counts.accepted + change).clamp(0.0, counts.offered);
        }
    }

    /// Records that the pool is too short for a request.
    pub fn record_shortage(&mut self, now: Time, kind: Kind) {
        if let Some(counts) = self.counts(now, kind) {
            counts.refused_at = Some(now);
        }
    }

    fn counts(&mut self, now: Time, kind: Kind) -> Option<&mut Counts> {
        let mut known = self.kinds.iter_mut();
        let counts = known.find(|counts| counts.kind == kind)?;
        let age = now.saturating_sub(counts.updated_at).as_secs_f64();
        let factor = (-age / SHARE_SECONDS).exp();
        counts.offered *= factor;
        counts.accepted *= factor;
        counts.updated_at = now;
        Some(counts)
    }
}
