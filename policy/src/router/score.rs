//! Estimated time to the result of a call at one target, and the score derived from it.

use crate::{
    id::Time,
    pool::Kind,
    router::{PoolState, Requirements, Router, TargetState, target_state::Estimate},
};
use std::time::Duration;

const TOKENS_PER_BLOCK: f64 = 16.0;

/// Assumed time of a call before there is any measurement.
const DEFAULT_SERVICE_SECONDS: f64 = 0.05;

const MIN_SERVICE_SECONDS: f64 = 0.001;

const MAX_SERVICE_SECONDS: f64 = 3_600.0;

/// Estimated wait, as a share of the service time, at a target whose known load equals its
/// capacity.
const CONTENTION_WAIT: f64 = 0.5;

/// Added network time for a target in another failure domain.
const CROSS_DOMAIN_RTT_SECONDS: f64 = 0.003;

/// Added network time for a target in another region.
const CROSS_REGION_RTT_SECONDS: f64 = 0.1;

/// Time that a failed call costs; multiplied by the target's failure rate.
const FAILURE_PENALTY_SECONDS: f64 = 2.0;

/// Penalty for each recent ejection in the target's failure domain, once the domain seems lost.
const DOMAIN_EJECTION_PENALTY_SECONDS: f64 = 0.5;

/// Recent ejections in one failure domain up to which they are taken to be unrelated.
const MAX_UNRELATED_EJECTIONS: f64 = 1.5;

/// Penalty for a target that no longer reports.
const OVERDUE_REPORT_PENALTY_SECONDS: f64 = 1.0;

/// Lag behind the latest report of any target in the pool above which a report is overdue.
const REPORT_OVERDUE_AFTER: Duration = Duration::from_secs(3);

impl Router {
    /// Returns the estimated time of a call at a target, without penalties.
    pub(super) fn estimate(
        &self,
        now: Time,
        index: u32,
        requirements: &Requirements<'_>,
    ) -> Estimate {
        let target = &self.targets[index as usize];
        let mut estimate = Estimate {
            wait: 0.0,
            prefill: self.prefill_seconds(index, requirements).unwrap_or(0.0),
            service: DEFAULT_SERVICE_SECONDS,
            token_rate: 0.0,
        };
        if let Some(pool) = self.pools.get(&target.host.pool) {
            estimate.service = self.service_seconds(index, pool, requirements);
            estimate.wait =
                wait_seconds(target.load(now, pool), target.capacity(), estimate.service);
            if pool.settings.kind == Kind::Engine {
                estimate.token_rate = target.report.tokens_per_second;
            }
        }
        estimate
    }

    /// Returns the score of a target for a call: the estimated seconds to the result, penalties
    /// included, divided by the target's weight. Lower is better.
    pub(super) fn score(
        &self,
        now: Time,
        index: u32,
        requirements: &Requirements<'_>,
        pool: &PoolState,
    ) -> f64 {
        let target = &self.targets[index as usize];
        let time = self.estimate(now, index, requirements).seconds();
        let time = time * target.slowdown(now, pool.mean_slowdown()) + target.first_part_delay(now);
        (time + self.penalty_seconds(now, target, pool)) / target.weight
    }

    /// Returns the estimated time of a call without queueing and prefill.
    fn service_seconds(
        &self,
        index: u32,
        pool: &PoolState,
        requirements: &Requirements<'_>,
    ) -> f64 {
        self.estimated_service(index, pool, requirements)
            .unwrap_or(DEFAULT_SERVICE_SECONDS)
            .clamp(MIN_SERVICE_SECONDS, MAX_SERVICE_SECONDS)
    }

    /// Returns whether earlier calls or reports give an estimate of the call's time.
    pub(super) fn has_service_estimate(&self, index: u32, requirements: &Requirements<'_>) -> bool {
        let pool = self.pools.get(&self.targets[index as usize].host.pool);
        pool.is_some_and(|pool| self.estimated_service(index, pool, requirements).is_some())
    }

    fn estimated_service(
        &self,
        index: u32,
        pool: &PoolState,
        requirements: &Requirements<'_>,
    ) -> Option<f64> {
        let generation = match pool.settings.kind {
            Kind::Engine => self.generation_seconds(index, pool, requirements),
            Kind::Service => None,
        };
        generation.or_else(|| pool.mean_call_seconds.get())
    }

    /// Returns the time in which an engine generates the output, if it reported its rate.
    fn generation_seconds(
        &self,
        index: u32,
        pool: &PoolState,
        requirements: &Requirements<'_>,
    ) -> Option<f64> {
        let rate = self.targets[index as usize].report.tokens_per_second;
        let tokens = pool.tokens.get().unwrap_or(f64::from(requirements.tokens));
        (rate > 0.0).then(|| tokens.min(f64::from(requirements.tokens)) / rate)
    }

    /// Returns the time in which an engine processes the uncached part of the prompt, if it
    /// reported its rate.
    pub(super) fn prefill_seconds(
        &self,
        index: u32,
        requirements: &Requirements<'_>,
    ) -> Option<f64> {
        let rate = self.targets[index as usize].report.prefill_per_second;
        if rate <= 0.0 {
            return None;
        }
        let uncached = requirements.prefix.len() as f64
            - self.prefixes.cached_blocks(index, requirements.prefix);
        Some(uncached * TOKENS_PER_BLOCK / rate)
    }

    fn penalty_seconds(&self, now: Time, target: &TargetState, pool: &PoolState) -> f64 {
        let ejections = self.domain_ejections.get(&target.host.domain);
        let ejected = ejections.map_or(0.0, |ejections| ejections.count(now));
        let mut cost = self.network_seconds(target)
            + target.health.failure_rate(now) * FAILURE_PENALTY_SECONDS;
        if ejected > MAX_UNRELATED_EJECTIONS {
            cost += ejected * DOMAIN_EJECTION_PENALTY_SECONDS;
        }
        if is_report_overdue(target, pool) {
            cost += OVERDUE_REPORT_PENALTY_SECONDS;
        }
        cost
    }

    fn network_seconds(&self, target: &TargetState) -> f64 {
        match &self.region {
            _ if target.host.domain == self.domain => 0.0,
            Some(region) if *region != target.host.region => CROSS_REGION_RTT_SECONDS,
            _ => CROSS_DOMAIN_RTT_SECONDS,
        }
    }
}

/// Returns the estimated queueing delay of a new call at a target with `load` calls.
///
/// `load` is only an estimate, so there may be a delay even if it is below `capacity`.
fn wait_seconds(load: f64, capacity: f64, service: f64) -> f64 {
    let utilization = (load / capacity).clamp(0.0, 1.0);
    let excess = (load + 1.0 - capacity).max(0.0) / capacity;
    (excess + CONTENTION_WAIT * utilization * utilization) * service
}

fn is_report_overdue(target: &TargetState, pool: &PoolState) -> bool {
    target
        .report_received_at
        .is_some_and(|received| pool.last_report_at > received + REPORT_OVERDUE_AFTER)
}
