//! Selection of a target among those below capacity.

use crate::{
    decision::Candidate,
    id::Time,
    router::{
        Pick, PickError, PoolState, Requirements, Router, Rule, SAMPLE_SIZE, health::Availability,
    },
};
use rand::{Rng, RngExt};
use std::time::Duration;

/// Subset size up to which all targets are examined before sampling.
const FULL_SCAN_MAX: usize = 32;

/// Random draws per sampled target, since a draw can hit a duplicate or a target at capacity.
const DRAWS_PER_CANDIDATE: usize = 4;

impl Router {
    /// Selects a target for a call and grows the pool's subset if it has no target to offer.
    ///
    /// # Errors
    ///
    /// Fails if no target meets the requirements, or if all that do are at capacity.
    ///
    /// # Performance
    ///
    /// Allocates only the list of candidates in the result. Large subsets are sampled; all of their
    /// targets are examined only if no sampled one is below capacity.
    pub fn choose(
        &mut self,
        now: Time,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Result<Pick, PickError> {
        let size = self.subset_size;
        if let Some(pool) = self.pools.get_mut(requirements.pool) {
            pool.subset.shrink(now, size);
        }
        loop {
            let chosen = self.choose_active(now, requirements, rng);
            let Err(error) = chosen else {
                return chosen;
            };
            if !self.grow(now, requirements, error) {
                return chosen;
            }
        }
    }

    /// Grows the subset and returns whether that added a target.
    fn grow(&mut self, now: Time, requirements: &Requirements<'_>, error: PickError) -> bool {
        let Some(pool) = self.pools.get_mut(requirements.pool) else {
            return false;
        };
        match error {
            PickError::NoTarget => pool.subset.grow(now),
            PickError::AtCapacity => pool.subset.may_grow(now) && pool.subset.grow(now),
        }
    }

    fn choose_active(
        &mut self,
        now: Time,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Result<Pick, PickError> {
        let mut candidates = std::mem::take(&mut self.scratch);
        candidates.clear();
        let chosen = self
            .pools
            .get(requirements.pool)
            .map_or(Err(PickError::NoTarget), |pool| {
                self.collect_candidates(now, requirements, pool, rng, &mut candidates)?;
                let best = self.best(now, requirements, pool, &candidates, rng);
                Ok((
                    best,
                    self.build_pick(now, requirements, pool, best, &candidates),
                ))
            });
        self.scratch = candidates;
        let (best, pick) = chosen?;
        if let Some(pool) = self.pools.get_mut(requirements.pool) {
            pool.subset.set_last_chosen(best);
        }
        Ok(pick)
    }

    /// Collects the targets to compare: a random sample and those that cache the prompt's prefix.
    fn collect_candidates(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        pool: &PoolState,
        rng: &mut impl Rng,
        candidates: &mut Vec<u32>,
    ) -> Result<(), PickError> {
        let active = pool.subset.active();
        if active.len() > FULL_SCAN_MAX && self.rule == Rule::Scored {
            for _ in 0..SAMPLE_SIZE * DRAWS_PER_CANDIDATE {
                let index = active[rng.random_range(0..active.len())];
                if !candidates.contains(&index) && self.can_accept(now, index, requirements, pool) {
                    candidates.push(index);
                }
                if candidates.len() == SAMPLE_SIZE {
                    break;
                }
            }
        }
        if candidates.is_empty() {
            self.scan_all(now, requirements, pool, candidates)?;
        }
        if self.rule == Rule::Scored {
            keep_random(candidates, rng);
            self.add_holders(now, requirements, pool, candidates);
        }
        Ok(())
    }

    fn scan_all(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        pool: &PoolState,
        candidates: &mut Vec<u32>,
    ) -> Result<(), PickError> {
        let mut any_eligible = false;
        for &index in pool.subset.active() {
            if self.is_eligible(index, requirements, pool) {
                any_eligible = true;
                if self.can_accept(now, index, requirements, pool) {
                    candidates.push(index);
                }
            }
        }
        match (any_eligible, candidates.is_empty()) {
            (false, _) => Err(PickError::NoTarget),
            (true, true) => Err(PickError::AtCapacity),
            (true, false) => Ok(()),
        }
    }

    /// Adds the targets that cache the longest prefix of the prompt.
    fn add_holders(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        pool: &PoolState,
        candidates: &mut Vec<u32>,
    ) {
        for index in self.prefixes.holders(requirements.prefix) {
            let is_active = pool.subset.active().contains(&index);
            if is_active
                && !candidates.contains(&index)
                && self.can_accept(now, index, requirements, pool)
            {
                candidates.push(index);
            }
        }
    }

    fn is_eligible(&self, index: u32, requirements: &Requirements<'_>, pool: &PoolState) -> bool {
        let target = &self.targets[index as usize];
        target.accepts_calls(&pool.settings) && !requirements.excluded.contains(&target.host.target)
    }

    fn can_accept(
        &self,
        now: Time,
        index: u32,
        requirements: &Requirements<'_>,
        pool: &PoolState,
    ) -> bool {
        let target = &self.targets[index as usize];
        if !self.is_eligible(index, requirements, pool) {
            return false;
        }
        match self.rule {
            Rule::Scored => target.can_accept(now, pool, requirements.exclusive),
            Rule::RoundRobin | Rule::LeastInFlight if requirements.exclusive => {
                target.in_flight == 0
            }
            Rule::RoundRobin | Rule::LeastInFlight => {
                f64::from(target.in_flight) < target.capacity()
            }
        }
    }

    fn best(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        pool: &PoolState,
        candidates: &[u32],
        rng: &mut impl Rng,
    ) -> u32 {
        match self.rule {
            Rule::Scored => self.best_scored(now, requirements, pool, candidates),
            Rule::LeastInFlight => self.least_in_flight(candidates, rng),
            Rule::RoundRobin => pool.subset.next_round_robin(candidates),
        }
    }

    /// Returns an ejected target that is due for a probe, otherwise the target with the best score.
    ///
    /// Probes take precedence only for idempotent calls, which can be retried if the probe fails.
    /// The candidates are in random order, so that ties are broken at random.
    fn best_scored(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        pool: &PoolState,
        candidates: &[u32],
    ) -> u32 {
        let is_probe =
            |index: &&u32| self.targets[**index as usize].availability(now) == Availability::Probe;
        if let Some(&probe) = candidates.iter().find(is_probe)
            && pool.settings.idempotent
            && !requirements.exclusive
        {
            return probe;
        }
        let score = |index: u32| self.score(now, index, requirements, pool);
        let mut best = (candidates[0], score(candidates[0]));
        for &index in &candidates[1..] {
            let other = score(index);
            if other < best.1 {
                best = (index, other);
            }
        }
        best.0
    }

    fn least_in_flight(&self, candidates: &[u32], rng: &mut impl Rng) -> u32 {
        let in_flight = |index: u32| self.targets[index as usize].in_flight;
        let least = candidates.iter().map(|&index| in_flight(index)).min();
        let ties = || {
            candidates
                .iter()
                .filter(|&&index| Some(in_flight(index)) == least)
        };
        let drawn = rng.random_range(0..ties().count().max(1));
        ties().nth(drawn).copied().unwrap_or(candidates[0])
    }

    fn build_pick(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        pool: &PoolState,
        best: u32,
        candidates: &[u32],
    ) -> Pick {
        let target = &self.targets[best as usize];
        let seconds = self.estimate(now, best, requirements).seconds()
            * target.slowdown(now, pool.mean_slowdown());
        Pick {
            target: target.host.target.clone(),
            address: target.host.address.clone(),
            expected: Duration::from_secs_f64(seconds),
            candidates: candidates
                .iter()
                .map(|&index| Candidate {
                    target: self.targets[index as usize].host.target.clone(),
                    score: self.score(now, index, requirements, pool),
                })
                .collect(),
        }
    }
}

/// Truncates the candidates to a random sample, in random order.
fn keep_random(candidates: &mut Vec<u32>, rng: &mut impl Rng) {
    let size = candidates.len().min(SAMPLE_SIZE);
    for index in 0..size {
        let other = rng.random_range(index..candidates.len());
        candidates.swap(index, other);
    }
    candidates.truncate(size);
}
