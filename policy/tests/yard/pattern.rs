//! What a replayed day brings.

use super::RATES;
use policy::id::Time;

/// What comes when.
#[derive(Clone, Debug)]
pub struct Pattern {
    pub(super) burst: Option<(usize, f64, f64, f64)>,
    pub(super) deaths: Option<(f64, f64)>,
    pub(super) slow: Option<(f64, f64)>,
    pub(super) lost: Option<f64>,
}

impl Pattern {
    /// Creates the mean load of a site.
    pub fn of_site() -> Self {
        Self {
            burst: None,
            deaths: None,
            slow: None,
            lost: None,
        }
    }

    /// Sets a burst of `times` the rate of one kind, from `begin` to `end` in seconds.
    pub fn with_burst(mut self, kind: usize, times: f64, begin: f64, end: f64) -> Self {
        self.burst = Some((kind, times, begin, end));
        self
    }

    /// Sets that a target of each pool is dead from `begin` to `end` in seconds.
    pub fn with_deaths(mut self, begin: f64, end: f64) -> Self {
        self.deaths = Some((begin, end));
        self
    }

    /// Sets that a target of the second pool takes `times` as long from `begin` on.
    pub fn with_slow_target(mut self, times: f64, begin: f64) -> Self {
        self.slow = Some((times, begin));
        self
    }

    /// Sets that the board is lost at `at` in seconds, with all that it knew.
    pub fn with_lost_board(mut self, at: f64) -> Self {
        self.lost = Some(at);
        self
    }

    /// Returns the requests a second of a kind at a time.
    pub(super) fn rate(&self, kind: usize, at: Time) -> f64 {
        let at = at.as_secs_f64();
        match self.burst {
            Some((of, times, begin, end)) if of == kind && (begin..end).contains(&at) => {
                RATES[kind] * times
            }
            _ => RATES[kind],
        }
    }
}
