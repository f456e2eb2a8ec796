//! Targets as the platform's host list and their own reports show them.

use crate::id::{AdapterId, BlockHash, DomainId, HostId, ModelId, PoolId, RegionId, TargetId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// One target on the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Name of the host.
    pub host: HostId,
    /// Name of the target that runs on the host.
    pub target: TargetId,
    /// Pool that the target belongs to.
    pub pool: PoolId,
    /// Address of the target: IP number and port.
    pub address: CompactString,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Region of the host.
    pub region: RegionId,
    /// Whether the host is to stay.
    pub state: State,
}

/// Whether a host is to stay.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The host takes new work.
    Live,
    /// The host finishes what it has and takes no new work.
    Leaving,
}

/// Load that a target reported of itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Requests that the target runs now.
    pub running: u32,
    /// Requests that wait at the target.
    pub waiting: u32,
    /// Requests that the target can run at once.
    #[serde(rename = "width")]
    pub max_concurrency: u32,
    /// Tokens that the target generates in a second for one request; 0 for a plain service.
    pub tokens_per_second: f64,
    /// Prompt tokens that the target reads in a second; 0 for a plain service.
    pub prefill_per_second: f64,
    /// Age of the figures when the target gave them.
    #[serde(with = "crate::millis")]
    pub age: Duration,
    /// Models that the target holds warm.
    pub models: Vec<ModelId>,
    /// Adapters that the target holds warm.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Whether the target takes new work.
    #[serde(default)]
    pub role: Role,
}

/// What an engine was last ordered to do with new work.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// The engine finishes what it has, because its models are about to change.
    Draining,
    /// The engine takes new work.
    #[default]
    #[serde(other)]
    Serving,
}

/// A change of a target's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum CacheChange {
    /// The target now holds these blocks.
    Stored {
        /// Number of the event at the target; a gap means lost events.
        sequence: u64,
        /// Hashes of the blocks.
        blocks: Vec<BlockHash>,
    },
    /// The target no longer holds these blocks.
    Removed {
        /// Number of the event at the target; a gap means lost events.
        sequence: u64,
        /// Hashes of the blocks.
        blocks: Vec<BlockHash>,
    },
}
