//! Who the daemons of the fleet are, as each of them learns from its peers.
//!
//! Each daemon publishes a [`Profile`] and, at a steady beat, a [`Pulse`]. Both travel as
//! versioned items from peer to peer ([`gossip`]). A daemon whose items have not advanced for
//! some beats is suspect, later lost. The beat slows as the fleet grows, so that the pulses which
//! each daemon hears in a second stay the same.

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

/// Beats without an advance after which a daemon is suspect.
const SUSPECT_HEARTBEATS: u32 = 3;

/// Beats without an advance after which a daemon is lost.
const LOST_HEARTBEATS: u32 = 6;

/// Time that news may take through the fleet.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Time after which a lost daemon is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(3600);

/// Shortest time between two pulses.
const MIN_HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Longest time between two pulses.
const MAX_HEARTBEAT_PERIOD: Duration = Duration::from_secs(15);

/// Time between two pulses for each daemon of the fleet.
const HEARTBEAT_PERIOD_PER_MEMBER: Duration = Duration::from_millis(60);

/// What a daemon says of itself once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Profile {
    /// Number that the daemon drew at its start.
    pub incarnation: Incarnation,
    /// Address of the interface for callers.
    pub api: CompactString,
    /// Address of the interface for peers.
    pub peer: CompactString,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Region of the host.
    pub region: RegionId,
    /// Whether the daemon is to stay.
    pub state: State,
}

/// Whether a daemon is to stay.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The daemon takes new requests.
    Live,
    /// The daemon finishes what it has.
    Leaving,
    /// The daemon has ended.
    Left,
}

/// What a daemon says of itself at each beat.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Requests in flight, relative to what the daemon can hold.
    pub load: f32,
    /// Revision of the table in force there.
    pub revision: Revision,
}

/// Whether a daemon is heard from.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Presence {
    /// The daemon takes new requests.
    Live,
    /// The daemon finishes what it has.
    Leaving,
    /// The daemon has missed some beats.
    Suspect,
    /// The daemon has missed so many beats that it counts as gone.
    Lost,
}

/// A daemon of the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Member {
    /// Host of the daemon.
    pub host: HostId,
    /// What it said of itself once.
    pub profile: Profile,
    /// What it said at its last beat.
    #[serde(rename = "pulse")]
    pub heartbeat: Heartbeat,
    /// Whether it is heard from.
    pub presence: Presence,
}

/// All daemons that one daemon knows of.
#[derive(Debug)]
pub struct Membership {
    host: HostId,
    gossip: Gossip,
    next_heartbeat: Time,
}

impl Membership {
    /// Creates the membership as the daemon on `host` sees it, alone at first.
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

    /// Publishes a pulse if the beat has come.
    pub fn publish_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) {
        if now >= self.next_heartbeat {
            self.gossip
                .publish(Topic::Heartbeat, Value::Heartbeat(heartbeat));
            self.next_heartbeat = now + self.heartbeat_period();
        }
        self.gossip.forget(now, FORGET_AFTER);
    }

    /// Tells all others that this daemon is leaving, or has ended.
    pub fn set_state(&mut self, state: State) {
        if let Some(profile) = self.gossip.profile(&self.host) {
            let profile = Profile {
                state,
                ..profile.clone()
            };
            self.gossip.publish(Topic::Profile, Value::Profile(profile));
        }
    }

    /// Publishes a frame of this daemon to the whole fleet.
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

    /// Takes in items of a peer and returns the frames among those that were new.
    pub fn merge(&mut self, now: Time, items: Vec<Item>) -> Vec<(HostId, Frame)> {
        let fresh = self.gossip.merge(now, items);
        fresh
            .into_iter()
            .filter_map(|item| Some((item.origin, frame(item.topic, item.value)?)))
            .collect()
    }

    /// Returns the newest stamps of the origins in one of `count` buckets.
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

    /// Returns the items that `peer` lacks, which is known to have `known`, oldest first.
    ///
    /// Items of origins that `known` does not mention are all included; `known` is moved on.
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

    /// Returns the items after the stamps of a digest, of the origins that it mentions.
    pub fn answer(&self, now: Time, digest: &Digest, bucket: u64, count: u64) -> Vec<Item> {
        let mut known: BTreeMap<_, _> = digest.iter().cloned().collect();
        let include = |origin: &HostId| {
            overlay::bucket(origin, count) == bucket && self.is_gossiped(now, origin)
        };
        self.gossip.delta(&mut known, include, usize::MAX)
    }

    /// Returns all daemons but those that ended, this one included.
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

    /// Returns the hosts that share the ceilings, and whether all of them are heard from.
    ///
    /// A lost daemon gives its parts up, unless half of the fleet is lost at once: then the links
    /// to it are cut more likely than all its daemons, and the last parts stand.
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

    /// Returns the time between two pulses.
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

    /// Whether peers are told of an origin; a lost one would look alive to those who forgot it.
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
