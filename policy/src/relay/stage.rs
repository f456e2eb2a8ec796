//! Numbers of the stages of a route, and the order in which they can run.
//!
//! A configuration may list stages in any order. Callers and targets name a stage by its place in that list,
//! so everything that is kept for a stage is indexed by this number alone. The order in which stages can run
//! is a list of numbers.

use serde::{Deserialize, Serialize};
use typed_index_collections::{TiSlice, TiVec};

/// Number of a stage in the list of its route, by which callers and targets name it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StageNumber(usize);

/// One value for each stage of a route.
pub type ByStage<T> = TiVec<StageNumber, T>;

/// Maximum number of stages of a route; pipelines have three to six.
const MAX_STAGES: usize = 256;

/// Stages read the results of each other in a circle, or of a stage that does not exist, or there are more than
/// [`MAX_STAGES`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unordered;

impl From<usize> for StageNumber {
    fn from(number: usize) -> Self {
        Self(number)
    }
}

impl From<StageNumber> for usize {
    fn from(number: StageNumber) -> Self {
        number.0
    }
}

/// Returns the numbers of stages in topological order. `after` returns the numbers of the stages whose results a
/// stage reads. Stages that are listed in such an order stay where they are.
///
/// # Errors
///
/// Fails if there is no such order.
pub fn topological_order<T>(
    stages: &TiSlice<StageNumber, T>,
    after: impl Fn(&T) -> &[StageNumber],
) -> Result<Vec<StageNumber>, Unordered> {
    if stages.len() > MAX_STAGES {
        return Err(Unordered);
    }
    let mut order: Vec<StageNumber> = Vec::with_capacity(stages.len());
    while order.len() < stages.len() {
        let is_next = |number: &StageNumber| {
            let mut inputs = after(&stages[*number]).iter();
            !order.contains(number) && inputs.all(|input| order.contains(input))
        };
        let next = stages.keys().find(is_next).ok_or(Unordered)?;
        order.push(next);
    }
    Ok(order)
}
