//! Row of a lease in the platform's table service.

use crate::{id::Time, millis};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Fencing token: rises with each acquisition of a region's lease.
///
/// A target that checks tokens refuses an order whose token is lower than one it has seen.
pub type FencingToken = u64;

/// Value of a lease row, stored as JSON with durations in milliseconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Host and incarnation of the planner that holds the lease.
    pub holder: CompactString,
    /// Token of the orders that this holder sends.
    pub fence: FencingToken,
    /// When the holder sent the row, on its own monotonic clock; meaningless to other planners.
    #[serde(with = "millis")]
    pub sent: Time,
    /// Time from `sent` to expiry; zero for a lease that was released.
    #[serde(with = "millis")]
    pub duration: Duration,
    /// Timeout of the holder's orders.
    ///
    /// A successor waits for it before it sends orders to targets that ignore fencing tokens.
    #[serde(with = "millis")]
    pub order_timeout: Duration,
}
