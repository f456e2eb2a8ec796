//! Versioned items that spread from peer to peer.
//!
//! Each daemon numbers the items that it publishes. Items of one origin are passed on in order of
//! their versions, so a daemon that has version `n` of an origin has all its items up to `n`, and
//! one stamp for each origin says what a peer lacks. The method is the reconciliation of van
//! Renesse et al., "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols" (2008).

use super::{Heartbeat, Profile};
use crate::{
    id::{BlockHash, HostId, TargetId, Time},
    table::row::Key,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Most items of one origin that are kept.
pub const MAX_ITEMS: usize = 16_384;

/// Most payloads of one origin that are remembered as suspect.
const MAX_POISON: usize = 256;

/// Age of an origin's items.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stamp {
    /// Number that differs at each start of the origin, and outruns those that peers remember.
    pub epoch: u64,
    /// Number of the newest item in that epoch.
    pub version: u64,
}

/// Newest stamps of some origins.
pub type Digest = Vec<(HostId, Stamp)>;

/// What an item is about.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    /// The origin's profile.
    Profile,
    /// The origin's pulse.
    #[serde(rename = "Pulse")]
    Heartbeat,
    /// Demand for a row of the table at the origin.
    Demand(Key),
    /// A payload that ended targets.
    Poison(BlockHash),
}

/// What an item says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Value {
    /// The origin's profile.
    Profile(Profile),
    /// The origin's pulse.
    #[serde(rename = "Pulse")]
    Heartbeat(Heartbeat),
    /// Demand for a row and the part of its ceiling in use, in requests a second.
    Demand {
        /// Requests a second.
        rate: f64,
        /// Part of the ceiling.
        #[serde(rename = "part")]
        quota: f64,
    },
    /// Targets that a payload ended.
    Poison(Vec<TargetId>),
}

/// One item of one origin.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Host that published the item.
    pub origin: HostId,
    /// Age of the item.
    pub stamp: Stamp,
    /// What the item is about.
    pub topic: Topic,
    /// What the item says.
    pub value: Value,
}

/// The newest items of all origins.
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
    /// Creates the items of `host`, which starts in `epoch`.
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

    /// Takes in items and returns those that were new.
    ///
    /// Items of this host come back from before a restart; its epoch then moves past them.
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

    /// Returns at most `limit` items after the stamps of `known`, which is moved on.
    ///
    /// Only origins that `told` accepts are looked at. Items of one origin are in order, so that
    /// a peer which gets a part of them has all up to the newest that it got.
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

    /// Returns all hosts that published an item.
    pub fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.origins.keys()
    }

    /// Returns how many hosts published an item.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no host published an item.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Returns the profile of a host.
    pub fn profile(&self, host: &HostId) -> Option<&Profile> {
        match self.origins.get(host)?.items.get(&Topic::Profile)? {
            (_, Value::Profile(profile)) => Some(profile),
            _ => None,
        }
    }

    /// Returns the last pulse of a host.
    pub fn heartbeat(&self, host: &HostId) -> Heartbeat {
        let origin = self.origins.get(host);
        match origin.and_then(|origin| origin.items.get(&Topic::Heartbeat)) {
            Some((_, Value::Heartbeat(heartbeat))) => *heartbeat,
            _ => Heartbeat::default(),
        }
    }

    /// Returns when the last new item of a host came.
    pub fn last_update(&self, host: &HostId) -> Option<Time> {
        self.origins.get(host).map(|origin| origin.last_update)
    }

    /// Forgets other hosts that published nothing for `age`.
    pub fn forget(&mut self, now: Time, age: Duration) {
        let own = &self.host;
        self.origins
            .retain(|host, origin| host == own || now < origin.last_update + age);
    }

    /// Moves the own epoch past an item that the fleet remembers of this host's earlier life.
    fn advance_epoch_past(&mut self, stamp: Stamp) {
        let own = self.origins.entry(self.host.clone()).or_default();
        if stamp > own.newest {
            own.newest.epoch = stamp.epoch.saturating_add(1);
        }
    }
}

impl Origin {
    /// Returns the items after `has`, in order of version.
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

    /// Drops the oldest items where there are too many.
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
