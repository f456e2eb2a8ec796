//! Fleet membership and failure detection.
//!
//! Each daemon publishes a [`Profile`] and periodically a [`Heartbeat`]. Both are distributed as
//! versioned items by [`gossip`]. A daemon whose items have not advanced for several heartbeat
//! periods is suspect, and later lost. The period grows with the fleet, so that the number of
//! heartbeats that each daemon receives per second stays the same.

pub mod gossip;
pub mod overlay;

use crate::{
    command::Frame,
    id::{DomainId, HostId, Incarnation, RegionId, Revision, Time},
};
use compact_str::CompactString;
use gossip::{Digest, Gossip, Item, Stamp, Topic, Value};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use strum::{Display, EnumString, IntoStaticStr};

/// Heartbeat periods without a new item after which a daemon is suspect.
const SUSPECT_HEARTBEATS: u32 = 3;

/// Heartbeat periods without a new item after which a daemon is lost.
const LOST_HEARTBEATS: u32 = 6;

/// Maximum time in which an item propagates through the fleet.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Time without a new item after which a daemon is removed.
const FORGET_AFTER: Duration = Duration::from_secs(3600);

/// Minimum time between two heartbeats.
const MIN_HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Maximum time between two heartbeats.
const MAX_HEARTBEAT_PERIOD: Duration = Duration::from_secs(15);

/// Time by which each daemon of the fleet lengthens the heartbeat period.
const HEARTBEAT_PERIOD_PER_MEMBER: Duration = Duration::from_millis(60);

/// Static description that a daemon publishes of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Profile {
    /// Number that identifies the run of the daemon.
    pub incarnation: Incarnation,
    /// Address of the caller interface.
    pub api: CompactString,
    /// Address of the peer interface.
    pub peer: CompactString,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Region of the host.
    pub region: RegionId,
    /// Lifecycle state of the daemon.
    pub state: State,
}

/// Lifecycle state of a daemon, as published by itself.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The daemon accepts new requests.
    Live,
    /// The daemon completes its current requests and accepts no new ones.
    Leaving,
    /// The daemon has stopped.
    Left,
}

/// Dynamic state that a daemon publishes periodically.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Requests in flight, relative to the capacity of the daemon.
    pub load: f32,
    /// Revision of the daemon's active table.
    pub revision: Revision,
}

/// Presence of a daemon, as observed by another one.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Presence {
    /// The daemon accepts new requests.
    Live,
    /// The daemon completes its current requests and accepts no new ones.
    Leaving,
    /// No new item was received for a few heartbeat periods.
    Suspect,
    /// No new item was received for so long that the daemon is considered failed.
    Lost,
}

/// A daemon of the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Member {
    /// Host of the daemon.
    pub host: HostId,
    /// Static description of the daemon.
    pub profile: Profile,
    /// Last heartbeat of the daemon.
    #[serde(rename = "pulse")]
    pub heartbeat: Heartbeat,
    /// Presence as observed by the local daemon.
    pub presence: Presence,
}

/// Fleet membership as known to one daemon.
#[derive(Debug)]
pub struct Membership {
    host: HostId,
    gossip: Gossip,
    next_heartbeat: Time,
}

impl Membership {
    /// Creates the membership of the daemon on `host`, which initially knows only itself.
    pub fn new(host: impl Into<HostId>, profile: Profile) -> Self {
        let host = host.into();
        let mut gossip = Gossip::new(host.clone(), profile.incarnation);
        gossip.publish(Topic::Profile, Value::Profile(profile));
        gossip.publish(Topic::Heartbeat, Value::Heartbeat(Heartbeat::default()));
        Self {
            host,
            gossip,
            next_heartbeat: Time::ZERO,
        }
    }

    /// Publishes a heartbeat if it is due, and removes daemons that have been silent too long.
    pub fn publish_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) {
        if now >= self.next_heartbeat {
            self.gossip
                .publish(Topic::Heartbeat, Value::Heartbeat(heartbeat));
            self.next_heartbeat = now + self.heartbeat_period();
        }
        self.gossip.forget(now, FORGET_AFTER);
    }

    /// Publishes a new lifecycle state of this daemon.
    pub fn set_state(&mut self, state: State) {
        if let Some(profile) = self.gossip.profile(&self.host) {
            let profile = Profile {
                state,
                ..profile.clone()
            };
            self.gossip.publish(Topic::Profile, Value::Profile(profile));
        }
    }

    /// Publishes a frame of this daemon to the fleet.
    pub fn publish(&mut self, frame: &Frame) {
        let (topic, value) = match frame {
            Frame::Suspect {
                fingerprint,
                targets,
            } => (Topic::Poison(*fingerprint), Value::Poison(targets.clone())),
            Frame::Cleared { fingerprint } => {
                (Topic::Poison(*fingerprint), Value::Poison(Vec::new()))
            }
            Frame::Demand { row, rate, quota } => {
                let (rate, quota) = (*rate, *quota);
                (Topic::Demand(row.clone()), Value::Demand { rate, quota })
            }
        };
        self.gossip.publish(topic, value);
    }

    /// Merges items of a peer and returns the frames among the new ones, with their origins.
    pub fn merge(&mut self, now: Time, items: Vec<Item>) -> Vec<(HostId, Frame)> {
        let fresh = self.gossip.merge(now, items);
        fresh
            .into_iter()
            .filter_map(|item| Some((item.origin, frame(item.topic, item.value)?)))
            .collect()
    }

    /// Returns the newest stamps of the origins in one of `count` buckets, lost ones excluded.
    ///
    /// # Panics
    ///
    /// Panics if `count` is 0.
    pub fn digest(&self, now: Time, bucket: u64, count: u64) -> Digest {
        self.gossip
            .stamps()
            .filter(|(origin, _)| overlay::bucket(origin, count) == bucket)
            .filter(|(origin, _)| self.is_gossiped(now, origin))
            .collect()
    }

    /// Returns at most `limit` items that `peer` lacks, and advances `known`.
    ///
    /// `known` holds the stamps that the peer is known to have; of an origin without a stamp all
    /// items are included. The items of an origin are in version order.
    pub fn delta(
        &self,
        now: Time,
        peer: &HostId,
        known: &mut BTreeMap<HostId, Stamp>,
        limit: usize,
    ) -> Vec<Item> {
        let include = |origin: &HostId| origin == peer || self.is_gossiped(now, origin);
        self.gossip.delta(known, include, limit)
    }

    /// Returns the items of a bucket that are newer than the stamps of a peer's digest.
    pub fn delta_for_digest(
        &self,
        now: Time,
        digest: &Digest,
        bucket: u64,
        count: u64,
    ) -> Vec<Item> {
        let mut known: BTreeMap<_, _> = digest.iter().cloned().collect();
        let include = |origin: &HostId| {
            overlay::bucket(origin, count) == bucket && self.is_gossiped(now, origin)
        };
        self.gossip.delta(&mut known, include, usize::MAX)
    }

    /// Returns all daemons that have not stopped, including this one.
    pub fn members(&self, now: Time) -> Vec<Member> {
        self.gossip
            .hosts()
            .filter_map(|host| {
                let presence = self.presence(now, host)?;
                Some(Member {
                    host: host.clone(),
                    profile: self.gossip.profile(host)?.clone(),
                    heartbeat: self.gossip.heartbeat(host),
                    presence,
                })
            })
            .collect()
    }

    /// Returns the hosts that share the ceilings, and whether the membership is stable.
    ///
    /// A lost daemon gives up its quotas, unless half of the fleet is lost at once: a network
    /// partition is then more likely than a failure of all these daemons, and all quotas are kept.
    pub fn ceiling_members(&self, now: Time) -> (Vec<HostId>, bool) {
        let members = self.members(now);
        let count = |presence| members.iter().filter(|m| m.presence == presence).count();
        let lost = count(Presence::Lost);
        let is_partitioned = lost > 0 && lost * 2 >= members.len();
        let stable = !is_partitioned && count(Presence::Suspect) == 0;
        let hosts = members
            .into_iter()
            .filter(|member| is_partitioned || member.presence != Presence::Lost)
            .map(|member| member.host);
        (hosts.collect(), stable)
    }

    /// Returns the time between two heartbeats for the current size of the fleet.
    pub fn heartbeat_period(&self) -> Duration {
        let known = u32::try_from(self.gossip.len()).unwrap_or(u32::MAX);
        HEARTBEAT_PERIOD_PER_MEMBER
            .saturating_mul(known)
            .clamp(MIN_HEARTBEAT_PERIOD, MAX_HEARTBEAT_PERIOD)
    }

    fn presence(&self, now: Time, host: &HostId) -> Option<Presence> {
        let state = self.gossip.profile(host)?.state;
        let age = if *host == self.host {
            Duration::ZERO
        } else {
            now.saturating_sub(self.gossip.last_update(host)?)
        };
        match state {
            State::Left => None,
            _ if age > self.heartbeat_period() * LOST_HEARTBEATS + PROPAGATION_TIME => {
                Some(Presence::Lost)
            }
            _ if age > self.heartbeat_period() * SUSPECT_HEARTBEATS + PROPAGATION_TIME => {
                Some(Presence::Suspect)
            }
            State::Leaving => Some(Presence::Leaving),
            State::Live => Some(Presence::Live),
        }
    }

    /// Returns whether items of an origin are gossiped.
    ///
    /// Items of a lost origin are not, since it would look alive to peers that have removed it.
    fn is_gossiped(&self, now: Time, origin: &HostId) -> bool {
        self.presence(now, origin) != Some(Presence::Lost)
    }
}

fn frame(topic: Topic, value: Value) -> Option<Frame> {
    match (topic, value) {
        (Topic::Poison(fingerprint), Value::Poison(targets)) if targets.is_empty() => {
            Some(Frame::Cleared { fingerprint })
        }
        (Topic::Poison(fingerprint), Value::Poison(targets)) => Some(Frame::Suspect {
            fingerprint,
            targets,
        }),
        (Topic::Demand(row), Value::Demand { rate, quota }) => {
            Some(Frame::Demand { row, rate, quota })
        }
        _ => None,
    }
}
