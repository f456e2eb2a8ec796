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
pub(super) struct TrackedEngine {
    pub engine: Engine,
    pub plan: Option<BTreeSet<ModelId>>,
    pub changed_at: Option<Time>,
    pub held: BTreeSet<ModelId>,
    pub report: Report,
    reported_at: Option<Time>,
    state: State,
    entered_at: Time,
    pending_order: Option<Order>,
    draining_since: Option<Time>,
}

impl TrackedEngine {
    pub(super) fn new(now: Time, chart: &Chart<State, Step>) -> Self {
        Self {
            engine: Engine::default(),
            plan: None,
            changed_at: None,
            held: BTreeSet::new(),
            report: Report::default(),
            reported_at: None,
            state: chart.start(),
            entered_at: now,
            pending_order: None,
            draining_since: None,
        }
    }

    pub(super) fn is_settled(&self) -> bool {
        self.state == State::Settled
    }

    /// Returns whether the engine reported within `ttl`, so that it can be counted on.
    pub(super) fn is_fresh(&self, now: Time, ttl: Duration) -> bool {
        self.reported_at
            .is_some_and(|reported| now <= reported + ttl)
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
            let is_announced = now >= since + settings.report_ttl;
            (idle && is_announced) || now >= since + settings.drain_timeout
        })
    }

    pub(super) fn holds_adapters(&self, adapters: &[AdapterId]) -> bool {
        adapters
            .iter()
            .all(|adapter| self.report.adapters.contains(adapter))
    }

    /// Takes in a report; one that was taken before the last change is no proof of what is held.
    pub(super) fn record_report(&mut self, now: Time, report: Report, chart: &Chart<State, Step>) {
        let taken = now.saturating_sub(report.age);
        self.reported_at = Some(taken);
        let models: BTreeSet<_> = report.models.iter().cloned().collect();
        let is_conclusive = taken >= self.entered_at
            && (self.state != State::Applying || self.is_applied(&models, report.role));
        self.report = Report {
            role: if is_conclusive {
                report.role
            } else {
                self.report.role
            },
            ..report
        };
        if is_conclusive && self.transition(now, Step::Report, chart) {
            self.held = models;
            self.pending_order = None;
            self.track_drain(now);
        }
    }

    /// Returns whether an engine that applies an order is done, or does something else.
    fn is_applied(&self, models: &BTreeSet<ModelId>, role: Role) -> bool {
        self.pending_order.as_ref().is_none_or(|order| {
            let ordered: BTreeSet<_> = order.models.iter().cloned().collect();
            let unexpected = models
                .iter()
                .any(|model| !ordered.contains(model) && !order.seen.contains(model));
            unexpected || (ordered == *models && order.role == role)
        })
    }

    /// Gives up on an order that the engine has not applied in time.
    pub(super) fn expire_order(
        &mut self,
        now: Time,
        settings: &Settings,
        chart: &Chart<State, Step>,
    ) {
        if self.state == State::Applying && now >= self.entered_at + settings.apply_timeout {
            self.transition(now, Step::Doubt, chart);
        }
    }

    pub(super) fn record_order(&mut self, now: Time, order: Order, chart: &Chart<State, Step>) {
        if self.transition(now, Step::Order, chart) {
            self.pending_order = Some(order);
        }
    }

    pub(super) fn record_answer(
        &mut self,
        now: Time,
        number: u64,
        answer: Answer,
        chart: &Chart<State, Step>,
    ) {
        if self
            .pending_order
            .as_ref()
            .is_none_or(|order| order.number != number)
        {
            return;
        }
        let step = match answer {
            Answer::Accepted => Step::Accept,
            Answer::Refused | Answer::Mismatch | Answer::Lapsed | Answer::Unavailable => {
                Step::Doubt
            }
        };
        self.transition(now, step, chart);
    }

    fn transition(&mut self, now: Time, step: Step, chart: &Chart<State, Step>) -> bool {
        let Some(next) = chart.next(self.state, step) else {
            return false;
        };
        if next != self.state {
            self.entered_at = now;
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
