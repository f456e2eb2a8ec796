//! Which daemon conducts, replayed over losses and returns.

use policy::relay::lead::{Candidate, Lead, choose, is_watched, may_claim};
use rstest::rstest;
use std::time::Duration;

/// Time for which the fleet has run.
const LONG: Duration = Duration::from_secs(60);
/// Hosts that may conduct.
const LARGE: usize = 8;
/// Hosts of the fleet.
const ALL: usize = 90;

fn candidate(index: usize) -> Candidate {
    Candidate {
        host: format!("h{index}").into(),
        started: 1_000,
        cpu: if index < LARGE { 0.5 } else { 0.12 },
        is_leaving: false,
        linked: LONG,
        conducts_since: None,
    }
}

fn fleet() -> Vec<Candidate> {
    (0..ALL).map(candidate).collect()
}

/// Returns whom each daemon of a fleet names.
fn named(fleet: &[Candidate]) -> Vec<Lead> {
    let leads = (0..fleet.len()).map(|index| {
        let mut peers = fleet.to_vec();
        let own = peers.remove(index);
        match choose(&own, &peers, false) {
            Lead::Own => Lead::Peer(own.host),
            lead => lead,
        }
    });
    leads.collect()
}

/// Returns the position of the daemon that all of a fleet name.
fn conductor(fleet: &[Candidate]) -> usize {
    let named = named(fleet);
    assert!(named.iter().all(|lead| *lead == named[0]), "{named:?}");
    let Lead::Peer(host) = &named[0] else {
        panic!("no conductor is named");
    };
    let mut hosts = fleet.iter();
    hosts
        .position(|one| one.host == *host)
        .expect("one of the fleet")
}

#[test]
fn all_name_one_of_the_largest() {
    assert!(conductor(&fleet()) < LARGE);
}

/// A conductor that was killed in a burst is back after seconds, when another one has its work.
#[test]
fn conductor_that_returns_does_not_take_over() {
    let mut fleet = fleet();
    let first = conductor(&fleet);
    let mut returned = fleet.remove(first);
    let second = conductor(&fleet);
    fleet[second].conducts_since = Some(57_000);
    let successor = fleet[second].host.clone();
    returned.linked = Duration::from_secs(5);
    fleet.insert(first, returned);
    assert_eq!(fleet[conductor(&fleet)].host, successor);
}

/// Daemons are restarted in turn, the conductor first. Of those that follow it, one that was
/// restarted goes before those whose turn is still to come.
#[test]
fn restarts_in_turn_change_the_conductor_twice_at_most() {
    let mut fleet = fleet();
    let mut changes = 0;
    let mut last = 0;
    fleet[last].conducts_since = Some(2_000);
    for index in 0..ALL {
        fleet[index].is_leaving = true;
        let next = conductor(&fleet);
        changes += usize::from(next != last);
        for candidate in &mut fleet {
            candidate.conducts_since = None;
        }
        fleet[next].conducts_since = Some(2_000);
        last = next;
        fleet[index] = Candidate {
            started: 2_000 + index as u64,
            conducts_since: fleet[index].conducts_since,
            ..candidate(index)
        };
    }
    assert!(changes <= 2, "{changes} changes");
}

/// A conductor that leaves hands over at once, however long it has conducted.
#[test]
fn leaving_conductor_is_followed() {
    let mut fleet = fleet();
    let first = conductor(&fleet);
    fleet[first].conducts_since = Some(2_000);
    fleet[first].is_leaving = true;
    assert_ne!(conductor(&fleet), first);
}

/// Two parts of a cut fleet have a conductor each; when the cut heals, all name the elder.
#[test]
fn elder_conductor_wins_after_a_cut() {
    let mut fleet = fleet();
    fleet[2].conducts_since = Some(9_000);
    fleet[5].conducts_since = Some(14_000);
    assert_eq!(conductor(&fleet), 2);
}

/// A small daemon conducts for a part without large ones, but not after the cut has healed.
#[test]
fn large_daemon_goes_before_a_small_conductor() {
    let mut fleet = fleet();
    fleet[LARGE + 1].conducts_since = Some(2_000);
    assert!(conductor(&fleet) < LARGE);
}

/// Daemons that have just started fill no calls of their own beside the conductor's.
#[rstest]
#[case::no_link_yet(0, None, 100, Lead::Unknown)]
#[case::other_links_first(5, None, 400, Lead::Unknown)]
#[case::conductor_is_linked(5, Some(3), 100, Lead::Peer("h3".into()))]
#[case::nobody_came(0, None, 1_100, Lead::Own)]
fn started_daemon_joins_the_conductor(
    #[case] links: usize,
    #[case] conductor: Option<usize>,
    #[case] since_start: u64,
    #[case] lead: Lead,
) {
    let mut own = candidate(ALL);
    own.linked = Duration::from_millis(since_start);
    let mut peers: Vec<Candidate> = (0..links).map(candidate).collect();
    for peer in &mut peers {
        peer.linked = Duration::from_millis(50);
    }
    if let Some(conductor) = conductor {
        peers[conductor].conducts_since = Some(2_000);
    }
    assert_eq!(choose(&own, &peers, false), lead);
}

/// A daemon that knows no other one does not wait for it.
#[test]
fn lone_daemon_conducts_at_once() {
    let mut own = candidate(0);
    own.linked = Duration::ZERO;
    assert_eq!(choose(&own, &[], true), Lead::Own);
}

/// The conductor dies together with the next one; the third was watched as well, and so each loss
/// is known as soon as the first.
#[test]
fn next_conductors_are_watched() {
    let mut fleet = fleet();
    let mut chain = Vec::new();
    for _ in 0..3 {
        let index = conductor(&fleet);
        chain.push(fleet.remove(index).host);
    }
    let fleet = self::fleet();
    let watched = (0..ALL).filter(|&index| {
        let mut peers = fleet.clone();
        let own = peers.remove(index);
        is_watched(&own, &peers)
    });
    let mut watched: Vec<_> = watched.map(|index| fleet[index].host.clone()).collect();
    watched.sort();
    chain.sort();
    assert_eq!(watched, chain);
}

/// Daemons that start together say nothing before they are linked to each other; two that did would
/// both be believed.
#[test]
fn nobody_claims_to_conduct_before_it_is_linked() {
    let peers = fleet();
    let mut own = candidate(ALL);
    own.linked = Duration::from_secs(1);
    assert!(!may_claim(&own, &peers));
    own.linked = LONG;
    assert!(may_claim(&own, &peers));
    assert!(!may_claim(&own, &[]));
}
