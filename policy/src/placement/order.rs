//! Orders that bring engines to their plans.

use super::{Command, Placement, engine::TrackedEngine};
use crate::{
    host::Role,
    id::{AdapterId, ModelId, TargetId, Time},
    lease::FencingToken,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use strum::{Display, IntoStaticStr};

/// An order to an engine, which refuses it unless it holds exactly the models in `seen`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Number of the order, unique within one [`Placement`].
    pub number: u64,
    /// Engine that the order is sent to.
    pub target: TargetId,
    /// Fencing token of the lease under which the order is sent.
    pub fence: FencingToken,
    /// Models that the engine held by its last report.
    pub seen: Vec<ModelId>,
    /// Models that the engine should hold; it unloads all others.
    pub models: Vec<ModelId>,
    /// Adapters that the engine should hold.
    pub adapters: Vec<AdapterId>,
    /// Whether the engine should accept new requests.
    pub role: Role,
    /// Why the order is sent, for logs and metrics.
    pub reason: Reason,
    /// Highest requests per slot among the models that the engine lacks; 0 if it lacks none.
    pub pressure: f64,
}

/// Why an order is sent.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The engine should finish its requests before a model is unloaded.
    Drain,
    /// The engine should load a model.
    Load,
    /// The engine should unload a model and load none.
    Unload,
    /// The engine should load an adapter of a model that it holds.
    Adapter,
    /// The engine should accept new requests again.
    Serve,
}

impl Placement {
    /// Issues the orders that the lease and the limits permit, highest pressure first.
    pub(super) fn issue_orders(
        &mut self,
        now: Time,
        fenced: Option<FencingToken>,
        unfenced: Option<FencingToken>,
        commands: &mut Vec<Command>,
    ) {
        let mut orders: Vec<_> = self
            .fresh_engines(now)
            .filter(|tracked| tracked.is_settled())
            .filter_map(|tracked| {
                let fence = if tracked.engine.fenced {
                    fenced
                } else {
                    unfenced
                };
                self.next_order(now, tracked, fence?)
            })
            .collect();
        orders.sort_by(|a, b| {
            let pressure = b.pressure.total_cmp(&a.pressure);
            pressure.then_with(|| a.target.cmp(&b.target))
        });
        for order in orders {
            if self.is_within_limits(now, &order) {
                self.issue(now, order, commands);
            }
        }
    }

    /// Returns the order that brings an engine closer to its plan; `None` if it conforms to it or
    /// drains already.
    fn next_order(&self, now: Time, tracked: &TrackedEngine, fence: FencingToken) -> Option<Order> {
        let plan = tracked.plan.as_ref()?;
        let adapters = self.adapters(plan);
        let missing: Vec<_> = plan.difference(&tracked.held).collect();
        let pressure = missing.iter().filter_map(|model| self.pressure.get(*model));
        let order = |reason, models: &BTreeSet<ModelId>, role| Order {
            number: 0,
            target: tracked.engine.target.clone(),
            fence,
            seen: tracked.held.iter().cloned().collect(),
            models: models.iter().cloned().collect(),
            adapters: self.adapters(models),
            role,
            reason,
            pressure: pressure.clone().copied().fold(0.0, f64::max),
        };
        let removes = tracked.held.difference(plan).next().is_some();
        if removes && !tracked.is_drained(now, &self.settings) {
            let draining = tracked.report.role == Role::Draining;
            return (!draining).then(|| order(Reason::Drain, &tracked.held, Role::Draining));
        }
        let reason = if !missing.is_empty() {
            Reason::Load
        } else if removes {
            Reason::Unload
        } else if !tracked.holds_adapters(&adapters) {
            Reason::Adapter
        } else if tracked.report.role == Role::Draining {
            Reason::Serve
        } else {
            return None;
        };
        Some(order(reason, plan, Role::Serving))
    }

    fn adapters(&self, models: &BTreeSet<ModelId>) -> Vec<AdapterId> {
        models
            .iter()
            .filter_map(|model| self.settings.models.get(model))
            .flat_map(|model| model.adapters.iter().cloned())
            .collect()
    }

    /// Returns whether the order is within the rate of loads and the number of changes.
    ///
    /// Draining engines count towards the limit for drains but not for loads. Otherwise engines
    /// that have drained could block each other's loads for ever.
    fn is_within_limits(&self, now: Time, order: &Order) -> bool {
        let others = self
            .fresh_engines(now)
            .filter(|tracked| tracked.engine.target != order.target);
        let max_changes = self.settings.max_changes;
        match order.reason {
            Reason::Drain => others.filter(|tracked| tracked.is_changing()).count() < max_changes,
            Reason::Load => {
                now >= self.next_load
                    && others.filter(|tracked| tracked.is_applying()).count() < max_changes
            }
            Reason::Unload | Reason::Adapter | Reason::Serve => true,
        }
    }

    fn issue(&mut self, now: Time, mut order: Order, commands: &mut Vec<Command>) {
        self.last_order += 1;
        order.number = self.last_order;
        if order.reason == Reason::Load {
            let loads = order
                .models
                .iter()
                .filter(|model| !order.seen.contains(model));
            self.next_load = now + self.settings.load_interval * loads.count() as u32;
        }
        if let Some(tracked) = self.engines.get_mut(&order.target) {
            if order.reason == Reason::Load {
                tracked.changed_at = Some(now);
            }
            tracked.record_order(now, order.clone(), &self.chart);
        }
        commands.push(Command::Order(order));
    }
}
