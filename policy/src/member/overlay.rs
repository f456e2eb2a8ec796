//! Which peers a daemon keeps links to.

use super::{Member, Presence};
use crate::{
    hash,
    id::{DomainId, HostId},
};
use rand::{Rng, seq::IteratorRandom};
use std::{cmp::Reverse, collections::BTreeMap};

/// Links that a daemon opens; it accepts as many on average.
pub const OUTGOING_LINKS: usize = 3;

/// Returns the peers that the daemon on `host` opens links to.
///
/// The first is the next daemon on a ring of hashed names, so that links connect all daemons.
/// The others are chosen by rendezvous hashing, from the domains that have the fewest links.
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

/// Draws a peer for one exchange, from those that have no link.
///
/// Lost daemons are drawn as well, so that the two sides of a cut find each other when it heals.
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

/// Returns which of `count` buckets a host's items are in.
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

/// Returns the daemon that follows `host` on the ring.
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
