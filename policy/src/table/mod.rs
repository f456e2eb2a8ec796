//! Table of weights and limits, the runtime configuration that operators edit.
//!
//! A [`Table`] is immutable at one [`Revision`]. Operators see it as rows and cells of text
//! ([`row`], [`sheet`]), [`check`] validates cells, [`edit`] turns one revision into the next, and
//! a daemon keeps the newest revision that it has received in a [`replica::Replica`].

pub mod check;
pub mod edit;
pub mod replica;
pub mod row;
pub mod sheet;

use crate::id::{PipelineId, PoolId, Revision, TargetId, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All rows of the table at one revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// Revision of the whole table; each accepted edit raises it by one.
    pub revision: Revision,
    /// Rows of workspaces; requests of others are rejected.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Rows of pipelines; requests for others are rejected.
    pub pipelines: BTreeMap<PipelineId, Pipeline>,
    /// Rows of targets; a target without a row has [`Target::default`].
    pub targets: BTreeMap<TargetId, Target>,
}

/// Weights and limits of a workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Workspace {
    /// Weight in the fair sharing of a contended pool, relative to other workspaces; above 0.
    pub share: f64,
    /// Maximum requests per second over the whole fleet; `None` for no limit.
    pub ceiling: Option<f64>,
    /// Strict priority: requests of higher priority always go first.
    pub priority: i32,
}

/// Weights and limits of a pipeline.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pipeline {
    /// Pools of the stages, in order of execution.
    pub stages: Vec<PoolId>,
    /// Priority, added to that of the workspace.
    pub priority: i32,
    /// Maximum requests per second over the whole fleet; `None` for no limit.
    pub ceiling: Option<f64>,
}

/// Weights and limits of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Routing weight relative to other targets; 0 takes the target out of rotation.
    pub weight: f64,
    /// Maximum calls in flight over the whole fleet; `None` leaves it to the adaptive limit.
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
    /// Creates a pipeline of the given stages with priority 0 and no ceiling.
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

impl Table {
    /// Returns a copy of the row of `key`; `None` if there is none.
    pub fn row(&self, key: &row::Key) -> Option<row::Row> {
        let name = &key.name;
        match key.kind {
            row::Kind::Workspace => self.workspaces.get(name).cloned().map(row::Row::Workspace),
            row::Kind::Pipeline => self.pipelines.get(name).cloned().map(row::Row::Pipeline),
            row::Kind::Target => self.targets.get(name).cloned().map(row::Row::Target),
        }
    }

    /// Returns the keys of all rows, ordered by kind and then by name.
    pub fn keys(&self) -> impl Iterator<Item = row::Key> {
        let workspaces = self
            .workspaces
            .keys()
            .map(|name| (row::Kind::Workspace, name));
        let pipelines = self
            .pipelines
            .keys()
            .map(|name| (row::Kind::Pipeline, name));
        let targets = self.targets.keys().map(|name| (row::Kind::Target, name));
        workspaces
            .chain(pipelines)
            .chain(targets)
            .map(|(kind, name)| row::Key::new(kind, name.clone()))
    }

    /// Inserts `row`, replacing the row of the same kind and name; the revision stays.
    pub fn insert(&mut self, name: impl Into<compact_str::CompactString>, row: row::Row) {
        let name = name.into();
        match row {
            row::Row::Workspace(row) => drop(self.workspaces.insert(name, row)),
            row::Row::Pipeline(row) => drop(self.pipelines.insert(name, row)),
            row::Row::Target(row) => drop(self.targets.insert(name, row)),
        }
    }

    /// Removes the row of `key`, if there is one; the revision stays.
    pub fn remove(&mut self, key: &row::Key) {
        match key.kind {
            row::Kind::Workspace => drop(self.workspaces.remove(&key.name)),
            row::Kind::Pipeline => drop(self.pipelines.remove(&key.name)),
            row::Kind::Target => drop(self.targets.remove(&key.name)),
        }
    }
}
