//! Selection of expired claims for garbage collection.
//!
//! Claim rows contain no time stamp. Instead, the platform's newest commit number is recorded with
//! the current time at intervals as a watermark; a row whose commit number is below a watermark is
//! older than it. Rewriting a row restarts its retention.

use crate::{
    claim::Version,
    hash,
    id::{HostId, WorkspaceId},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of watermarks per retention; a claim is kept too long by at most one interval.
const MARKS_PER_RETENTION: u32 = 24;

/// Commit numbers and the times at which they were the newest.
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

/// Commit number that was the newest at a time since the Unix epoch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Watermark {
    #[serde(with = "crate::millis")]
    at: Duration,
    version: Version,
}

impl Watermarks {
    /// Records the newest commit number if a watermark is due, and returns whether it did so.
    ///
    /// `now` is the time since the Unix epoch. Nothing is recorded if `version` is lower than the
    /// last one. Watermarks that are no longer needed are removed.
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

    /// Returns the commit number up to which rows are older than `retention`, or 0 if none are.
    pub fn horizon(&self, now: Duration, retention: Duration) -> Version {
        let expired = self.expired_count(now, retention);
        self.marks[..expired].last().map_or(0, |mark| mark.version)
    }

    /// Returns the number of watermarks older than `retention`.
    fn expired_count(&self, now: Duration, retention: Duration) -> usize {
        self.marks
            .partition_point(|mark| mark.at + retention <= now)
    }
}

/// Returns whether host `own` sweeps the claims of `workspace`, by rendezvous hashing over `hosts`.
///
/// Daemons with different views of the fleet may sweep the same workspace, which is harmless.
pub fn is_sweeper(own: &HostId, hosts: &[HostId], workspace: &WorkspaceId) -> bool {
    let weight = |host: &HostId| hash::texts(&[workspace, host]);
    hosts
        .iter()
        .filter(|host| *host != own)
        .all(|host| weight(host) < weight(own))
}
