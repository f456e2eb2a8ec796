//! Settings of an entry's state machine.

use crate::{
    id::{DomainId, HostId, Incarnation},
    pool::Pool,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of an entry, fixed for its lifetime.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Settings {
    /// Name of the host that the entry runs on.
    pub host: HostId,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Number that the daemon drew at this start; it makes attempt ids unique across restarts.
    pub incarnation: Incarnation,
    /// Seed of the random number generator.
    pub seed: u64,
    /// All pools of the deployment.
    pub pools: Vec<Pool>,
    /// Maximum number of queued stages per pool.
    pub queue: usize,
    /// Retention period of final outcomes.
    #[serde(with = "crate::millis")]
    pub remember: Duration,
}
