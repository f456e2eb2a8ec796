//! Assignment of models to engines.

use super::{
    Placement,
    demand::{self, Capacity, Demand},
    engine::TrackedEngine,
};
use crate::id::{ModelId, TargetId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A change of an engine's plan that adds a model, and evicts another if the engine is full.
struct PlanChange {
    target: TargetId,
    evicted: Option<ModelId>,
}

impl Placement {
    /// Updates the plans of the engines to the current demand.
    pub(super) fn update_plans(&mut self, now: Time) {
        self.measure(now);
        self.adopt_held_models();
        let mut capacity = self.capacity(now);
        self.track_surplus(now, &capacity);
        for model in self.models_by_pressure(&capacity) {
            while self.pending_changes(now) < self.settings.max_changes
                && self.needs_engine(&model, &capacity)
            {
                let Some(change) = self.cheapest_change(now, &model, &capacity) else {
                    break;
                };
                self.apply(now, &model, change);
                capacity = self.capacity(now);
            }
        }
        self.pressure = self.pressures(&capacity);
    }

    fn measure(&mut self, now: Time) {
        let requests = demand::requests(&self.engines);
        for (model, demand) in &mut self.demand {
            let running = requests.get(model).copied().unwrap_or(0.0);
            demand.measure(now, running + demand.waiting, self.settings.smoothing);
        }
    }

    /// Starts from the models that engines hold and may hold, so that a new planner moves none.
    fn adopt_held_models(&mut self) {
        let max_models = self.settings.models_per_engine;
        let engines = self.engines.values_mut();
        for tracked in engines.filter(|tracked| tracked.is_settled()) {
            let is_allowed = |model: &&ModelId| tracked.engine.models.contains(*model);
            let current = tracked.plan.as_ref().unwrap_or(&tracked.held);
            tracked.plan = Some(
                current
                    .iter()
                    .filter(is_allowed)
                    .take(max_models)
                    .cloned()
                    .collect(),
            );
        }
    }

    fn capacity(&self, now: Time) -> BTreeMap<ModelId, Capacity> {
        let ttl = self.report_ttl();
        demand::capacity(
            self.engines
                .values()
                .filter(|tracked| tracked.is_fresh(now, ttl)),
        )
    }

    fn track_surplus(&mut self, now: Time, capacity: &BTreeMap<ModelId, Capacity>) {
        for (model, demand) in &mut self.demand {
            let capacity = capacity.get(model).copied().unwrap_or_default();
            let slots_per_engine = capacity.slots / capacity.engines.max(1) as f64;
            let min_engines = self.settings.min_engines(model);
            let spare = demand.can_spare(capacity, slots_per_engine, min_engines, &self.settings);
            demand.surplus_since = spare.then(|| demand.surplus_since.unwrap_or(now));
        }
    }

    fn pressures(&self, capacity: &BTreeMap<ModelId, Capacity>) -> BTreeMap<ModelId, f64> {
        let pressure = |(model, demand): (&ModelId, &Demand)| {
            let capacity = capacity.get(model).copied().unwrap_or_default();
            (model.clone(), demand.pressure(capacity))
        };
        self.demand.iter().map(pressure).collect()
    }

    /// Returns the models in descending order of requests per slot.
    fn models_by_pressure(&self, capacity: &BTreeMap<ModelId, Capacity>) -> Vec<ModelId> {
        let mut models: Vec<_> = self.pressures(capacity).into_iter().collect();
        models.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        models.into_iter().map(|(model, _)| model).collect()
    }

    fn needs_engine(&self, model: &ModelId, capacity: &BTreeMap<ModelId, Capacity>) -> bool {
        let capacity = capacity.get(model).copied().unwrap_or_default();
        let min_engines = self.settings.min_engines(model);
        self.demand
            .get(model)
            .is_some_and(|demand| demand.needs_engine(capacity, min_engines, &self.settings))
    }

    /// Counts the engines that do not conform to their plans yet.
    fn pending_changes(&self, now: Time) -> usize {
        let pending = |tracked: &&TrackedEngine| {
            let planned = tracked
                .plan
                .as_ref()
                .is_none_or(|plan| *plan == tracked.held);
            tracked.is_changing() || !planned
        };
        self.fresh_engines(now).filter(pending).count()
    }

    /// Returns the engines whose last report still counts.
    pub(super) fn fresh_engines(&self, now: Time) -> impl Iterator<Item = &TrackedEngine> {
        let ttl = self.report_ttl();
        let engines = self.engines.values();
        engines.filter(move |tracked| tracked.is_fresh(now, ttl))
    }

    /// Finds the engine that can take `model` at the lowest cost.
    fn cheapest_change(
        &self,
        now: Time,
        model: &ModelId,
        capacity: &BTreeMap<ModelId, Capacity>,
    ) -> Option<PlanChange> {
        let usable = |tracked: &&TrackedEngine| {
            let plan = tracked.plan.as_ref();
            tracked.engine.models.contains(model)
                && tracked.is_settled()
                && plan.is_some_and(|plan| !plan.contains(model))
        };
        self.fresh_engines(now)
            .filter(usable)
            .filter_map(|tracked| self.candidate_change(now, tracked, model, capacity))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, change)| change)
    }

    /// Returns the cost and the change by which an engine takes `model`; `None` if it can't.
    ///
    /// An engine with room costs less than any that must evict a model. Of two with room the idler
    /// costs less, and so does the idler of two that evict.
    fn candidate_change(
        &self,
        now: Time,
        tracked: &TrackedEngine,
        model: &ModelId,
        capacity: &BTreeMap<ModelId, Capacity>,
    ) -> Option<(f64, PlanChange)> {
        let plan = tracked.plan.as_ref()?;
        let load = f64::from(tracked.report.running + tracked.report.waiting);
        let target = tracked.engine.target.clone();
        if plan.len() < self.settings.models_per_engine {
            return Some((
                -1.0 / (1.0 + load),
                PlanChange {
                    target,
                    evicted: None,
                },
            ));
        }
        let evicted = self.evictable_model(now, tracked, plan, model, capacity)?;
        Some((
            load,
            PlanChange {
                target,
                evicted: Some(evicted),
            },
        ))
    }

    /// Returns a model that can be evicted from an engine to make room for `model`.
    ///
    /// A model below its minimum of engines may displace one that is above its own, even if that
    /// one has no lasting surplus.
    fn evictable_model(
        &self,
        now: Time,
        tracked: &TrackedEngine,
        plan: &BTreeSet<ModelId>,
        model: &ModelId,
        capacity: &BTreeMap<ModelId, Capacity>,
    ) -> Option<ModelId> {
        let cooldown = self.settings.cooldown;
        if tracked
            .changed_at
            .is_some_and(|changed| now < changed + cooldown)
        {
            return None;
        }
        let engines = capacity.get(model).map_or(0, |capacity| capacity.engines);
        let urgent = engines < self.settings.min_engines(model);
        let is_evictable = |evicted: &&ModelId| {
            let current = capacity.get(*evicted).copied().unwrap_or_default();
            let min_engines = self.settings.min_engines(evicted);
            let Some(demand) = self.demand.get(*evicted) else {
                return true;
            };
            let slots = demand::slots(tracked, plan);
            let spare = demand.can_spare(current, slots, min_engines, &self.settings);
            let lasting = demand
                .surplus_since
                .is_some_and(|since| now >= since + cooldown);
            (spare && lasting) || (urgent && current.engines > min_engines)
        };
        plan.iter().find(is_evictable).cloned()
    }

    fn apply(&mut self, now: Time, model: &ModelId, change: PlanChange) {
        let Some(tracked) = self.engines.get_mut(&change.target) else {
            return;
        };
        let plan = tracked.plan.get_or_insert_default();
        if let Some(evicted) = change.evicted {
            plan.remove(&evicted);
        }
        plan.insert(model.clone());
        tracked.changed_at = Some(now);
    }
}
