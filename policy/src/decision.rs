//! Records of routing decisions, as they are written to the log.

use crate::id::{Key, PoolId, Revision, StageIndex, TargetId};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Routing decision for one stage of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Decision {
    /// Name of the request.
    pub key: Key,
    /// Stage of the pipeline.
    pub stage: StageIndex,
    /// Pool of the stage.
    pub pool: PoolId,
    /// Kind of the decision.
    pub choice: Choice,
    /// Chosen target, if any.
    pub target: Option<TargetId>,
    /// Targets that were compared.
    pub candidates: Vec<Candidate>,
    /// Revision of the active table.
    pub revision: Revision,
}

/// Target that was considered for a decision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Candidate {
    /// Name of the target.
    pub target: TargetId,
    /// Expected time to the result in seconds, including penalties; lower is better.
    pub score: f64,
}

/// Kind of a routing decision.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Choice {
    /// The target with the best score was chosen.
    Best,
    /// The stage waits for a target with free capacity.
    Wait,
    /// A failed attempt is retried on another target.
    Retry,
    /// A slow attempt is hedged with a second one on another target.
    Hedge,
    /// An interrupted stream resumes on another target.
    Resume,
    /// The stage waits for the result of a duplicate request that holds its claim.
    Claim,
    /// A saved result was used instead of a call.
    Restored,
    /// The request was abandoned.
    GiveUp,
    /// The payload is quarantined.
    Quarantine,
    /// The payload is suspect and runs in isolation.
    Isolate,
}
