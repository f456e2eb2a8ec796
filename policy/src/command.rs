//! What an entry wants done.

use crate::{
    claim::Operation,
    decision::Decision,
    id::{AttemptId, BlockHash, Key, Payload, StageIndex, TargetId},
    outcome::Outcome,
    table::row,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What an entry wants done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Ask the platform about a claim row, after all earlier asks about the same row.
    Claim {
        /// Name of the request.
        key: Key,
        /// Stage that the claim is for.
        stage: StageIndex,
        /// What to ask.
        #[serde(rename = "ask")]
        operation: Operation,
    },
    /// Send one stage of a request to a target.
    Dispatch(Call),
    /// Abandon an attempt and close its stream, so that the target stops.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Pass a part of the last stage's result on to the caller.
    Emit {
        /// Name of the request.
        key: Key,
        /// Number of the part, from 0, the same at each entry.
        sequence: u64,
        /// Text of the part.
        text: Payload,
    },
    /// Give the caller the final outcome.
    Finish {
        /// Name of the request.
        key: Key,
        /// The outcome.
        outcome: Outcome,
    },
    /// Keep a stage result in the object store.
    #[serde(rename = "keep")]
    SaveCheckpoint {
        /// Name of the request.
        key: Key,
        /// Stage that gave the result.
        stage: StageIndex,
        /// Hash of the stage's input.
        input: BlockHash,
        /// The result.
        result: Payload,
    },
    /// Look for a kept stage result in the object store.
    Restore {
        /// Name of the request.
        key: Key,
        /// Stage whose result is wanted.
        stage: StageIndex,
        /// Hash of the stage's input.
        input: BlockHash,
    },
    /// Ask a target what became of a call.
    Lookup {
        /// Name of the request.
        key: Key,
        /// Stage that the call was for.
        stage: StageIndex,
        /// The target.
        target: TargetId,
        /// Address of the target.
        address: CompactString,
        /// Idempotency key of the call.
        #[serde(rename = "token")]
        idempotency_key: CompactString,
    },
    /// Send a frame to all linked peers.
    Broadcast {
        /// The frame.
        frame: Frame,
    },
    /// Log a decision.
    #[serde(rename = "decide")]
    LogDecision(Decision),
}

/// One call to a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Call {
    /// Attempt that the call is for.
    pub attempt: AttemptId,
    /// Name of the request.
    pub key: Key,
    /// Stage of the pipeline.
    pub stage: StageIndex,
    /// Target that the call goes to.
    pub target: TargetId,
    /// Address of the target: IP number and port.
    pub address: CompactString,
    /// JSON input of a plain service, or the prompt of an engine.
    pub input: Payload,
    /// Text that an earlier attempt has streamed already; empty at first.
    pub resume: Payload,
    /// Priority of the request; higher goes first.
    pub priority: i32,
    /// Longest time that the call may take.
    #[serde(with = "crate::millis")]
    pub timeout: Duration,
    /// Longest time without progress.
    #[serde(with = "crate::millis")]
    #[serde(rename = "silence")]
    pub idle_timeout: Duration,
    /// Idempotency key, the same for each attempt of this stage of this request.
    #[serde(rename = "token")]
    pub idempotency_key: CompactString,
}

/// What entries tell each other about requests and demand.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "frame", rename_all = "snake_case")]
pub enum Frame {
    /// A payload ended a target while it ran there.
    Suspect {
        /// Fingerprint of the payload.
        fingerprint: BlockHash,
        /// Targets that it ended so far.
        targets: Vec<TargetId>,
    },
    /// A suspect payload ran alone without ending its target.
    Cleared {
        /// Fingerprint of the payload.
        fingerprint: BlockHash,
    },
    /// Requests a second that a row of the table offers at the sending entry.
    Demand {
        /// The workspace or pipeline.
        row: row::Key,
        /// Requests a second.
        rate: f64,
        /// Part of the row's ceiling that the sender has in use, in requests a second.
        #[serde(rename = "part")]
        quota: f64,
    },
}
