//! Choice of one target among those with room.

use crate::{
    decision::Candidate,
    id::Time,
    router::{DRAWN, Member, Pick, PickError, Requirements, Router, Rule, health::Access},
};
use rand::{Rng, RngExt};
use std::time::Duration;

/// Targets up to which a subset is searched in full.
const FULL_SEARCH: usize = 32;

/// Random draws for each target that is compared.
const TRIES: usize = 4;

impl Router {
    /// Chooses a target with room.
    ///
    /// # Errors
    ///
    /// Fails if the pool has no usable target, or none with room.
    ///
    /// # Performance
    ///
    /// Allocates the few candidates only. Looks at a part of the subset unless little room is
    /// left.
    pub fn choose(
        &mut self,
        now: Time,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Result<Pick, PickError> {
        let size = self.subset_size;
        if let Some(pool) = self.pools.get_mut(requirements.pool) {
            pool.subset.settle(now, size);
        }
        loop {
            let found = self.choose_active(now, requirements, rng);
            let Err(error) = found else {
                return found;
            };
            if !self.widen(now, requirements, error) {
                return found;
            }
        }
    }

    /// Widens the subset, and returns whether that brought another target.
    fn widen(&mut self, now: Time, requirements: &Requirements<'_>, error: PickError) -> bool {
        let Some(pool) = self.pools.get_mut(requirements.pool) else {
            return false;
        };
        match error {
            PickError::NoTarget => pool.subset.widen(now),
            PickError::AtCapacity => pool.subset.may_widen(now) && pool.subset.widen(now),
        }
    }

    fn choose_active(
        &mut self,
        now: Time,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Result<Pick, PickError> {
        let mut roomy = std::mem::take(&mut self.scratch);
        roomy.clear();
        let found = self
            .pools
            .get(requirements.pool)
            .map_or(Err(PickError::NoTarget), |pool| {
                self.collect(now, requirements, pool, rng, &mut roomy)?;
                let best = self.best(now, requirements, pool, &roomy, rng);
                Ok((best, self.pick(now, requirements, pool, best, &roomy)))
            });
        self.scratch = roomy;
        let (best, pick) = found?;
        if let Some(pool) = self.pools.get_mut(requirements.pool) {
            pool.subset.set_last(best);
        }
        Ok(pick)
    }

    /// Collects the targets to compare.
    fn collect(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        pool: &Member,
        rng: &mut impl Rng,
        roomy: &mut Vec<u32>,
    ) -> Result<(), PickError> {
        let active = pool.subset.active();
        if active.len() > FULL_SEARCH && self.rule == Rule::Scored {
            for _ in 0..DRAWN * TRIES {
                let index = active[rng.random_range(0..active.len())];
                if !roomy.contains(&index) && self.has_room(now, index, requirements, pool) {
                    roomy.push(index);
                }
                if roomy.len() == DRAWN {
                    break;
                }
            }
        }
        if roomy.is_empty() {
            self.collect_all(now, requirements, pool, roomy)?;
        }
        if self.rule == Rule::Scored {
            draw(roomy, rng);
            self.add_holders(now, requirements, pool, roomy);
        }
        Ok(())
    }

    fn collect_all(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        pool: &Member,
        roomy: &mut Vec<u32>,
    ) -> Result<(), PickError> {
        let mut usable = false;
        for &index in pool.subset.active() {
            if self.is_usable(index, requirements, pool) {
                usable = true;
                if self.has_room(now, index, requirements, pool) {
                    roomy.push(index);
                }
            }
        }
        match (usable, roomy.is_empty()) {
            (false, _) => Err(PickError::NoTarget),
            (true, true) => Err(PickError::AtCapacity),
            (true, false) => Ok(()),
        }
    }

    /// Adds the targets that hold the longest part of the prompt.
    fn add_holders(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        pool: &Member,
        roomy: &mut Vec<u32>,
    ) {
        for index in self.prefixes.holders(requirements.prefix) {
            let listed = pool.subset.active().contains(&index);
            if listed && !roomy.contains(&index) && self.has_room(now, index, requirements, pool) {
                roomy.push(index);
            }
        }
    }

    fn is_usable(&self, index: u32, requirements: &Requirements<'_>, pool: &Member) -> bool {
        let target = &self.targets[index as usize];
        target.is_offered(&pool.settings) && !requirements.excluded.contains(&target.host.target)
    }

    fn has_room(
        &self,
        now: Time,
        index: u32,
        requirements: &Requirements<'_>,
        pool: &Member,
    ) -> bool {
        let target = &self.targets[index as usize];
        if !self.is_usable(index, requirements, pool) {
            return false;
        }
        match self.rule {
            Rule::Scored => target.has_room(now, pool, requirements.exclusive),
            Rule::RoundRobin | Rule::LeastInFlight if requirements.exclusive => {
                target.in_flight == 0
            }
            Rule::RoundRobin | Rule::LeastInFlight => f64::from(target.in_flight) < target.places(),
        }
    }

    fn best(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        pool: &Member,
        roomy: &[u32],
        rng: &mut impl Rng,
    ) -> u32 {
        match self.rule {
            Rule::Scored => self.best_scored(now, requirements, pool, roomy),
            Rule::LeastInFlight => self.least_in_flight(roomy, rng),
            Rule::RoundRobin => pool.subset.next_of(roomy),
        }
    }

    /// Returns the target with the best score, an ejected one that is to be probed before it.
    ///
    /// The targets are in random order, so that ties are broken at random.
    fn best_scored(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        pool: &Member,
        roomy: &[u32],
    ) -> u32 {
        let is_probe = |index: &&u32| self.targets[**index as usize].access(now) == Access::Probe;
        if let Some(&probe) = roomy.iter().find(is_probe)
            && pool.settings.idempotent
            && !requirements.exclusive
        {
            return probe;
        }
        let score = |index: u32| self.score(now, index, requirements, pool);
        let mut best = (roomy[0], score(roomy[0]));
        for &index in &roomy[1..] {
            let other = score(index);
            if other < best.1 {
                best = (index, other);
            }
        }
        best.0
    }

    fn least_in_flight(&self, roomy: &[u32], rng: &mut impl Rng) -> u32 {
        let in_flight = |index: u32| self.targets[index as usize].in_flight;
        let least = roomy.iter().map(|&index| in_flight(index)).min();
        let ties = || {
            roomy
                .iter()
                .filter(|&&index| Some(in_flight(index)) == least)
        };
        let drawn = rng.random_range(0..ties().count().max(1));
        ties().nth(drawn).copied().unwrap_or(roomy[0])
    }

    fn pick(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        pool: &Member,
        best: u32,
        roomy: &[u32],
    ) -> Pick {
        let target = &self.targets[best as usize];
        let time = self.expected(now, best, requirements).seconds()
            * target.stretch(now, pool.usual_stretch());
        Pick {
            target: target.host.target.clone(),
            address: target.host.address.clone(),
            expected: Duration::from_secs_f64(time),
            candidates: roomy
                .iter()
                .map(|&index| Candidate {
                    target: self.targets[index as usize].host.target.clone(),
                    score: self.score(now, index, requirements, pool),
                })
                .collect(),
        }
    }
}

/// Keeps a few targets in random order.
fn draw(roomy: &mut Vec<u32>, rng: &mut impl Rng) {
    let kept = roomy.len().min(DRAWN);
    for at in 0..kept {
        let other = rng.random_range(at..roomy.len());
        roomy.swap(at, other);
    }
    roomy.truncate(kept);
}
