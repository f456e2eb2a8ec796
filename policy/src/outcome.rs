//! Final outcome of a request.

use crate::id::{Payload, PoolId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Final outcome of a request; a caller receives exactly one.
#[derive(Clone, Debug, Deserialize, Display, IntoStaticStr, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The request completed.
    Answered {
        /// Result of the last stage.
        answer: Payload,
    },
    /// No byte of any stage was sent to any target, and none will be.
    NotRun {
        /// Why the request was not run.
        reason: Reason,
        /// Time that the caller should wait before it retries.
        #[serde(with = "crate::millis")]
        retry_after: Duration,
    },
    /// The request ran and failed.
    Failed {
        /// Pool of the stage that failed.
        stage: PoolId,
        /// Whether a side effect took place.
        effects: Effects,
        /// Why the request failed.
        reason: Reason,
        /// Time that the caller should wait before it retries; `None` if a retry cannot succeed.
        #[serde(default, with = "crate::millis::option")]
        retry_after: Option<Duration>,
    },
    /// A non-idempotent call may have taken effect and will not be retried.
    Unknown {
        /// Pool of the stage whose result is unknown.
        stage: PoolId,
    },
}

/// Whether a side effect of a request took place.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Effects {
    /// No side effect took place, and none will.
    None,
    /// A side effect took place.
    Done,
}

impl Reason {
    /// Returns whether a later retry can succeed.
    pub fn is_transient(self) -> bool {
        !matches!(
            self,
            Self::Refused | Self::Rejected | Self::Reused | Self::Quarantined
        )
    }
}

/// Reason for which a request ended without an answer.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The queue of a pool is full.
    QueueFull,
    /// The remaining stages cannot complete before the deadline.
    Infeasible,
    /// The deadline passed.
    Deadline,
    /// The workspace is at its ceiling.
    Ceiling,
    /// The pool has no live target.
    NoTarget,
    /// The claim could not be written because the platform is unavailable.
    Platform,
    /// A duplicate of the request was refused, so this one must not run.
    Refused,
    /// All permitted attempts failed.
    Attempts,
    /// The request identifier was already used with a different payload.
    Reused,
    /// The payload is quarantined because it crashed several targets.
    Quarantined,
    /// The target rejected the input.
    Rejected,
    /// The entry is draining and accepts no new request.
    Leaving,
}
