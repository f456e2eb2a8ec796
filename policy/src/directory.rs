//! The answer to a caller who asks which entries to use.

use crate::{
    hash,
    id::{DomainId, HostId, WorkspaceId},
    member::{Member, Presence},
};
use compact_str::CompactString;
use rand::{Rng, RngExt, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

/// Entries of each failure domain that a workspace is kept on.
const SUBSET: usize = 2;

/// Load of a workspace's entries in a domain from which one more is used.
const CROWDED: f32 = 0.7;

/// Most entries in one answer.
const MAX_ENTRIES: usize = 5;

/// Steps of load that count as different.
const LOAD_STEPS: f32 = 10.0;

/// Share by which the time to live varies, so that callers do not ask all at once.
const JITTER: f64 = 0.2;

/// An entry that a caller may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Named {
    /// Host of the entry.
    pub host: HostId,
    /// Address of the interface for callers.
    pub address: CompactString,
    /// Failure domain of the entry.
    pub domain: DomainId,
}

/// Entries in the order in which the caller should try them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The entries, best first.
    pub entries: Vec<Named>,
    /// Time that the caller may keep the answer.
    pub ttl: Duration,
}

/// Names entries for a caller in `domain`, if the caller said where it is.
///
/// A workspace is kept on a few entries of each domain, chosen by rendezvous hashing. Entries of
/// the caller's own domain come first, then the least loaded; an entry of a second domain is
/// always among them where there is one. Only if no entry is live are suspect ones named; leaving
/// ones never are.
pub fn answer(
    members: &[Member],
    workspace: &WorkspaceId,
    domain: Option<&DomainId>,
    ttl: Duration,
    rng: &mut impl Rng,
) -> Answer {
    let mut named = subset(usable(members), workspace);
    named.shuffle(rng);
    named.sort_by_key(|member| rank(member, domain));
    keep_second_domain(&mut named);
    let entries = named.into_iter().take(MAX_ENTRIES).map(|member| Named {
        host: member.host.clone(),
        address: member.profile.api.clone(),
        domain: member.profile.domain.clone(),
    });
    Answer {
        entries: entries.collect(),
        ttl: ttl.mul_f64(rng.random_range(1.0 - JITTER..=1.0)),
    }
}

fn usable(members: &[Member]) -> Vec<&Member> {
    let with = |presence| members.iter().filter(move |m| m.presence == presence);
    let live: Vec<_> = with(Presence::Live).collect();
    if live.is_empty() {
        with(Presence::Suspect).collect()
    } else {
        live
    }
}

/// Returns the entries that a workspace is kept on, some of each domain.
fn subset<'a>(members: Vec<&'a Member>, workspace: &WorkspaceId) -> Vec<&'a Member> {
    let mut domains: BTreeMap<&DomainId, Vec<&Member>> = BTreeMap::new();
    for member in members {
        let domain = domains.entry(&member.profile.domain).or_default();
        domain.push(member);
    }
    domains
        .into_values()
        .flat_map(|mut entries| {
            entries.sort_by_key(|member| Reverse(hash::texts(&[workspace, &member.host])));
            entries.truncate(width(&entries));
            entries
        })
        .collect()
}

/// Returns how many of a domain's entries are used: more while all of those are crowded.
fn width(entries: &[&Member]) -> usize {
    let roomy = |member: &&Member| member.heartbeat.load < CROWDED;
    let first = entries.iter().position(roomy);
    first.map_or(entries.len(), |index| SUBSET.max(index + 1))
}

/// Moves an entry of a second domain up among those that are named.
fn keep_second_domain(named: &mut Vec<&Member>) {
    let Some(first) = named.first().map(|member| &member.profile.domain) else {
        return;
    };
    let second = named.iter().position(|m| m.profile.domain != *first);
    if let Some(second) = second.filter(|place| *place >= MAX_ENTRIES) {
        let member = named.remove(second);
        named.insert(MAX_ENTRIES - 1, member);
    }
}

/// Own domain first, then the least loaded.
fn rank(member: &Member, domain: Option<&DomainId>) -> (bool, u32) {
    let away = domain.is_some_and(|domain| *domain != member.profile.domain);
    let load = member.heartbeat.load.clamp(0.0, 1.0) * LOAD_STEPS;
    (away, load as u32)
}
