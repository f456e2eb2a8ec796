//! Overlay network: selection of the peers that a daemon connects to.

use super::{Member, Presence};
use crate::{
    hash,
    id::{DomainId, HostId},
};
use rand::{Rng, seq::IteratorRandom};
use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

/// Number of links that a daemon opens; on average it accepts as many.
pub const OUTGOING_LINKS: usize = 3;

/// Number of seeds that a daemon without a link contacts in each round.
pub const ISOLATED_SEEDS: usize = 4; // also the mean number of daemons that contact each one when a fleet starts

/// Returns the peers that the daemon on `host` opens links to.
///
/// The first is the successor on a ring of hashed host names, so that the links connect all
/// daemons. The others are chosen by rendezvous hashing from the domains with the fewest links.
pub fn neighbours(host: &HostId, members: &[Member]) -> Vec<HostId> {
    let mut others: Vec<_> = reachable(host, members).collect();
    let mut links: Vec<&Member> = ring_successor(host, &others).into_iter().collect();
    others.sort_by_key(|member| Reverse(hash::texts(&[host, &member.host])));
    while links.len() < OUTGOING_LINKS.min(others.len()) {
        let per_domain = links_per_domain(&links);
        let rest = others
            .iter()
            .filter(|member| !links.iter().any(|link| link.host == member.host));
        let count =
            |member: &&&Member| per_domain.get(&member.profile.domain).copied().unwrap_or(0);
        match rest.min_by_key(count) {
            Some(member) => links.push(member),
            None => break,
        }
    }
    links.into_iter().map(|link| link.host.clone()).collect()
}

/// Chooses a random peer without a link for a single exchange.
///
/// Lost daemons are included, so that both sides of a network partition reconnect after it heals.
pub fn random_unlinked(
    host: &HostId,
    members: &[Member],
    linked: &[HostId],
    rng: &mut impl Rng,
) -> Option<HostId> {
    members
        .iter()
        .filter(|member| member.host != *host && !linked.contains(&member.host))
        .choose(rng)
        .map(|member| member.host.clone())
}

/// Chooses seeds for a round of single exchanges, out of those that are not known to be members.
///
/// A daemon without a link contacts several, since most of its seeds may have stopped.
pub fn random_seeds(
    unknown: impl Iterator<Item = SocketAddr>,
    is_linked: bool,
    rng: &mut impl Rng,
) -> Vec<SocketAddr> {
    unknown.sample(rng, if is_linked { 1 } else { ISOLATED_SEEDS })
}

/// Returns the index of the digest bucket, out of `count`, that contains a host's items.
///
/// # Panics
///
/// Panics if `count` is 0.
pub fn bucket(host: &HostId, count: u64) -> u64 {
    hash::texts(&[host]) % count
}

fn reachable<'a>(host: &HostId, members: &'a [Member]) -> impl Iterator<Item = &'a Member> {
    let usable = |presence| matches!(presence, Presence::Live | Presence::Leaving);
    members
        .iter()
        .filter(move |member| member.host != *host && usable(member.presence))
}

/// Returns the daemon that follows `host` on the ring of hashed host names.
fn ring_successor<'a>(host: &HostId, others: &[&'a Member]) -> Option<&'a Member> {
    let position = |host: &HostId| hash::texts(&[host]);
    let own = position(host);
    others
        .iter()
        .copied()
        .min_by_key(|member| position(&member.host).wrapping_sub(own))
}

fn links_per_domain<'a>(links: &[&'a Member]) -> BTreeMap<&'a DomainId, usize> {
    let mut per_domain = BTreeMap::new();
    for link in links {
        *per_domain.entry(&link.profile.domain).or_default() += 1;
    }
    per_domain
}
