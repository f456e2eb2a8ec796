//! One run of a plan.

use super::{
    bound::Bound,
    caller::{Answer, Caller},
    chaos,
    entries::{Entries, Error, Launch},
    measure::{self, Measure},
    plan::Plan,
    schedule::Arrival,
};
use crate::fleet::Fleet;
use policy::router::Rule;
use std::{collections::BTreeMap, net::SocketAddr, path::Path, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Time after the last answer in which targets end what they run.
const SETTLE: Duration = Duration::from_millis(500);

/// Offers a plan to entries that it starts from `binary`, with their files in `folder`.
///
/// `settings` are further lines of the section `[entry]`.
///
/// # Errors
///
/// Fails if a fake or an entry doesn't start.
pub async fn run(
    plan: &Plan,
    rule: Rule,
    binary: &Path,
    folder: &Path,
    settings: &str,
) -> Result<Measure, Error> {
    let fleet = Fleet::start(plan.deployment.clone(), plan.fakes.clone())
        .await
        .map_err(Error::Fake)?;
    let pools = fleet.pools();
    let launch = Launch {
        binary,
        folder,
        region: &plan.deployment.region,
        domains: &plan.deployment.domains,
        pools: &pools,
        rule,
        settings,
    };
    let entries = Entries::start(&launch, plan.entries, fleet.platform()).await?;
    let arrivals = plan.schedule.arrivals();
    let began = Instant::now();
    let (answers, ()) = tokio::join!(
        send(plan, &arrivals, entries.addresses().to_vec(), began),
        chaos::run(&plan.steps, began, &fleet, &entries),
    );
    tokio::time::sleep(SETTLE).await;
    let mut measure = Measure::new(&answers, &measure::take_runs(&fleet));
    measure.duplicates = measure::duplicates(&fleet);
    let bound = Bound::new(plan, &arrivals);
    measure.carriable = bound.share(|tokens| plan.work(tokens));
    measure.carriable_blind = bound.share(|_| bound.mean());
    drop(entries);
    fleet.stop().await;
    Ok(measure)
}

/// Offers a plan to entries that run already, some of which are at `seeds`.
///
/// The plan's faults don't happen, and what targets ran is not known.
pub async fn offer(plan: &Plan, seeds: Vec<SocketAddr>) -> Measure {
    let arrivals = plan.schedule.arrivals();
    let answers = send(plan, &arrivals, seeds, Instant::now()).await;
    Measure::new(&answers, &BTreeMap::new())
}

/// Sends each request at its time, counted from `began`, and returns the answers to those after
/// the warm-up.
async fn send(
    plan: &Plan,
    arrivals: &[Arrival],
    seeds: Vec<SocketAddr>,
    began: Instant,
) -> Vec<Answer> {
    let domains = plan.deployment.domains.clone();
    let caller = Arc::new(Caller::new(seeds, domains, plan.patience));
    let mut calls = Vec::new();
    for arrival in arrivals {
        tokio::time::sleep_until(began + arrival.at).await;
        let caller = Arc::clone(&caller);
        let arrival = arrival.clone();
        let measured = arrival.at >= plan.warmup;
        let call = tokio::spawn(async move { caller.call(&arrival).await });
        calls.push((measured, call));
    }
    let mut answers = Vec::new();
    for (measured, call) in calls {
        if let Ok(answer) = call.await
            && measured
        {
            answers.push(answer);
        }
    }
    answers
}
