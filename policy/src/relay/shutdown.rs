//! Requests that a daemon that shuts down still sends to a target.
//!
//! A request that must not be repeated is lost if the process ends during its run. Its own deadline may
//! end it before that. Otherwise it is sent only if the latest requests of its route would have ended in
//! the time that is left, so that its caller can go to another daemon while nothing has run.

use crate::id::Time;
use compact_str::CompactString;
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Number of runs of a route that are remembered.
const MAX_RUNS: usize = 32;
/// Number of routes beyond which all runs are forgotten; more than a configuration has.
const MAX_ROUTES: usize = 10_000;

/// Durations of the latest runs of each route, from the send of a request to the end of its response.
#[derive(Clone, Debug, Default)]
pub struct RunTimes(HashMap<CompactString, VecDeque<Duration>>);

impl RunTimes {
    /// Records a run. One that was not completed has lasted for `duration` at least.
    pub fn record(&mut self, route: &str, duration: Duration, is_complete: bool) {
        let is_longest = self
            .longest(route)
            .is_some_and(|longest| duration > longest);
        if !is_complete && !is_longest {
            return;
        }
        if self.0.len() >= MAX_ROUTES && !self.0.contains_key(route) {
            self.0.clear();
        }
        let runs = self.0.entry(route.into()).or_default();
        if runs.len() == MAX_RUNS {
            runs.pop_front();
        }
        runs.push_back(duration);
    }

    /// Returns until when a request that must not be repeated and ends at `deadline` may be sent by a
    /// daemon that gives requests up at `last_call`; `None` if at any time. What is not known to end in
    /// time is not sent.
    pub fn latest_send(&self, route: &str, deadline: Time, last_call: Time) -> Option<Time> {
        if deadline <= last_call {
            return None;
        }
        let longest = self.longest(route);
        Some(longest.map_or(Time::ZERO, |longest| last_call.saturating_sub(longest)))
    }

    fn longest(&self, route: &str) -> Option<Duration> {
        self.0.get(route)?.iter().max().copied()
    }
}
