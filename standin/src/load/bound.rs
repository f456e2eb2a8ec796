//! What the engines could carry, as a measure of what entries make of them.

use super::{plan::Plan, schedule::Arrival};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// One queue in order of arrival before all places of the healthy engines.
///
/// No bound in the strict sense: to serve short requests first could carry a few more.
#[derive(Debug)]
pub(super) struct Bound<'a> {
    plan: &'a Plan,
    arrivals: &'a [Arrival],
}

impl<'a> Bound<'a> {
    pub(super) fn new(plan: &'a Plan, arrivals: &'a [Arrival]) -> Self {
        Self { plan, arrivals }
    }

    /// Returns the mean seconds that a request holds a place.
    pub(super) fn mean(&self) -> f64 {
        let tokens = self.arrivals.iter().map(|arrival| arrival.tokens);
        let work: Vec<_> = tokens
            .filter(|tokens| *tokens > 0)
            .map(|tokens| self.plan.work(tokens))
            .collect();
        work.iter().sum::<f64>() / work.len().max(1) as f64
    }

    /// Returns the share of requests that end in time if the queue leaves out those that would be
    /// late by the seconds that `known` gives for their tokens.
    pub(super) fn share(&self, known: impl Fn(u32) -> f64) -> f64 {
        let mut free: BinaryHeap<_> = vec![Reverse(Duration::ZERO); self.places()].into();
        let mut offered = 0_u64;
        let mut carried = 0_u64;
        for arrival in self.arrivals {
            let measured = u64::from(arrival.at >= self.plan.warmup);
            offered += measured;
            if arrival.tokens == 0 {
                carried += measured;
                continue;
            }
            let Some(Reverse(place)) = free.pop() else {
                break;
            };
            let begin = place.max(arrival.at);
            let limit = arrival.at + arrival.deadline;
            let end = |work| begin + Duration::from_secs_f64(work);
            if end(known(arrival.tokens)) > limit {
                free.push(Reverse(place));
                continue;
            }
            let end = end(self.plan.work(arrival.tokens));
            carried += if end <= limit { measured } else { 0 };
            free.push(Reverse(end.min(limit)));
        }
        carried as f64 / offered.max(1) as f64
    }

    fn places(&self) -> usize {
        let groups = self.plan.deployment.groups.iter();
        groups
            .filter(|group| !group.pool.model.is_empty())
            .map(|group| group.count * self.plan.fakes.engine.width as usize)
            .sum()
    }
}
