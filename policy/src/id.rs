//! Identifiers and other plain values that several modules share.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc, time::Duration};

/// Time since the daemon started, on the monotonic clock.
pub type Time = Duration;

/// Name that a caller chose for one request.
pub type RequestId = CompactString;

/// Name of a workspace.
pub type WorkspaceId = CompactString;

/// Name of a pipeline.
pub type PipelineId = CompactString;

/// Name of a pool of targets that serve the same stage.
pub type PoolId = CompactString;

/// Name of one target.
pub type TargetId = CompactString;

/// Name of a host.
pub type HostId = CompactString;

/// Name of a failure domain.
pub type DomainId = CompactString;

/// Name of a region.
pub type RegionId = CompactString;

/// Name of a model.
pub type ModelId = CompactString;

/// Name of an adapter of a model.
pub type AdapterId = CompactString;

/// Position of a stage in its pipeline, from 0.
pub type StageIndex = usize;

/// Revision of the table of weights and limits.
pub type Revision = u64;

/// Number that a daemon draws at each start.
pub type Incarnation = u64;

/// Hash of one block of a prompt together with all blocks before it.
pub type BlockHash = u64;

/// JSON text of a payload, a stage input or a stage result.
pub type Payload = Arc<str>;

/// Names one request in the whole system.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Pipeline that the request runs through.
    pub pipeline: PipelineId,
    /// Identifier that the caller chose.
    pub request: RequestId,
}

impl Key {
    /// Creates a key from its three parts.
    pub fn new(
        workspace: impl Into<WorkspaceId>,
        pipeline: impl Into<PipelineId>,
        request: impl Into<RequestId>,
    ) -> Self {
        Self {
            workspace: workspace.into(),
            pipeline: pipeline.into(),
            request: request.into(),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.workspace, self.pipeline, self.request)
    }
}

/// Names one attempt to run one stage, unique in the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// Incarnation of the daemon that made the attempt.
    pub incarnation: Incarnation,
    /// Number of the attempt within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{}", self.incarnation, self.sequence)
    }
}
