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
const SETTLED: Duration = Duration::from_millis(2_500); // a dial after the other end has yielded, twice over
/// Time for which a daemon that has just started waits for a link to the conductor.
pub const JOIN_WAIT: Duration = Duration::from_secs(1); // others dial it within 200 ms, or it dials them
/// Time after which a daemon that has just started may say that it conducts.
const CLAIM_AFTER: Duration = Duration::from_millis(1_500); // a dial after the other end has yielded
/// Share of the largest daemon's processor time from which a daemon may conduct; a small one would
/// bind the whole fleet.
const LARGE_SHARE: f64 = 0.8;
/// Daemons that are watched: the conductor, and two that follow if it dies together with the next.
const WATCHED: usize = 3;

/// Time in milliseconds since 1970 by the clock of the daemon that tells it, so that it is the
/// same in all views however long a message took.
pub type Moment = u64;

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
    pub linked: Duration,
    /// Since when it has conducted, if it does.
    pub conducts_since: Option<Moment>,
    /// Start of its process.
    pub started: Moment,
}

/// Who conducts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Lead {
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
pub fn choose(own: &Candidate, peers: &[Candidate], is_alone: bool) -> Lead {
    let has_conductor = peers.iter().any(Candidate::conducts);
    if !is_alone && !has_conductor && own.linked < JOIN_WAIT {
        return Lead::Unknown;
    }
    let largest = largest(own, peers);
    let own_rank = own.rank(largest, peers.is_empty() || own.linked >= SETTLED * 2);
    let others = peers.iter().filter(|peer| !peer.is_leaving);
    let ranks = others.map(|peer| (peer.rank(largest, peer.linked >= SETTLED), &peer.host));
    match ranks.max() {
        Some((rank, host)) if own.is_leaving || rank > own_rank => Lead::Peer(host.clone()),
        _ => Lead::Own,
    }
}

/// Returns whether a daemon that names itself tells its peers that it conducts.
///
/// Before it is linked to most others, many daemons would say so of themselves. Two that do are
/// told apart by the moments that they name.
pub fn may_claim(own: &Candidate, peers: &[Candidate]) -> bool {
    !peers.is_empty() && own.linked >= CLAIM_AFTER
}

/// Returns whether a daemon conducts or is among the next to do so.
pub fn is_watched(own: &Candidate, peers: &[Candidate]) -> bool {
    if own.is_leaving {
        return false;
    }
    let largest = largest(own, peers);
    let others = peers.iter().filter(|peer| !peer.is_leaving);
    let rank = own.rank(largest, true);
    let before = others.filter(|peer| peer.rank(largest, true) > rank);
    before.count() < WATCHED
}

/// What orders the candidates: settled, large, the first to conduct, the last start, and the name.
type Rank<'a> = (bool, bool, Option<Reverse<Moment>>, Moment, &'a str);

impl Candidate {
    fn conducts(&self) -> bool {
        !self.is_leaving && self.conducts_since.is_some()
    }

    /// Returns what orders the candidates, the conductor last.
    fn rank(&self, largest: f64, is_settled: bool) -> Rank<'_> {
        let is_settled = is_settled || self.conducts();
        let is_large = self.cpu >= largest * LARGE_SHARE;
        let since = self.conducts_since.map(Reverse);
        (is_settled, is_large, since, self.started, &self.host)
    }
}

fn largest(own: &Candidate, peers: &[Candidate]) -> f64 {
    let all = peers.iter().chain([own]);
    let staying = all.filter(|candidate| !candidate.is_leaving);
    staying.fold(0.0, |largest, candidate| largest.max(candidate.cpu))
}
