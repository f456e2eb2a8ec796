//! Election of the daemon that runs the scheduler.
//!
//! Log messages and the protocol between daemons call the leader the conductor.
//!
//! The leader may crash in a burst together with some other daemons, and all of them are back
//! within seconds. Each change of leader loses the state of the previous one, and two leaders at
//! once send calls to the same stage targets. A leader therefore keeps its role as long as it is
//! linked, a daemon that has just started joins the leader of its peers, and the likely successors
//! are monitored as closely as the leader itself. In a rolling restart, the daemon that was
//! restarted last succeeds, since its own restart is over.

use crate::id::HostId;
use std::{cmp::Reverse, time::Duration};

/// Time after which a daemon is linked to all others: enough to dial twice after the other end has
/// yielded. Before that, daemons would elect different leaders.
const LINK_SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Time for which a daemon that has just started waits for a link to the leader.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(1); // peers dial in 200 ms, or are dialled
/// Fraction of the known daemons that a daemon must be linked to before it elects a leader of daemons that have all
/// just started. The others may be lost.
const LINKED_RATIO: f64 = 0.9;
/// Maximum difference between the starts of daemons that start again after a loss of all of them, in milliseconds.
const RESTART_SPREAD: UnixMillis = 3_000;
/// Time after its start before which a daemon does not announce itself as leader: enough to dial
/// after the other end has yielded.
const CLAIM_DELAY: Duration = Duration::from_millis(1_500);
/// Fraction of the largest daemon's CPU share from which a daemon is preferred as leader. A small
/// leader would limit the throughput of the whole fleet.
const LARGE_CPU_RATIO: f64 = 0.8;
/// Number of monitored daemons: the leader and two successors, in case it crashes together with the
/// first of them.
const MONITORED_DAEMONS: usize = 3;

/// Milliseconds since the Unix epoch by the clock of the daemon that reports the time, so that all
/// daemons see the same value regardless of message latency.
pub type UnixMillis = u64;

/// A daemon that may become the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Host of the daemon.
    pub host: HostId,
    /// CPU share in cores.
    pub cpu: f64,
    /// Whether the daemon is shutting down.
    pub is_leaving: bool,
    /// Time since the link to it was established; for the local daemon, time since its start.
    pub linked_for: Duration,
    /// When it became the leader; absent if it is not.
    pub leads_since: Option<UnixMillis>,
    /// Start time of its process.
    pub started: UnixMillis,
}

/// Result of an election.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Leader {
    /// The local daemon.
    Own,
    /// The peer on this host.
    Peer(HostId),
    /// Not known yet, as the local daemon has just started.
    Unknown,
}

/// Returns the leader from the point of view of a daemon that is linked to `peers`.
///
/// `known` is the number of other daemons that it knows of, linked or not.
pub fn elect(own: &Candidate, peers: &[Candidate], known: usize) -> Leader {
    let has_leader = peers.iter().any(Candidate::is_leader);
    let is_unsure = known > 0 && !has_leader && own.linked_for < JOIN_TIMEOUT;
    if is_unsure && !have_all_started(own, peers, known) {
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

/// Returns whether all daemons have just started, as after a loss of all of them. None of them can be linked to an
/// earlier leader then, and requests would wait for the [`JOIN_TIMEOUT`] in vain.
fn have_all_started(own: &Candidate, peers: &[Candidate], known: usize) -> bool {
    let are_new = peers
        .iter()
        .all(|peer| peer.started.abs_diff(own.started) <= RESTART_SPREAD);
    are_new && peers.len() as f64 >= known as f64 * LINKED_RATIO
}

/// Returns whether a daemon that elects itself may announce to its peers that it is the leader.
///
/// Before daemons are linked to most others, many of them would elect themselves. If two daemons
/// announce themselves nevertheless, the one that became leader first wins.
pub fn may_claim(own: &Candidate, peers: &[Candidate]) -> bool {
    !peers.is_empty() && own.linked_for >= CLAIM_DELAY
}

/// Returns whether a daemon is the leader or one of its likely successors.
pub fn is_monitored(own: &Candidate, peers: &[Candidate]) -> bool {
    if own.is_leaving {
        return false;
    }
    let largest_cpu = largest_cpu(own, peers);
    let others = peers.iter().filter(|peer| !peer.is_leaving);
    let rank = own.rank(largest_cpu, true);
    let before = others.filter(|peer| peer.rank(largest_cpu, true) > rank);
    before.count() < MONITORED_DAEMONS
}

/// Sort key of candidates: settled, large, earliest to become leader, latest start, and host name.
type Rank<'a> = (bool, bool, Option<Reverse<UnixMillis>>, UnixMillis, &'a str);

impl Candidate {
    fn is_leader(&self) -> bool {
        !self.is_leaving && self.leads_since.is_some()
    }

    /// Returns the sort key; the candidate with the greatest one becomes the leader.
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
