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
pub(super) struct Handed {
    key: CompactString,
    value: Option<Octets>,
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
    Beat {
        /// Version of its configuration, 0 for none.
        plan: u64,
        is_leaving: bool,
        /// Time until its next beat.
        period: Duration,
        /// Age of its tables, if it keeps its peers fresh.
        age: Option<Duration>,
        /// Since when it has conducted, if it does.
        #[serde(rename = "conducts_since")]
        leads_since: Option<UnixMillis>,
    },
    /// The sender wants all entries of targets.
    WantTargets,
    /// Entries of targets.
    Targets {
        rows: Vec<Handed>,
        /// Whether deleted entries may come back.
        is_lenient: bool,
    },
    /// The sender's configuration is older than the receiver's.
    WantPlan,
    /// A configuration.
    Plan(Handed),
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
    Death(PayloadHash),
}

/// Bytes that go over a link as one string.
#[derive(Clone, Debug)]
struct Octets(Vec<u8>);

impl Serialize for Octets {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Octets {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = ciborium::Value::deserialize(deserializer)?;
        let bytes = value.into_bytes();
        bytes
            .map(Self)
            .map_err(|_other| de::Error::custom("not a string of bytes"))
    }
}

impl From<Row> for Handed {
    fn from(row: Row) -> Self {
        Self {
            key: row.key,
            value: row.value.map(|value| Octets(value.to_vec())),
            version: row.version,
        }
    }
}

impl From<Handed> for Row {
    fn from(handed: Handed) -> Self {
        Self {
            key: handed.key,
            value: handed.value.map(|Octets(value)| value.into()),
            version: handed.version,
        }
    }
}
