//! What a router knows of one target.

use crate::{
    fault::Fault,
    host::{Host, Report, State},
    id::{AttemptId, Time},
    limit::Limit,
    pool::{Kind, Pool},
    router::{
        CallResult, Member,
        health::{Access, Health},
    },
    table,
};
use std::{collections::VecDeque, time::Duration};

/// Weight of one call in the averages of a target.
const GAIN: f64 = 0.3;

/// Time in which a stretched service time fades to the e-th part when no call refreshes it.
const STRETCH_FADE: Duration = Duration::from_secs(15);

/// Age up to which a report decides whether a target has room.
const FRESH: Duration = Duration::from_secs(1);

/// Share of its width by which a target may be overbooked, so that it never idles between reports.
const OVERBOOKING: f64 = 0.25;

/// Stretch of the service time, over that of the pool, that shows a wait at the target.
const TOLERANCE: f64 = 2.0;

/// Share of the mean service time that a call may wait for its first part.
const LONG_WAIT: f64 = 0.25;

/// Tokens from which the rate of a stream can be told.
const FEW_TOKENS: u32 = 4;

/// Time without enough tokens after which the rate of a stream can be told all the same, in
/// seconds.
const LONG_GAP: f64 = 0.5;

/// Longest stretch of a service time that is told apart.
const MAX_STRETCH: f64 = 100.0;

/// What a router knows of one target.
#[derive(Debug)]
pub(super) struct Target {
    pub host: Host,
    /// Whether the target is on the host list.
    pub listed: bool,
    pub weight: f64,
    pub ceiling: Option<u32>,
    pub in_flight: u32,
    pub limit: Limit,
    pub health: Health,
    pub report: Report,
    /// When the figures of the last report were true.
    pub reported_at: Option<Time>,
    /// When the last report came.
    pub heard_at: Option<Time>,
    others: f64,
    stretch: Option<f64>,
    stretch_at: Time,
    calls: VecDeque<Started>,
    exclusive: Option<AttemptId>,
}

/// End of one call.
#[derive(Clone, Copy, Debug)]
pub(super) struct End {
    /// How much longer than expected the call took.
    pub stretch: f64,
    /// The same figure for the whole pool.
    pub usual: f64,
    /// Whether the wait at the target was told by the time to the first part.
    pub waited: bool,
    pub result: CallResult,
}

#[derive(Clone, Copy, Debug)]
struct Started {
    attempt: AttemptId,
    at: Time,
    expected: Option<Expected>,
    tokens: u32,
    first: Option<Time>,
}

/// What is expected of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    /// Seconds until a place is free.
    pub wait: f64,
    /// Seconds in which an engine reads the prompt; 0 for a plain service.
    pub prefill: f64,
    /// Seconds of the rest.
    pub service: f64,
    /// Tokens a second of an engine that reported its rates, else 0.
    pub rate: f64,
}

impl Target {
    pub fn new(now: Time, host: Host) -> Self {
        Self {
            host,
            listed: true,
            weight: 1.0,
            ceiling: None,
            in_flight: 0,
            limit: Limit::new(),
            health: Health::default(),
            report: Report::default(),
            reported_at: None,
            heard_at: None,
            others: 0.0,
            stretch: None,
            stretch_at: now,
            calls: VecDeque::new(),
            exclusive: None,
        }
    }

    pub fn relist(&mut self, host: &Host) {
        if self.host != *host {
            self.host = host.clone();
        }
        self.listed = true;
    }

    pub fn set_row(&mut self, row: Option<&table::Target>) {
        self.weight = row.map_or(1.0, |row| row.weight);
        self.ceiling = row.and_then(|row| row.ceiling);
        self.limit.set_ceiling(self.ceiling);
    }

    pub fn report(&mut self, now: Time, report: &Report, idempotent: bool) {
        self.report.clone_from(report);
        self.reported_at = Some(now.saturating_sub(report.age));
        self.heard_at = Some(now);
        let load = report.running.saturating_add(report.waiting);
        self.others = f64::from(load.saturating_sub(self.in_flight));
        self.limit.set_width(report.width);
        if self.health.reported(now, idempotent) {
            self.limit.restart();
        }
    }

    /// Returns the load by other entries, as of the last report.
    pub const fn others_reported(&self) -> f64 {
        self.others
    }

    /// Returns the age of the last report's figures.
    pub fn report_age(&self, now: Time) -> Option<Duration> {
        self.reported_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the calls at the target now.
    ///
    /// The load that other entries cause drifts from the last report's to the mean of the pool as
    /// the report ages.
    pub fn load(&self, now: Time, pool: &Member) -> f64 {
        let usual = pool.usual_others();
        let age = self.report_age(now).unwrap_or(Duration::MAX);
        let kept = (-age.as_secs_f64() / pool.fade()).exp();
        f64::from(self.in_flight) + usual + (self.others - usual) * kept
    }

    /// Returns whether the target takes new calls of its pool at all.
    pub fn is_offered(&self, pool: &Pool) -> bool {
        self.listed && self.host.state == State::Live && self.weight > 0.0 && self.is_warm(pool)
    }

    /// Returns whether there is room for one more call.
    pub fn has_room(&self, now: Time, pool: &Member, exclusive: bool) -> bool {
        let most = match self.access(now) {
            Access::Closed => 0,
            Access::Probe => 1,
            Access::Open if exclusive => 1,
            Access::Open => self.limit.get(),
        };
        self.exclusive.is_none() && self.in_flight < most && self.has_place(now, pool)
    }

    /// Returns what the target may be given now.
    pub fn access(&self, now: Time) -> Access {
        self.health.access(now, self.heard_at.is_some())
    }

    /// Returns the places that the target has, as far as is known.
    pub fn places(&self) -> f64 {
        f64::from(match self.report.width {
            0 => self.limit.get(),
            width => width,
        })
    }

    /// Returns the calls that the target takes at once from this entry, beside those of others.
    pub fn free_width(&self) -> u32 {
        let free = (self.places() - self.others).max(1.0);
        self.limit.get().min(free as u32)
    }

    /// Returns how much longer than expected the target's calls take.
    ///
    /// What is known fades to `usual`, the figure of the whole pool.
    pub fn stretch(&self, now: Time, usual: f64) -> f64 {
        let age = now.saturating_sub(self.stretch_at).as_secs_f64();
        let faded = usual
            + (self.stretch.unwrap_or(usual) - usual) * (-age / STRETCH_FADE.as_secs_f64()).exp();
        let oldest = self.calls.front().map_or(0.0, |call| call.stretch(now));
        faded.max(oldest).min(MAX_STRETCH)
    }

    pub fn started(
        &mut self,
        now: Time,
        attempt: AttemptId,
        expected: Option<Expected>,
        exclusive: bool,
    ) {
        self.in_flight += 1;
        self.calls.push_back(Started {
            attempt,
            at: now,
            expected,
            tokens: 0,
            first: None,
        });
        if exclusive {
            self.exclusive = Some(attempt);
        }
    }

    /// Notes tokens of a call.
    pub fn progressed(&mut self, now: Time, attempt: AttemptId, tokens: u32) {
        let call = self.calls.iter_mut().find(|call| call.attempt == attempt);
        if let Some(call) = call {
            call.tokens = call.tokens.saturating_add(tokens);
            call.first.get_or_insert(now);
        }
    }

    /// Returns the seconds by which the first part of some call is late, which a new call would
    /// wait too.
    pub fn lateness(&self, now: Time) -> f64 {
        let late = self.calls.iter().map(|call| call.lateness(now));
        late.fold(0.0, f64::max)
    }

    /// Notes the end of a call, and returns whether that ejects the target.
    pub fn ended(&mut self, now: Time, attempt: AttemptId, end: &End) -> bool {
        let End {
            stretch,
            usual,
            result,
            ..
        } = *end;
        let in_flight = self.in_flight;
        self.remove(attempt);
        match result {
            CallResult::Succeeded => {
                self.set_stretch(now, stretch, usual);
                if !end.waited {
                    self.set_limit(now, stretch > usual * TOLERANCE, in_flight);
                }
                if self.health.succeeded() {
                    self.limit.restart();
                }
                false
            }
            CallResult::Failed(Fault::Busy { .. }) => {
                self.limit.back_off(now);
                false
            }
            CallResult::Failed(Fault::Rejected) => false,
            CallResult::Failed(fault) => self.health.failed(now, fault),
            CallResult::Cancelled => {
                if stretch > self.stretch(now, usual) {
                    self.set_stretch(now, stretch, usual);
                }
                false
            }
        }
    }

    /// Takes in how long a call waited at the target, where calls take `mean` seconds.
    pub fn waited(&mut self, now: Time, seconds: f64, mean: Option<f64>) {
        if let Some(mean) = mean {
            let in_flight = self.in_flight;
            self.set_limit(now, seconds > mean * LONG_WAIT, in_flight);
        }
    }

    fn set_limit(&mut self, now: Time, full: bool, in_flight: u32) {
        if full {
            self.limit.shrink(now);
        } else {
            self.limit.grow(in_flight);
        }
    }

    fn is_warm(&self, pool: &Pool) -> bool {
        pool.kind == Kind::Service
            || pool.model.is_empty()
            || self.heard_at.is_none()
            || self.report.models.contains(&pool.model)
    }

    fn has_place(&self, now: Time, pool: &Member) -> bool {
        let load = self.load(now, pool);
        if self
            .ceiling
            .is_some_and(|ceiling| load >= f64::from(ceiling))
        {
            return false;
        }
        let fresh = self.report_age(now).is_some_and(|age| age < FRESH);
        let width = f64::from(self.report.width);
        !fresh || width == 0.0 || load < width + (width * OVERBOOKING).max(1.0)
    }

    fn set_stretch(&mut self, now: Time, sample: f64, usual: f64) {
        let known = self.stretch(now, usual);
        self.stretch = Some(known + GAIN * (sample - known));
        self.stretch_at = now;
    }

    fn remove(&mut self, attempt: AttemptId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(at) = self.calls.iter().position(|call| call.attempt == attempt) {
            self.calls.remove(at);
        }
        if self.exclusive == Some(attempt) {
            self.exclusive = None;
        }
    }
}

impl Expected {
    /// Returns whether the tokens of the call come one by one at a known rate.
    pub fn is_streamed(&self) -> bool {
        self.rate > 0.0
    }

    /// Returns the seconds of the whole call.
    pub fn seconds(&self) -> f64 {
        self.wait + self.prefill + self.service
    }

    /// Returns how much longer than expected a call has taken that began at `started`.
    ///
    /// Of a stream only the time from its `first` token counts, which neither the length of the
    /// answer nor a wait for a place changes. `None` if there are too few tokens.
    pub fn stretch(
        &self,
        now: Time,
        started: Time,
        first: Option<Time>,
        tokens: u32,
    ) -> Option<f64> {
        let seconds = |from: Time| now.saturating_sub(from).as_secs_f64();
        let stretch = match first {
            Some(first) if self.is_streamed() => {
                let usual = f64::from(tokens) / self.rate;
                (tokens >= FEW_TOKENS || seconds(first) > LONG_GAP).then(|| seconds(first) / usual)
            }
            None if self.is_streamed() => None,
            _ => Some(seconds(started) / self.seconds()),
        };
        stretch.map(|stretch| stretch.min(MAX_STRETCH))
    }
}

impl Started {
    /// Returns how much longer than expected the call has taken, 0 while that can't be told.
    fn stretch(&self, now: Time) -> f64 {
        self.expected
            .and_then(|expected| expected.stretch(now, self.at, self.first, self.tokens))
            .unwrap_or(0.0)
    }

    /// Returns the seconds by which the first part of the call is late.
    fn lateness(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        match self.expected {
            Some(expected) if self.tokens == 0 && expected.is_streamed() => {
                (age - expected.wait - expected.prefill).max(0.0)
            }
            _ => 0.0,
        }
    }
}
