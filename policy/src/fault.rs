//! Ways in which an attempt ends without a result.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// How an attempt ended without a result.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// The connection could not be opened, so no byte left for the target.
    Unsent,
    /// The connection broke after bytes had left.
    Broken,
    /// The connection made no progress for the permitted time.
    Silent,
    /// The target answered that it is full and did not run the call.
    Busy {
        /// How long the target asks to be left alone.
        #[serde(default, with = "crate::millis::option")]
        retry_after: Option<Duration>,
    },
    /// The target rejected the input as invalid; repeating it can't help.
    Rejected,
    /// The target answered with an error of its own.
    Error,
}

impl Fault {
    /// Returns whether it is proved that the target did not run the call.
    #[must_use]
    pub fn is_not_executed(self) -> bool {
        matches!(self, Self::Unsent | Self::Busy { .. })
    }

    /// Returns whether the target may have died while it ran the call.
    #[must_use]
    pub fn may_be_crash(self) -> bool {
        matches!(self, Self::Broken)
    }
}
