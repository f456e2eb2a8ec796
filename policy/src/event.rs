//! What an entry is told.

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

/// What an entry is told.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A caller sent a request.
    Submit {
        /// Name of the request.
        key: Key,
        /// Time that remains until the caller's deadline.
        #[serde(with = "crate::millis")]
        deadline: Duration,
        /// Whether the caller sent this request before.
        #[serde(default)]
        retry: bool,
        /// What the caller sent.
        payload: Payload,
    },
    /// The platform answered about a claim.
    Claim {
        /// Name of the request.
        key: Key,
        /// Stage that the claim is for.
        stage: StageIndex,
        /// The platform's answer.
        reply: Reply,
    },
    /// The object store answered about a kept stage result.
    Checkpoint {
        /// Name of the request.
        key: Key,
        /// Stage whose result was asked for.
        stage: StageIndex,
        /// The result, if one is kept for the same input.
        result: Option<Payload>,
    },
    /// A target streamed a part of its result.
    Progress {
        /// Attempt that the part belongs to.
        attempt: AttemptId,
        /// Text of the part.
        text: Payload,
        /// Tokens in the part.
        tokens: u32,
    },
    /// A target answered in full.
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
        /// How it ended.
        fault: Fault,
    },
    /// A target answered what became of a call, by idempotency key.
    #[serde(rename = "looked")]
    LookupResult {
        /// Name of the request.
        key: Key,
        /// Stage that was asked about.
        stage: StageIndex,
        /// The result of the call if it took effect; `None` if the target can't say.
        result: Option<Payload>,
    },
    /// The platform's host list was read.
    Hosts {
        /// All targets on the list.
        hosts: Vec<Host>,
    },
    /// A table was read from the platform or a peer.
    Table {
        /// The table.
        table: Arc<Table>,
    },
    /// A target reported its load.
    Load {
        /// The target.
        target: TargetId,
        /// What it reported.
        report: Report,
    },
    /// A target published a change of its prefix cache.
    Cache {
        /// The target.
        target: TargetId,
        /// The change.
        change: CacheChange,
    },
    /// A peer sent a frame.
    Peer {
        /// Host name of the peer.
        from: HostId,
        /// The frame.
        frame: Frame,
    },
    /// The daemons that share the ceilings changed.
    Members {
        /// Host names of all of them, the entry's own included.
        members: Vec<HostId>,
        /// Whether all of them are heard from.
        #[serde(rename = "steady")]
        stable: bool,
    },
    /// The time that the entry asked to be woken at has come.
    Wake,
    /// The entry takes no new request from now on and finishes what it has.
    Drain,
}
