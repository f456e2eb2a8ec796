//! Dry run: simulation of the orders that the planner would send under constant demand.

use super::{engine, model_settings};
use crate::{
    platform::{Client, Error},
    settings::Settings,
    target::Client as Targets,
};
use policy::{
    host::Report,
    id::{TargetId, Time},
    placement::{Answer, Command, Event, Order, Placement},
};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// Simulated time of a dry run.
const HORIZON: Duration = Duration::from_secs(3600);
/// Simulated time between two planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Order that the planner would send.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedOrder {
    /// Simulated time of the order, from the start of the dry run.
    #[serde(rename = "after_ms", with = "policy::millis")]
    pub after: Time,
    /// Order to the engine.
    #[serde(flatten)]
    pub order: Order,
}

/// Returns the orders that a planner would send in the next hour under the current demand.
///
/// Engines whose load cannot be read do not report in the simulation. No order is sent.
///
/// # Errors
///
/// Fails if the host list cannot be read.
pub async fn preview(settings: &Settings) -> Result<Vec<PlannedOrder>, Error> {
    let platform = &settings.platform;
    let client = Client::new(platform.address.to_string(), platform.timeout);
    let hosts = client.hosts().await?.hosts;
    let engines = engine::from_hosts(&hosts, &settings.daemon.region, &settings.pools);
    let targets = Targets::new();
    let mut reports = BTreeMap::new();
    for (target, endpoint) in &engines {
        let address = endpoint.address.to_string();
        let load = targets.read_load(&address, settings.planner.order_timeout);
        if let Ok((report, _)) = load.await {
            reports.insert(target.clone(), report);
        }
    }
    let mut placement = Placement::new(model_settings(settings));
    let engines = engines.into_values().map(|endpoint| endpoint.engine);
    let engines = Event::Engines {
        engines: engines.collect(),
    };
    placement.on(Time::ZERO, engines, &mut Vec::new());
    Ok(simulate(&mut placement, reports))
}

/// Simulates planning rounds in which each engine executes its orders immediately.
fn simulate(
    placement: &mut Placement,
    mut reports: BTreeMap<TargetId, Report>,
) -> Vec<PlannedOrder> {
    let mut planned = Vec::new();
    let mut now = Time::ZERO;
    while now < HORIZON {
        for (target, report) in &reports {
            let (target, report) = (target.clone(), report.clone());
            placement.on(now, Event::Report { target, report }, &mut Vec::new());
        }
        let (fenced, unfenced) = (Some(0), Some(0));
        let mut commands = Vec::new();
        placement.on(now, Event::Plan { fenced, unfenced }, &mut commands);
        for Command::Order(order) in commands {
            apply_order(&mut reports, &order);
            let (target, number) = (order.target.clone(), order.number);
            let answer = Event::Answer {
                target,
                order: number,
                answer: Answer::Accepted,
            };
            placement.on(now, answer, &mut Vec::new());
            planned.push(PlannedOrder { after: now, order });
        }
        now += ROUND_INTERVAL;
    }
    planned
}

fn apply_order(reports: &mut BTreeMap<TargetId, Report>, order: &Order) {
    if let Some(report) = reports.get_mut(&order.target) {
        report.age = Duration::ZERO;
        report.models.clone_from(&order.models);
        report.adapters.clone_from(&order.adapters);
        report.role = order.role;
        if order.role == policy::host::Role::Draining {
            report.running = 0;
            report.waiting = 0;
        }
    }
}
