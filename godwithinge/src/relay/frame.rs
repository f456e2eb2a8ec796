//! What goes over a link between daemons.

use super::{conduct::JobRequest, dialect::Row};
use compact_str::CompactString;
use policy::{
    id::{DomainId, HostId, Incarnation},
    relay::{crash::PayloadHash, leader::UnixMillis, scheduler::Handle},
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::{net::SocketAddr, time::Duration};

/// Number of a link, never used twice in one process; 0 is the daemon itself.
pub(super) type LinkId = u64;

/// What daemons tell each other of themselves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Profile {
    pub host: HostId,
    pub domain: DomainId,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for daemons.
    pub link: SocketAddr,
    /// Share of a core.
    pub cpu: f64,
    pub incarnation: Incarnation,
    /// Start of its process.
    pub started: UnixMillis,
    /// Since when it has conducted, if it does.
    #[serde(rename = "conducts_since")]
    pub leads_since: Option<UnixMillis>,
}

/// Row of a table as daemons hand it on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireRow {
    key: CompactString,
    value: Option<ByteString>,
    version: u64,
}

/// What goes over a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) enum Frame {
    /// First frame of each end, with the other daemons that it knows.
    Hello {
        profile: Profile,
        known: Vec<SocketAddr>,
    },
    /// The sender lives.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// Version of its configuration, 0 for none.
        #[serde(rename = "plan")]
        plan_version: u64,
        is_leaving: bool,
        /// Time until its next beat.
        #[serde(rename = "period")]
        interval: Duration,
        /// Age of its tables, if it keeps its peers fresh.
        #[serde(rename = "age")]
        table_age: Option<Duration>,
        /// Since when it has conducted, if it does.
        #[serde(rename = "conducts_since")]
        leads_since: Option<UnixMillis>,
    },
    /// The sender wants all entries of targets.
    #[serde(rename = "WantTargets")]
    RequestTargets,
    /// Entries of targets.
    Targets {
        rows: Vec<WireRow>,
        /// Whether deleted entries may come back.
        is_lenient: bool,
    },
    /// The sender's configuration is older than the receiver's.
    #[serde(rename = "WantPlan")]
    RequestPlan,
    /// A configuration.
    Plan(WireRow),
    /// Stages to be made.
    Submit {
        number: u64,
        #[serde(rename = "order")]
        job: JobRequest,
    },
    /// A job's results are no longer wanted.
    Release { number: u64 },
    /// All stages of a job are made.
    Ready {
        number: u64,
        handles: Vec<Handle>,
        domain: Option<DomainId>,
    },
    /// A job is given up.
    Refused {
        number: u64,
        reason: u8,
        retry_after: Duration,
    },
    /// A target died while it ran a payload.
    #[serde(rename = "Death")]
    TargetCrash(PayloadHash),
}

/// Bytes that go over a link as one string.
#[derive(Clone, Debug)]
struct ByteString(Vec<u8>);

impl Serialize for ByteString {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ByteString {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = ciborium::Value::deserialize(deserializer)?;
        let bytes = value.into_bytes();
        bytes
            .map(Self)
            .map_err(|_other| de::Error::custom("not a string of bytes"))
    }
}

impl From<Row> for WireRow {
    fn from(row: Row) -> Self {
        Self {
            key: row.key,
            value: row.value.map(|value| ByteString(value.to_vec())),
            version: row.version,
        }
    }
}

impl From<WireRow> for Row {
    fn from(row: WireRow) -> Self {
        Self {
            key: row.key,
            value: row.value.map(|ByteString(value)| value.into()),
            version: row.version,
        }
    }
}
