//! Assignment of models to engines.

use super::{
    Placement,
    demand::{self, Demand, Supply},
    engine::TrackedEngine,
};
use crate::id::{ModelId, TargetId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A change of one engine's plan: a model to add, and one that gives its place if there is no room.
struct Change {
    target: TargetId,
    donor: Option<ModelId>,
}

impl Placement {
    /// Brings the plan of each engine up to date with demand.
    pub(super) fn assign(&mut self, now: Time) {
        self.measure(now);
        self.keep_held();
        let mut supply = self.supply(now);
        self.track_surplus(now, &supply);
        for model in self.wanted(&supply) {
            while self.changes(now) < self.settings.max_changes && self.is_short(&model, &supply) {
                let Some(change) = self.find(now, &model, &supply) else {
                    break;
                };
                self.apply(now, &model, change);
                supply = self.supply(now);
            }
        }
        self.pressure = self.pressures(&supply);
    }

    fn measure(&mut self, now: Time) {
        let requests = demand::requests(&self.engines);
        for (model, demand) in &mut self.demand {
            let running = requests.get(model).copied().unwrap_or(0.0);
            demand.measure(now, running + demand.waiting, self.settings.smoothing);
        }
    }

    /// Plans what an engine already holds, if it may hold it, so that a new planner changes nothing.
    fn keep_held(&mut self) {
        let most = self.settings.models_per_engine;
        let engines = self.engines.values_mut();
        for tracked in engines.filter(|tracked| tracked.is_settled()) {
            let may = |model: &&ModelId| tracked.engine.models.contains(*model);
            let current = tracked.plan.as_ref().unwrap_or(&tracked.held);
            tracked.plan = Some(current.iter().filter(may).take(most).cloned().collect());
        }
    }

    fn supply(&self, now: Time) -> BTreeMap<ModelId, Supply> {
        let ttl = self.report_ttl();
        demand::supply(
            self.engines
                .values()
                .filter(|tracked| tracked.is_fresh(now, ttl)),
        )
    }

    fn track_surplus(&mut self, now: Time, supply: &BTreeMap<ModelId, Supply>) {
        for (model, demand) in &mut self.demand {
            let supply = supply.get(model).copied().unwrap_or_default();
            let one = supply.seats / supply.engines.max(1) as f64;
            let min_engines = self.settings.min_engines(model);
            let spare = demand.can_spare(supply, one, min_engines, &self.settings);
            demand.surplus_since = spare.then(|| demand.surplus_since.unwrap_or(now));
        }
    }

    fn pressures(&self, supply: &BTreeMap<ModelId, Supply>) -> BTreeMap<ModelId, f64> {
        let pressure = |(model, demand): (&ModelId, &Demand)| {
            let supply = supply.get(model).copied().unwrap_or_default();
            (model.clone(), demand.pressure(supply))
        };
        self.demand.iter().map(pressure).collect()
    }

    /// Returns the models from the most to the least wanted.
    fn wanted(&self, supply: &BTreeMap<ModelId, Supply>) -> Vec<ModelId> {
        let mut models: Vec<_> = self.pressures(supply).into_iter().collect();
        models.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        models.into_iter().map(|(model, _)| model).collect()
    }

    fn is_short(&self, model: &ModelId, supply: &BTreeMap<ModelId, Supply>) -> bool {
        let supply = supply.get(model).copied().unwrap_or_default();
        let min_engines = self.settings.min_engines(model);
        self.demand
            .get(model)
            .is_some_and(|demand| demand.is_short(supply, min_engines, &self.settings))
    }

    /// Counts the engines that are not yet what their plan says.
    fn changes(&self, now: Time) -> usize {
        let pending = |tracked: &&TrackedEngine| {
            let planned = tracked
                .plan
                .as_ref()
                .is_none_or(|plan| *plan == tracked.held);
            tracked.is_changing() || !planned
        };
        self.fresh(now).filter(pending).count()
    }

    /// Returns the engines that can be counted on.
    pub(super) fn fresh(&self, now: Time) -> impl Iterator<Item = &TrackedEngine> {
        let ttl = self.report_ttl();
        let engines = self.engines.values();
        engines.filter(move |tracked| tracked.is_fresh(now, ttl))
    }

    /// Finds the engine that can take `model` at the least cost to the other models.
    fn find(
        &self,
        now: Time,
        model: &ModelId,
        supply: &BTreeMap<ModelId, Supply>,
    ) -> Option<Change> {
        let usable = |tracked: &&TrackedEngine| {
            let plan = tracked.plan.as_ref();
            tracked.engine.models.contains(model)
                && tracked.is_settled()
                && plan.is_some_and(|plan| !plan.contains(model))
        };
        self.fresh(now)
            .filter(usable)
            .filter_map(|tracked| self.change(now, tracked, model, supply))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, change)| change)
    }

    /// Returns how an engine can take `model`, and the cost of that.
    fn change(
        &self,
        now: Time,
        tracked: &TrackedEngine,
        model: &ModelId,
        supply: &BTreeMap<ModelId, Supply>,
    ) -> Option<(f64, Change)> {
        let plan = tracked.plan.as_ref()?;
        let load = f64::from(tracked.report.running + tracked.report.waiting);
        let target = tracked.engine.target.clone();
        if plan.len() < self.settings.models_per_engine {
            return Some((
                -1.0 / (1.0 + load),
                Change {
                    target,
                    donor: None,
                },
            ));
        }
        let donor = self.donor(now, tracked, plan, model, supply)?;
        Some((
            load,
            Change {
                target,
                donor: Some(donor),
            },
        ))
    }

    fn donor(
        &self,
        now: Time,
        tracked: &TrackedEngine,
        plan: &BTreeSet<ModelId>,
        model: &ModelId,
        supply: &BTreeMap<ModelId, Supply>,
    ) -> Option<ModelId> {
        let cooldown = self.settings.cooldown;
        if tracked
            .changed_at
            .is_some_and(|changed| now < changed + cooldown)
        {
            return None;
        }
        let engines = supply.get(model).map_or(0, |supply| supply.engines);
        let urgent = engines < self.settings.min_engines(model);
        let gives = |donor: &&ModelId| {
            let has = supply.get(*donor).copied().unwrap_or_default();
            let min_engines = self.settings.min_engines(donor);
            let Some(demand) = self.demand.get(*donor) else {
                return true;
            };
            let seats = demand::seats(tracked, plan);
            let spare = demand.can_spare(has, seats, min_engines, &self.settings);
            let lasting = demand
                .surplus_since
                .is_some_and(|since| now >= since + cooldown);
            (spare && lasting) || (urgent && has.engines > min_engines)
        };
        plan.iter().find(gives).cloned()
    }

    fn apply(&mut self, now: Time, model: &ModelId, change: Change) {
        let Some(tracked) = self.engines.get_mut(&change.target) else {
            return;
        };
        let plan = tracked.plan.get_or_insert_default();
        if let Some(donor) = change.donor {
            plan.remove(&donor);
        }
        plan.insert(model.clone());
        tracked.changed_at = Some(now);
    }
}
