//! Estimate time to the result of a call at one target.

use crate::{
    id::Time,
    pool::Kind,
    router::{PoolState, Requirements, Router, TargetState, target_state::Estimate},
};
use std::time::Duration;

/// Prompt tokens in one block.
const TOKENS_PER_BLOCK: f64 = 16.0;

/// Time of a call of which nothing is known.
const DEFAULT_SERVICE_SECONDS: f64 = 0.05;

/// Shortest expected time of a call.
const MIN_SERVICE_SECONDS: f64 = 0.001;

/// Longest expected time of a call.
const MAX_SERVICE_SECONDS: f64 = 3_600.0;

/// Estimate wait, in service times, at a target whose last place is about to be taken.
const CONTENTION_WAIT: f64 = 0.5;

/// Cost of a round trip to another failure domain, in seconds.
const CROSS_DOMAIN_RTT_SECONDS: f64 = 0.003;

/// Cost of a round trip to another region, in seconds.
const CROSS_REGION_RTT_SECONDS: f64 = 0.1;

/// Cost of a call that fails, in seconds.
const FAILURE_PENALTY_SECONDS: f64 = 2.0;

/// Cost of a target whose domain seems to be lost, in seconds for each ejection there.
const DOMAIN_EJECTION_PENALTY_SECONDS: f64 = 0.5;

/// Ejections in one domain that may be unrelated.
const MAX_UNRELATED_EJECTIONS: f64 = 1.5;

/// Cost of a target that no longer reports, in seconds.
const OVERDUE_REPORT_PENALTY_SECONDS: f64 = 1.0;

/// Time behind the pool's last report after which a target's report is overdue.
const REPORT_OVERDUE_AFTER: Duration = Duration::from_secs(3);

impl Router {
    /// Returns what is expected of a call at a target, penalties left out.
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

    /// Returns the score of a target for a call; lower is better.
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

    /// Returns the expected seconds of a call that finds a free place, prefill left out.
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

    /// Returns whether the time of a call can be told from earlier calls or reports.
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

    /// Returns the seconds that an engine generates, if it reported its rate.
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

    /// Returns the seconds that an engine reads the prompt, if it reported its rate.
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

/// Returns the seconds until one of `capacity` is free when about `load` calls are there already.
///
/// The load is known so roughly that there may be a wait before all capacity are taken.
fn wait_seconds(load: f64, capacity: f64, service: f64) -> f64 {
    let taken = (load / capacity).clamp(0.0, 1.0);
    let over = (load + 1.0 - capacity).max(0.0) / capacity;
    (over + CONTENTION_WAIT * taken * taken) * service
}

fn is_report_overdue(target: &TargetState, pool: &PoolState) -> bool {
    target
        .report_received_at
        .is_some_and(|received| pool.last_report_at > received + REPORT_OVERDUE_AFTER)
}
