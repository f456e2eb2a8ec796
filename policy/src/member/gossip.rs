//! Anti-entropy gossip of versioned items.
//!
//! Each daemon numbers the items that it publishes. Items of one origin are forwarded in version
//! order, so a daemon that has version `n` of an origin has all its items up to `n`, and one stamp
//! per origin determines which items a peer lacks. The method is the reconciliation of van Renesse
//! et al., "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols" (2008).

use super::{Heartbeat, Profile};
use crate::{
    id::{BlockHash, HostId, TargetId, Time},
    table::row::Key,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Maximum number of items kept per origin.
pub const MAX_ITEMS: usize = 16_384;

/// Maximum number of poison payloads kept per origin.
const MAX_POISON: usize = 256;

/// Logical time stamp of an origin's item.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stamp {
    /// Number that differs at each start of the origin.
    ///
    /// The origin raises it above any epoch that peers remember from an earlier run.
    pub epoch: u64,
    /// Number of the item, which increases with each item that the origin publishes.
    pub version: u64,
}

/// Newest known stamps of a set of origins.
pub type Digest = Vec<(HostId, Stamp)>;

/// Subject of an item; an origin has one item per topic.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    /// Profile of the origin.
    Profile,
    /// Last heartbeat of the origin.
    #[serde(rename = "Pulse")]
    Heartbeat,
    /// Demand for a row of the table at the origin.
    Demand(Key),
    /// Payload that crashed targets, by fingerprint.
    Poison(BlockHash),
}

/// Content of an item.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Value {
    /// Profile of the origin.
    Profile(Profile),
    /// Last heartbeat of the origin.
    #[serde(rename = "Pulse")]
    Heartbeat(Heartbeat),
    /// Demand for a row and the quota in use at the origin.
    Demand {
        /// Offered requests per second.
        rate: f64,
        /// Share of the row's ceiling in use, in requests per second.
        #[serde(rename = "part")]
        quota: f64,
    },
    /// Targets that a payload crashed; empty once the payload is cleared.
    Poison(Vec<TargetId>),
}

/// Versioned item published by an origin.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Host that published the item.
    pub origin: HostId,
    /// Logical time stamp of the item.
    pub stamp: Stamp,
    /// Subject of the item.
    pub topic: Topic,
    /// Content of the item.
    pub value: Value,
}

/// Newest known items of all origins.
#[derive(Debug)]
pub struct Gossip {
    host: HostId,
    origins: BTreeMap<HostId, Origin>,
}

#[derive(Debug, Default)]
struct Origin {
    newest: Stamp,
    items: BTreeMap<Topic, (u64, Value)>,
    last_update: Time,
}

impl Gossip {
    /// Creates the state of `host`, which starts in `epoch`.
    pub fn new(host: HostId, epoch: u64) -> Self {
        let mut own = Origin::default();
        own.newest.epoch = epoch;
        Self {
            origins: BTreeMap::from([(host.clone(), own)]),
            host,
        }
    }

    /// Publishes an item of this host.
    pub fn publish(&mut self, topic: Topic, value: Value) {
        let own = self.origins.entry(self.host.clone()).or_default();
        own.newest.version += 1;
        own.items.insert(topic, (own.newest.version, value));
        own.trim();
    }

    /// Merges items of a peer and returns those that were new.
    ///
    /// After a restart, peers may return items of this host's earlier run; the epoch then advances
    /// past theirs.
    pub fn merge(&mut self, now: Time, items: Vec<Item>) -> Vec<Item> {
        let mut fresh = Vec::new();
        for item in items {
            if item.origin == self.host {
                self.advance_epoch_past(item.stamp);
                continue;
            }
            let origin = self.origins.entry(item.origin.clone()).or_default();
            if item.stamp <= origin.newest {
                continue;
            }
            if item.stamp.epoch > origin.newest.epoch {
                origin.items.clear();
            }
            origin.newest = item.stamp;
            origin.last_update = now;
            let value = (item.stamp.version, item.value.clone());
            origin.items.insert(item.topic.clone(), value);
            origin.trim();
            fresh.push(item);
        }
        fresh
    }

    /// Returns the newest stamp of each origin.
    pub fn stamps(&self) -> impl Iterator<Item = (HostId, Stamp)> {
        let origins = self.origins.iter();
        origins.map(|(host, origin)| (host.clone(), origin.newest))
    }

    /// Returns at most `limit` items newer than the stamps in `known`, and advances `known`.
    ///
    /// Only origins accepted by `include` are considered. Items of one origin are in version order,
    /// so a peer that receives only some of them has all up to the newest one received.
    pub fn delta(
        &self,
        known: &mut BTreeMap<HostId, Stamp>,
        include: impl Fn(&HostId) -> bool,
        limit: usize,
    ) -> Vec<Item> {
        let mut items = Vec::new();
        for (host, origin) in &self.origins {
            let has = known.get(host).copied().unwrap_or_default();
            if has >= origin.newest || items.len() >= limit || !include(host) {
                continue;
            }
            items.extend(origin.items_after(host, has).take(limit - items.len()));
            if let Some(item) = items.last().filter(|item: &&Item| item.origin == *host) {
                known.insert(host.clone(), item.stamp);
            }
        }
        items
    }

    /// Returns all known hosts, including this one.
    pub fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.origins.keys()
    }

    /// Returns the number of known hosts, including this one.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Returns the profile of a host, or `None` if it has not been received.
    pub fn profile(&self, host: &HostId) -> Option<&Profile> {
        match self.origins.get(host)?.items.get(&Topic::Profile)? {
            (_, Value::Profile(profile)) => Some(profile),
            _ => None,
        }
    }

    /// Returns the last heartbeat of a host, or the default if none has been received.
    pub fn heartbeat(&self, host: &HostId) -> Heartbeat {
        let origin = self.origins.get(host);
        match origin.and_then(|origin| origin.items.get(&Topic::Heartbeat)) {
            Some((_, Value::Heartbeat(heartbeat))) => *heartbeat,
            _ => Heartbeat::default(),
        }
    }

    /// Returns the time at which the last new item of a host was received.
    pub fn last_update(&self, host: &HostId) -> Option<Time> {
        self.origins.get(host).map(|origin| origin.last_update)
    }

    /// Removes other hosts from which no new item was received for `age`.
    pub fn forget(&mut self, now: Time, age: Duration) {
        let own = &self.host;
        self.origins
            .retain(|host, origin| host == own || now < origin.last_update + age);
    }

    /// Advances the own epoch past a stamp of this host's earlier run that peers still hold.
    fn advance_epoch_past(&mut self, stamp: Stamp) {
        let own = self.origins.entry(self.host.clone()).or_default();
        if stamp > own.newest {
            own.newest.epoch = stamp.epoch.saturating_add(1);
        }
    }
}

impl Origin {
    /// Returns the items newer than `has`, in version order.
    fn items_after(&self, host: &HostId, has: Stamp) -> impl Iterator<Item = Item> {
        let epoch = self.newest.epoch;
        let since = if has.epoch == epoch { has.version } else { 0 };
        let newer = self.items.iter().filter(|(_, (v, _))| *v > since);
        let mut newer: Vec<_> = newer.collect();
        newer.sort_by_key(|(_, (version, _))| *version);
        newer
            .into_iter()
            .map(move |(topic, (version, value))| Item {
                origin: host.clone(),
                stamp: Stamp {
                    epoch,
                    version: *version,
                },
                topic: topic.clone(),
                value: value.clone(),
            })
    }

    /// Evicts the oldest items of a kind whose maximum is exceeded.
    fn trim(&mut self) {
        let poison = |topic: &Topic| matches!(topic, Topic::Poison(_));
        if self.items.keys().filter(|topic| poison(topic)).count() > MAX_POISON {
            self.evict_oldest(poison);
        }
        if self.items.len() > MAX_ITEMS {
            self.evict_oldest(|topic| matches!(topic, Topic::Demand(_)));
        }
    }

    fn evict_oldest(&mut self, kind: impl Fn(&Topic) -> bool) {
        let items = self.items.iter().filter(|(topic, _)| kind(topic));
        let oldest = items.min_by_key(|(_, (version, _))| *version);
        if let Some(topic) = oldest.map(|(topic, _)| topic.clone()) {
            self.items.remove(&topic);
        }
    }
}
