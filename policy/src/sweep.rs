//! Which claims are old enough to be deleted.
//!
//! Claim rows hold no time. Instead, commit numbers of the platform are marked with the time at
//! which they were the newest ones, so a row whose commit number lies below a mark is older than
//! the mark. A row that is written anew counts from then on.

use crate::{
    claim::Version,
    hash,
    id::{HostId, WorkspaceId},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Marks in one retention; a claim is kept for at most one mark's distance too long.
const MARKS: u32 = 24;

/// Commit numbers with the time at which they were the newest ones.
///
/// ```
/// use policy::sweep::Marks;
/// use std::time::Duration;
///
/// let hour = Duration::from_secs(3600);
/// let mut marks = Marks::default();
/// assert!(marks.note(hour, 700, hour));
/// assert_eq!(marks.horizon(hour, hour), 0);
/// assert_eq!(marks.horizon(hour * 2, hour), 700);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Marks {
    marks: Vec<Mark>,
}

/// One commit number with its time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Mark {
    #[serde(with = "crate::millis")]
    at: Duration,
    version: Version,
}

impl Marks {
    /// Marks the newest commit number if the last mark is old enough, and returns whether it did.
    ///
    /// `now` is the time since the Unix epoch. Marks that are no longer needed are dropped.
    pub fn note(&mut self, now: Duration, version: Version, retention: Duration) -> bool {
        let due = self
            .marks
            .last()
            .is_none_or(|last| now >= last.at + retention / MARKS && version >= last.version);
        if due {
            let old = self.old(now, retention);
            self.marks.drain(..old.saturating_sub(1));
            self.marks.push(Mark { at: now, version });
        }
        due
    }

    /// Returns the commit number up to which rows are older than `retention`, or 0.
    pub fn horizon(&self, now: Duration, retention: Duration) -> Version {
        let old = self.old(now, retention);
        self.marks[..old].last().map_or(0, |mark| mark.version)
    }

    /// Returns how many marks are older than `retention`.
    fn old(&self, now: Duration, retention: Duration) -> usize {
        self.marks
            .partition_point(|mark| mark.at + retention <= now)
    }
}

/// Returns whether `own` sweeps the claims of `workspace`, by rendezvous hashing over `hosts`.
///
/// Two daemons with different views may both sweep a workspace, which does no harm.
pub fn is_sweeper(own: &HostId, hosts: &[HostId], workspace: &WorkspaceId) -> bool {
    let weight = |host: &HostId| hash::texts(&[workspace, host]);
    hosts
        .iter()
        .filter(|host| *host != own)
        .all(|host| weight(host) < weight(own))
}
