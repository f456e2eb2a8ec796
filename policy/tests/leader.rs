//! Leader election across crashes, restarts and partitions.

use policy::relay::leader::{Candidate, Leader, elect, is_monitored, may_claim};
use rstest::rstest;
use std::time::Duration;

const UPTIME: Duration = Duration::from_secs(60);
/// Number of hosts that are large enough to lead.
const LARGE_HOSTS: usize = 8;
const FLEET_SIZE: usize = 90;

fn candidate(index: usize) -> Candidate {
    Candidate {
        host: format!("h{index}").into(),
        started: 1_000,
        cpu: if index < LARGE_HOSTS { 0.5 } else { 0.12 },
        is_leaving: false,
        linked_for: UPTIME,
        leads_since: None,
    }
}

fn fleet() -> Vec<Candidate> {
    (0..FLEET_SIZE).map(candidate).collect()
}

/// Returns the leader that each daemon of a fleet elects.
fn elected(fleet: &[Candidate]) -> Vec<Leader> {
    let leaders = (0..fleet.len()).map(|index| {
        let mut peers = fleet.to_vec();
        let own = peers.remove(index);
        match elect(&own, &peers, peers.len()) {
            Leader::Own => Leader::Peer(own.host),
            leader => leader,
        }
    });
    leaders.collect()
}

/// Returns the index of the leader, and panics unless all daemons elect the same one.
fn leader_of(fleet: &[Candidate]) -> usize {
    let elected = elected(fleet);
    assert!(
        elected.iter().all(|leader| *leader == elected[0]),
        "{elected:?}"
    );
    let Leader::Peer(host) = &elected[0] else {
        panic!("no leader is elected");
    };
    let mut hosts = fleet.iter();
    hosts
        .position(|candidate| candidate.host == *host)
        .expect("leader is part of the fleet")
}

#[test]
fn all_elect_one_of_the_largest() {
    assert!(leader_of(&fleet()) < LARGE_HOSTS);
}

/// Guards against a second change of leader when the previous leader crashed in a burst and is back
/// seconds later, after another daemon has taken over.
#[test]
fn restarted_leader_does_not_take_over() {
    let mut fleet = fleet();
    let first = leader_of(&fleet);
    let mut restarted = fleet.remove(first);
    let second = leader_of(&fleet);
    fleet[second].leads_since = Some(57_000);
    let successor = fleet[second].host.clone();
    restarted.linked_for = Duration::from_secs(5);
    fleet.insert(first, restarted);
    assert_eq!(fleet[leader_of(&fleet)].host, successor);
}

/// Guards against a change of leader with each step of a rolling restart that begins with the
/// leader. Daemons that were restarted must precede those that are still to be restarted.
#[test]
fn rolling_restart_changes_the_leader_at_most_twice() {
    let mut fleet = fleet();
    let mut changes = 0;
    let mut last = 0;
    fleet[last].leads_since = Some(2_000);
    for index in 0..FLEET_SIZE {
        fleet[index].is_leaving = true;
        let next = leader_of(&fleet);
        changes += usize::from(next != last);
        for candidate in &mut fleet {
            candidate.leads_since = None;
        }
        fleet[next].leads_since = Some(2_000);
        last = next;
        fleet[index] = Candidate {
            started: 2_000 + index as u64,
            leads_since: fleet[index].leads_since,
            ..candidate(index)
        };
    }
    assert!(changes <= 2, "{changes} changes");
}

/// Guards against a leader that keeps its role while it shuts down, because it has led longest.
#[test]
fn leaving_leader_is_succeeded() {
    let mut fleet = fleet();
    let first = leader_of(&fleet);
    fleet[first].leads_since = Some(2_000);
    fleet[first].is_leaving = true;
    assert_ne!(leader_of(&fleet), first);
}

/// Guards against two leaders after a network partition in which each part elected its own.
#[test]
fn longest_serving_leader_wins_after_a_partition() {
    let mut fleet = fleet();
    fleet[2].leads_since = Some(9_000);
    fleet[5].leads_since = Some(14_000);
    assert_eq!(leader_of(&fleet), 2);
}

/// Guards against a small daemon that led a partition without large ones and remains the leader
/// after the partition has healed.
#[test]
fn large_daemon_replaces_a_small_leader() {
    let mut fleet = fleet();
    fleet[LARGE_HOSTS + 1].leads_since = Some(2_000);
    assert!(leader_of(&fleet) < LARGE_HOSTS);
}

/// Guards against a second leader that sends calls to the same targets: a daemon that has just
/// started must wait for a link to the current leader.
#[rstest]
#[case::no_link_yet(0, None, 100, Leader::Unknown)]
#[case::other_links_first(5, None, 400, Leader::Unknown)]
#[case::leader_is_linked(5, Some(3), 100, Leader::Peer("h3".into()))]
#[case::no_peer_links_in_time(0, None, 1_100, Leader::Own)]
fn started_daemon_joins_the_leader(
    #[case] links: usize,
    #[case] leader: Option<usize>,
    #[case] since_start: u64,
    #[case] expected: Leader,
) {
    let mut own = candidate(FLEET_SIZE);
    own.linked_for = Duration::from_millis(since_start);
    let mut peers: Vec<Candidate> = (0..links).map(candidate).collect();
    for peer in &mut peers {
        peer.linked_for = Duration::from_millis(50);
    }
    if let Some(leader) = leader {
        peers[leader].leads_since = Some(2_000);
    }
    assert_eq!(elect(&own, &peers, FLEET_SIZE), expected);
}

/// Guards against requests that wait for a leader after a loss of all daemons: nobody can be linked to an earlier
/// one. While some daemons are not linked yet, or one has run for longer, a leader may exist.
#[rstest]
#[case::all_linked(FLEET_SIZE, 1_900, Leader::Peer("h7".into()))]
#[case::some_are_lost(FLEET_SIZE * 19 / 20, 1_900, Leader::Peer("h7".into()))]
#[case::some_are_not_linked(FLEET_SIZE * 4 / 5, 1_900, Leader::Unknown)]
#[case::one_has_run_for_longer(FLEET_SIZE, 90_000, Leader::Unknown)]
fn restarted_fleet_elects_at_once(
    #[case] links: usize,
    #[case] started_before_ms: u64,
    #[case] expected: Leader,
) {
    let mut own = candidate(FLEET_SIZE);
    own.started = 100_000;
    own.linked_for = Duration::from_millis(150);
    let mut peers: Vec<Candidate> = (0..links).map(candidate).collect();
    for peer in &mut peers {
        peer.started = own.started;
        peer.linked_for = Duration::from_millis(50);
    }
    peers[LARGE_HOSTS].started = own.started - started_before_ms;
    assert_eq!(elect(&own, &peers, FLEET_SIZE), expected);
}

/// Guards against a daemon without known peers waiting for a leader to link.
#[test]
fn lone_daemon_leads_at_once() {
    let mut own = candidate(0);
    own.linked_for = Duration::ZERO;
    assert_eq!(elect(&own, &[], 0), Leader::Own);
}

/// Guards against slow failover when the leader crashes together with its successor: the leader
/// and the next two in line must all be monitored.
#[test]
fn successors_are_monitored() {
    let mut fleet = fleet();
    let mut successors = Vec::new();
    for _ in 0..3 {
        let index = leader_of(&fleet);
        successors.push(fleet.remove(index).host);
    }
    let fleet = self::fleet();
    let monitored = (0..FLEET_SIZE).filter(|&index| {
        let mut peers = fleet.clone();
        let own = peers.remove(index);
        is_monitored(&own, &peers)
    });
    let mut monitored: Vec<_> = monitored.map(|index| fleet[index].host.clone()).collect();
    monitored.sort();
    successors.sort();
    assert_eq!(monitored, successors);
}

/// Guards against two daemons that start together and both announce themselves as leader before
/// they are linked to each other.
#[test]
fn nobody_claims_leadership_before_it_is_linked() {
    let peers = fleet();
    let mut own = candidate(FLEET_SIZE);
    own.linked_for = Duration::from_secs(1);
    assert!(!may_claim(&own, &peers));
    own.linked_for = UPTIME;
    assert!(may_claim(&own, &peers));
    assert!(!may_claim(&own, &[]));
}
