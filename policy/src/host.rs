//! Targets as described by the platform's host list and by their own reports.

use crate::id::{AdapterId, BlockHash, DomainId, HostId, ModelId, PoolId, RegionId, TargetId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Target in the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Name of the host.
    pub host: HostId,
    /// Name of the target on the host.
    pub target: TargetId,
    /// Pool that the target belongs to.
    pub pool: PoolId,
    /// Address of the target: IP address and port.
    pub address: CompactString,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Region of the host.
    pub region: RegionId,
    /// Lifecycle state of the host.
    pub state: State,
}

/// Lifecycle state of a host.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The host accepts new work.
    Live,
    /// The host completes its current work and accepts no new work.
    Leaving,
}

/// Load report of a target.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Number of requests that the target is running.
    pub running: u32,
    /// Number of requests queued at the target.
    pub waiting: u32,
    /// Number of requests that the target can run concurrently; 0 if unknown.
    #[serde(rename = "width")]
    pub max_concurrency: u32,
    /// Tokens generated per second for one request; 0 for a service.
    pub tokens_per_second: f64,
    /// Prompt tokens processed per second; 0 for a service.
    pub prefill_per_second: f64,
    /// Age of the measurements when the target sent the report.
    #[serde(with = "crate::millis")]
    pub age: Duration,
    /// Models that are loaded on the target.
    pub models: Vec<ModelId>,
    /// Adapters that are loaded on the target.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Whether the target accepts new work.
    #[serde(default)]
    pub role: Role,
}

/// Role that an engine was last ordered to take.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// The engine completes its current work because its models are about to change.
    Draining,
    /// The engine accepts new work.
    #[default]
    #[serde(other)]
    Serving,
}

/// Change of a target's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum CacheChange {
    /// Blocks were added to the cache.
    Stored {
        /// Sequence number of the event at the target; a gap indicates lost events.
        sequence: u64,
        /// Hashes of the blocks.
        blocks: Vec<BlockHash>,
    },
    /// Blocks were evicted from the cache.
    Removed {
        /// Sequence number of the event at the target; a gap indicates lost events.
        sequence: u64,
        /// Hashes of the blocks.
        blocks: Vec<BlockHash>,
    },
}
