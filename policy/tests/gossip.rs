//! Convergence of gossiped items for any order of exchanges.

use policy::{
    command::Frame,
    id::HostId,
    member::{Membership, Profile, State, gossip::Stamp},
    table::row::{Key, Kind},
};
use proptest::prelude::*;
use std::{collections::BTreeMap, time::Duration};

const SIZE: usize = 5;

fn host(index: usize) -> HostId {
    HostId::from(format!("h{index}"))
}

fn start(index: usize, incarnation: u64) -> Membership {
    let profile = Profile {
        incarnation,
        api: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
        domain: "d".into(),
        region: "r".into(),
        state: State::Live,
    };
    Membership::new(host(index), profile)
}

/// Returns a number that differs at each step and is not monotonic, so that a restarted daemon may
/// have a lower incarnation than before.
fn incarnation(step: usize) -> u64 {
    (step as u64 * 7919 % 10_007) * 1000
}

fn demand(rate: f64) -> Frame {
    Frame::Demand {
        row: Key::new(Kind::Workspace, "tailors"),
        rate,
        quota: 0.0,
    }
}

/// Sends at most `limit` items from one daemon to another; `known` is empty for a new link.
fn exchange(
    fleet: &mut [Membership],
    known: &mut BTreeMap<HostId, Stamp>,
    from: usize,
    to: usize,
    limit: usize,
) {
    let items = fleet[from].delta(Duration::ZERO, &host(to), known, limit);
    fleet[to].merge(Duration::ZERO, items);
}

/// Returns the newest stamps known to a daemon.
fn stamps(members: &Membership) -> BTreeMap<HostId, Stamp> {
    members.digest(Duration::ZERO, 0, 1).into_iter().collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Stamps of an origin never decrease at any daemon, and all daemons agree after enough
    /// exchanges.
    #[test]
    fn stamps_are_monotonic_and_converge(steps in prop::collection::vec((0..SIZE, 0..SIZE, 0..4_u8, 1_usize..4), 1..120)) {
        let mut fleet: Vec<_> = (0..SIZE).map(|index| start(index, 1 + index as u64)).collect();
        let mut links: BTreeMap<(usize, usize), BTreeMap<HostId, Stamp>> = BTreeMap::new();
        for (step, (from, to, action, limit)) in steps.into_iter().enumerate() {
            match action {
                0 => fleet[from].publish(&demand(step as f64)),
                1 if step % 7 == 0 => {
                    fleet[from] = start(from, incarnation(step));
                    links.retain(|(a, b), _| *a != from && *b != from);
                }
                _ if from != to => {
                    let before = stamps(&fleet[to]);
                    let known = links.entry((from, to)).or_default();
                    exchange(&mut fleet, known, from, to, limit);
                    let after = stamps(&fleet[to]);
                    for (origin, stamp) in before {
                        prop_assert!(after[&origin] >= stamp, "stamp of {origin} decreased");
                    }
                }
                _ => {}
            }
        }
        for _ in 0..SIZE {
            for (from, to) in (0..SIZE).flat_map(|a| (0..SIZE).map(move |b| (a, b))) {
                exchange(&mut fleet, &mut BTreeMap::new(), from, to, usize::MAX);
            }
        }
        for members in &fleet {
            prop_assert_eq!(members.members(Duration::ZERO), fleet[0].members(Duration::ZERO));
            prop_assert_eq!(stamps(members), stamps(&fleet[0]));
        }
    }
}
