//! State of one engine as the planner tracks it.

use super::{Answer, Order, Settings};
use crate::{
    chart::{Chart, chart_enum},
    host::{Report, Role},
    id::{AdapterId, ModelId, TargetId, Time},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, time::Duration};

/// State chart of a tracked engine over [`State`] and [`Step`], as TOML.
pub const CHART: &str = include_str!("../../charts/engine.toml");

/// One engine on the platform's host list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Engine {
    /// Name under which the engine reports and receives orders.
    pub target: TargetId,
    /// Whether the engine refuses an order whose fencing token is lower than one it has seen.
    pub fenced: bool,
    /// Models that may be placed on the engine.
    pub models: Vec<ModelId>,
}

chart_enum! {
    /// State of a tracked engine, as named in [`CHART`].
    State {
        /// The engine's models are unknown until it reports.
        Unknown,
        /// The engine holds the models of its last report.
        Settled,
        /// An order is in flight.
        Ordering,
        /// The engine accepted an order, and no report confirms it yet.
        Applying,
    }
}

chart_enum! {
    /// Transition of a tracked engine, as named in [`CHART`].
    Step {
        /// A conclusive report of the engine's models arrived.
        Report,
        /// An order is sent.
        Order,
        /// The engine accepted the order.
        Accept,
        /// The order was not accepted, had no answer, or was not confirmed in time.
        Doubt,
    }
}

/// An engine with its plan, its last report and its pending order.
#[derive(Clone, Debug)]
pub(super) struct TrackedEngine {
    pub engine: Engine,
    /// Models that the engine should hold; `None` before it is planned under the current lease.
    pub plan: Option<BTreeSet<ModelId>>,
    /// When the plan or the models last changed, for the cooldown.
    pub changed_at: Option<Time>,
    /// Models of the last conclusive report.
    pub held: BTreeSet<ModelId>,
    /// Last report; its role is that of the last conclusive one.
    pub report: Report,
    reported_at: Option<Time>,
    state: State,
    /// When the current state was entered.
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

    /// Returns whether the last report is not older than `ttl`.
    pub(super) fn is_fresh(&self, now: Time, ttl: Duration) -> bool {
        self.reported_at
            .is_some_and(|reported| now <= reported + ttl)
    }

    /// Returns whether the engine drains, or has an order in flight or not yet confirmed.
    pub(super) fn is_changing(&self) -> bool {
        self.is_applying() || self.report.role == Role::Draining
    }

    /// Returns whether an order is in flight or not yet confirmed.
    pub(super) fn is_applying(&self) -> bool {
        matches!(self.state, State::Ordering | State::Applying)
    }

    /// Returns whether the engine has drained, or its time for that has run out.
    ///
    /// An idle engine counts as drained only after `report_ttl`: entries learn from its reports
    /// that it drains and may send requests until then.
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

    /// Records a report.
    ///
    /// A report taken before the current state was entered says nothing about the models held
    /// now, and neither does one of an order that is still being applied.
    pub(super) fn record_report(&mut self, now: Time, report: Report, chart: &Chart<State, Step>) {
        let taken_at = now.saturating_sub(report.age);
        self.reported_at = Some(taken_at);
        let models: BTreeSet<_> = report.models.iter().cloned().collect();
        let is_conclusive = taken_at >= self.entered_at
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

    /// Returns whether a report shows that the pending order is complete or was overridden.
    ///
    /// Models that were neither held before nor ordered come from another order.
    fn is_applied(&self, models: &BTreeSet<ModelId>, role: Role) -> bool {
        self.pending_order.as_ref().is_none_or(|order| {
            let ordered: BTreeSet<_> = order.models.iter().cloned().collect();
            let unexpected = models
                .iter()
                .any(|model| !ordered.contains(model) && !order.seen.contains(model));
            unexpected || (ordered == *models && order.role == role)
        })
    }

    /// Gives up an accepted order that no report has confirmed in time.
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
