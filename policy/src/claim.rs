//! Claim rows that prevent a non-idempotent stage from running more than once.
//!
//! A claim is a row of the platform's table service that is inserted only if it is absent. It
//! never expires: only the attempt that inserted it may ever send the call.

use crate::id::{AttemptId, BlockHash, Key, Payload, StageIndex, TargetId, WorkspaceId};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

/// Version of a row of the platform's table service; 0 denotes an absent row.
pub type Version = u64;

/// Value of a claim row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Row {
    /// An attempt holds the claim and may have sent its call.
    Held {
        /// Attempt that may send the call.
        attempt: AttemptId,
        /// Only target that the call may be sent to.
        target: TargetId,
        /// Fingerprint of the request's payload.
        payload: BlockHash,
    },
    /// The call completed and its side effect took place.
    Done {
        /// Attempt that sent the call.
        attempt: AttemptId,
        /// Response of the target.
        result: Payload,
        /// Fingerprint of the request's payload.
        payload: BlockHash,
    },
    /// The target rejected the call, which had no side effect.
    Failed {
        /// Attempt that sent the call.
        attempt: AttemptId,
    },
    /// The request was refused before its call was sent; the call must never be sent.
    Refused,
}

/// Operation of an entry on a claim row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum Operation {
    /// Insert the row if it is absent; otherwise return the existing row.
    Insert {
        /// Row to insert.
        row: Row,
    },
    /// Read the current row.
    Read,
    /// Replace the row, provided that `attempt` holds it.
    Settle {
        /// Attempt that holds the claim.
        attempt: AttemptId,
        /// Final row of the claim.
        row: Row,
    },
    /// Delete the row, provided that `attempt` holds it and sent no byte of its call.
    Release {
        /// Attempt that holds the claim.
        attempt: AttemptId,
    },
}

/// Response of the platform to an [`Operation`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum Reply {
    /// The row exists, either inserted by this operation or found.
    Row {
        /// Current value of the row.
        row: Row,
    },
    /// The row does not exist.
    Absent,
    /// The platform could not be reached, its response was lost, or the row could not be parsed.
    Out,
}

/// Returns the key of the claim row for one stage of a request.
///
/// `/` and `%` are escaped in each part so that distinct requests have distinct keys.
#[must_use]
pub fn row_key(key: &Key, stage: StageIndex) -> CompactString {
    format_compact!(
        "{}/{}/{}/{stage}",
        escape(&key.workspace),
        escape(&key.pipeline),
        escape(&key.request)
    )
}

/// Returns the common prefix of the keys of all claim rows of a workspace.
#[must_use]
pub fn workspace_prefix(workspace: &WorkspaceId) -> CompactString {
    format_compact!("{}/", escape(workspace))
}

fn escape(text: &str) -> String {
    text.replace('%', "%25").replace('/', "%2F")
}
