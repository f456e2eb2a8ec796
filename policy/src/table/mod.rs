//! The table of weights and limits, the only control that operators have.
//!
//! A [`Table`] is a value at one [`Revision`]. Operators see it as rows and cells of text
//! ([`row`], [`sheet`]), [`check`] says what a cell may hold, [`edit`] turns the table of one
//! revision into the next one, and a daemon keeps the newest table in a [`hold::Holder`].

pub mod check;
pub mod edit;
pub mod replica;
pub mod row;
pub mod sheet;

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

impl Table {
    /// Returns the row of `key`, if there is one.
    pub fn row(&self, key: &row::Key) -> Option<row::Row> {
        let name = &key.name;
        match key.kind {
            row::Kind::Workspace => self.workspaces.get(name).cloned().map(row::Row::Workspace),
            row::Kind::Pipeline => self.pipelines.get(name).cloned().map(row::Row::Pipeline),
            row::Kind::Target => self.targets.get(name).cloned().map(row::Row::Target),
        }
    }

    /// Returns the keys of all rows, by kind and name.
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

    /// Puts `row` in the place of the row of the same name.
    pub fn insert(&mut self, name: impl Into<compact_str::CompactString>, row: row::Row) {
        let name = name.into();
        match row {
            row::Row::Workspace(row) => drop(self.workspaces.insert(name, row)),
            row::Row::Pipeline(row) => drop(self.pipelines.insert(name, row)),
            row::Row::Target(row) => drop(self.targets.insert(name, row)),
        }
    }

    /// Removes the row of `key`, if there is one.
    pub fn remove(&mut self, key: &row::Key) {
        match key.kind {
            row::Kind::Workspace => drop(self.workspaces.remove(&key.name)),
            row::Kind::Pipeline => drop(self.pipelines.remove(&key.name)),
            row::Kind::Target => drop(self.targets.remove(&key.name)),
        }
    }
}
