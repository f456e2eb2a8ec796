//! Directory that tells callers which entries to use.

use crate::{
    hash,
    id::{DomainId, HostId, WorkspaceId},
    member::{Member, Presence},
};
use compact_str::CompactString;
use rand::{Rng, RngExt, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

/// Entries of each failure domain that serve a workspace under normal load.
const ENTRIES_PER_DOMAIN: usize = 2;

/// Load of an entry from which the workspace spreads to a further entry of the domain.
const HIGH_LOAD: f32 = 0.7;

/// Maximum number of entries in one answer.
const MAX_ENTRIES: usize = 5;

/// Number of steps that loads are rounded to, so that similar loads rank equally.
const LOAD_STEPS: f32 = 10.0;

/// Maximum fraction by which the time to live is shortened, which spreads refreshes over time.
const TTL_JITTER: f64 = 0.2;

/// Entry that a caller may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Endpoint {
    /// Host of the entry.
    pub host: HostId,
    /// Address of the entry's caller interface.
    pub address: CompactString,
    /// Failure domain of the entry.
    pub domain: DomainId,
}

/// Entries in the order in which the caller should try them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Entries in order of preference.
    pub entries: Vec<Endpoint>,
    /// Time for which the caller may cache the answer.
    pub ttl: Duration,
}

/// Returns the entries for a caller, whose failure domain is `domain` if it is known.
///
/// Each workspace is assigned to a few entries of each domain by rendezvous hashing. Entries of
/// the caller's own domain come first, then the least loaded ones. The answer includes an entry of
/// a second domain if one exists. Suspect entries are returned only if no entry is live; leaving
/// entries are never returned.
pub fn resolve(
    members: &[Member],
    workspace: &WorkspaceId,
    domain: Option<&DomainId>,
    ttl: Duration,
    rng: &mut impl Rng,
) -> Answer {
    let mut chosen = subset(usable(members), workspace);
    chosen.shuffle(rng);
    chosen.sort_by_key(|member| rank(member, domain));
    keep_second_domain(&mut chosen);
    let entries = chosen.into_iter().take(MAX_ENTRIES).map(|member| Endpoint {
        host: member.host.clone(),
        address: member.profile.api.clone(),
        domain: member.profile.domain.clone(),
    });
    Answer {
        entries: entries.collect(),
        ttl: ttl.mul_f64(rng.random_range(1.0 - TTL_JITTER..=1.0)),
    }
}

fn usable(members: &[Member]) -> Vec<&Member> {
    let with_presence = |presence| members.iter().filter(move |m| m.presence == presence);
    let live: Vec<_> = with_presence(Presence::Live).collect();
    if live.is_empty() {
        with_presence(Presence::Suspect).collect()
    } else {
        live
    }
}

/// Returns the entries that a workspace is assigned to, grouped by domain.
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
            entries.truncate(needed_entries(&entries));
            entries
        })
        .collect()
}

/// Returns how many of a domain's entries to use.
///
/// These are the entries up to the first one below [`HIGH_LOAD`], or all if there is none, and at
/// least [`ENTRIES_PER_DOMAIN`].
fn needed_entries(entries: &[&Member]) -> usize {
    let has_capacity = |member: &&Member| member.heartbeat.load < HIGH_LOAD;
    let first = entries.iter().position(has_capacity);
    first.map_or(entries.len(), |index| ENTRIES_PER_DOMAIN.max(index + 1))
}

/// Ensures that the first [`MAX_ENTRIES`] include an entry of a second domain, if there is one.
fn keep_second_domain(chosen: &mut Vec<&Member>) {
    let Some(first) = chosen.first().map(|member| &member.profile.domain) else {
        return;
    };
    let second = chosen.iter().position(|m| m.profile.domain != *first);
    if let Some(second) = second.filter(|index| *index >= MAX_ENTRIES) {
        let member = chosen.remove(second);
        chosen.insert(MAX_ENTRIES - 1, member);
    }
}

/// Sort key that puts the caller's own domain first, then the least loaded entries.
fn rank(member: &Member, domain: Option<&DomainId>) -> (bool, u32) {
    let is_remote = domain.is_some_and(|domain| *domain != member.profile.domain);
    let load = member.heartbeat.load.clamp(0.0, 1.0) * LOAD_STEPS;
    (is_remote, load as u32)
}
