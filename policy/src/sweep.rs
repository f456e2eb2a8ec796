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
const MARKS_PER_RETENTION: u32 = 24;

/// Commit numbers with the time at which they were the newest ones.
///
/// ```
/// use policy::sweep::Watermarks;
/// use std::time::Duration;
///
/// let hour = Duration::from_secs(3600);
/// let mut marks = Watermarks::default();
/// assert!(marks.record(hour, 700, hour));
/// assert_eq!(marks.horizon(hour, hour), 0);
/// assert_eq!(marks.horizon(hour * 2, hour), 700);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Watermarks {
    marks: Vec<Watermark>,
}

/// One commit number with its time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Watermark {
    #[serde(with = "crate::millis")]
    at: Duration,
    version: Version,
}

impl Watermarks {
    /// Marks the newest commit number if the last mark is old enough, and returns whether it did.
    ///
    /// `now` is the time since the Unix epoch. Marks that are no longer needed are dropped.
    pub fn record(&mut self, now: Duration, version: Version, retention: Duration) -> bool {
        let due = self.marks.last().is_none_or(|last| {
            now >= last.at + retention / MARKS_PER_RETENTION && version >= last.version
        });
        if due {
            let expired = self.expired_count(now, retention);
            self.marks.drain(..expired.saturating_sub(1));
            self.marks.push(Watermark { at: now, version });
        }
        due
    }

    /// Returns the commit number up to which rows are older than `retention`, or 0.
    pub fn horizon(&self, now: Duration, retention: Duration) -> Version {
        let expired = self.expired_count(now, retention);
        self.marks[..expired].last().map_or(0, |mark| mark.version)
    }

    /// Returns how many marks are older than `retention`.
    fn expired_count(&self, now: Duration, retention: Duration) -> usize {
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
