//! Whether a daemon reaches the targets by itself.
//!
//! A daemon may be partitioned from all targets for seconds, again and again, while callers and
//! peers reach it: new connections are refused, reset or hang, and open ones break, hang or live on.
//! Several targets also refuse connections at once when they crash or a new release replaces a pool.
//! Only new connections tell, and only to different targets: a daemon counts as partitioned once it
//! has failed to connect to [`MIN_UNREACHED`] of them, or to [`MIN_RELAYED`] that a peer reached at
//! the same time, and to none with success in between. The targets to try are chosen such that a
//! pool whose targets are all gone is not tried alone.

use super::registry::Target;
use crate::id::{PoolId, TargetId, Time};
use std::{collections::HashMap, time::Duration};

/// Number of targets that a daemon has failed to reach, with no success in between, from which it
/// counts as partitioned; fewer if there are fewer targets.
pub const MIN_UNREACHED: usize = 6;
/// Number of such targets if a peer reached them at the same time.
pub const MIN_RELAYED: usize = 2;
/// Time for which a failure counts.
const FAILURE_PERIOD: Duration = Duration::from_secs(3);
/// Time without a successful connection after which one is tried.
const IDLE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between tries while a partition lasts.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between tries while a partition is suspected, or seems to have ended.
const SUSPICION_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of targets that are tried at once while a partition is suspected.
const SUSPICION_PROBES: usize = 3;
/// Number of successful tries in a row that end a partition.
const MIN_REACHED: usize = 2;
/// Time for which peers are not asked for a target that none of them reached.
const RELAY_PAUSE: Duration = Duration::from_millis(300); // a crashed target is back in seconds

/// Change of what a daemon holds true of its paths to the targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The daemon is now considered partitioned.
    Began,
    /// The daemon reaches the targets again.
    Ended,
}

/// What shows that a daemon is partitioned.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Targets that it failed to reach.
    pub unreached: usize,
    /// Those of them that a peer reached at the same time.
    pub relayed: usize,
}

/// A target that a daemon failed to reach.
#[derive(Clone, Copy, Debug)]
struct Failure {
    at: Time,
    is_relayed: bool,
}

/// What a daemon knows of its paths to the targets.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    partitioned_since: Option<Time>,
    /// Targets that it failed to reach since it last reached any.
    failures: HashMap<TargetId, Failure>,
    /// When it last opened a connection to a target.
    reached_at: Option<Time>,
    /// Successful tries in a row during a partition.
    reached_in_partition: usize,
    probed_at: Option<Time>,
    /// Position in the list of targets from which the next ones are tried.
    next_probe: usize,
    /// Targets that a peer reached while this daemon did not, and when.
    relayed: HashMap<TargetId, Time>,
    /// When peers last failed to reach a target.
    unrelayed: HashMap<TargetId, Time>,
}

impl Reach {
    /// Creates the state of a daemon that has not connected to any target yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the daemon is considered partitioned from all targets.
    pub fn is_partitioned(&self) -> bool {
        self.partitioned_since.is_some()
    }

    /// Returns since when the daemon is considered partitioned.
    pub fn partitioned_since(&self) -> Option<Time> {
        self.partitioned_since
    }

    /// Returns what the daemon failed to reach since it last reached a target.
    pub fn evidence(&self, now: Time) -> Evidence {
        Evidence {
            unreached: self.recent_failures(now).count(),
            relayed: self
                .recent_failures(now)
                .filter(|one| one.is_relayed)
                .count(),
        }
    }

    /// Records that the daemon opened a connection to a target by itself.
    pub fn record_reached(&mut self, now: Time, target: &TargetId) -> Option<Change> {
        self.relayed.remove(target);
        self.reached_at = Some(now);
        if self.is_partitioned() {
            self.reached_in_partition += 1;
            if self.reached_in_partition < MIN_REACHED {
                return None;
            }
        }
        self.failures.clear();
        self.reached_in_partition = 0;
        self.partitioned_since.take().map(|_| Change::Ended)
    }

    /// Records that the daemon failed to open a connection to a target by itself. `targets` is the
    /// number of known targets.
    pub fn record_unreached(
        &mut self,
        now: Time,
        target: &TargetId,
        targets: usize,
    ) -> Option<Change> {
        self.reached_in_partition = 0;
        let is_relayed = self.failures.get(target).is_some_and(|one| one.is_relayed);
        let failure = Failure {
            at: now,
            is_relayed,
        };
        self.failures.insert(target.clone(), failure);
        self.review(now, targets)
    }

    /// Records that a peer opened a connection to a target that this daemon had just failed to
    /// reach.
    pub fn record_relayed(
        &mut self,
        now: Time,
        target: &TargetId,
        targets: usize,
    ) -> Option<Change> {
        self.unrelayed.remove(target);
        self.relayed
            .retain(|_, relayed| now < *relayed + FAILURE_PERIOD);
        self.relayed.insert(target.clone(), now);
        let failure = Failure {
            at: now,
            is_relayed: true,
        };
        self.failures.insert(target.clone(), failure);
        self.review(now, targets)
    }

    /// Records that no peer reached a target either.
    pub fn record_unrelayed(&mut self, now: Time, target: &TargetId) {
        self.unrelayed
            .retain(|_, failed| now < *failed + RELAY_PAUSE);
        self.unrelayed.insert(target.clone(), now);
    }

    /// Returns whether only peers have reached a target lately, so that they are asked without delay.
    pub fn is_relayed(&self, now: Time, target: &TargetId) -> bool {
        let relayed = self.relayed.get(target);
        relayed.is_some_and(|relayed| now < *relayed + FAILURE_PERIOD)
    }

    /// Returns whether peers may be asked for a connection to a target.
    pub fn may_relay(&self, now: Time, target: &TargetId) -> bool {
        let failed = self.unrelayed.get(target);
        failed.is_none_or(|failed| now >= *failed + RELAY_PAUSE)
    }

    /// Returns the targets to which a connection has to be tried now, if any.
    pub fn probes<'a>(&mut self, now: Time, targets: &[&'a Target]) -> Vec<&'a Target> {
        self.failures
            .retain(|_, failure| now < failure.at + FAILURE_PERIOD);
        let is_suspected = !self.is_partitioned() && !self.failures.is_empty();
        let interval = if is_suspected || self.reached_in_partition > 0 {
            SUSPICION_PROBE_INTERVAL
        } else if self.is_partitioned() {
            PROBE_INTERVAL
        } else {
            IDLE_PROBE_INTERVAL
        };
        let latest = if self.is_partitioned() || is_suspected {
            self.probed_at
        } else {
            self.probed_at.max(self.reached_at)
        };
        if targets.is_empty() || latest.is_some_and(|latest| now < latest + interval) {
            return Vec::new();
        }
        self.probed_at = Some(now);
        let mut order: Vec<&Target> = targets.to_vec();
        order.rotate_left(self.next_probe % targets.len());
        let count = if is_suspected { SUSPICION_PROBES } else { 1 };
        self.next_probe = self.next_probe.wrapping_add(count);
        if is_suspected {
            self.sort_by_pool(&mut order);
        }
        order.truncate(count);
        order
    }

    /// Moves targets to the front that have not failed, of pools with the fewest failures, each pool
    /// in turn.
    fn sort_by_pool(&self, targets: &mut Vec<&Target>) {
        let mut in_pool: HashMap<PoolId, usize> = HashMap::new();
        let (failed, untried): (Vec<&Target>, Vec<&Target>) = targets
            .iter()
            .partition(|target| self.failures.contains_key(&target.id));
        let ordered = failed.into_iter().map(|target| (true, target));
        let ordered = ordered.chain(untried.into_iter().map(|target| (false, target)));
        let mut ranked: Vec<((bool, usize), &Target)> = ordered
            .map(|(has_failed, target)| {
                let rank = in_pool.entry(target.pool.clone()).or_default();
                *rank += 1;
                ((has_failed, *rank), target)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        *targets = ranked.into_iter().map(|(_, target)| target).collect();
    }

    fn review(&mut self, now: Time, targets: usize) -> Option<Change> {
        if self.is_partitioned() {
            return None;
        }
        let Evidence { unreached, relayed } = self.evidence(now);
        let is_partitioned =
            unreached >= MIN_UNREACHED.min(targets.max(1)) || relayed >= MIN_RELAYED.min(targets);
        is_partitioned.then(|| {
            self.partitioned_since = Some(now);
            Change::Began
        })
    }

    fn recent_failures(&self, now: Time) -> impl Iterator<Item = &Failure> {
        let failures = self.failures.values();
        failures.filter(move |failure| now < failure.at + FAILURE_PERIOD)
    }
}
