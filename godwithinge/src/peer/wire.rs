//! Wire format of the frames: CBOR arrays tagged with one-letter names.
//!
//! Fields are identified by position, so their order is part of the format.

use super::{
    Error, HostList,
    frame::{BucketDigest, Frame, Hello, Mac, Nonce},
};
use compact_str::CompactString;
use policy::{
    host::{self, Host},
    id::{BlockHash, DomainId, HostId, Incarnation, PoolId, RegionId, Revision, TargetId},
    member::{
        Heartbeat, Profile, State,
        gossip::{self, Item, Stamp, Topic},
    },
    table::{
        Pipeline, Table, Target, Workspace,
        replica::{Delta, Update},
        row::{Key, Kind, Row},
    },
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Resolution of the load in a heartbeat: a load of 1.0 is encoded as this number.
const LOAD_STEPS: f32 = 1000.0;

/// Encoded form of a [`Frame`].
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum Message {
    #[serde(rename = "h")]
    Hello(u16, HostId, Nonce, bool),
    #[serde(rename = "p")]
    Proof(Mac),
    #[serde(rename = "d")]
    Digest(u64, u64, bool, Vec<(HostId, u64, u64)>),
    #[serde(rename = "i")]
    Items(Vec<Batch>),
    #[serde(rename = "v")]
    Have(Option<Revision>),
    #[serde(rename = "w")]
    Want(Option<Revision>),
    #[serde(rename = "u")]
    Update(Option<Revision>, Revision, Vec<RowEntry>),
    #[serde(rename = "s")]
    WantHostList(Option<u64>),
    #[serde(rename = "l")]
    HostList(u64, Vec<HostEntry>),
}

/// Entry of the host list: host, target, pool, address, domain, region, and whether it is leaving.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct HostEntry(
    HostId,
    TargetId,
    PoolId,
    CompactString,
    DomainId,
    RegionId,
    bool,
);

/// Items of one origin: host, epoch, and the versions with their values.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Batch(HostId, u64, Vec<(u64, Value)>);

/// Topic and value of a gossip item.
#[derive(Debug, Deserialize, Serialize)]
enum Value {
    #[serde(rename = "p")]
    Profile(
        Incarnation,
        CompactString,
        CompactString,
        CompactString,
        CompactString,
        State,
    ),
    #[serde(rename = "b")]
    Heartbeat(u16, Revision),
    #[serde(rename = "d")]
    Demand(RowKind, CompactString, f32, f32),
    #[serde(rename = "x")]
    Poison(BlockHash, Vec<TargetId>),
}

/// Kind of a table row.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
enum RowKind {
    #[serde(rename = "w")]
    Workspace,
    #[serde(rename = "p")]
    Pipeline,
    #[serde(rename = "t")]
    Target,
}

/// Kind, name and cells of a table row; `None` for a removed row.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct RowEntry(RowKind, CompactString, Option<Cells>);

#[derive(Debug, Deserialize, Serialize)]
enum Cells {
    #[serde(rename = "w")]
    Workspace(f64, Option<f64>, i32),
    #[serde(rename = "p")]
    Pipeline(Vec<CompactString>, i32, Option<f64>),
    #[serde(rename = "t")]
    Target(f64, Option<u32>),
}

impl From<&Frame> for Message {
    fn from(frame: &Frame) -> Self {
        match frame {
            Frame::Hello(hello) => Self::Hello(
                hello.version,
                hello.host.clone(),
                hello.nonce,
                hello.is_exchange,
            ),
            Frame::Proof(mac) => Self::Proof(*mac),
            Frame::Digest(digest) => {
                let stamps = digest.stamps.iter();
                let stamps = stamps.map(|(host, s)| (host.clone(), s.epoch, s.version));
                Self::Digest(
                    digest.bucket,
                    digest.count,
                    digest.wants_reply,
                    stamps.collect(),
                )
            }
            Frame::Items(items) => Self::Items(group_by_origin(items)),
            Frame::Have(revision) => Self::Have(*revision),
            Frame::Want(revision) => Self::Want(*revision),
            Frame::WantHostList(version) => Self::WantHostList(*version),
            Frame::HostList(list) => {
                let hosts = list.hosts.iter().map(HostEntry::from);
                Self::HostList(list.version, hosts.collect())
            }
            Frame::Update(Update::Snapshot { table }) => {
                let entries = table.keys().map(|key| RowEntry::new(&key, table.row(&key)));
                Self::Update(None, table.revision, entries.collect())
            }
            Frame::Update(Update::Delta(delta)) => {
                let entries = delta.rows.iter();
                let entries = entries.map(|(key, row)| RowEntry::new(key, row.clone()));
                Self::Update(Some(delta.from), delta.to, entries.collect())
            }
        }
    }
}

impl TryFrom<Message> for Frame {
    type Error = Error;

    fn try_from(message: Message) -> Result<Self, Error> {
        Ok(match message {
            Message::Hello(version, host, nonce, is_exchange) => Self::Hello(Hello {
                version,
                host,
                nonce,
                is_exchange,
            }),
            Message::Proof(mac) => Self::Proof(mac),
            Message::Digest(bucket, count, wants_reply, stamps) => {
                if bucket >= count {
                    return Err(Error::Malformed);
                }
                let stamps = stamps.into_iter();
                Self::Digest(BucketDigest {
                    bucket,
                    count,
                    wants_reply,
                    stamps: stamps
                        .map(|(host, epoch, version)| (host, Stamp { epoch, version }))
                        .collect(),
                })
            }
            Message::Items(batches) => {
                let items = batches.into_iter().map(Batch::into_items);
                let items = items.collect::<Result<Vec<_>, _>>()?;
                Self::Items(items.into_iter().flatten().collect())
            }
            Message::Have(revision) => Self::Have(revision),
            Message::Want(revision) => Self::Want(revision),
            Message::WantHostList(version) => Self::WantHostList(version),
            Message::HostList(version, hosts) => {
                let hosts = hosts.into_iter().map(Host::from).collect();
                Self::HostList(Arc::new(HostList { version, hosts }))
            }
            Message::Update(from, to, entries) => {
                let rows = entries.into_iter().map(RowEntry::into_row);
                let rows = rows.collect::<Result<Vec<_>, _>>()?;
                Self::Update(match from {
                    Some(from) => Update::Delta(Delta { from, to, rows }),
                    None => snapshot(to, rows)?,
                })
            }
        })
    }
}

impl From<&Host> for HostEntry {
    fn from(host: &Host) -> Self {
        Self(
            host.host.clone(),
            host.target.clone(),
            host.pool.clone(),
            host.address.clone(),
            host.domain.clone(),
            host.region.clone(),
            host.state == host::State::Leaving,
        )
    }
}

impl From<HostEntry> for Host {
    fn from(entry: HostEntry) -> Self {
        let HostEntry(host, target, pool, address, domain, region, leaving) = entry;
        let state = if leaving {
            host::State::Leaving
        } else {
            host::State::Live
        };
        Self {
            host,
            target,
            pool,
            address,
            domain,
            region,
            state,
        }
    }
}

fn snapshot(revision: Revision, rows: Vec<(Key, Option<Row>)>) -> Result<Update, Error> {
    let mut table = Table {
        revision,
        ..Table::default()
    };
    for (key, row) in rows {
        table.insert(key.name, row.ok_or(Error::Malformed)?);
    }
    let table = Arc::new(table);
    Ok(Update::Snapshot { table })
}

/// Groups consecutive items of one origin and epoch, and preserves their order.
fn group_by_origin(items: &[Item]) -> Vec<Batch> {
    let mut batches: Vec<Batch> = Vec::new();
    for item in items {
        let value = (item.stamp.version, Value::from((&item.topic, &item.value)));
        match batches.last_mut() {
            Some(batch) if batch.0 == item.origin && batch.1 == item.stamp.epoch => {
                batch.2.push(value);
            }
            _ => batches.push(Batch(item.origin.clone(), item.stamp.epoch, vec![value])),
        }
    }
    batches
}

impl Batch {
    fn into_items(self) -> Result<Vec<Item>, Error> {
        let Self(origin, epoch, values) = self;
        let item = |(version, value): (u64, Value)| {
            let (topic, value) = value.try_into()?;
            Ok(Item {
                origin: origin.clone(),
                stamp: Stamp { epoch, version },
                topic,
                value,
            })
        };
        values.into_iter().map(item).collect()
    }
}

impl From<(&Topic, &gossip::Value)> for Value {
    fn from((topic, value): (&Topic, &gossip::Value)) -> Self {
        match (topic, value) {
            (_, gossip::Value::Profile(profile)) => Self::Profile(
                profile.incarnation,
                profile.api.clone(),
                profile.peer.clone(),
                profile.domain.clone(),
                profile.region.clone(),
                profile.state,
            ),
            (_, gossip::Value::Heartbeat(heartbeat)) => {
                let load = (heartbeat.load * LOAD_STEPS).clamp(0.0, f32::from(u16::MAX));
                Self::Heartbeat(load as u16, heartbeat.revision)
            }
            (Topic::Demand(key), gossip::Value::Demand { rate, quota }) => Self::Demand(
                key.kind.into(),
                key.name.clone(),
                *rate as f32,
                *quota as f32,
            ),
            (Topic::Poison(fingerprint), gossip::Value::Poison(targets)) => {
                Self::Poison(*fingerprint, targets.clone())
            }
            // Not reached: items are published with a topic that matches their value.
            (_, gossip::Value::Demand { .. } | gossip::Value::Poison(_)) => {
                Self::Poison(BlockHash::default(), Vec::new())
            }
        }
    }
}

impl TryFrom<Value> for (Topic, gossip::Value) {
    type Error = Error;

    fn try_from(value: Value) -> Result<Self, Error> {
        Ok(match value {
            Value::Profile(incarnation, api, peer, domain, region, state) => (
                Topic::Profile,
                gossip::Value::Profile(Profile {
                    incarnation,
                    api,
                    peer,
                    domain,
                    region,
                    state,
                }),
            ),
            Value::Heartbeat(load, revision) => (
                Topic::Heartbeat,
                gossip::Value::Heartbeat(Heartbeat {
                    load: f32::from(load) / LOAD_STEPS,
                    revision,
                }),
            ),
            Value::Demand(kind, name, rate, quota) => {
                let valid = |value: f32| value.is_finite() && value >= 0.0;
                if !valid(rate) || !valid(quota) {
                    return Err(Error::Malformed);
                }
                let (rate, quota) = (f64::from(rate), f64::from(quota));
                let topic = Topic::Demand(Key::new(kind.into(), name));
                (topic, gossip::Value::Demand { rate, quota })
            }
            Value::Poison(fingerprint, targets) => {
                (Topic::Poison(fingerprint), gossip::Value::Poison(targets))
            }
        })
    }
}

impl RowEntry {
    fn new(key: &Key, row: Option<Row>) -> Self {
        Self(key.kind.into(), key.name.clone(), row.map(Cells::from))
    }

    fn into_row(self) -> Result<(Key, Option<Row>), Error> {
        let Self(kind, name, cells) = self;
        let key = Key::new(kind.into(), name);
        let row = cells.map(Row::from);
        let is_valid = row.as_ref().is_none_or(|row| row.kind() == key.kind);
        if is_valid {
            Ok((key, row))
        } else {
            Err(Error::Malformed)
        }
    }
}

impl From<Row> for Cells {
    fn from(row: Row) -> Self {
        match row {
            Row::Workspace(row) => Self::Workspace(row.share, row.ceiling, row.priority),
            Row::Pipeline(row) => Self::Pipeline(row.stages, row.priority, row.ceiling),
            Row::Target(row) => Self::Target(row.weight, row.ceiling),
        }
    }
}

impl From<Cells> for Row {
    fn from(cells: Cells) -> Self {
        match cells {
            Cells::Workspace(share, ceiling, priority) => Self::Workspace(Workspace {
                share,
                ceiling,
                priority,
            }),
            Cells::Pipeline(stages, priority, ceiling) => Self::Pipeline(Pipeline {
                stages,
                priority,
                ceiling,
            }),
            Cells::Target(weight, ceiling) => Self::Target(Target { weight, ceiling }),
        }
    }
}

impl From<Kind> for RowKind {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Workspace => Self::Workspace,
            Kind::Pipeline => Self::Pipeline,
            Kind::Target => Self::Target,
        }
    }
}

impl From<RowKind> for Kind {
    fn from(kind: RowKind) -> Self {
        match kind {
            RowKind::Workspace => Self::Workspace,
            RowKind::Pipeline => Self::Pipeline,
            RowKind::Target => Self::Target,
        }
    }
}
