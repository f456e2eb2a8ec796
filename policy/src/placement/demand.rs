//! Demand for each model against the engines that are planned for it.

use super::{Settings, engine::TrackedEngine};
use crate::id::{ModelId, TargetId, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Seats that a model without an engine counts as having, so that its pressure stays finite.
const MIN_SLOTS: f64 = 0.01;

/// Demand for one model over time.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Requests that wait at entries.
    pub waiting: f64,
    /// Requests that run or wait anywhere, smoothed.
    pub requests: f64,
    measured: Option<Time>,
    pub surplus_since: Option<Time>,
}

/// Engines planned for one model.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    pub engines: usize,
    /// Requests that the engines can run at once.
    pub slots: f64,
}

impl Demand {
    /// Takes in a new measurement, smoothed exponentially with time constant `smooth`.
    pub(super) fn measure(&mut self, now: Time, requests: f64, smoothing: Duration) {
        let weight = self.measured.map_or(1.0, |last| {
            let passed = now.saturating_sub(last).as_secs_f64();
            1.0 - (-passed / smoothing.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
        });
        self.requests += (requests - self.requests) * weight;
        self.measured = Some(now);
    }

    /// Returns requests for each seat; where there is no seat, as if there were a small part of one.
    pub(super) fn pressure(&self, capacity: Capacity) -> f64 {
        self.requests / capacity.slots.max(MIN_SLOTS)
    }

    /// Returns whether more engines are needed.
    pub(super) fn is_short(
        &self,
        capacity: Capacity,
        min_engines: usize,
        settings: &Settings,
    ) -> bool {
        capacity.engines < min_engines || self.pressure(capacity) > settings.raise_at
    }

    /// Returns whether the model can do without `seats` of its seats.
    pub(super) fn can_spare(
        &self,
        capacity: Capacity,
        slots: f64,
        min_engines: usize,
        settings: &Settings,
    ) -> bool {
        let rest = capacity.slots - slots;
        capacity.engines > min_engines && self.requests <= rest * settings.lower_at
    }
}

/// Counts the seats planned for each model, on engines that can be counted on.
pub(super) fn capacity<'a>(
    engines: impl Iterator<Item = &'a TrackedEngine>,
) -> BTreeMap<ModelId, Capacity> {
    let mut capacity = BTreeMap::<ModelId, Capacity>::new();
    for tracked in engines {
        let Some(plan) = &tracked.plan else { continue };
        for model in plan {
            let entry = capacity.entry(model.clone()).or_default();
            entry.engines += 1;
            entry.slots += slots(tracked, plan);
        }
    }
    capacity
}

/// Returns the requests of one model that an engine with `plan` can run at once.
pub(super) fn slots(tracked: &TrackedEngine, plan: &BTreeSet<ModelId>) -> f64 {
    f64::from(tracked.report.max_concurrency.max(1)) / plan.len().max(1) as f64
}

/// Counts the requests for each model at the engines, shared among the models that each holds.
pub(super) fn requests(engines: &BTreeMap<TargetId, TrackedEngine>) -> BTreeMap<ModelId, f64> {
    let mut requests = BTreeMap::new();
    for tracked in engines.values() {
        let load = f64::from(tracked.report.running + tracked.report.waiting);
        for model in &tracked.held {
            *requests.entry(model.clone()).or_insert(0.0) += load / tracked.held.len() as f64;
        }
    }
    requests
}
