//! Frames exchanged on links between daemons.
//!
//! Attributes keep the names that are encoded in frames stable across versions.

use super::{conduct::JobRequest, dialect::Row};
use compact_str::CompactString;
use policy::{
    id::{DomainId, HostId, Incarnation, PoolId, RequestId, TargetId},
    relay::{
        builds,
        crash::{Feature, PayloadHash, Quarantine, Report},
        evacuation::Record,
        history::{Era, Version},
        leader::UnixMillis,
        performance::PaceSample,
        rate::{self, Decision, Rate},
        registry::{Build, Start},
        rejection,
        scheduler::Handle,
    },
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::{net::SocketAddr, time::Duration};
use strum::IntoStaticStr;

/// Identifies a link within a process; never reused. 0 stands for the local daemon.
pub(super) type LinkId = u64;

/// Description of a daemon for its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Profile {
    pub host: HostId,
    pub domain: DomainId,
    /// Address that callers connect to.
    pub front: SocketAddr,
    /// Address that other daemons dial.
    pub link: SocketAddr,
    /// Address at which it opens tunnels to targets; absent if it offers none.
    #[serde(default)]
    pub tunnel: Option<SocketAddr>,
    /// CPU share in cores.
    pub cpu: f64,
    /// Random identifier of the process.
    pub incarnation: Incarnation,
    /// Start time of its process by its own clock.
    pub started: UnixMillis,
    /// When it became the leader; absent if it is not.
    #[serde(rename = "conducts_since")]
    pub leads_since: Option<UnixMillis>,
    /// Version of the protocol that it speaks; 0 in frames of daemons that don't state it.
    #[serde(default)]
    pub protocol: u32,
}

/// Version of the protocol between daemons that this build speaks.
pub(super) const PROTOCOL: u32 = STAGE_NUMBER_PROTOCOL;

/// Version of the protocol from which daemons exchange the features of requests whose targets crash.
pub(super) const CRASH_PROTOCOL: u32 = 2;

/// Version of the protocol from which daemons tell of the rejections of targets that bear few.
const REJECTION_PROTOCOL: u32 = 3;

/// Version of the protocol from which daemons tell what targets say of further requests.
const NOTICE_PROTOCOL: u32 = 4;

/// Version of the protocol from which daemons keep limits on the rate of requests together, and tell
/// which processes of targets have ended.
const RATE_PROTOCOL: u32 = 5;

/// Version of the protocol from which daemons tell which builds the store has records of.
const BUILD_PROTOCOL: u32 = 6;

/// Version of the protocol from which daemons tell of evacuations of failure domains.
pub(super) const EVACUATION_PROTOCOL: u32 = 7;

/// Version of the protocol from which daemons tell which targets are cold.
pub(super) const COLD_PROTOCOL: u32 = 7;

/// Version of the protocol from which daemons number stages as their configuration does.
pub(super) const STAGE_NUMBER_PROTOCOL: u32 = 8;

/// Row of a table as encoded in frames.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireRow {
    key: CompactString,
    /// Absent if the row was deleted.
    value: Option<ByteString>,
    version: u64,
    /// Era of the version; 0 in frames of daemons that don't know eras.
    #[serde(default)]
    era: Era,
}

/// Message between two daemons.
#[derive(Clone, Debug, Deserialize, IntoStaticStr, Serialize)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Frame {
    /// First frame of each end, with the addresses of the other daemons that it knows.
    Hello {
        profile: Profile,
        known: Vec<SocketAddr>,
    },
    /// Shows that the sender is alive, and reports its state.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// Version of its configuration; 0 if it has none.
        #[serde(rename = "plan")]
        plan_version: u64,
        /// Era of that version; 0 if the sender does not know eras.
        #[serde(default)]
        plan_era: Era,
        /// Revision of its configuration; 0 if it has none or does not know eras.
        #[serde(default)]
        plan_revision: u64,
        /// Latest era of the store that it knows.
        #[serde(default)]
        era: Era,
        is_leaving: bool,
        /// Time until its next heartbeat.
        #[serde(rename = "period")]
        interval: Duration,
        /// Age of its tables; absent if it is not a reader.
        #[serde(rename = "age")]
        table_age: Option<Duration>,
        /// When it became the leader; absent if it is not.
        #[serde(rename = "conducts_since")]
        leads_since: Option<UnixMillis>,
        /// Whether it is partitioned from all targets.
        #[serde(default)]
        is_partitioned: bool,
        /// Digest of the evacuated domains that it knows of; absent if it knows of none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        evacuated: Option<u64>,
        /// Pace of streams that it has forwarded since its last heartbeat on the link.
        #[serde(default)]
        paces: Vec<WirePace>,
    },
    /// Requests all entries of targets.
    #[serde(rename = "WantTargets")]
    RequestTargets,
    /// Entries of targets.
    Targets {
        rows: Vec<WireRow>,
        /// Whether deleted entries may reappear, as after an outage of the store.
        is_lenient: bool,
    },
    /// Requests the receiver's configuration, which is newer than the sender's.
    #[serde(rename = "WantPlan")]
    RequestPlan,
    /// A configuration.
    Plan(WireRow),
    /// A configuration whose value is compressed with zlib.
    PackedPlan(WireRow),
    /// The sender serves other peers, so that the receiver has to request its configuration
    /// elsewhere or later.
    DeclinePlan,
    /// Submits a job to the receiver's scheduler.
    Submit {
        number: u64,
        #[serde(rename = "order")]
        job: JobRequest,
    },
    /// Cancels a job, or releases its results.
    Release { number: u64 },
    /// All stages of a job are complete.
    Ready {
        number: u64,
        handles: Vec<Handle>,
        domain: Option<DomainId>,
    },
    /// A job was refused.
    Refused {
        number: u64,
        reason: u8,
        retry_after: Duration,
    },
    /// Where a stream began, for the receiver to keep.
    StreamOrigin {
        stream: RequestId,
        /// Its pool; absent in frames of earlier builds.
        #[serde(default)]
        pool: Option<PoolId>,
        build: Build,
        /// Time since it was recorded.
        age: Duration,
    },
    /// Requests where a stream began.
    FindOrigin {
        number: u64,
        /// Empty if its caller did not name it.
        stream: RequestId,
        /// A pool in which it can have begun; absent in frames of earlier builds.
        #[serde(default)]
        pool: Option<PoolId>,
        /// The others; absent in frames of earlier builds, which judge the first one alone.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        other_pools: Vec<PoolId>,
        /// Time for which the stream may have lasted.
        #[serde(default)]
        max_age: Duration,
    },
    /// Answer to such a request.
    Origin {
        number: u64,
        /// Absent if it is not known.
        build: Option<Build>,
        /// Pool with this build; absent if it is not known, and in frames of earlier builds.
        #[serde(default)]
        pool: Option<PoolId>,
        /// The only build that the pools have had meanwhile, as far as the sender knows; absent if there
        /// are several, and in frames of earlier builds.
        #[serde(default)]
        single_build: Option<Build>,
        /// Whether the sender can't tell, since it may have read an older copy of the store.
        #[serde(default)]
        is_unsure: bool,
    },
    /// A target crashed while it ran the payload with this hash; in place of
    /// [`Crashes`](Self::Crashes) to and from daemons that do not know those.
    #[serde(rename = "Death")]
    TargetCrash(PayloadHash),
    /// Targets crashed.
    Crashes(Vec<WireCrash>),
    /// Requests with these features were served although targets crashed that had them.
    Served(Vec<Feature>),
    /// Features that crash targets.
    Quarantine(Vec<WireQuarantine>),
    /// A target bears few rejections, and may have rejected some.
    Rejections(WireRejections),
    /// Targets have said that they leave.
    Departures(Vec<WireStart>),
    /// A target has asked for a pause on a connection that the receiver forwards, and so asked the
    /// receiver.
    Pause(WirePause),
    /// The processes of targets seem to have ended.
    Endings(Vec<WireStart>),
    /// The store has records of these builds.
    Builds(Vec<WireBuild>),
    /// Limits on the rate of requests that targets have named, or name no more.
    Rates(Vec<WireRate>),
    /// Asks the leader for a send to a target that names a limit.
    RequestPermit {
        number: u64,
        rate: WireRate,
        /// Time that the send may wait.
        #[serde(default)]
        max_wait: Duration,
        /// Time for which the target is cold, if it is.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cold_for: Option<Duration>,
    },
    /// Answer to such a question.
    Permit { number: u64, permit: WirePermit },
    /// All evacuations that the sender knows of.
    Evacuations(WireEvacuations),
    /// Targets are cold, apart from what their entries say.
    Cold(Vec<WireCold>),
}

/// Time for which a target is cold, as encoded in frames.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireCold {
    target: TargetId,
    /// Start time of the target; 0 if it is not known.
    #[serde(default)]
    started: UnixMillis,
    /// Time until its end.
    left: Duration,
}

impl From<(Start, Duration)> for WireCold {
    fn from((start, left): (Start, Duration)) -> Self {
        Self {
            target: start.target,
            started: start.started_unix_ms,
            left,
        }
    }
}

impl From<WireCold> for (Start, Duration) {
    fn from(cold: WireCold) -> Self {
        let start = Start {
            target: cold.target,
            started_unix_ms: cold.started,
        };
        (start, cold.left)
    }
}

impl WireRate {
    /// Returns whether the target names a limit.
    pub fn is_limited(&self) -> bool {
        self.rate.is_some()
    }

    /// Returns that the target is cold for `left`.
    pub fn to_cold(&self, left: Duration) -> WireCold {
        WireCold {
            target: self.target.clone(),
            started: self.started,
            left,
        }
    }
}

/// Evacuations of failure domains, as encoded in frames.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireEvacuations {
    /// Era and number of the version at which the whole table was last read; absent if it was not.
    read_at: Option<(Era, u64)>,
    domains: Vec<WireEvacuation>,
}

/// Row about the evacuation of a failure domain, as encoded in frames.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct WireEvacuation {
    domain: DomainId,
    era: Era,
    version: u64,
    is_present: bool,
}

impl From<(Option<Version>, Vec<Record>)> for WireEvacuations {
    fn from((read_at, records): (Option<Version>, Vec<Record>)) -> Self {
        let domains = records.into_iter().map(|record| WireEvacuation {
            domain: record.domain,
            era: record.version.era,
            version: record.version.number,
            is_present: record.is_present,
        });
        Self {
            read_at: read_at.map(|version| (version.era, version.number)),
            domains: domains.collect(),
        }
    }
}

impl From<WireEvacuations> for (Option<Version>, Vec<Record>) {
    fn from(evacuations: WireEvacuations) -> Self {
        let version = |(era, number)| Version { era, number };
        let records = evacuations.domains.into_iter().map(|row| Record {
            domain: row.domain,
            version: version((row.era, row.version)),
            is_present: row.is_present,
        });
        (evacuations.read_at.map(version), records.collect())
    }
}

/// Pace of a stream, as encoded in frames.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WirePace {
    target: TargetId,
    /// Mean time between two events in microseconds.
    micros: u32,
    /// Number of these intervals.
    events: u32,
}

impl From<&PaceSample> for WirePace {
    fn from(sample: &PaceSample) -> Self {
        Self {
            target: sample.target.clone(),
            micros: sample.interval.as_micros().try_into().unwrap_or(u32::MAX),
            events: sample.events,
        }
    }
}

impl From<WirePace> for PaceSample {
    fn from(pace: WirePace) -> Self {
        Self {
            target: pace.target,
            interval: Duration::from_micros(pace.micros.into()),
            events: pace.events,
        }
    }
}

/// Build of a pool, as encoded in frames.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireBuild {
    pool: PoolId,
    build: Build,
}

impl From<builds::Key> for WireBuild {
    fn from((pool, build): builds::Key) -> Self {
        Self { pool, build }
    }
}

impl From<WireBuild> for builds::Key {
    fn from(build: WireBuild) -> Self {
        (build.pool, build.build)
    }
}

/// Limit on the rate of requests of a target, as encoded in frames.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireRate {
    pub target: TargetId,
    /// Start time of the target; 0 if it is not known.
    #[serde(default)]
    started: UnixMillis,
    /// Requests a second; absent if the target names no limit any more.
    rate: Option<Rate>,
    /// Time since it was named, or since the request was sent whose answer named none.
    #[serde(default)]
    age: Duration,
}

impl From<rate::Report> for WireRate {
    fn from(report: rate::Report) -> Self {
        Self {
            target: report.target,
            started: report.started_unix_ms,
            rate: report.rate,
            age: report.age,
        }
    }
}

impl From<WireRate> for rate::Report {
    fn from(rate: WireRate) -> Self {
        Self {
            target: rate.target,
            started_unix_ms: rate.started,
            rate: rate.rate,
            age: rate.age,
        }
    }
}

/// Answer to a question for a permit, as encoded in frames.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct WirePermit {
    is_granted: bool,
    /// Time until the send may be made, or until the target takes the next one.
    #[serde(default)]
    wait: Duration,
}

impl From<Decision> for WirePermit {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Send(wait) => Self {
                is_granted: true,
                wait,
            },
            Decision::Refuse(wait) => Self {
                is_granted: false,
                wait,
            },
        }
    }
}

impl From<WirePermit> for Decision {
    fn from(permit: WirePermit) -> Self {
        let wait = permit.wait.min(rate::MAX_INTERVAL);
        if permit.is_granted {
            Self::Send(wait)
        } else {
            Self::Refuse(wait)
        }
    }
}

/// Pause that a target asked for, as encoded in frames.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WirePause {
    pub target: TargetId,
    /// Time until its end.
    #[serde(default)]
    pub left: Duration,
}

/// One start of a target, as encoded in frames.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireStart {
    target: TargetId,
    /// Start time of the target; 0 if it is not known.
    #[serde(default)]
    started: UnixMillis,
}

impl From<Start> for WireStart {
    fn from(start: Start) -> Self {
        Self {
            target: start.target,
            started: start.started_unix_ms,
        }
    }
}

impl From<WireStart> for Start {
    fn from(start: WireStart) -> Self {
        Self {
            target: start.target,
            started_unix_ms: start.started,
        }
    }
}

/// Report on a target that bears few rejections, as encoded in frames.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireRejections {
    pool: PoolId,
    target: TargetId,
    max_rejections: u32,
    rejections: u32,
    running: Option<u32>,
}

impl From<rejection::Report> for WireRejections {
    fn from(report: rejection::Report) -> Self {
        Self {
            pool: report.pool,
            target: report.target,
            max_rejections: report.max_rejections,
            rejections: report.rejections,
            running: report.running,
        }
    }
}

impl From<WireRejections> for rejection::Report {
    fn from(report: WireRejections) -> Self {
        Self {
            pool: report.pool,
            target: report.target,
            max_rejections: report.max_rejections,
            rejections: report.rejections,
            running: report.running,
        }
    }
}

/// Quarantined feature as encoded in frames.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct WireQuarantine {
    feature: Feature,
    /// Time since the quarantine began or was last extended.
    age: Duration,
    is_confirmed: bool,
}

impl From<Quarantine> for WireQuarantine {
    fn from(quarantine: Quarantine) -> Self {
        Self {
            feature: quarantine.feature,
            age: quarantine.age,
            is_confirmed: quarantine.is_confirmed,
        }
    }
}

impl From<WireQuarantine> for Quarantine {
    fn from(quarantine: WireQuarantine) -> Self {
        Self {
            feature: quarantine.feature,
            age: quarantine.age,
            is_confirmed: quarantine.is_confirmed,
        }
    }
}

/// Crash of a target as encoded in frames.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireCrash {
    target: TargetId,
    suspects: Vec<Feature>,
    served: Vec<Feature>,
    /// Time since the crash.
    age: Duration,
}

impl From<(Report, Duration)> for WireCrash {
    fn from((report, age): (Report, Duration)) -> Self {
        Self {
            target: report.target,
            suspects: report.suspects,
            served: report.served,
            age,
        }
    }
}

impl From<WireCrash> for (Report, Duration) {
    fn from(crash: WireCrash) -> Self {
        let report = Report {
            target: crash.target,
            suspects: crash.suspects,
            served: crash.served,
        };
        (report, crash.age)
    }
}

impl Frame {
    /// Returns the version of the protocol from which daemons can decode this frame.
    pub fn protocol(&self) -> u32 {
        match self {
            Self::Evacuations(_) => EVACUATION_PROTOCOL,
            Self::Cold(_) => COLD_PROTOCOL,
            Self::Builds(_) => BUILD_PROTOCOL,
            Self::Rates(_)
            | Self::RequestPermit { .. }
            | Self::Permit { .. }
            | Self::Endings(_) => RATE_PROTOCOL,
            Self::Departures(_) | Self::Pause(_) => NOTICE_PROTOCOL,
            Self::Rejections(_) => REJECTION_PROTOCOL,
            Self::Crashes(_) | Self::Served(_) | Self::Quarantine(_) => CRASH_PROTOCOL,
            Self::PackedPlan(_)
            | Self::DeclinePlan
            | Self::StreamOrigin { .. }
            | Self::FindOrigin { .. }
            | Self::Origin { .. } => 1,
            Self::Hello { .. }
            | Self::Heartbeat { .. }
            | Self::RequestTargets
            | Self::Targets { .. }
            | Self::RequestPlan
            | Self::Plan(_)
            | Self::Submit { .. }
            | Self::Release { .. }
            | Self::Ready { .. }
            | Self::Refused { .. }
            | Self::TargetCrash(_) => 0,
        }
    }
}

/// Bytes that are encoded as a CBOR byte string rather than an array.
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
            .map_err(|_other| de::Error::custom("expected a byte string"))
    }
}

impl From<Row> for WireRow {
    fn from(row: Row) -> Self {
        Self {
            key: row.key,
            value: row.value.map(|value| ByteString(value.to_vec())),
            version: row.version.number,
            era: row.version.era,
        }
    }
}

impl From<WireRow> for Row {
    fn from(row: WireRow) -> Self {
        Self {
            key: row.key,
            value: row.value.map(|ByteString(value)| value.into()),
            version: Version {
                era: row.era,
                number: row.version,
            },
        }
    }
}
