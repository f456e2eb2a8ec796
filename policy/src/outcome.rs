//! Final outcome of a request.

use crate::id::{Payload, PoolId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// The one final outcome that a caller gets for a request.
#[derive(Clone, Debug, Deserialize, Display, IntoStaticStr, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The whole answer of the request.
    Answered {
        /// Result of the last stage.
        answer: Payload,
    },
    /// No byte for any stage left for any target, and none will.
    NotRun {
        /// Why the request was not run.
        reason: Reason,
        /// How long the caller should wait before it asks again.
        #[serde(with = "crate::millis")]
        retry_after: Duration,
    },
    /// The request ran and ended without an answer.
    Failed {
        /// Pool of the stage that ended the request.
        stage: PoolId,
        /// Whether a side effect took place.
        effects: Effects,
        /// Why the request failed.
        reason: Reason,
        /// How long the caller should wait before it asks again, where asking again can help.
        #[serde(default, with = "crate::millis::option")]
        retry_after: Option<Duration>,
    },
    /// A non-idempotent call may have taken effect and will not be repeated.
    Unknown {
        /// Pool of the stage whose call is unsettled.
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
    /// Returns whether asking again later can help.
    pub fn is_transient(self) -> bool {
        !matches!(
            self,
            Self::Refused | Self::Rejected | Self::Reused | Self::Quarantined
        )
    }
}

/// Why a request ended without an answer.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The queue of a pool is full.
    QueueFull,
    /// The rest of the pipeline can't finish within the deadline.
    Infeasible,
    /// The deadline passed.
    Deadline,
    /// The workspace is at its ceiling.
    Ceiling,
    /// The pool has no live target.
    NoTarget,
    /// The claim could not be written because the platform is out.
    Platform,
    /// Another copy of the request was refused, so this one may not run.
    Refused,
    /// Every permitted attempt failed.
    Attempts,
    /// The request identifier was used before with another payload.
    Reused,
    /// The payload is quarantined because it ended several targets.
    Quarantined,
    /// The target rejected the input.
    Rejected,
    /// The entry is leaving and takes no new request.
    Leaving,
}
