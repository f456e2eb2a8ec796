//! Faults that happen during a schedule.

use super::entries::Entries;
use crate::fleet::Fleet;
use compact_str::CompactString;
use std::time::Duration;
use tokio::time::Instant;

/// One fault at its time.
#[derive(Clone, Debug)]
pub struct Step {
    /// Time since the begin of the schedule.
    pub at: Duration,
    /// What happens.
    pub action: Action,
}

/// What happens to the fakes or entries.
#[derive(Clone, Debug)]
pub enum Action {
    /// All times of the engine with this number are multiplied.
    Slow(usize, f64),
    /// The engine with this number dies.
    Kill(usize),
    /// The engine with this number comes back cold at its address.
    Restart(usize),
    /// The entry with this number dies.
    KillEntry(usize),
    /// All targets and entries of the failure domain die.
    KillDomain(CompactString),
    /// The dead domain leaves the host list.
    Unlist(CompactString),
}

/// Takes each step at its time.
pub(super) async fn run(steps: &[Step], began: Instant, fleet: &Fleet, entries: &Entries) {
    for step in steps {
        tokio::time::sleep_until(began + step.at).await;
        step.action.take(fleet, entries).await;
    }
}

impl Action {
    async fn take(&self, fleet: &Fleet, entries: &Entries) {
        match self {
            Self::Slow(number, factor) => {
                if let Some(node) = fleet.engines().get(*number) {
                    node.server()
                        .control(|settings| settings.faults.slow = *factor);
                }
            }
            Self::Kill(number) => {
                if let Some(node) = fleet.engines().get(*number) {
                    node.server().stop().await;
                }
            }
            Self::Restart(number) => {
                if let Some(node) = fleet.engines().get(*number)
                    && let Err(error) = node.restart().await
                {
                    tracing::error!(%error, "engine did not come back");
                }
            }
            Self::KillEntry(number) => entries.kill(*number),
            Self::KillDomain(domain) => kill_domain(domain, fleet, entries).await,
            Self::Unlist(domain) => {
                let mut hosts = fleet.hosts();
                hosts.retain(|host| host.domain != *domain);
                fleet.platform().set_hosts(hosts);
            }
        }
    }
}

async fn kill_domain(domain: &CompactString, fleet: &Fleet, entries: &Entries) {
    for node in fleet.engines() {
        if node.host().domain == *domain {
            node.server().stop().await;
        }
    }
    for node in fleet.services() {
        if node.host().domain == *domain {
            node.server().stop().await;
        }
    }
    entries.kill_domain(domain);
}
