//! Commands that an entry issues to its runtime.

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

/// Side effect that an entry asks its runtime to perform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Operate on a claim row, after all earlier operations on the same row have completed.
    Claim {
        /// Name of the request.
        key: Key,
        /// Stage that the claim is for.
        stage: StageIndex,
        /// Operation to perform.
        #[serde(rename = "ask")]
        operation: Operation,
    },
    /// Send one stage of a request to a target.
    Dispatch(Call),
    /// Abandon an attempt and close its stream, which makes the target stop.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Stream a chunk of the last stage's result to the caller.
    Emit {
        /// Name of the request.
        key: Key,
        /// Zero-based index of the chunk; the same chunk has the same index at each entry.
        sequence: u64,
        /// Text of the chunk.
        text: Payload,
    },
    /// Return the final outcome to the caller.
    Finish {
        /// Name of the request.
        key: Key,
        /// Final outcome.
        outcome: Outcome,
    },
    /// Save a stage result to the object store.
    #[serde(rename = "keep")]
    SaveCheckpoint {
        /// Name of the request.
        key: Key,
        /// Stage that produced the result.
        stage: StageIndex,
        /// Hash of the stage's input.
        input: BlockHash,
        /// Result to save.
        result: Payload,
    },
    /// Load a saved stage result from the object store.
    Restore {
        /// Name of the request.
        key: Key,
        /// Stage whose result is wanted.
        stage: StageIndex,
        /// Hash of the stage's input.
        input: BlockHash,
    },
    /// Query a target for the result of an earlier call by idempotency key.
    Lookup {
        /// Name of the request.
        key: Key,
        /// Stage that the call was for.
        stage: StageIndex,
        /// Target that received the call.
        target: TargetId,
        /// Address of the target: IP address and port.
        address: CompactString,
        /// Idempotency key of the call.
        #[serde(rename = "token")]
        idempotency_key: CompactString,
    },
    /// Send a frame to all connected peers.
    Broadcast {
        /// Frame to send.
        frame: Frame,
    },
    /// Write a decision to the log.
    #[serde(rename = "decide")]
    LogDecision(Decision),
}

/// One call to a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Call {
    /// Attempt that the call belongs to.
    pub attempt: AttemptId,
    /// Name of the request.
    pub key: Key,
    /// Stage of the pipeline that the call runs.
    pub stage: StageIndex,
    /// Target that receives the call.
    pub target: TargetId,
    /// Address of the target: IP address and port.
    pub address: CompactString,
    /// JSON input for a service, or the prompt for an engine.
    pub input: Payload,
    /// Text that earlier attempts have already streamed; empty for the first attempt.
    #[serde(rename = "resume")]
    pub streamed_text: Payload,
    /// Priority of the request; higher values are served first.
    pub priority: i32,
    /// Maximum duration of the call.
    #[serde(with = "crate::millis")]
    pub timeout: Duration,
    /// Maximum time without received data before the call fails.
    #[serde(with = "crate::millis")]
    #[serde(rename = "silence")]
    pub idle_timeout: Duration,
    /// Idempotency key, shared by all attempts of this stage of this request.
    #[serde(rename = "token")]
    pub idempotency_key: CompactString,
}

/// Message that entries exchange about poison payloads and demand.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "frame", rename_all = "snake_case")]
pub enum Frame {
    /// One or more targets crashed while they ran a payload.
    Suspect {
        /// Fingerprint of the payload.
        fingerprint: BlockHash,
        /// Targets that crashed so far, one element per crash.
        targets: Vec<TargetId>,
    },
    /// A suspect payload ran in isolation without crashing its target.
    Cleared {
        /// Fingerprint of the payload.
        fingerprint: BlockHash,
    },
    /// Demand for a row of the table at the sending entry.
    Demand {
        /// Workspace or pipeline.
        row: row::Key,
        /// Offered requests per second.
        rate: f64,
        /// Share of the row's ceiling that the sender uses, in requests per second.
        #[serde(rename = "part")]
        quota: f64,
    },
}
