//! Pools in which the streams of a route can have begun.
//!
//! A route may be split among pools, and configurations change which ones. Where a stream began is kept with
//! its identifier ([`origin`](super::origin)). If nobody knows it, these are the pools in question.

use super::plan::{Kind, Plan, Route};
use crate::id::{PoolId, Time};
use compact_str::CompactString;
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

/// Streaming routes of a configuration by host and path prefix.
type Index<'a> = HashMap<(&'a str, &'a str), &'a Route>;

/// Changes of the pools of streaming routes, as this daemon has seen them.
#[derive(Clone, Debug, Default)]
pub struct RouteHistory {
    /// Sets of pools among which routes of the configuration in force are split.
    splits: BTreeSet<BTreeSet<PoolId>>,
    /// Changes by host and path prefix.
    changes: HashMap<(CompactString, CompactString), Change>,
}

/// Change of the pools of the requests for one host and path prefix.
#[derive(Clone, Debug, Default)]
struct Change {
    /// Pools that they went to before, and those that they go to since.
    pools: BTreeSet<PoolId>,
    /// When the last one was changed.
    at: Time,
}

impl RouteHistory {
    /// Records that `next` replaces the configuration `former`, which is absent at the start. Changes from
    /// before `max_age` are forgotten.
    pub fn record(&mut self, now: Time, former: Option<&Plan>, next: &Plan, max_age: Duration) {
        let after = index(next);
        let split = after.values().filter(|route| route.split.len() > 1);
        self.splits = split.map(|route| pools(route)).collect();
        self.changes
            .retain(|_, change| now.saturating_sub(change.at) <= max_age);
        let before = former.map(index).unwrap_or_default();
        let places: BTreeSet<_> = before.keys().chain(after.keys()).collect();
        for (host, prefix) in places {
            let [former, current] = [&before, &after].map(|index| find(index, host, prefix));
            if former.map(|route| &route.split) == current.map(|route| &route.split) {
                continue;
            }
            let routes = former.into_iter().chain(current);
            let pools: BTreeSet<PoolId> = routes.flat_map(pools).collect();
            if pools.len() > 1 {
                let place = ((*host).into(), (*prefix).into());
                let change = self.changes.entry(place).or_default();
                change.pools.extend(pools);
                change.at = now;
            }
        }
    }

    /// Returns the pools in which a stream can have begun in the last `max_age` whose request for `host` and
    /// `path` is one of `route` now.
    pub fn pools(
        &self,
        now: Time,
        route: &Route,
        (host, path): (&str, &str),
        max_age: Duration,
    ) -> BTreeSet<PoolId> {
        let mut found = pools(route);
        for ((of, prefix), change) in self.recent(now, max_age) {
            if of == host && path.starts_with(prefix.as_str()) {
                found.extend(change.pools.iter().cloned());
            }
        }
        found
    }

    /// Returns the sets of pools among which streams of a route can have begun in the last `max_age`, apart
    /// from sets of one.
    pub fn shared_pools(
        &self,
        now: Time,
        max_age: Duration,
    ) -> impl Iterator<Item = &BTreeSet<PoolId>> {
        let changed = self.recent(now, max_age).map(|(_, change)| &change.pools);
        self.splits.iter().chain(changed)
    }

    fn recent(
        &self,
        now: Time,
        max_age: Duration,
    ) -> impl Iterator<Item = (&(CompactString, CompactString), &Change)> {
        let changes = self.changes.iter();
        changes.filter(move |(_, change)| now.saturating_sub(change.at) <= max_age)
    }
}

fn index(plan: &Plan) -> Index<'_> {
    let streaming = plan.routes().filter(|route| route.kind == Kind::Streaming);
    let entries = streaming.map(|route| ((route.host.as_str(), route.prefix.as_str()), route));
    entries.collect()
}

/// Returns the route of the requests whose paths begin with `prefix`: that with this prefix, or with the
/// longest one that contains it.
fn find<'a>(index: &Index<'a>, host: &str, mut prefix: &str) -> Option<&'a Route> {
    loop {
        if let Some(route) = index.get(&(host, prefix)) {
            return Some(route);
        }
        let end = prefix.trim_end_matches('/').rfind('/')?;
        prefix = &prefix[..=end];
    }
}

/// Returns the pools to which a route sends requests.
fn pools(route: &Route) -> BTreeSet<PoolId> {
    let shares = route.split.iter();
    shares.map(|share| share.pool.clone()).collect()
}
