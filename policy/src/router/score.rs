//! Expected time to the result of a call at one target.

use crate::{
    id::Time,
    pool::Kind,
    router::{Member, Requirements, Router, Target, target::Expected},
};
use std::time::Duration;

/// Prompt tokens in one block.
const BLOCK_TOKENS: f64 = 16.0;

/// Time of a call of which nothing is known.
const UNKNOWN_SERVICE: f64 = 0.05;

/// Shortest expected time of a call.
const SHORTEST: f64 = 0.001;

/// Longest expected time of a call.
const LONGEST: f64 = 3_600.0;

/// Expected wait, in service times, at a target whose last place is about to be taken.
const CROWDING: f64 = 0.5;

/// Cost of a round trip to another failure domain, in seconds.
const DOMAIN_COST: f64 = 0.003;

/// Cost of a round trip to another region, in seconds.
const REGION_COST: f64 = 0.1;

/// Cost of a call that fails, in seconds.
const FAILURE_COST: f64 = 2.0;

/// Cost of a target whose domain seems to be lost, in seconds for each ejection there.
const OUTAGE_COST: f64 = 0.5;

/// Ejections in one domain that may be unrelated.
const UNRELATED_EJECTIONS: f64 = 1.5;

/// Cost of a target that no longer reports, in seconds.
const OVERDUE_COST: f64 = 1.0;

/// Time behind the pool's last report after which a target's report is overdue.
const OVERDUE: Duration = Duration::from_secs(3);

impl Router {
    /// Returns what is expected of a call at a target, penalties left out.
    pub(super) fn expected(
        &self,
        now: Time,
        index: u32,
        requirements: &Requirements<'_>,
    ) -> Expected {
        let target = &self.targets[index as usize];
        let mut expected = Expected {
            wait: 0.0,
            prefill: self.prefill(index, requirements).unwrap_or(0.0),
            service: UNKNOWN_SERVICE,
            rate: 0.0,
        };
        if let Some(pool) = self.pools.get(&target.host.pool) {
            expected.service = self.service(index, pool, requirements);
            expected.wait = wait(target.load(now, pool), target.places(), expected.service);
            if pool.settings.kind == Kind::Engine {
                expected.rate = target.report.tokens_per_second;
            }
        }
        expected
    }

    /// Returns the score of a target for a call; lower is better.
    pub(super) fn score(
        &self,
        now: Time,
        index: u32,
        requirements: &Requirements<'_>,
        pool: &Member,
    ) -> f64 {
        let target = &self.targets[index as usize];
        let time = self.expected(now, index, requirements).seconds();
        let time = time * target.stretch(now, pool.usual_stretch()) + target.lateness(now);
        (time + self.penalty(now, target, pool)) / target.weight
    }

    /// Returns the expected seconds of a call that finds a free place, prefill left out.
    fn service(&self, index: u32, pool: &Member, requirements: &Requirements<'_>) -> f64 {
        self.known_service(index, pool, requirements)
            .unwrap_or(UNKNOWN_SERVICE)
            .clamp(SHORTEST, LONGEST)
    }

    /// Returns whether the time of a call can be told from earlier calls or reports.
    pub(super) fn is_known(&self, index: u32, requirements: &Requirements<'_>) -> bool {
        let pool = self.pools.get(&self.targets[index as usize].host.pool);
        pool.is_some_and(|pool| self.known_service(index, pool, requirements).is_some())
    }

    fn known_service(
        &self,
        index: u32,
        pool: &Member,
        requirements: &Requirements<'_>,
    ) -> Option<f64> {
        let generation = match pool.settings.kind {
            Kind::Engine => self.generation(index, pool, requirements),
            Kind::Service => None,
        };
        generation.or_else(|| pool.mean.get())
    }

    /// Returns the seconds that an engine generates, if it reported its rate.
    fn generation(
        &self,
        index: u32,
        pool: &Member,
        requirements: &Requirements<'_>,
    ) -> Option<f64> {
        let rate = self.targets[index as usize].report.tokens_per_second;
        let tokens = pool.tokens.get().unwrap_or(f64::from(requirements.tokens));
        (rate > 0.0).then(|| tokens.min(f64::from(requirements.tokens)) / rate)
    }

    /// Returns the seconds that an engine reads the prompt, if it reported its rate.
    pub(super) fn prefill(&self, index: u32, requirements: &Requirements<'_>) -> Option<f64> {
        let rate = self.targets[index as usize].report.prefill_per_second;
        if rate <= 0.0 {
            return None;
        }
        let missing =
            requirements.prefix.len() as f64 - self.prefixes.held(index, requirements.prefix);
        Some(missing * BLOCK_TOKENS / rate)
    }

    fn penalty(&self, now: Time, target: &Target, pool: &Member) -> f64 {
        let outage = self.domains.get(&target.host.domain);
        let level = outage.map_or(0.0, |outage| outage.level(now));
        let mut cost = self.distance(target) + target.health.failures(now) * FAILURE_COST;
        if level > UNRELATED_EJECTIONS {
            cost += level * OUTAGE_COST;
        }
        if is_overdue(target, pool) {
            cost += OVERDUE_COST;
        }
        cost
    }

    fn distance(&self, target: &Target) -> f64 {
        match &self.region {
            _ if target.host.domain == self.domain => 0.0,
            Some(region) if *region != target.host.region => REGION_COST,
            _ => DOMAIN_COST,
        }
    }
}

/// Returns the seconds until one of `places` is free when about `load` calls are there already.
///
/// The load is known so roughly that there may be a wait before all places are taken.
fn wait(load: f64, places: f64, service: f64) -> f64 {
    let taken = (load / places).clamp(0.0, 1.0);
    let over = (load + 1.0 - places).max(0.0) / places;
    (over + CROWDING * taken * taken) * service
}

fn is_overdue(target: &Target, pool: &Member) -> bool {
    target
        .heard_at
        .is_some_and(|heard| pool.last_report > heard + OVERDUE)
}
