//! Claim records that keep a non-idempotent stage from running twice.
//!
//! A claim is a row of the platform's table service, inserted under the condition that it is
//! absent. It never lapses: whoever inserted it is the only one who may ever send that call.

use crate::id::{AttemptId, BlockHash, Key, Payload, StageIndex, TargetId, WorkspaceId};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

/// Version of a row of the platform's table service; 0 stands for an absent row.
pub type Version = u64;

/// Value of a claim row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Row {
    /// An attempt holds the claim and may have sent its call.
    Held {
        /// The attempt that may send the call.
        attempt: AttemptId,
        /// The one target that the call may go to.
        target: TargetId,
        /// Fingerprint of the request's payload.
        payload: BlockHash,
    },
    /// The call took effect.
    Done {
        /// The attempt that sent the call.
        attempt: AttemptId,
        /// What the target answered.
        result: Payload,
        /// Fingerprint of the request's payload.
        payload: BlockHash,
    },
    /// The call was refused by its target and had no effect.
    Failed {
        /// The attempt that sent the call.
        attempt: AttemptId,
    },
    /// The request was refused before the call, which may never be sent.
    Refused,
}

/// What an entry asks of the claim row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum Operation {
    /// Insert this row if there is none; read back what stands there if there is one.
    Insert {
        /// The row to insert.
        row: Row,
    },
    /// Read the row.
    Read,
    /// Replace the row that `attempt` holds.
    Settle {
        /// The attempt whose claim is settled.
        attempt: AttemptId,
        /// The row that replaces it.
        row: Row,
    },
    /// Delete the row that `attempt` holds, since no byte of its call left.
    Release {
        /// The attempt whose claim is released.
        attempt: AttemptId,
    },
}

/// What the platform answered about a claim row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum Reply {
    /// The row that now stands, inserted by this ask or found.
    Row {
        /// The row.
        row: Row,
    },
    /// There is no row.
    Absent,
    /// The platform could not be asked, or its answer was lost.
    #[serde(rename = "out")]
    Unavailable,
}

/// Returns the key of the claim row of one stage of a request.
///
/// Parts are escaped so that no two requests share a key.
#[must_use]
pub fn row_key(key: &Key, stage: StageIndex) -> CompactString {
    format_compact!(
        "{}/{}/{}/{stage}",
        escape(&key.workspace),
        escape(&key.pipeline),
        escape(&key.request)
    )
}

/// Returns what the keys of all claim rows of a workspace begin with.
#[must_use]
pub fn workspace_prefix(workspace: &WorkspaceId) -> CompactString {
    format_compact!("{}/", escape(workspace))
}

fn escape(text: &str) -> String {
    text.replace('%', "%25").replace('/', "%2F")
}
