//! Which daemon conducts, replayed over losses and returns.

use policy::relay::leader::{Candidate, Leader, elect, is_monitored, may_claim};
use rstest::rstest;
use std::time::Duration;

/// Time for which the fleet has run.
const UPTIME: Duration = Duration::from_secs(60);
/// Hosts that may conduct.
const LARGE_HOSTS: usize = 8;
/// Hosts of the fleet.
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

/// Returns whom each daemon of a fleet names.
fn elected(fleet: &[Candidate]) -> Vec<Leader> {
    let leaders = (0..fleet.len()).map(|index| {
        let mut peers = fleet.to_vec();
        let own = peers.remove(index);
        match elect(&own, &peers, false) {
            Leader::Own => Leader::Peer(own.host),
            leader => leader,
        }
    });
    leaders.collect()
}

/// Returns the position of the daemon that all of a fleet name.
fn leader_of(fleet: &[Candidate]) -> usize {
    let elected = elected(fleet);
    assert!(
        elected.iter().all(|lead| *lead == elected[0]),
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

/// A conductor that was killed in a burst is back after seconds, when another one has its work.
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

/// Daemons are restarted in turn, the conductor first. Of those that follow it, one that was
/// restarted goes before those whose turn is still to come.
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

/// A conductor that leaves hands over at once, however long it has conducted.
#[test]
fn leaving_leader_is_succeeded() {
    let mut fleet = fleet();
    let first = leader_of(&fleet);
    fleet[first].leads_since = Some(2_000);
    fleet[first].is_leaving = true;
    assert_ne!(leader_of(&fleet), first);
}

/// Two parts of a cut fleet have a conductor each; when the cut heals, all name the elder.
#[test]
fn longest_serving_leader_wins_after_a_partition() {
    let mut fleet = fleet();
    fleet[2].leads_since = Some(9_000);
    fleet[5].leads_since = Some(14_000);
    assert_eq!(leader_of(&fleet), 2);
}

/// A small daemon conducts for a part without large ones, but not after the cut has healed.
#[test]
fn large_daemon_replaces_a_small_leader() {
    let mut fleet = fleet();
    fleet[LARGE_HOSTS + 1].leads_since = Some(2_000);
    assert!(leader_of(&fleet) < LARGE_HOSTS);
}

/// Daemons that have just started fill no calls of their own beside the conductor's.
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
    assert_eq!(elect(&own, &peers, false), expected);
}

/// A daemon that knows no other one does not wait for it.
#[test]
fn lone_daemon_leads_at_once() {
    let mut own = candidate(0);
    own.linked_for = Duration::ZERO;
    assert_eq!(elect(&own, &[], true), Leader::Own);
}

/// The conductor dies together with the next one; the third was watched as well, and so each loss
/// is known as soon as the first.
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

/// Daemons that start together say nothing before they are linked to each other; two that did would
/// both be believed.
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
