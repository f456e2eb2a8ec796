//! Which target a request goes to.
//!
//! Load pattern: many daemons choose among the same targets with reports that are already old, a
//! few prompt parts are shared by many requests, and some targets fail or are slow while they look
//! healthy. The expected time to the first event decides: prompt tokens that the target has
//! not read, its load, and a distance where large results would cross domains. A part that this daemon
//! has not sent anywhere is expected at the target that rendezvous hashing names, so that daemons
//! agree without a word. Targets that failed are left alone for a while that doubles.

use crate::{
    hash,
    id::{DomainId, TargetId, Time},
    relay::registry::Target,
};
use compact_str::CompactString;
use std::{collections::HashMap, time::Duration};

/// Identifies a part of a prompt.
pub type PartId = CompactString;

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Identifier, the same in all requests that share the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// What the choice depends on.
#[derive(Clone, Debug, Default)]
pub struct Criteria<'a> {
    /// Parts of the prompt in order; the last belongs to the request alone.
    pub parts: &'a [Part],
    /// Domain that holds large results which the target reads, and their bytes.
    pub large_results: Option<(&'a DomainId, u64)>,
    /// Domain of this daemon.
    pub domain: Option<&'a DomainId>,
    /// Targets that were tried before.
    pub tried: &'a [TargetId],
    /// Most calls of this daemon at one target.
    pub max_in_flight: u32,
}

/// What is known of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetStats {
    /// Calls of this daemon in flight.
    pub in_flight: u32,
    running: f64,
    waiting: f64,
    reported: Option<Time>,
    /// Share of failures, the latest weighing most.
    error_rate: f64,
    failures: u32,
    paused_until: Time,
    /// Usual time to the answer in seconds.
    mean_seconds: Option<f64>,
}

/// A target that was chosen, with what decided it.
#[derive(Clone, Copy, Debug)]
pub struct Selection<'a> {
    /// The target.
    pub target: &'a Target,
    /// Seconds to the first event that are expected there.
    pub cost: f64,
    /// Age of the target's last report of its load.
    pub report_age: Option<Duration>,
    /// The next best target, and its seconds.
    pub runner_up: Option<(&'a Target, f64)>,
}

/// What bars a target (that it is full, that it is paused), its cost, and the target.
type ScoredTarget<'a> = ((bool, bool), f64, &'a Target);

/// Targets' records and the parts they were sent.
#[derive(Clone, Debug, Default)]
pub struct TargetSelector {
    stats: HashMap<TargetId, TargetStats>,
    parts: HashMap<(TargetId, PartId), Time>,
}

/// Tokens that a target reads in a second; engines of the sites read 38,000 to 43,000.
const PREFILL_RATE: f64 = 40_000.0;
/// Time for which a part counts as kept; targets hold some hundred prompts.
const PREFIX_TTL: Duration = Duration::from_secs(30);
/// Shares of the reading time that is expected at the first targets that rendezvous hashing names;
/// the next one takes over as those before it fill up.
const OWNER_PREFILL_SHARES: [f64; 3] = [0.2, 0.5, 0.8];
/// Seconds that each request at a target adds.
const LOAD_COST: f64 = 0.004; // a batch slows by some parts in a hundred for each request
/// Seconds that each waiting request at a target adds.
const WAIT_COST: f64 = 0.03; // the usual work of a plain request
/// Seconds that a byte of large results counts for in another domain.
const LARGE_RESULT_COST: f64 = 1.0e-8; // the sites price 1 MB there as reading 400 tokens anew
/// Seconds that another domain adds.
const DISTANCE_COST: f64 = 0.003; // a round trip between domains
/// Seconds that a target adds when all its answers fail.
const ERROR_COST: f64 = 0.5; // an objective of the plain requests, several times over
/// Weight of the latest answer in the share of failures.
const ERROR_RATE_WEIGHT: f64 = 0.2;
/// Weight of the latest answer in the usual time.
const TIME_WEIGHT: f64 = 0.2;
/// Age at which a report is worth half.
const REPORT_HALF_LIFE: f64 = 0.5; // seconds; requests last about this long
/// First pause of a target that could not be reached or went silent.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(4); // crashed targets are back after some seconds
/// Most parts that are remembered.
const MAX_PARTS: usize = 20_000; // about 100 bytes each keep it under 2 MB

impl TargetSelector {
    /// Chooses a target among those that take work.
    pub fn choose<'a>(
        &self,
        now: Time,
        targets: impl Iterator<Item = &'a Target>,
        criteria: &Criteria<'_>,
    ) -> Option<Selection<'a>> {
        let targets: Vec<&Target> = targets
            .filter(|target| !criteria.tried.contains(&target.id))
            .collect();
        let hash_owners = criteria.shared().map(|part| hash_owners(part, &targets));
        let hash_owners = hash_owners.unwrap_or_default();
        let scored = targets.iter().map(|target| {
            let stats = self.stats.get(&target.id);
            let rank = hash_owners
                .iter()
                .position(|owner| *owner == Some(&target.id));
            let is_full = stats.is_some_and(|stats| stats.in_flight >= criteria.max_in_flight);
            let is_paused = stats.is_some_and(|stats| now < stats.paused_until);
            let score = self.score(now, target, criteria, rank);
            ((is_full, is_paused), score, *target)
        });
        let mut best: Option<ScoredTarget<'_>> = None;
        let mut second: Option<ScoredTarget<'_>> = None;
        for scored in scored {
            if best.is_none_or(|best| is_better(&scored, &best)) {
                second = best.replace(scored);
            } else if second.is_none_or(|second| is_better(&scored, &second)) {
                second = Some(scored);
            }
        }
        let ((is_full, _), cost, target) = best?;
        let stats = self.stats.get(&target.id);
        let reported = stats.and_then(|stats| stats.reported);
        (!is_full).then(|| Selection {
            target,
            cost,
            report_age: reported.map(|at| now.saturating_sub(at)),
            runner_up: second.map(|(_, cost, target)| (target, cost)),
        })
    }

    /// Notes a call that is sent, and the prompt that the target reads.
    pub fn start_call(&mut self, now: Time, target: &TargetId, parts: &[Part]) {
        self.stats_mut(target).in_flight += 1;
        if self.parts.len() > MAX_PARTS {
            self.parts.retain(|_, sent| now < *sent + PREFIX_TTL);
        }
        for part in parts {
            self.parts.insert((target.clone(), part.id.clone()), now);
        }
    }

    /// Notes that a call has ended.
    pub fn end_call(&mut self, target: &TargetId) {
        let stats = self.stats_mut(target);
        stats.in_flight = stats.in_flight.saturating_sub(1);
    }

    /// Notes an answer and the time it took.
    pub fn record_answer(&mut self, target: &TargetId, is_good: bool, time: Duration) {
        let stats = self.stats_mut(target);
        let error = if is_good { 0.0 } else { 1.0 };
        stats.error_rate += ERROR_RATE_WEIGHT * (error - stats.error_rate);
        let time = time.as_secs_f64();
        let mean = stats.mean_seconds.get_or_insert(time);
        *mean += TIME_WEIGHT * (time - *mean);
        if is_good {
            stats.failures = 0;
            stats.paused_until = Time::ZERO;
        }
    }

    /// Notes that a target broke off, went silent or could not be reached.
    pub fn record_failure(&mut self, now: Time, target: &TargetId) {
        let stats = self.stats_mut(target);
        stats.error_rate += ERROR_RATE_WEIGHT * (1.0 - stats.error_rate);
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(stats.failures.min(8));
        stats.paused_until = now + pause.min(MAX_PAUSE);
        stats.failures += 1;
    }

    /// Notes the load that a target reported.
    pub fn record_load(&mut self, now: Time, target: &TargetId, running: u32, waiting: u32) {
        let stats = self.stats_mut(target);
        stats.running = f64::from(running);
        stats.waiting = f64::from(waiting);
        stats.reported = Some(now);
    }

    /// Forgets a target that has ended.
    pub fn remove_target(&mut self, target: &TargetId) {
        self.stats.remove(target);
        self.parts.retain(|(of, _), _| of != target);
    }

    fn stats_mut(&mut self, target: &TargetId) -> &mut TargetStats {
        self.stats.entry(target.clone()).or_default()
    }

    fn score(
        &self,
        now: Time,
        target: &Target,
        criteria: &Criteria<'_>,
        rank: Option<usize>,
    ) -> f64 {
        let distance = match criteria.domain {
            Some(domain) if *domain != target.domain => DISTANCE_COST,
            Some(_) | None => 0.0,
        };
        let large_results = match criteria.large_results {
            Some((domain, bytes)) if *domain != target.domain => LARGE_RESULT_COST * bytes as f64,
            Some(_) | None => 0.0,
        };
        let load = self
            .stats
            .get(&target.id)
            .map_or(0.0, |stats| stats.cost(now, target));
        self.prefill_seconds(now, target, criteria, rank) + load + distance + large_results
    }

    /// Returns the seconds in which the target reads what it has not kept of the prompt.
    fn prefill_seconds(
        &self,
        now: Time,
        target: &Target,
        criteria: &Criteria<'_>,
        rank: Option<usize>,
    ) -> f64 {
        let mut tokens = 0.0;
        let mut is_cached = true;
        let shared = criteria
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        for part in shared {
            let sent = self.parts.get(&(target.id.clone(), part.id.clone()));
            is_cached &= sent.is_some_and(|sent| now < *sent + PREFIX_TTL);
            if !is_cached {
                tokens += f64::from(part.tokens);
            }
        }
        if let Some(rank) = rank
            && !is_cached
        {
            tokens *= OWNER_PREFILL_SHARES[rank];
        }
        tokens / PREFILL_RATE
    }
}

/// Returns whether a target is better than another one.
fn is_better(
    (penalties, cost, _): &ScoredTarget<'_>,
    (others, other, _): &ScoredTarget<'_>,
) -> bool {
    penalties.cmp(others).then(cost.total_cmp(other)).is_lt()
}

/// Returns the first targets of a part by rendezvous hashing.
fn hash_owners<'a>(
    part: &Part,
    targets: &[&'a Target],
) -> [Option<&'a TargetId>; OWNER_PREFILL_SHARES.len()] {
    let mut best: [Option<(u64, &TargetId)>; OWNER_PREFILL_SHARES.len()] =
        [None; OWNER_PREFILL_SHARES.len()];
    for target in targets {
        let entry = Some((hash::texts(&[&part.id, &target.id]), &target.id));
        if let Some(rank) = best.iter().position(|other| *other < entry) {
            best[rank..].rotate_right(1);
            best[rank] = entry;
        }
    }
    best.map(|entry| entry.map(|(_, id)| id))
}

impl TargetStats {
    fn cost(&self, now: Time, target: &Target) -> f64 {
        let own = f64::from(self.in_flight);
        let age = self
            .reported
            .map_or(f64::INFINITY, |at| now.saturating_sub(at).as_secs_f64());
        let weight = 0.5_f64.powf(age / REPORT_HALF_LIFE);
        let running = own.max(self.running * weight);
        let over = (running + 1.0 - f64::from(target.slots)).max(0.0);
        let waiting = self.waiting * weight + over;
        running * LOAD_COST
            + waiting * WAIT_COST
            + self.error_rate * ERROR_COST
            + self.mean_seconds.unwrap_or_default().min(1.0) * TIME_COST
    }
}

/// Share of a target's usual time that counts, so that slow targets get less.
const TIME_COST: f64 = 0.3;

impl Criteria<'_> {
    /// Returns the last part that other requests share.
    fn shared(&self) -> Option<&Part> {
        self.parts
            .len()
            .checked_sub(2)
            .map(|index| &self.parts[index])
    }
}
