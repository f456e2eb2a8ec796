//! Demand for each model and the capacity planned for it.

use super::{Settings, engine::TrackedEngine};
use crate::id::{ModelId, TargetId, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Slots that a model without an engine counts as having, so that its pressure stays finite.
const MIN_SLOTS: f64 = 0.01;

/// Smoothed demand for one model.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Requests that wait at entries, as last reported.
    pub waiting: f64,
    /// Requests that run or wait at engines or entries, smoothed.
    pub requests: f64,
    measured_at: Option<Time>,
    /// Start of the period in which the model could be evicted from one engine.
    pub surplus_since: Option<Time>,
}

/// Capacity planned for one model.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    pub engines: usize,
    /// Requests that the engines can run concurrently.
    pub slots: f64,
}

impl Demand {
    /// Adds a measurement, smoothed exponentially with time constant `smoothing`.
    pub(super) fn measure(&mut self, now: Time, requests: f64, smoothing: Duration) {
        let weight = self.measured_at.map_or(1.0, |last| {
            let passed = now.saturating_sub(last).as_secs_f64();
            1.0 - (-passed / smoothing.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
        });
        self.requests += (requests - self.requests) * weight;
        self.measured_at = Some(now);
    }

    /// Returns the requests per slot, counting at least [`MIN_SLOTS`].
    pub(super) fn pressure(&self, capacity: Capacity) -> f64 {
        self.requests / capacity.slots.max(MIN_SLOTS)
    }

    /// Returns whether the model needs another engine.
    pub(super) fn needs_engine(
        &self,
        capacity: Capacity,
        min_engines: usize,
        settings: &Settings,
    ) -> bool {
        capacity.engines < min_engines || self.pressure(capacity) > settings.raise_at
    }

    /// Returns whether the model can give up `slots` of its slots.
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

/// Sums up the planned capacity of each model over `engines`.
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

/// Returns the slots of one model on an engine whose models share its width equally.
pub(super) fn slots(tracked: &TrackedEngine, plan: &BTreeSet<ModelId>) -> f64 {
    f64::from(tracked.report.max_concurrency.max(1)) / plan.len().max(1) as f64
}

/// Estimates the requests at the engines for each model.
///
/// Reports do not break the load down by model, so it is split equally among the models held.
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
