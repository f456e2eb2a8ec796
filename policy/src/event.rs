//! Input events of an entry.

use crate::{
    claim::Reply,
    command::Frame,
    fault::Fault,
    host::{CacheChange, Host, Report},
    id::{AttemptId, HostId, Key, Payload, StageIndex, TargetId},
    table::Table,
};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Input event of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A caller sent a request.
    Submit {
        /// Name of the request.
        key: Key,
        /// Time remaining until the caller's deadline.
        #[serde(with = "crate::millis")]
        deadline: Duration,
        /// Whether the caller has sent this request before.
        #[serde(default)]
        retry: bool,
        /// Payload of the request.
        payload: Payload,
    },
    /// The platform answered an operation on a claim row.
    Claim {
        /// Name of the request.
        key: Key,
        /// Stage that the claim is for.
        stage: StageIndex,
        /// Response of the platform.
        reply: Reply,
    },
    /// The object store answered a load of a saved stage result.
    Checkpoint {
        /// Name of the request.
        key: Key,
        /// Stage whose result was requested.
        stage: StageIndex,
        /// Saved result; `None` if there is none for the same input.
        result: Option<Payload>,
    },
    /// A target streamed a chunk of its result.
    Progress {
        /// Attempt that the chunk belongs to.
        attempt: AttemptId,
        /// Text of the chunk.
        text: Payload,
        /// Number of tokens in the chunk.
        tokens: u32,
    },
    /// A target returned its complete result.
    Done {
        /// Attempt that ended.
        attempt: AttemptId,
        /// Result of the stage.
        result: Payload,
    },
    /// An attempt ended without a result.
    Failed {
        /// Attempt that ended.
        attempt: AttemptId,
        /// Cause of the failure.
        fault: Fault,
    },
    /// A target answered the lookup of a call by idempotency key.
    #[serde(rename = "looked")]
    LookupResult {
        /// Name of the request.
        key: Key,
        /// Stage that the call was for.
        stage: StageIndex,
        /// Result of the call if it took effect; `None` if the target does not know.
        result: Option<Payload>,
    },
    /// The platform's host list was fetched.
    Hosts {
        /// All targets in the list.
        hosts: Vec<Host>,
    },
    /// A table was received from the platform or a peer.
    Table {
        /// New table.
        table: Arc<Table>,
    },
    /// A target reported its load.
    Load {
        /// Target that sent the report.
        target: TargetId,
        /// Load report of the target.
        report: Report,
    },
    /// A target published a change of its prefix cache.
    Cache {
        /// Target whose cache changed.
        target: TargetId,
        /// Change of the cache.
        change: CacheChange,
    },
    /// A peer sent a frame.
    Peer {
        /// Host name of the peer.
        from: HostId,
        /// Received frame.
        frame: Frame,
    },
    /// The set of daemons that share the ceilings changed.
    Members {
        /// Host names of all members, including the entry's own host.
        members: Vec<HostId>,
        /// Whether none of the members is suspect and the fleet is not partitioned.
        #[serde(rename = "steady")]
        stable: bool,
    },
    /// The wake-up time that the entry requested has been reached.
    Wake,
    /// The entry stops accepting requests and completes those in progress.
    Drain,
}
