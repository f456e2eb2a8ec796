//! Settings of an entry's decisions.

use crate::{
    id::{DomainId, HostId, Incarnation},
    pool::Pool,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What an entry is started with.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Settings {
    /// Name of the entry's own host.
    pub host: HostId,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Number that the daemon drew at this start.
    pub incarnation: Incarnation,
    /// Seed of the entry's random numbers.
    pub seed: u64,
    /// All pools of the deployment.
    pub pools: Vec<Pool>,
    /// Most stages that wait for one pool.
    pub queue: usize,
    /// Time that a final outcome is remembered.
    #[serde(with = "crate::millis")]
    pub remember: Duration,
}
