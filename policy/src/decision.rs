//! Log lines of routing and placement decisions.

use crate::id::{Key, PoolId, Revision, StageIndex, TargetId};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// A decision about one stage of a request, as it is logged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Decision {
    /// Name of the request.
    pub key: Key,
    /// Stage of the pipeline.
    pub stage: StageIndex,
    /// Pool of the stage.
    pub pool: PoolId,
    /// What was decided.
    pub choice: Choice,
    /// Target that was chosen, if any.
    pub target: Option<TargetId>,
    /// Targets that were compared; lower scores are better.
    pub candidates: Vec<Candidate>,
    /// Revision of the table in force.
    pub revision: Revision,
}

/// One target that was compared.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Expected seconds to the result, penalties included.
    pub score: f64,
}

/// What was decided.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Choice {
    /// The target with the best score was taken.
    Best,
    /// The stage waits for a target with room.
    Wait,
    /// A failed attempt is repeated at another target.
    Retry,
    /// A slow attempt is doubled at another target.
    Hedge,
    /// A stream goes on at another target from where it broke.
    Resume,
    /// The stage waits for the result of another copy that holds its claim.
    Claim,
    /// A kept result took the place of a call.
    Restored,
    /// The request was given up.
    GiveUp,
    /// The payload is quarantined.
    Quarantine,
    /// The payload is suspect and runs alone.
    Isolate,
}
