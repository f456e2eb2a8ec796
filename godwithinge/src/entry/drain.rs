//! Graceful shutdown of a daemon.

use super::Daemon;
use policy::{Event, member::State};
use std::time::Duration;
use strum::{Display, IntoStaticStr};
use tokio::{sync::watch, time};

/// Phase of a daemon's graceful shutdown, in this order.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The daemon is listed in the directory and accepts requests.
    Serving,
    /// The daemon is no longer listed, but still accepts requests from callers that cached an older
    /// directory answer.
    Draining,
    /// New requests are refused while those in flight complete.
    Finishing,
    /// No request is in flight and no settlement is pending.
    #[strum(serialize = "left")]
    Drained,
}

/// Time between two checks for work in flight.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time until all other daemons know that this one is leaving.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Time limit for deleting the daemon's row and notifying the peers at the end.
const DEREGISTRATION_TIMEOUT: Duration = Duration::from_millis(500);

impl Daemon {
    /// Starts a graceful shutdown.
    ///
    /// The daemon is removed from the directory immediately, accepts requests until cached directory
    /// answers have expired, and then completes those in flight.
    ///
    /// Returns `true` on the first call; further calls only log the requests still in flight.
    pub fn drain(&self) -> bool {
        let phase = &self.shared.phase;
        let began = phase.send_if_modified(|phase| {
            let began = *phase == Phase::Serving;
            if began {
                *phase = Phase::Draining;
            }
            began
        });
        if began {
            tracing::info!("draining");
            self.links().set_state(State::Leaving);
            tokio::spawn(finish_drain(self.clone()));
        } else {
            self.log_in_flight();
        }
        began
    }

    /// Returns a receiver of the current phase, which is notified of each change.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.shared.phase.subscribe()
    }

    /// Waits until the daemon is in [`Phase::Drained`].
    pub async fn drained(&self) {
        let mut phase = self.phase();
        // Cannot fail: this handle keeps the sender alive.
        let _ = phase.wait_for(|phase| *phase == Phase::Drained).await;
    }

    fn log_in_flight(&self) {
        let state = self.state();
        let requests: Vec<_> = state
            .open_requests
            .keys()
            .map(ToString::to_string)
            .collect();
        let in_flight = state.core.in_flight();
        drop(state);
        let requests = requests.join(" ");
        let unsettled = self.unsettled();
        tracing::info!(in_flight, unsettled, requests, "still in flight");
    }

    fn is_idle(&self) -> bool {
        self.in_flight() == 0 && self.unsettled() == 0
    }
}

/// Runs the phases after [`Phase::Draining`].
async fn finish_drain(daemon: Daemon) {
    let ttl = daemon.settings().entry.directory_ttl;
    time::sleep(ttl + PROPAGATION_TIME).await;
    daemon.shared.phase.send_replace(Phase::Finishing);
    daemon.handle(Event::Drain);
    tracing::info!("finishing");
    while !daemon.is_idle() {
        time::sleep(IDLE_POLL_INTERVAL).await;
    }
    daemon.links().set_state(State::Left);
    // The links send the new state to the peers within the same time.
    let _ = time::timeout(DEREGISTRATION_TIMEOUT, daemon.deregister()).await;
    daemon.shared.phase.send_replace(Phase::Drained);
}
