//! The way of a daemon out of service.

use super::Daemon;
use policy::{Event, member::State};
use std::time::Duration;
use strum::{Display, IntoStaticStr};
use tokio::{sync::watch, time};

/// How far a daemon is on its way out of service.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The directory names the daemon.
    Serving,
    /// The directory names it no more; callers that hold older answers are served.
    Draining,
    /// New requests are refused; what is in flight is finished.
    Finishing,
    /// Nothing is in flight.
    #[strum(serialize = "left")]
    Drained,
}

/// Time between two looks at what is in flight.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that other daemons take at most to learn that this one leaves.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Time for the last words to the peers and the platform.
const DEREGISTRATION_TIMEOUT: Duration = Duration::from_millis(500);

impl Daemon {
    /// Begins to leave: the directory stops naming the daemon, callers are served for the time
    /// that they may keep a directory answer, and what is in flight is finished.
    ///
    /// Returns whether this began it; a further call logs what is still in flight.
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

    /// Returns how far the daemon is on its way out of service.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.shared.phase.subscribe()
    }

    /// Waits until the daemon has left.
    pub async fn drained(&self) {
        let mut phase = self.phase();
        // The sender lives as long as this handle.
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
    // Peers learn it over open links within the same time.
    let _ = time::timeout(DEREGISTRATION_TIMEOUT, daemon.deregister()).await;
    daemon.shared.phase.send_replace(Phase::Drained);
}
