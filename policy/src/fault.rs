//! Failures of an attempt.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Cause for which an attempt ended without a result.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// The connection could not be opened, so no byte was sent to the target.
    Unsent,
    /// The connection was lost after bytes had been sent.
    Broken,
    /// The connection received no data within the idle timeout.
    Silent,
    /// The target answered that it is at capacity and did not run the call.
    Busy {
        /// Time after which the target may be called again, if it gave one.
        #[serde(default, with = "crate::millis::option")]
        retry_after: Option<Duration>,
    },
    /// The target rejected the input as invalid, so a retry cannot succeed.
    Rejected,
    /// The target returned an internal error.
    Error,
}

impl Fault {
    /// Returns whether the target is known not to have run the call.
    #[must_use]
    pub fn is_not_executed(self) -> bool {
        matches!(self, Self::Unsent | Self::Busy { .. })
    }

    /// Returns whether the target may have crashed while it ran the call.
    #[must_use]
    pub fn may_be_crash(self) -> bool {
        matches!(self, Self::Broken)
    }
}
