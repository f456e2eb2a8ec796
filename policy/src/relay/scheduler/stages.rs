//! Stages of a job.

use crate::{
    id::PoolId,
    relay::{
        plan::{Plan, Route},
        stage::{ByStage, StageNumber, Unordered, topological_order},
    },
};
use serde::{Deserialize, Serialize};
use std::ops::Index;

/// Pieces of one stage that a request needs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageSpec {
    /// Pool that computes the pieces.
    pub pool: PoolId,
    /// Stages whose results each piece reads.
    pub after: Vec<StageNumber>,
    /// Approximate size of one result in bytes.
    pub bytes: u64,
    /// Number of pieces; 0 skips the stage.
    pub pieces: u32,
}

/// Stages of a job by their numbers, and an order in which they can run.
#[derive(Clone, Debug, PartialEq)]
pub struct Stages {
    specs: ByStage<StageSpec>,
    order: Vec<StageNumber>,
}

impl Stages {
    /// Creates the stages of a job, given those of its route.
    ///
    /// # Errors
    ///
    /// Fails if they can run in no order.
    pub fn new(specs: ByStage<StageSpec>) -> Result<Self, Unordered> {
        let order = topological_order(&specs, |spec| &spec.after)?;
        Ok(Self { specs, order })
    }

    /// Returns the number of stages.
    pub fn len(&self) -> usize {
        self.specs.len()
    }

    /// Returns whether there are no stages.
    pub fn is_empty(&self) -> bool {
        self.specs.is_empty()
    }

    /// Returns the stages in the order of their numbers.
    pub fn iter(&self) -> std::slice::Iter<'_, StageSpec> {
        self.specs.iter()
    }

    /// Returns the stages with their numbers, in the order of these.
    pub fn numbered(&self) -> impl DoubleEndedIterator<Item = (StageNumber, &StageSpec)> {
        self.specs.iter_enumerated()
    }

    /// Returns the numbers of the stages in an order in which they can run.
    pub fn in_order(&self) -> impl DoubleEndedIterator<Item = StageNumber> {
        self.order.iter().copied()
    }
}

impl Index<StageNumber> for Stages {
    type Output = StageSpec;

    fn index(&self, index: StageNumber) -> &StageSpec {
        &self.specs[index]
    }
}

impl<'a> IntoIterator for &'a Stages {
    type Item = &'a StageSpec;
    type IntoIter = std::slice::Iter<'a, StageSpec>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

/// Returns the stages of a job by their numbers, given those that a daemon of an earlier version sent. What it
/// sends in place of numbers are indices in the order in which the stages run. `None` if the routes of `plan` do not tell the numbers: none has
/// such stages, or two that list them differently.
pub fn renumber(sent: &ByStage<StageSpec>, plan: &Plan) -> Option<ByStage<StageSpec>> {
    let mut numberings = plan.routes().filter_map(|route| renumber_as(sent, route));
    let first = numberings.next()?;
    numberings.all(|other| other == first).then_some(first)
}

/// Returns the stages by their numbers in `route`, if they are those of that route.
fn renumber_as(sent: &ByStage<StageSpec>, route: &Route) -> Option<ByStage<StageSpec>> {
    if route.stages.len() != sent.len() {
        return None;
    }
    let order = topological_order(&route.stages, |stage| &stage.after).ok()?;
    let mut numbered: Vec<(StageNumber, StageSpec)> = Vec::with_capacity(sent.len());
    for (&number, spec) in order.iter().zip(sent) {
        let indices = spec.after.iter().map(|&index| usize::from(index));
        let inputs = indices.map(|index| order.get(index).copied());
        let spec = StageSpec {
            after: inputs.collect::<Option<_>>()?,
            ..spec.clone()
        };
        let stage = &route.stages[number];
        if stage.pool != spec.pool || stage.after != spec.after {
            return None;
        }
        numbered.push((number, spec));
    }
    numbered.sort_by_key(|(number, _)| *number);
    Some(numbered.into_iter().map(|(_, spec)| spec).collect())
}
