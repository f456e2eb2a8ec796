//! What a replayed day brings.

use super::REQUESTS_PER_SECOND;
use policy::id::Time;

/// What comes when.
#[derive(Clone, Debug)]
pub struct Workload {
    pub(super) burst: Option<(usize, f64, f64, f64)>,
    pub(super) deaths: Option<(f64, f64)>,
    pub(super) slow: Option<(f64, f64)>,
    pub(super) scheduler_loss: Option<f64>,
}

impl Workload {
    /// Creates the mean load of a site.
    pub fn typical_site() -> Self {
        Self {
            burst: None,
            deaths: None,
            slow: None,
            scheduler_loss: None,
        }
    }

    /// Sets a burst of `times` the rate of one kind, from `begin` to `end` in seconds.
    pub fn with_burst(mut self, kind: usize, factor: f64, begin: f64, end: f64) -> Self {
        self.burst = Some((kind, factor, begin, end));
        self
    }

    /// Sets that a target of each pool is dead from `begin` to `end` in seconds.
    pub fn with_deaths(mut self, begin: f64, end: f64) -> Self {
        self.deaths = Some((begin, end));
        self
    }

    /// Sets that a target of the second pool takes `times` as long from `begin` on.
    pub fn with_slow_target(mut self, factor: f64, begin: f64) -> Self {
        self.slow = Some((factor, begin));
        self
    }

    /// Sets that the board is lost at `at` in seconds, with all that it knew.
    pub fn with_scheduler_loss(mut self, at: f64) -> Self {
        self.scheduler_loss = Some(at);
        self
    }

    /// Returns the requests a second of a kind at a time.
    pub(super) fn rate(&self, kind: usize, at: Time) -> f64 {
        let at = at.as_secs_f64();
        match self.burst {
            Some((of, factor, begin, end)) if of == kind && (begin..end).contains(&at) => {
                REQUESTS_PER_SECOND[kind] * factor
            }
            _ => REQUESTS_PER_SECOND[kind],
        }
    }
}
