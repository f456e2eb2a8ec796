//! The row of a lease in the platform's table service.

use crate::{id::Time, millis};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number that rises at each change of a region's holder.
pub type FencingToken = u64;

/// Value of a lease row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Planner that holds the lease: host and incarnation.
    pub holder: CompactString,
    /// Number of the holder.
    pub fence: FencingToken,
    /// When the holder sent the row, on its own clock; it has no meaning for others.
    #[serde(with = "millis")]
    pub sent: Time,
    /// Time from `sent` for which the lease is held; zero for one that was given back.
    #[serde(with = "millis")]
    pub duration: Duration,
    /// Longest time that the holder waits for an order to end.
    #[serde(with = "millis")]
    pub order_timeout: Duration,
}
