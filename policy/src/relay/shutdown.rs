//! When a daemon that shuts down ends what, and which requests it still sends to a target.
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

/// Time until new requests are rejected. The users' rules excuse an interrupted stream only if its request
/// was sent within 3 s of the signal.
const CLOSE_DELAY: Duration = Duration::from_millis(2_800);
/// Time before the end of the grace period at which the process exits even if responses are still being
/// read.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time before the process exits at which requests without a response are given up, so that their callers
/// are told.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Time before the end of the grace period until which the process stays if requests that it has given up
/// are not answered yet, because it got too little processor time.
const LATE_EXIT_MARGIN: Duration = Duration::from_millis(150);
/// Fraction of the grace period that either margin takes at most. The users' rules excuse interruptions in
/// the last sixth only.
const MAX_MARGIN: u32 = 14;

/// When a daemon that shuts down ends what; all times are since the signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timetable {
    /// New requests are rejected from here on.
    pub close: Duration,
    /// Requests without a response are given up.
    pub last_call: Duration,
    /// The process exits, unless it owes a response.
    pub exit: Duration,
    /// The process exits.
    pub latest_exit: Duration,
}

/// Durations of the latest runs of each route, from the send of a request to the end of its response.
#[derive(Clone, Debug, Default)]
pub struct RunTimes(HashMap<CompactString, VecDeque<Duration>>);

impl Timetable {
    /// Returns the times for a grace period, at whose end the process is killed.
    pub fn new(grace_period: Duration) -> Self {
        let max_margin = grace_period / MAX_MARGIN;
        let exit = grace_period.saturating_sub(EXIT_MARGIN.min(max_margin));
        Self {
            close: CLOSE_DELAY.min(grace_period / 2),
            last_call: exit.saturating_sub(ANSWER_MARGIN.min(max_margin)),
            exit,
            latest_exit: grace_period.saturating_sub(LATE_EXIT_MARGIN).max(exit),
        }
    }
}

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
