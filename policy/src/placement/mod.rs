//! Placement of models on the engines of a region.
//!
//! Placement is a reconciliation loop. Each engine has a plan, the set of models that it should
//! hold, and its reports are compared with the plan in every round. Orders are declarative, so the
//! effect of an order that arrives late or comes from a former holder of the lease is detected and
//! corrected. No order is sent without the lease, so placement does not change while the platform
//! is unavailable.

mod demand;
mod engine;
mod order;
mod plan;

pub use self::{
    engine::{CHART, Engine, State, Step},
    order::{Order, Reason},
};

use self::{demand::Demand, engine::TrackedEngine};
use crate::{
    chart::Chart,
    host::Report,
    id::{AdapterId, ModelId, TargetId, Time},
    lease::FencingToken,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use strum::{Display, IntoStaticStr};

/// Rounds of polling all engines after which an engine without a report no longer counts.
const REPORT_ROUNDS: u32 = 3;

/// Configuration of a [`Placement`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Models to place; engines may hold others, for which no demand is tracked.
    pub models: BTreeMap<ModelId, Model>,
    /// Maximum number of models on one engine.
    pub models_per_engine: usize,
    /// Maximum number of engines whose models change at the same time.
    pub max_changes: usize,
    /// Minimum time between the loads of two models: the region's share of the weight store's rate.
    pub load_interval: Duration,
    /// Time after which an accepted order that no report confirms is given up.
    pub apply_timeout: Duration,
    /// Maximum time that a draining engine may spend on its requests before its models change.
    pub drain_timeout: Duration,
    /// Minimum duration of a surplus before a model is evicted, and between changes of one engine.
    pub cooldown: Duration,
    /// Time constant of the exponential smoothing of demand.
    pub smoothing: Duration,
    /// Maximum age of a report that counts, unless polling all engines takes longer.
    pub report_ttl: Duration,
    /// Time between the polls of two engines, from which the duration of a polling round follows.
    pub report_spacing: Duration,
    /// Requests per slot above which a model needs another engine.
    pub raise_at: f64,
    /// Requests per remaining slot up to which a model can be evicted from an engine.
    pub lower_at: f64,
}

/// Configuration of one model.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Minimum number of engines that hold the model, whatever the demand.
    #[serde(rename = "least")]
    pub min_engines: usize,
    /// Adapters that every engine with the model should hold.
    pub adapters: Vec<AdapterId>,
}

/// Input of [`Placement::on`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The platform's host list changed.
    ///
    /// Engines that are not listed are dropped.
    Engines {
        /// Engines on the list that are not leaving.
        engines: Vec<Engine>,
    },
    /// An engine reported its load and its models.
    ///
    /// Ignored if the engine is not on the list.
    Report {
        /// Engine that the report is about.
        target: TargetId,
        /// Load and models, and the age of these figures.
        report: Report,
    },
    /// The number of requests that wait at the entries for a model changed.
    Waiting {
        /// Model that they need; ignored if it is not configured.
        model: ModelId,
        /// Total over all entries.
        requests: f64,
    },
    /// An order ended.
    Answer {
        /// Engine that the order was sent to.
        target: TargetId,
        /// [`Order::number`] of the order; any but the latest of the engine is ignored.
        order: u64,
        /// Result of the order.
        answer: Answer,
    },
    /// A reconciliation round is due.
    ///
    /// Nothing is planned or ordered unless `fenced` is set.
    Plan {
        /// Token for engines that check fencing tokens; `None` if no order may be sent.
        fenced: Option<FencingToken>,
        /// Token for engines that ignore fencing tokens; `None` if no order may be sent to them.
        unfenced: Option<FencingToken>,
    },
}

/// Result of an order.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// The engine accepted the order and starts to apply it.
    Accepted,
    /// The engine has seen a higher fencing token.
    Refused,
    /// The engine does not hold the models in [`Order::seen`].
    Mismatch,
    /// The lease expired before the order was sent.
    Lapsed,
    /// The engine was not reached or its answer was lost; the order may have taken effect.
    #[serde(rename = "out")]
    #[strum(serialize = "out")]
    Unavailable,
}

/// Output of [`Placement::on`], to be carried out by the caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Send an order to an engine if the lease still permits it; reply with [`Event::Answer`].
    Order(Order),
}

/// State machine that plans the models of a region's engines and orders them.
///
/// It does no I/O and reads no clock: the caller passes in the time and carries out the commands.
#[derive(Clone, Debug)]
pub struct Placement {
    settings: Settings,
    chart: Chart<State, Step>,
    engines: BTreeMap<TargetId, TrackedEngine>,
    demand: BTreeMap<ModelId, Demand>,
    pressure: BTreeMap<ModelId, f64>,
    fence: Option<FencingToken>,
    next_load: Time,
    last_order: u64,
}

impl Settings {
    fn min_engines(&self, model: &ModelId) -> usize {
        self.models.get(model).map_or(0, |model| model.min_engines)
    }
}

impl Placement {
    /// Creates a placement without engines, which arrive with [`Event::Engines`].
    ///
    /// # Panics
    ///
    /// Panics if the embedded chart is invalid.
    pub fn new(settings: Settings) -> Self {
        let models = settings.models.keys().cloned();
        Self {
            chart: Chart::from_str(CHART).expect("the embedded chart is valid"),
            engines: BTreeMap::new(),
            demand: models.map(|model| (model, Demand::default())).collect(),
            pressure: BTreeMap::new(),
            fence: None,
            next_load: Time::ZERO,
            last_order: 0,
            settings,
        }
    }

    /// Handles one event and appends the resulting commands.
    pub fn on(&mut self, now: Time, event: Event, commands: &mut Vec<Command>) {
        match event {
            Event::Engines { engines } => self.set_engines(now, engines),
            Event::Report { target, report } => {
                if let Some(tracked) = self.engines.get_mut(&target) {
                    tracked.record_report(now, report, &self.chart);
                }
            }
            Event::Waiting { model, requests } => {
                if let Some(demand) = self.demand.get_mut(&model) {
                    demand.waiting = requests;
                }
            }
            Event::Answer {
                target,
                order,
                answer,
            } => {
                if let Some(tracked) = self.engines.get_mut(&target) {
                    tracked.record_answer(now, order, answer, &self.chart);
                }
            }
            Event::Plan { fenced, unfenced } => self.plan(now, fenced, unfenced, commands),
        }
    }

    /// Returns the models that an engine should hold; `None` if it is unknown or has no plan yet.
    pub fn planned(&self, target: &TargetId) -> Option<&BTreeSet<ModelId>> {
        self.engines.get(target)?.plan.as_ref()
    }

    /// Returns the maximum age of a report that counts.
    ///
    /// With many engines a polling round takes longer than the configured age.
    fn report_ttl(&self) -> Duration {
        let round = self.settings.report_spacing * self.engines.len() as u32;
        self.settings.report_ttl.max(round * REPORT_ROUNDS)
    }

    fn set_engines(&mut self, now: Time, engines: Vec<Engine>) {
        let mut tracked = std::mem::take(&mut self.engines);
        for engine in engines {
            let target = engine.target.clone();
            let mut entry = tracked
                .remove(&target)
                .unwrap_or_else(|| TrackedEngine::new(now, &self.chart));
            entry.engine = engine;
            self.engines.insert(target, entry);
        }
    }

    fn plan(
        &mut self,
        now: Time,
        fenced: Option<FencingToken>,
        unfenced: Option<FencingToken>,
        commands: &mut Vec<Command>,
    ) {
        for tracked in self.engines.values_mut() {
            tracked.expire_order(now, &self.settings, &self.chart);
        }
        self.track_fence(now, fenced);
        if fenced.is_some() {
            self.update_plans(now);
            self.issue_orders(now, fenced, unfenced, commands);
        }
    }

    /// Drops all plans under a new lease, since another planner may have sent orders in between.
    fn track_fence(&mut self, now: Time, fenced: Option<FencingToken>) {
        if fenced.is_some() && fenced != self.fence {
            self.fence = fenced;
            self.next_load = self.next_load.max(now + self.settings.load_interval);
            for tracked in self.engines.values_mut() {
                tracked.plan = None;
            }
        }
    }
}
