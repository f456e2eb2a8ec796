//! Placement of models on the engines of a region.
//!
//! Each engine has a plan: the set of models that it is to hold. Orders are declarative, and what
//! engines report is compared with the plan again and again, so an order that came late or from
//! a former holder of the lease is seen and undone. Nothing is ordered without a permit of the
//! lease, so placement stands still while the platform is out.

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

/// Rounds of reports for which an engine that does not report is still counted on.
const REPORT_ROUNDS: u32 = 3;

/// What placement is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Models to place.
    pub models: BTreeMap<ModelId, Model>,
    /// Most models that one engine holds.
    pub models_per_engine: usize,
    /// Most engines that change at once.
    pub max_changes: usize,
    /// Least time between two loads, the region's part of the weight store's rate.
    pub load_interval: Duration,
    /// Longest time that an engine takes to apply an order.
    pub apply_timeout: Duration,
    /// Longest time that an engine may finish requests before its models change.
    pub drain_timeout: Duration,
    /// Time for which a surplus must last before an engine changes, and between its changes.
    pub cooldown: Duration,
    /// Time constant that demand is smoothed with.
    pub smoothing: Duration,
    /// Age from which a report no longer counts.
    pub report_ttl: Duration,
    /// Time between two reports of any engines; with many, reports count for longer.
    pub report_spacing: Duration,
    /// Requests for each seat from which a model needs another engine.
    pub raise_at: f64,
    /// Requests for each remaining seat up to which a model can spare an engine.
    pub lower_at: f64,
}

/// What the settings say of one model.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Fewest engines that hold the model.
    #[serde(rename = "least")]
    pub min_engines: usize,
    /// Adapters that go with the model.
    pub adapters: Vec<AdapterId>,
}

/// What happened to placement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The engines on the platform's host list that are to stay.
    Engines {
        /// The engines.
        engines: Vec<Engine>,
    },
    /// An engine reported its load.
    Report {
        /// The engine.
        target: TargetId,
        /// The report.
        report: Report,
    },
    /// Entries told how many requests wait for a model.
    Waiting {
        /// The model.
        model: ModelId,
        /// Requests that wait at all entries.
        requests: f64,
    },
    /// An order ended.
    Answer {
        /// Engine that the order went to.
        target: TargetId,
        /// Number of the order.
        order: u64,
        /// How it ended.
        answer: Answer,
    },
    /// It is time to compare plans with reports.
    Plan {
        /// Fence for engines that refuse old ones, if an order may be given.
        fenced: Option<FencingToken>,
        /// Fence for engines that ignore them, if an order may be given.
        unfenced: Option<FencingToken>,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// The engine accepted the order.
    Accepted,
    /// The engine has seen a newer fence.
    Refused,
    /// The engine does not hold what was seen.
    Mismatch,
    /// The lease ended before the order was sent.
    Lapsed,
    /// The engine could not be asked, or its answer was lost.
    #[serde(rename = "out")]
    #[strum(serialize = "out")]
    Unavailable,
}

/// What placement wants done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Give an order to an engine, if the lease still permits it.
    Order(Order),
}

/// Placement of models on the engines of a region.
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
    /// Creates a placement that knows no engine.
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

    /// Takes in one event and appends what is to be done.
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

    /// Returns the models that an engine is to hold, once that has been planned.
    pub fn planned(&self, target: &TargetId) -> Option<&BTreeSet<ModelId>> {
        self.engines.get(target)?.plan.as_ref()
    }

    /// Returns the age from which a report no longer counts, given how long it takes to ask all.
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

    /// Starts afresh with a new lease, since another planner may have given orders meanwhile.
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
