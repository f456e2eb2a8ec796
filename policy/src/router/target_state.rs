//! State and measurements of one target.

use crate::{
    fault::Fault,
    host::{Host, Report, State},
    id::{AttemptId, Time},
    limit::ConcurrencyLimit,
    pool::{Kind, Pool},
    router::{
        CallResult, PoolState,
        health::{Availability, Health},
    },
    table,
};
use std::{collections::VecDeque, time::Duration};

/// Weight of one call in the moving average of a target's slowdown.
const SLOWDOWN_GAIN: f64 = 0.3;

/// Time constant with which a target's slowdown decays to the pool's mean without new samples.
const SLOWDOWN_DECAY: Duration = Duration::from_secs(15);

/// Age up to which a report is used to decide whether a target is at capacity.
const FRESH_REPORT_AGE: Duration = Duration::from_secs(1);

/// Share of its width by which a target may be overcommitted, so that it is not idle between
/// reports.
const OVERCOMMIT: f64 = 0.25;

/// Ratio of a call's slowdown to the pool's mean above which the call is taken to have queued.
const QUEUED_SLOWDOWN_RATIO: f64 = 2.0;

/// Share of the mean call time above which a wait for the first part counts as queueing.
const QUEUED_WAIT_RATIO: f64 = 0.25;

/// Tokens needed to measure the rate of a stream.
const MIN_RATE_TOKENS: u32 = 4;

/// Time since the first token after which the rate is measured even from fewer tokens.
const MIN_RATE_SECONDS: f64 = 0.5;

/// Upper bound of measured slowdowns.
const MAX_SLOWDOWN: f64 = 100.0;

/// State and measurements of one target.
#[derive(Debug)]
pub(super) struct TargetState {
    pub host: Host,
    /// Whether the target is on the host list.
    pub listed: bool,
    pub weight: f64,
    pub ceiling: Option<u32>,
    pub in_flight: u32,
    pub limit: ConcurrencyLimit,
    pub health: Health,
    pub report: Report,
    /// When the values of the last report were measured.
    pub report_sampled_at: Option<Time>,
    pub report_received_at: Option<Time>,
    /// Calls of other entries at the target, as of the last report.
    other_load: f64,
    slowdown: Option<f64>,
    slowdown_at: Time,
    /// Calls in flight, the oldest first.
    calls: VecDeque<ActiveCall>,
    /// Call that must be the only one from this entry.
    exclusive: Option<AttemptId>,
}

/// Measurements at the end of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallEnd {
    /// Ratio of actual to estimated time of the call, or the pool's mean if unknown.
    pub slowdown: f64,
    /// Mean ratio of the pool.
    pub mean_slowdown: f64,
    /// Whether the limit was already adjusted by the time to the first part.
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

/// Estimated time of a call, by phase.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Queueing delay at the target, in seconds.
    pub wait: f64,
    /// Time in which an engine processes the uncached part of the prompt, in seconds; 0 for a plain
    /// service.
    pub prefill: f64,
    /// Remaining time, in seconds.
    pub service: f64,
    /// Generation rate that the engine reported, in tokens per second; 0 if unknown or not an
    /// engine.
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
            limit: ConcurrencyLimit::new(),
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
        self.limit.set_reported_concurrency(report.max_concurrency);
        if self.health.record_report(now, idempotent) {
            self.limit.restart_slowly();
        }
    }

    /// Returns the number of calls of other entries, as of the last report.
    pub const fn reported_other_load(&self) -> f64 {
        self.other_load
    }

    /// Returns the age of the values in the last report.
    pub fn report_age(&self, now: Time) -> Option<Duration> {
        self.report_sampled_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the estimated number of calls at the target.
    ///
    /// As the last report ages, the estimated load of other entries decays from the reported value
    /// to the mean of the pool.
    pub fn load(&self, now: Time, pool: &PoolState) -> f64 {
        let mean = pool.mean_other_load();
        let age = self.report_age(now).unwrap_or(Duration::MAX);
        let report_weight = (-age.as_secs_f64() / pool.load_decay_seconds()).exp();
        f64::from(self.in_flight) + mean + (self.other_load - mean) * report_weight
    }

    /// Returns whether the target takes new calls of its pool, regardless of its load and health.
    pub fn accepts_calls(&self, pool: &Pool) -> bool {
        self.listed && self.host.state == State::Live && self.weight > 0.0 && self.has_model(pool)
    }

    /// Returns whether the target can take one more call now.
    pub fn can_accept(&self, now: Time, pool: &PoolState, exclusive: bool) -> bool {
        let limit = match self.availability(now) {
            Availability::Ejected => 0,
            Availability::Probe => 1,
            Availability::Available if exclusive => 1,
            Availability::Available => self.limit.get(),
        };
        self.exclusive.is_none() && self.in_flight < limit && self.has_free_slot(now, pool)
    }

    pub fn availability(&self, now: Time) -> Availability {
        self.health
            .availability(now, self.report_received_at.is_some())
    }

    /// Returns the reported width, or the adaptive limit of this entry if there is none.
    pub fn capacity(&self) -> f64 {
        f64::from(match self.report.max_concurrency {
            0 => self.limit.get(),
            width => width,
        })
    }

    /// Returns how many concurrent calls this entry can send beside those of other entries.
    pub fn available_capacity(&self) -> u32 {
        let free = (self.capacity() - self.other_load).max(1.0);
        self.limit.get().min(free as u32)
    }

    /// Returns the ratio of actual to estimated call time at the target.
    ///
    /// Past samples decay to `mean_slowdown`, the mean of the pool. The oldest call in flight
    /// raises the ratio as soon as it exceeds the past samples.
    pub fn slowdown(&self, now: Time, mean_slowdown: f64) -> f64 {
        let age = now.saturating_sub(self.slowdown_at).as_secs_f64();
        let decayed = mean_slowdown
            + (self.slowdown.unwrap_or(mean_slowdown) - mean_slowdown)
                * (-age / SLOWDOWN_DECAY.as_secs_f64()).exp();
        let oldest = self.calls.front().map_or(0.0, |call| call.slowdown(now));
        decayed.max(oldest).min(MAX_SLOWDOWN)
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

    pub fn record_progress(&mut self, now: Time, attempt: AttemptId, tokens: u32) {
        let call = self.calls.iter_mut().find(|call| call.attempt == attempt);
        if let Some(call) = call {
            call.tokens = call.tokens.saturating_add(tokens);
            call.first_part_at.get_or_insert(now);
        }
    }

    /// Returns the longest time, in seconds, by which the first part of a call in flight is
    /// overdue.
    ///
    /// A new call is expected to be delayed as much.
    pub fn first_part_delay(&self, now: Time) -> f64 {
        let late = self.calls.iter().map(|call| call.first_part_delay(now));
        late.fold(0.0, f64::max)
    }

    /// Records the end of a call and returns whether it ejects the target.
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
                    self.limit.restart_slowly();
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

    /// Adjusts the limit by the time that a call queued at the target.
    ///
    /// `mean` is the mean call time of the pool in seconds; without it, nothing is adjusted.
    pub fn record_wait(&mut self, now: Time, seconds: f64, mean: Option<f64>) {
        if let Some(mean) = mean {
            let in_flight = self.in_flight;
            self.adjust_limit(now, seconds > mean * QUEUED_WAIT_RATIO, in_flight);
        }
    }

    fn adjust_limit(&mut self, now: Time, is_queued: bool, in_flight: u32) {
        if is_queued {
            self.limit.decrease(now);
        } else {
            self.limit.increase(in_flight);
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
        let is_fresh = self
            .report_age(now)
            .is_some_and(|age| age < FRESH_REPORT_AGE);
        let width = f64::from(self.report.max_concurrency);
        !is_fresh || width == 0.0 || load < width + (width * OVERCOMMIT).max(1.0)
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
    /// Returns whether the call streams tokens at a known rate.
    pub fn is_streamed(&self) -> bool {
        self.token_rate > 0.0
    }

    /// Returns the estimated time of the whole call.
    pub fn seconds(&self) -> f64 {
        self.wait + self.prefill + self.service
    }

    /// Returns the ratio of actual to estimated time of a call dispatched at `started`.
    ///
    /// For a stream, only the time since its first token counts, so that neither the length of the
    /// output nor queueing affects the ratio. `None` if there are too few tokens to measure it.
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
    /// Returns the ratio of elapsed to estimated time, or 0 if it is not known yet.
    fn slowdown(&self, now: Time) -> f64 {
        self.estimate
            .and_then(|estimate| {
                estimate.slowdown(now, self.started, self.first_part_at, self.tokens)
            })
            .unwrap_or(0.0)
    }

    /// Returns the time, in seconds, by which the first part of the call is overdue.
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
