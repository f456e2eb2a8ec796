//! Which daemon conducts.
//!
//! Load pattern: the daemon that conducts dies in a burst, some others with it, and all of them
//! are back within seconds. Each change of the conductor costs the fleet what the former one knew,
//! and two at once fill the same stage targets. So a daemon that conducts keeps on as long as it is
//! linked, one that has just started joins the conductor that its peers have, and those that would
//! follow are watched as closely as the conductor itself. When daemons are restarted in turn, the
//! last one that was follows, as its own turn is over.

use crate::id::HostId;
use std::{cmp::Reverse, time::Duration};

/// Time after which a daemon is linked to all others; before, each would name another conductor.
const LINK_SETTLE_TIME: Duration = Duration::from_millis(2_500); // a dial after the other end has yielded, twice over
/// Time for which a daemon that has just started waits for a link to the conductor.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(1); // others dial it within 200 ms, or it dials them
/// Time after which a daemon that has just started may say that it conducts.
const CLAIM_DELAY: Duration = Duration::from_millis(1_500); // a dial after the other end has yielded
/// Share of the largest daemon's processor time from which a daemon may conduct; a small one would
/// bind the whole fleet.
const LARGE_CPU_RATIO: f64 = 0.8;
/// Daemons that are watched: the conductor, and two that follow if it dies together with the next.
const MONITORED: usize = 3;

/// Time in milliseconds since 1970 by the clock of the daemon that tells it, so that it is the
/// same in all views however long a message took.
pub type UnixMillis = u64;

/// A daemon that may conduct.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its host.
    pub host: HostId,
    /// Share of a core.
    pub cpu: f64,
    /// Whether it ends soon.
    pub is_leaving: bool,
    /// Time since it was linked, or since the start of the daemon that asks.
    pub linked_for: Duration,
    /// Since when it has conducted, if it does.
    pub leads_since: Option<UnixMillis>,
    /// Start of its process.
    pub started: UnixMillis,
}

/// Who conducts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Leader {
    /// The daemon that asks.
    Own,
    /// A peer.
    Peer(HostId),
    /// It is not known yet.
    Unknown,
}

/// Returns who conducts, as a daemon sees it that is linked to `peers`.
///
/// `is_alone` says that it knows of no other daemon.
pub fn elect(own: &Candidate, peers: &[Candidate], is_alone: bool) -> Leader {
    let has_leader = peers.iter().any(Candidate::is_leader);
    if !is_alone && !has_leader && own.linked_for < JOIN_TIMEOUT {
        return Leader::Unknown;
    }
    let largest_cpu = largest_cpu(own, peers);
    let own_rank = own.rank(
        largest_cpu,
        peers.is_empty() || own.linked_for >= LINK_SETTLE_TIME * 2,
    );
    let others = peers.iter().filter(|peer| !peer.is_leaving);
    let ranks = others.map(|peer| {
        (
            peer.rank(largest_cpu, peer.linked_for >= LINK_SETTLE_TIME),
            &peer.host,
        )
    });
    match ranks.max() {
        Some((rank, host)) if own.is_leaving || rank > own_rank => Leader::Peer(host.clone()),
        _ => Leader::Own,
    }
}

/// Returns whether a daemon that names itself tells its peers that it conducts.
///
/// Before it is linked to most others, many daemons would say so of themselves. Two that do are
/// told apart by the moments that they name.
pub fn may_claim(own: &Candidate, peers: &[Candidate]) -> bool {
    !peers.is_empty() && own.linked_for >= CLAIM_DELAY
}

/// Returns whether a daemon conducts or is among the next to do so.
pub fn is_monitored(own: &Candidate, peers: &[Candidate]) -> bool {
    if own.is_leaving {
        return false;
    }
    let largest_cpu = largest_cpu(own, peers);
    let others = peers.iter().filter(|peer| !peer.is_leaving);
    let rank = own.rank(largest_cpu, true);
    let before = others.filter(|peer| peer.rank(largest_cpu, true) > rank);
    before.count() < MONITORED
}

/// What orders the candidates: settled, large, the first to conduct, the last start, and the name.
type Rank<'a> = (bool, bool, Option<Reverse<UnixMillis>>, UnixMillis, &'a str);

impl Candidate {
    fn is_leader(&self) -> bool {
        !self.is_leaving && self.leads_since.is_some()
    }

    /// Returns what orders the candidates, the conductor last.
    fn rank(&self, largest_cpu: f64, is_settled: bool) -> Rank<'_> {
        let is_settled = is_settled || self.is_leader();
        let is_large = self.cpu >= largest_cpu * LARGE_CPU_RATIO;
        let since = self.leads_since.map(Reverse);
        (is_settled, is_large, since, self.started, &self.host)
    }
}

fn largest_cpu(own: &Candidate, peers: &[Candidate]) -> f64 {
    let all = peers.iter().chain([own]);
    let staying = all.filter(|candidate| !candidate.is_leaving);
    staying.fold(0.0, |largest_cpu, candidate| largest_cpu.max(candidate.cpu))
}
