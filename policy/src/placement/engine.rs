//! What the planner knows of one engine.

use super::{Answer, Order, Settings};
use crate::{
    chart::{Chart, chart_enum},
    host::{Report, Role},
    id::{AdapterId, ModelId, TargetId, Time},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, time::Duration};

/// Text of the chart that the knowledge of an engine follows.
pub const CHART: &str = include_str!("../../charts/engine.toml");

/// One engine on the platform's host list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Engine {
    /// Name of the engine.
    pub target: TargetId,
    /// Whether the engine refuses an order with an old fence.
    pub fenced: bool,
    /// Models that the engine may hold.
    pub models: Vec<ModelId>,
}

chart_enum! {
    /// State of the knowledge of an engine, as in its chart.
    State {
        /// It is unknown what the engine holds.
        Unknown,
        /// The engine holds what its last report says.
        Settled,
        /// An order is under way.
        Ordering,
        /// The engine applies an order.
        Applying,
    }
}

chart_enum! {
    /// Step from one state to another, as in the chart.
    Step {
        /// A report tells what the engine holds.
        Report,
        /// An order goes out.
        Order,
        /// The engine accepted the order.
        Accept,
        /// It is unknown whether the order has taken or will take effect.
        Doubt,
    }
}

/// What the planner knows of one engine.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub engine: Engine,
    pub plan: Option<BTreeSet<ModelId>>,
    pub changed: Option<Time>,
    pub held: BTreeSet<ModelId>,
    pub report: Report,
    reported: Option<Time>,
    state: State,
    since: Time,
    order: Option<Order>,
    draining_since: Option<Time>,
}

impl Known {
    pub(super) fn new(now: Time, chart: &Chart<State, Step>) -> Self {
        Self {
            engine: Engine::default(),
            plan: None,
            changed: None,
            held: BTreeSet::new(),
            report: Report::default(),
            reported: None,
            state: chart.start(),
            since: now,
            order: None,
            draining_since: None,
        }
    }

    pub(super) fn is_settled(&self) -> bool {
        self.state == State::Settled
    }

    /// Returns whether the engine reported within `ttl`, so that it can be counted on.
    pub(super) fn is_fresh(&self, now: Time, ttl: Duration) -> bool {
        self.reported.is_some_and(|reported| now <= reported + ttl)
    }

    /// Returns whether the engine is on its way to other models.
    pub(super) fn is_changing(&self) -> bool {
        self.is_applying() || self.report.role == Role::Draining
    }

    /// Returns whether an order is under way or being applied.
    pub(super) fn is_applying(&self) -> bool {
        matches!(self.state, State::Ordering | State::Applying)
    }

    /// Returns whether the engine drains and has nothing left, or has had long enough for it.
    ///
    /// Entries learn from a report that the engine drains, so one report's age must have passed.
    pub(super) fn is_drained(&self, now: Time, settings: &Settings) -> bool {
        self.draining_since.is_some_and(|since| {
            let idle = self.report.running + self.report.waiting == 0;
            let told = now >= since + settings.report_ttl;
            (idle && told) || now >= since + settings.drain
        })
    }

    pub(super) fn holds_adapters(&self, adapters: &[AdapterId]) -> bool {
        adapters
            .iter()
            .all(|adapter| self.report.adapters.contains(adapter))
    }

    /// Takes in a report; one that was taken before the last change is no proof of what is held.
    pub(super) fn take_report(&mut self, now: Time, report: Report, chart: &Chart<State, Step>) {
        let taken = now.saturating_sub(report.age);
        self.reported = Some(taken);
        let models: BTreeSet<_> = report.models.iter().cloned().collect();
        let proof = taken >= self.since
            && (self.state != State::Applying || self.is_applied(&models, report.role));
        self.report = Report {
            role: if proof { report.role } else { self.report.role },
            ..report
        };
        if proof && self.step(now, Step::Report, chart) {
            self.held = models;
            self.order = None;
            self.track_drain(now);
        }
    }

    /// Returns whether an engine that applies an order is done, or does something else.
    fn is_applied(&self, models: &BTreeSet<ModelId>, role: Role) -> bool {
        self.order.as_ref().is_none_or(|order| {
            let ordered: BTreeSet<_> = order.models.iter().cloned().collect();
            let foreign = models
                .iter()
                .any(|model| !ordered.contains(model) && !order.seen.contains(model));
            foreign || (ordered == *models && order.role == role)
        })
    }

    /// Gives up on an order that the engine has not applied in time.
    pub(super) fn expire(&mut self, now: Time, settings: &Settings, chart: &Chart<State, Step>) {
        if self.state == State::Applying && now >= self.since + settings.patience {
            self.step(now, Step::Doubt, chart);
        }
    }

    pub(super) fn ordered(&mut self, now: Time, order: Order, chart: &Chart<State, Step>) {
        if self.step(now, Step::Order, chart) {
            self.order = Some(order);
        }
    }

    pub(super) fn answered(
        &mut self,
        now: Time,
        number: u64,
        answer: Answer,
        chart: &Chart<State, Step>,
    ) {
        if self
            .order
            .as_ref()
            .is_none_or(|order| order.number != number)
        {
            return;
        }
        let step = match answer {
            Answer::Accepted => Step::Accept,
            Answer::Refused | Answer::Mismatch | Answer::Lapsed | Answer::Out => Step::Doubt,
        };
        self.step(now, step, chart);
    }

    fn step(&mut self, now: Time, step: Step, chart: &Chart<State, Step>) -> bool {
        let Some(next) = chart.next(self.state, step) else {
            return false;
        };
        if next != self.state {
            self.since = now;
        }
        self.state = next;
        true
    }

    fn track_drain(&mut self, now: Time) {
        self.draining_since = match self.report.role {
            Role::Draining => self.draining_since.or(Some(now)),
            Role::Serving => None,
        };
    }
}
