//! Identifiers and other value types shared by several modules.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc, time::Duration};

/// Monotonic time since the daemon started.
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

/// Zero-based index of a stage in its pipeline.
pub type StageIndex = usize;

/// Revision of the table of weights and limits.
pub type Revision = u64;

/// Number that identifies one run of a daemon; it differs at each start.
pub type Incarnation = u64;

/// Hash of a prompt block and all blocks before it.
pub type BlockHash = u64;

/// JSON text of a request payload, a stage input or a stage result.
pub type Payload = Arc<str>;

/// Fleet-wide unique name of a request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Pipeline that the request runs through.
    pub pipeline: PipelineId,
    /// Request identifier chosen by the caller, unique within the workspace and pipeline.
    pub request: RequestId,
}

impl Key {
    /// Creates a key from workspace, pipeline and request identifier.
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

/// Fleet-wide unique identifier of an attempt to run a stage.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// Incarnation of the daemon that made the attempt.
    pub incarnation: Incarnation,
    /// Sequence number of the attempt within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{}", self.incarnation, self.sequence)
    }
}
