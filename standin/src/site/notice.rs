//! What a fake engine says in its answers about further requests, and the requests that arrive.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// A request, stage call or release of results that arrived at an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Value of the `godwithinge-attempt-id` header; empty for stage calls and releases.
    pub id: String,
    /// Request target: path and query.
    pub path: String,
    /// When it arrived.
    pub at: Instant,
    /// Pause that the engine asked for when it turned the request away.
    pub pause: Option<Duration>,
    /// Whether the answer said that the engine leaves.
    pub said_leaving: bool,
    /// Requests a second that the engine takes, as the answer said.
    pub rate: Option<f64>,
}

/// Notices of an engine.
#[derive(Debug, Default)]
pub(super) struct Notices(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    is_leaving: bool,
    pause: Option<Duration>,
    rate: Option<f64>,
    cold_until: Option<Instant>,
    arrivals: Vec<Arrival>,
}

impl Notices {
    pub fn set_leaving(&self, is_leaving: bool) {
        self.state().is_leaving = is_leaving;
    }

    pub fn set_pause(&self, pause: Option<Duration>) {
        self.state().pause = pause;
    }

    pub fn set_rate(&self, rate: Option<f64>) {
        self.state().rate = rate;
    }

    pub fn rate(&self) -> Option<f64> {
        self.state().rate
    }

    pub fn set_cold_until(&self, until: Instant) {
        self.state().cold_until = Some(until);
    }

    /// Returns the time for which the engine is still cold, if it is.
    pub fn cold_for(&self) -> Option<Duration> {
        self.state()
            .cold_until?
            .checked_duration_since(Instant::now())
    }

    pub fn is_leaving(&self) -> bool {
        self.state().is_leaving
    }

    /// Records a request, and returns the pause to ask for if it is to be turned away.
    pub fn record(&self, id: &str, path: &str) -> Option<Duration> {
        let mut state = self.state();
        let arrival = Arrival {
            id: id.into(),
            path: path.into(),
            at: Instant::now(),
            pause: state.pause,
            said_leaving: state.is_leaving,
            rate: state.rate,
        };
        state.arrivals.push(arrival);
        state.pause
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
