//! What a router knows of one target.

use crate::{
    fault::Fault,
    host::{Host, Report, State},
    id::{AttemptId, Time},
    limit::Limit,
    pool::{Kind, Pool},
    router::{
        CallResult, PoolState,
        health::{Availability, Health},
    },
    table,
};
use std::{collections::VecDeque, time::Duration};

/// Weight of one call in the averages of a target.
const SLOWDOWN_GAIN: f64 = 0.3;

/// Time in which a stretched service time fades to the e-th part when no call refreshes it.
const SLOWDOWN_DECAY: Duration = Duration::from_secs(15);

/// Age up to which a report decides whether a target has room.
const FRESH_REPORT_AGE: Duration = Duration::from_secs(1);

/// Share of its width by which a target may be overbooked, so that it never idles between reports.
const OVERCOMMIT: f64 = 0.25;

/// Stretch of the service time, over that of the pool, that shows a wait at the target.
const QUEUED_SLOWDOWN_RATIO: f64 = 2.0;

/// Share of the mean service time that a call may wait for its first part.
const QUEUED_WAIT_RATIO: f64 = 0.25;

/// Tokens from which the rate of a stream can be told.
const MIN_RATE_TOKENS: u32 = 4;

/// Time without enough tokens after which the rate of a stream can be told all the same, in
/// seconds.
const MIN_RATE_SECONDS: f64 = 0.5;

/// Longest slowdown of a service time that is told apart.
const MAX_SLOWDOWN: f64 = 100.0;

/// What a router knows of one target.
#[derive(Debug)]
pub(super) struct TargetState {
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
    pub report_sampled_at: Option<Time>,
    /// When the last report came.
    pub report_received_at: Option<Time>,
    other_load: f64,
    slowdown: Option<f64>,
    slowdown_at: Time,
    calls: VecDeque<ActiveCall>,
    exclusive: Option<AttemptId>,
}

/// CallEnd of one call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallEnd {
    /// How much longer than expected the call took.
    pub slowdown: f64,
    /// The same figure for the whole pool.
    pub mean_slowdown: f64,
    /// Whether the wait at the target was told by the time to the first part.
    pub wait_recorded: bool,
    pub result: CallResult,
}

#[derive(Clone, Copy, Debug)]
struct ActiveCall {
    attempt: AttemptId,
    started: Time,
    estimate: Option<Estimate>,
    tokens: u32,
    first_part_at: Option<Time>,
}

/// What is expected of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Seconds until a place is free.
    pub wait: f64,
    /// Seconds in which an engine reads the prompt; 0 for a plain service.
    pub prefill: f64,
    /// Seconds of the rest.
    pub service: f64,
    /// Tokens a second of an engine that reported its rates, else 0.
    pub token_rate: f64,
}

impl TargetState {
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
            report_sampled_at: None,
            report_received_at: None,
            other_load: 0.0,
            slowdown: None,
            slowdown_at: now,
            calls: VecDeque::new(),
            exclusive: None,
        }
    }

    pub fn update_host(&mut self, host: &Host) {
        if self.host != *host {
            self.host = host.clone();
        }
        self.listed = true;
    }

    pub fn set_table_row(&mut self, row: Option<&table::Target>) {
        self.weight = row.map_or(1.0, |row| row.weight);
        self.ceiling = row.and_then(|row| row.ceiling);
        self.limit.set_ceiling(self.ceiling);
    }

    pub fn record_report(&mut self, now: Time, report: &Report, idempotent: bool) {
        self.report.clone_from(report);
        self.report_sampled_at = Some(now.saturating_sub(report.age));
        self.report_received_at = Some(now);
        let load = report.running.saturating_add(report.waiting);
        self.other_load = f64::from(load.saturating_sub(self.in_flight));
        self.limit.set_width(report.width);
        if self.health.record_report(now, idempotent) {
            self.limit.restart();
        }
    }

    /// Returns the load by other entries, as of the last report.
    pub const fn reported_other_load(&self) -> f64 {
        self.other_load
    }

    /// Returns the age of the last report's figures.
    pub fn report_age(&self, now: Time) -> Option<Duration> {
        self.report_sampled_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the calls at the target now.
    ///
    /// The load that other entries cause drifts from the last report's to the mean of the pool as
    /// the report ages.
    pub fn load(&self, now: Time, pool: &PoolState) -> f64 {
        let mean = pool.mean_other_load();
        let age = self.report_age(now).unwrap_or(Duration::MAX);
        let kept = (-age.as_secs_f64() / pool.load_decay_seconds()).exp();
        f64::from(self.in_flight) + mean + (self.other_load - mean) * kept
    }

    /// Returns whether the target takes new calls of its pool at all.
    pub fn accepts_calls(&self, pool: &Pool) -> bool {
        self.listed && self.host.state == State::Live && self.weight > 0.0 && self.has_model(pool)
    }

    /// Returns whether there is room for one more call.
    pub fn can_accept(&self, now: Time, pool: &PoolState, exclusive: bool) -> bool {
        let limit = match self.availability(now) {
            Availability::Ejected => 0,
            Availability::Probe => 1,
            Availability::Available if exclusive => 1,
            Availability::Available => self.limit.get(),
        };
        self.exclusive.is_none() && self.in_flight < limit && self.has_free_slot(now, pool)
    }

    /// Returns what the target may be given now.
    pub fn availability(&self, now: Time) -> Availability {
        self.health
            .availability(now, self.report_received_at.is_some())
    }

    /// Returns the capacity that the target has, as far as is known.
    pub fn capacity(&self) -> f64 {
        f64::from(match self.report.width {
            0 => self.limit.get(),
            width => width,
        })
    }

    /// Returns the calls that the target takes at once from this entry, beside those of others.
    pub fn available_capacity(&self) -> u32 {
        let free = (self.capacity() - self.other_load).max(1.0);
        self.limit.get().min(free as u32)
    }

    /// Returns how much longer than expected the target's calls take.
    ///
    /// What is known fades to `usual`, the figure of the whole pool.
    pub fn slowdown(&self, now: Time, mean_slowdown: f64) -> f64 {
        let age = now.saturating_sub(self.slowdown_at).as_secs_f64();
        let faded = mean_slowdown
            + (self.slowdown.unwrap_or(mean_slowdown) - mean_slowdown)
                * (-age / SLOWDOWN_DECAY.as_secs_f64()).exp();
        let oldest = self.calls.front().map_or(0.0, |call| call.slowdown(now));
        faded.max(oldest).min(MAX_SLOWDOWN)
    }

    pub fn record_start(
        &mut self,
        now: Time,
        attempt: AttemptId,
        estimate: Option<Estimate>,
        exclusive: bool,
    ) {
        self.in_flight += 1;
        self.calls.push_back(ActiveCall {
            attempt,
            started: now,
            estimate,
            tokens: 0,
            first_part_at: None,
        });
        if exclusive {
            self.exclusive = Some(attempt);
        }
    }

    /// Notes tokens of a call.
    pub fn record_progress(&mut self, now: Time, attempt: AttemptId, tokens: u32) {
        let call = self.calls.iter_mut().find(|call| call.attempt == attempt);
        if let Some(call) = call {
            call.tokens = call.tokens.saturating_add(tokens);
            call.first_part_at.get_or_insert(now);
        }
    }

    /// Returns the seconds by which the first part of some call is late, which a new call would
    /// wait too.
    pub fn first_part_delay(&self, now: Time) -> f64 {
        let late = self.calls.iter().map(|call| call.first_part_delay(now));
        late.fold(0.0, f64::max)
    }

    /// Notes the end of a call, and returns whether that ejects the target.
    pub fn record_end(&mut self, now: Time, attempt: AttemptId, end: &CallEnd) -> bool {
        let CallEnd {
            slowdown,
            mean_slowdown,
            result,
            ..
        } = *end;
        let in_flight = self.in_flight;
        self.remove(attempt);
        match result {
            CallResult::Succeeded => {
                self.record_slowdown(now, slowdown, mean_slowdown);
                if !end.wait_recorded {
                    self.adjust_limit(
                        now,
                        slowdown > mean_slowdown * QUEUED_SLOWDOWN_RATIO,
                        in_flight,
                    );
                }
                if self.health.record_success() {
                    self.limit.restart();
                }
                false
            }
            CallResult::Failed(Fault::Busy { .. }) => {
                self.limit.back_off(now);
                false
            }
            CallResult::Failed(Fault::Rejected) => false,
            CallResult::Failed(fault) => self.health.record_failure(now, fault),
            CallResult::Cancelled => {
                if slowdown > self.slowdown(now, mean_slowdown) {
                    self.record_slowdown(now, slowdown, mean_slowdown);
                }
                false
            }
        }
    }

    /// Takes in how long a call waited at the target, where calls take `mean` seconds.
    pub fn record_wait(&mut self, now: Time, seconds: f64, mean: Option<f64>) {
        if let Some(mean) = mean {
            let in_flight = self.in_flight;
            self.adjust_limit(now, seconds > mean * QUEUED_WAIT_RATIO, in_flight);
        }
    }

    fn adjust_limit(&mut self, now: Time, is_queued: bool, in_flight: u32) {
        if is_queued {
            self.limit.shrink(now);
        } else {
            self.limit.grow(in_flight);
        }
    }

    fn has_model(&self, pool: &Pool) -> bool {
        pool.kind == Kind::Service
            || pool.model.is_empty()
            || self.report_received_at.is_none()
            || self.report.models.contains(&pool.model)
    }

    fn has_free_slot(&self, now: Time, pool: &PoolState) -> bool {
        let load = self.load(now, pool);
        if self
            .ceiling
            .is_some_and(|ceiling| load >= f64::from(ceiling))
        {
            return false;
        }
        let fresh = self
            .report_age(now)
            .is_some_and(|age| age < FRESH_REPORT_AGE);
        let width = f64::from(self.report.width);
        !fresh || width == 0.0 || load < width + (width * OVERCOMMIT).max(1.0)
    }

    fn record_slowdown(&mut self, now: Time, sample: f64, mean_slowdown: f64) {
        let known = self.slowdown(now, mean_slowdown);
        self.slowdown = Some(known + SLOWDOWN_GAIN * (sample - known));
        self.slowdown_at = now;
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

impl Estimate {
    /// Returns whether the tokens of the call come one by one at a known rate.
    pub fn is_streamed(&self) -> bool {
        self.token_rate > 0.0
    }

    /// Returns the seconds of the whole call.
    pub fn seconds(&self) -> f64 {
        self.wait + self.prefill + self.service
    }

    /// Returns how much longer than expected a call has taken that began at `started`.
    ///
    /// Of a stream only the time from its `first` token counts, which neither the length of the
    /// answer nor a wait for a place changes. `None` if there are too few tokens.
    pub fn slowdown(
        &self,
        now: Time,
        started: Time,
        first_part_at: Option<Time>,
        tokens: u32,
    ) -> Option<f64> {
        let seconds = |from: Time| now.saturating_sub(from).as_secs_f64();
        let slowdown = match first_part_at {
            Some(first) if self.is_streamed() => {
                let estimated = f64::from(tokens) / self.token_rate;
                (tokens >= MIN_RATE_TOKENS || seconds(first) > MIN_RATE_SECONDS)
                    .then(|| seconds(first) / estimated)
            }
            None if self.is_streamed() => None,
            _ => Some(seconds(started) / self.seconds()),
        };
        slowdown.map(|slowdown| slowdown.min(MAX_SLOWDOWN))
    }
}

impl ActiveCall {
    /// Returns how much longer than expected the call has taken, 0 while that can't be told.
    fn slowdown(&self, now: Time) -> f64 {
        self.estimate
            .and_then(|estimate| {
                estimate.slowdown(now, self.started, self.first_part_at, self.tokens)
            })
            .unwrap_or(0.0)
    }

    /// Returns the seconds by which the first part of the call is late.
    fn first_part_delay(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.started).as_secs_f64();
        match self.estimate {
            Some(estimate) if self.tokens == 0 && estimate.is_streamed() => {
                (age - estimate.wait - estimate.prefill).max(0.0)
            }
            _ => 0.0,
        }
    }
}
