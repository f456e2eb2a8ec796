//! Shares of each workspace in the work that a pool accepts.
//!
//! Without them, a workspace whose callers suddenly ask for much more than usual takes the capacity of all others
//! in proportion to what it asks for. While a pool is too short for a workspace, others that get more of it
//! than that one, relative to what each usually asks for, are refused. What a workspace does not use is left to
//! the others. One that asks for much more than usual is still served a third as often as all.

use crate::id::{Time, WorkspaceId};
use std::{collections::HashMap, time::Duration};

/// Time constant of what was recently asked for and accepted.
const RECENT_SECONDS: f64 = 4.0; // most of a burst
/// Time constant of what a workspace usually asks for.
const USUAL_SECONDS: f64 = 60.0; // many bursts
/// Time after a refusal for which a workspace counts as short of capacity.
const SHORTAGE: Duration = Duration::from_millis(500); // one with 5 requests a second shows it
/// Weight of a request in what is usual while the pool is too short. What is asked for in a burst is not usual, but
/// a lasting change of demand becomes so.
const SHORT_WEIGHT: f64 = 0.1;
/// Number of recent requests from which the share of a workspace is known.
const MIN_OFFERED: f64 = 8.0; // fewer vary by more than the lead
/// Ratio by which the share of a workspace may exceed that of one that is short.
const MAX_LEAD: f64 = 1.5; // what differs by chance between workspaces that ask for as much as usual
/// Fraction of the accepted share of all requests from which a workspace is not refused.
const MIN_SHARE: f64 = 0.35; // one that floods a pool is not shut out
/// Maximum number of workspaces with a share. Others are accepted as if there were no shares.
const MAX_WORKSPACES: usize = 1_024; // a check takes some microseconds

/// Numbers of requests of each workspace that asked for a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Workspaces {
    by_id: HashMap<WorkspaceId, Counts>,
    all: Counts,
}

/// Numbers of requests, which decay.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: f64,
    accepted: f64,
    usual: f64,
    first_at: Time,
    updated_at: Time,
    /// When the pool was last too short for a request.
    refused_at: Option<Time>,
}

impl Counts {
    fn new(now: Time) -> Self {
        Self {
            first_at: now,
            updated_at: now,
            ..Self::default()
        }
    }

    fn decay(&mut self, now: Time) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let factor = (-age / RECENT_SECONDS).exp();
        self.offered *= factor;
        self.accepted *= factor;
        self.usual *= (-age / USUAL_SECONDS).exp();
        self.updated_at = now;
    }

    fn record(&mut self, now: Time, is_accepted: bool, usual_weight: f64) {
        self.decay(now);
        self.offered += 1.0;
        self.accepted += f64::from(u8::from(is_accepted));
        self.usual += usual_weight;
    }

    fn is_known(&self) -> bool {
        self.offered >= MIN_OFFERED
    }

    fn is_short(&self, now: Time) -> bool {
        self.refused_at.is_some_and(|at| now < at + SHORTAGE)
    }

    fn accepted_fraction(&self) -> f64 {
        self.accepted / self.offered.max(f64::EPSILON)
    }

    /// Returns what was accepted of late relative to what is usually asked for. `usual` covers less time than its
    /// time constant after the first request.
    fn accepted_of_usual(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.first_at).as_secs_f64();
        let usual = self.usual / (1.0 - (-age / USUAL_SECONDS).exp()).max(f64::EPSILON);
        let recent = self.accepted / (1.0 - (-age / RECENT_SECONDS).exp()).max(f64::EPSILON);
        recent / usual.max(f64::EPSILON)
    }
}

impl Workspaces {
    /// Returns whether a workspace is accepted although others are short of capacity.
    pub fn allow(&self, now: Time, workspace: &WorkspaceId) -> bool {
        let Some(own) = self.by_id.get(workspace).filter(|own| own.is_known()) else {
            return true;
        };
        if own.accepted_fraction() < MIN_SHARE * self.all.accepted_fraction() {
            return true;
        }
        let most = own.accepted_of_usual(now) / MAX_LEAD;
        let mut others = self.by_id.iter();
        !others.any(|(id, other)| {
            let is_short = other.is_known() && other.is_short(now);
            id != workspace && is_short && other.accepted_of_usual(now) < most
        })
    }

    /// Records a new request and whether it was accepted.
    pub fn record(&mut self, now: Time, workspace: &WorkspaceId, is_accepted: bool) {
        let is_short = self.all.is_short(now);
        let usual_weight = if is_short { SHORT_WEIGHT } else { 1.0 };
        self.all.record(now, is_accepted, usual_weight);
        if self.by_id.len() >= MAX_WORKSPACES && !self.by_id.contains_key(workspace) {
            return;
        }
        let counts = self.by_id.entry(workspace.clone());
        let counts = counts.or_insert_with(|| Counts::new(now));
        counts.record(now, is_accepted, usual_weight);
    }

    /// Records that a request that was accepted is refused, or accepted after it was refused.
    pub fn correct(&mut self, now: Time, workspace: &WorkspaceId, is_accepted: bool) {
        let own = self.by_id.get_mut(workspace);
        for counts in own.into_iter().chain([&mut self.all]) {
            counts.decay(now);
            let change = if is_accepted { 1.0 } else { -1.0 };
            counts.accepted = (counts.accepted + change).clamp(0.0, counts.offered);
        }
    }

    /// Records that the pool is too short for a request.
    pub fn record_shortage(&mut self, now: Time, workspace: &WorkspaceId) {
        let own = self.by_id.get_mut(workspace);
        for counts in own.into_iter().chain([&mut self.all]) {
            counts.refused_at = Some(now);
        }
    }

    /// Forgets workspaces that have asked for nothing for long.
    pub fn prune(&mut self, now: Time) {
        let limit = Duration::from_secs_f64(USUAL_SECONDS);
        self.by_id
            .retain(|_, counts| now.saturating_sub(counts.updated_at) < limit);
    }
}
