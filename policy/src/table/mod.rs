//! The table of weights and limits, the only control that operators have.

use crate::id::{PipelineId, PoolId, Revision, TargetId, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Rows of the table at one revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// Revision of the whole table; each accepted edit raises it by one.
    pub revision: Revision,
    /// Rows of workspaces.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Rows of pipelines.
    pub pipelines: BTreeMap<PipelineId, Pipeline>,
    /// Rows of targets; a target without a row has the default limits.
    pub targets: BTreeMap<TargetId, Target>,
}

/// Weights and limits of a workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Workspace {
    /// Share of a contended pool, relative to other workspaces; above 0.
    pub share: f64,
    /// Most requests a second over the whole fleet; `None` for no limit.
    pub ceiling: Option<f64>,
    /// Strict priority; higher goes first.
    pub priority: i32,
}

/// Weights and limits of a pipeline.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pipeline {
    /// Pools of the stages, in order.
    pub stages: Vec<PoolId>,
    /// Priority that is added to the workspace's.
    pub priority: i32,
    /// Most requests a second over the whole fleet; `None` for no limit.
    pub ceiling: Option<f64>,
}

/// Weights and limits of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Preference relative to other targets; 0 takes the target out of use.
    pub weight: f64,
    /// Most calls in flight over the whole fleet; `None` leaves it to the measured limit.
    pub ceiling: Option<u32>,
}

impl Default for Workspace {
    fn default() -> Self {
        Self {
            share: 1.0,
            ceiling: None,
            priority: 0,
        }
    }
}

impl Default for Target {
    fn default() -> Self {
        Self {
            weight: 1.0,
            ceiling: None,
        }
    }
}

impl Pipeline {
    /// Creates a pipeline of the given stages with usual limits.
    pub fn new<I>(stages: I) -> Self
    where
        I: IntoIterator,
        I::Item: Into<PoolId>,
    {
        Self {
            stages: stages.into_iter().map(Into::into).collect(),
            priority: 0,
            ceiling: None,
        }
    }
}
