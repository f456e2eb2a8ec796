//! Selection of the target for a request.
//!
//! Many daemons choose among the same targets with load reports that are already stale, a few
//! prompt parts are shared by many requests, and some targets fail or are slow although they appear
//! healthy. The target with the lowest expected time to the first event is selected. That time is
//! estimated from the prompt tokens that the target has not cached, its load, its speed as far as it
//! has been learned, and the cost of moving large results between domains. A part that this daemon has not sent to a target is
//! expected at the targets chosen by rendezvous hashing, so that daemons agree without
//! communication. Targets that fail are paused with exponential backoff.

use crate::{
    hash,
    id::{DomainId, PoolId, TargetId, Time},
    relay::{
        performance::{Expectation, Performance},
        registry::Target,
    },
};
use compact_str::CompactString;
use std::{collections::HashMap, time::Duration};

/// Identifier of a prompt part.
pub type PartId = CompactString;

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Identifier, equal in all requests that share the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// Properties of a request that determine its target.
#[derive(Clone, Debug, Default)]
pub struct Criteria<'a> {
    /// Parts of the prompt in order; the last one is not shared with other requests.
    pub parts: &'a [Part],
    /// Domain that holds large results for the target to read, and their size in bytes.
    pub large_results: Option<(&'a DomainId, u64)>,
    /// Domain of this daemon, if known.
    pub domain: Option<&'a DomainId>,
    /// Targets of earlier attempts, which are excluded.
    pub tried: &'a [TargetId],
    /// Maximum number of concurrent calls from this daemon to one target.
    pub max_in_flight: u32,
    /// Number of events that the answer is expected to have; 0 if unknown.
    pub events: u32,
    /// Time until the answer has to be complete, if limited.
    pub time_left: Option<Duration>,
    /// Memory of the targets for cached parts, if known.
    pub memory: Option<PartMemory>,
    /// Random number, by which daemons spread their requests over targets that are about as good.
    pub draw: u64,
    /// Times that the request has to expect to wait before it may be sent to targets.
    pub waits: &'a [(TargetId, Duration)],
}

/// Memory of the targets of a pool for prompts and cached parts of them.
#[derive(Clone, Copy, Debug)]
pub struct PartMemory {
    /// Size on one target in tokens.
    pub tokens: u32,
    /// Number of daemons that send requests to the pool.
    pub daemons: u32,
}

/// Load and failure statistics of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetStats {
    /// Number of calls from this daemon in flight.
    pub in_flight: u32,
    /// Requests that the target last reported as running.
    running: f64,
    /// Requests that the target last reported as waiting.
    waiting: f64,
    /// When the target last reported its load.
    reported: Option<Time>,
    /// Moving average of failures, from 0 to 1.
    error_rate: f64,
    /// Failures since the last successful answer.
    failures: u32,
    paused_until: Time,
    /// Moving average of the time to the answer in seconds.
    mean_seconds: Option<f64>,
}

/// A selected target and the figures behind the decision.
#[derive(Clone, Copy, Debug)]
pub struct Selection<'a> {
    /// Target with the lowest cost.
    pub target: &'a Target,
    /// Expected time to the first event in seconds.
    pub cost: f64,
    /// Age of the target's last load report; absent if there is none.
    pub report_age: Option<Duration>,
    /// Second-best target and its cost, if there is one.
    pub runner_up: Option<(&'a Target, f64)>,
}

/// Whether a target is full and whether it is paused, its cost, and the target.
type ScoredTarget<'a> = ((bool, bool), f64, &'a Target);

/// Selects targets by their statistics and the prompt parts they were sent.
#[derive(Clone, Debug, Default)]
pub struct TargetSelector {
    stats: HashMap<TargetId, TargetStats>,
    parts: HashMap<(TargetId, PartId), SentPart>,
    performance: Performance,
    /// Prompt tokens that this daemon has sent to each pool, without parts that the target had cached.
    sent_tokens: HashMap<PoolId, u64>,
}

/// The last time that a part was sent to a target.
#[derive(Clone, Copy, Debug)]
struct SentPart {
    at: Time,
    /// Tokens that had been sent to the pool by then.
    sent_tokens: u64,
}

/// How long parts that were sent to the targets of a pool stay cached.
#[derive(Clone, Copy, Debug)]
enum PartLifetime {
    /// For a fixed time.
    Fixed,
    /// Until this daemon has sent the pool more than `max_tokens` further tokens, of `sent_tokens`.
    Memory { max_tokens: u64, sent_tokens: u64 },
}

/// Prefill throughput of a target in tokens per second; engines of the sites reach 38,000 to
/// 43,000.
const PREFILL_RATE: f64 = 40_000.0;
/// Time for which a part counts as cached after it was sent to a target whose memory is not known;
/// targets cache a few hundred prompts.
const PREFIX_TTL: Duration = Duration::from_secs(30);
/// Maximum time for which a part counts as cached.
const MAX_PREFIX_TTL: Duration = Duration::from_secs(120); // a target without traffic may have restarted
/// Fraction of a target's memory that holds cached parts beside the prompts of running requests.
const PART_MEMORY_SHARE: f64 = 0.7;
/// Cost of each second that the rest of an answer takes, relative to one until its first event. Late
/// first events cost the objective; a slow rest causes pauses and missed deadlines.
const REST_COST: f64 = 0.5;
/// Slowness from which a target is not expected to cache parts as an owner: daemons that know of it
/// prefer others.
const MAX_OWNER_SLOWNESS: f64 = 1.2;
/// Number of events from which longer answers cost no more. Their expected length is often a bound.
const MAX_EVENTS: u32 = 256;
/// Range in seconds of the random cost that spreads requests over targets that are about as good, once
/// speeds are known. These are equal at all daemons, and without it all of them would choose the same
/// target until its load is reported.
const SPREAD: f64 = 0.008; // two running requests
/// Fractions of the prefill time expected at the first, second and third choice of rendezvous
/// hashing. Later choices take over as earlier ones fill up.
const OWNER_PREFILL_SHARES: [f64; 3] = [0.2, 0.5, 0.8];
/// Cost in seconds of each running request.
const LOAD_COST: f64 = 0.004; // each request slows a batch down by a few percent
/// Cost in seconds of each waiting request.
const WAIT_COST: f64 = 0.03; // work of a typical plain request
/// Cost in seconds per byte of large results that are read from another domain.
const LARGE_RESULT_COST: f64 = 1.0e-8; // the sites price 1 MB like the prefill of 400 tokens
/// Cost in seconds of a target in another domain.
const DISTANCE_COST: f64 = 0.003; // a round trip between domains
/// Cost in seconds of a target whose answers all fail.
const ERROR_COST: f64 = 0.5; // several times the objective of plain requests
/// Weight of the latest answer in the error rate.
const ERROR_RATE_WEIGHT: f64 = 0.2;
/// Weight of the latest answer in the mean time to the answer.
const TIME_WEIGHT: f64 = 0.2;
/// Age in seconds at which a load report has half its weight.
const REPORT_HALF_LIFE: f64 = 0.5; // about the duration of a request
/// Initial pause of a target that was unreachable or timed out.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Maximum pause after repeated failures.
const MAX_PAUSE: Duration = Duration::from_secs(4); // crashed targets are back in a few seconds
/// Number of sent parts from which expired ones are dropped.
const MAX_PARTS: usize = 20_000; // at about 100 bytes each, less than 2 MB

impl TargetSelector {
    /// Selects one of `targets`, or none if all of them were tried or are at capacity.
    pub fn choose<'a>(
        &self,
        now: Time,
        targets: impl Iterator<Item = &'a Target>,
        criteria: &Criteria<'_>,
    ) -> Option<Selection<'a>> {
        let targets: Vec<&Target> = targets
            .filter(|target| !criteria.tried.contains(&target.id))
            .collect();
        let targets: Vec<(&Target, Expectation)> = targets
            .into_iter()
            .map(|target| {
                (
                    target,
                    self.performance.expectation(now, &target.pool, &target.id),
                )
            })
            .collect();
        let hash_owners = criteria.shared().map(|part| hash_owners(part, &targets));
        let hash_owners = hash_owners.unwrap_or_default();
        let lifetime = self.part_lifetime(&targets, criteria);
        let scored = targets.iter().map(|(target, expectation)| {
            let stats = self.stats.get(&target.id);
            let rank = hash_owners
                .iter()
                .position(|owner| *owner == Some(&target.id));
            let is_full = stats.is_some_and(|stats| stats.in_flight >= criteria.max_in_flight);
            let is_paused = stats.is_some_and(|stats| now < stats.paused_until);
            let tokens = self.uncached_tokens(now, target, criteria, rank, lifetime);
            let load = stats.map_or(0.0, |stats| stats.cost(now, target, expectation));
            let cost = load + criteria.cost(target, expectation, tokens);
            ((is_full, is_paused), cost, *target)
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

    /// Records that a call is sent and which prompt parts the target will cache.
    pub fn start_call(&mut self, now: Time, target: &Target, parts: &[Part]) {
        self.stats_mut(&target.id).in_flight += 1;
        if parts.is_empty() {
            return;
        }
        if self.parts.len() > MAX_PARTS {
            self.drop_parts(now);
        }
        let sent_tokens = self.sent_tokens.entry(target.pool.clone()).or_default();
        for part in parts {
            let key = (target.id.clone(), part.id.clone());
            let known = self.parts.get(&key);
            if known.is_none_or(|sent| now >= sent.at + PREFIX_TTL) {
                *sent_tokens += u64::from(part.tokens);
            }
            let sent = SentPart {
                at: now,
                sent_tokens: *sent_tokens,
            };
            self.parts.insert(key, sent);
        }
    }

    /// Records that a call has ended, whatever its outcome.
    pub fn end_call(&mut self, target: &TargetId) {
        let stats = self.stats_mut(target);
        stats.in_flight = stats.in_flight.saturating_sub(1);
    }

    /// Returns the number of calls from this daemon to a target in flight.
    pub fn in_flight(&self, target: &TargetId) -> u32 {
        self.stats.get(target).map_or(0, |stats| stats.in_flight)
    }

    /// Records an answer and the time it took. A good one ends the target's pause.
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

    /// Records that a target closed the connection, timed out or was unreachable, and pauses it.
    pub fn record_failure(&mut self, now: Time, target: &TargetId) {
        let stats = self.stats_mut(target);
        stats.error_rate += ERROR_RATE_WEIGHT * (1.0 - stats.error_rate);
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(stats.failures.min(8));
        stats.paused_until = now + pause.min(MAX_PAUSE);
        stats.failures += 1;
    }

    /// Forgets all failures, which were those of this daemon's network.
    pub fn clear_failures(&mut self) {
        for stats in self.stats.values_mut() {
            stats.error_rate = 0.0;
            stats.failures = 0;
            stats.paused_until = Time::ZERO;
        }
    }

    /// Records the numbers of running and waiting requests that a target reported.
    pub fn record_load(&mut self, now: Time, target: &TargetId, running: u32, waiting: u32) {
        let stats = self.stats_mut(target);
        stats.running = f64::from(running);
        stats.waiting = f64::from(waiting);
        stats.reported = Some(now);
    }

    /// Drops all state of a target that has ended.
    pub fn remove_target(&mut self, target: &TargetId) {
        self.stats.remove(target);
        self.parts.retain(|(of, _), _| of != target);
        self.performance.remove_target(target);
    }

    /// Returns what is known of the speed of targets.
    pub fn performance(&self) -> &Performance {
        &self.performance
    }

    /// Returns what is known of the speed of targets, to record more.
    pub fn performance_mut(&mut self) -> &mut Performance {
        &mut self.performance
    }

    /// Drops parts that are expected to be cached no more, or the older half if there are none.
    fn drop_parts(&mut self, now: Time) {
        for ttl in [MAX_PREFIX_TTL, PREFIX_TTL, PREFIX_TTL / 4] {
            self.parts.retain(|_, sent| now < sent.at + ttl);
            if self.parts.len() <= MAX_PARTS / 2 {
                return;
            }
        }
    }

    fn stats_mut(&mut self, target: &TargetId) -> &mut TargetStats {
        self.stats.entry(target.clone()).or_default()
    }

    /// Returns the expected number of tokens of shared prompt parts that the target has not cached.
    fn uncached_tokens(
        &self,
        now: Time,
        target: &Target,
        criteria: &Criteria<'_>,
        rank: Option<usize>,
        lifetime: PartLifetime,
    ) -> f64 {
        let mut tokens = 0.0;
        let mut is_cached = true;
        for part in criteria.shared_parts() {
            let sent = self.parts.get(&(target.id.clone(), part.id.clone()));
            is_cached &= sent.is_some_and(|sent| lifetime.includes(now, sent));
            if !is_cached {
                tokens += f64::from(part.tokens);
            }
        }
        if let Some(rank) = rank
            && !is_cached
        {
            tokens *= OWNER_PREFILL_SHARES[rank];
        }
        tokens
    }

    fn part_lifetime(
        &self,
        targets: &[(&Target, Expectation)],
        criteria: &Criteria<'_>,
    ) -> PartLifetime {
        let (Some(memory), Some((target, _))) = (criteria.memory, targets.first()) else {
            return PartLifetime::Fixed;
        };
        // Other daemons are expected to send the targets as much as this one.
        let capacity = f64::from(memory.tokens) * PART_MEMORY_SHARE * targets.len() as f64;
        let sent_tokens = self.sent_tokens.get(&target.pool);
        PartLifetime::Memory {
            max_tokens: (capacity / f64::from(memory.daemons.max(1))) as u64,
            sent_tokens: sent_tokens.copied().unwrap_or_default(),
        }
    }
}

impl PartLifetime {
    fn includes(self, now: Time, sent: &SentPart) -> bool {
        match self {
            Self::Fixed => now < sent.at + PREFIX_TTL,
            Self::Memory {
                max_tokens,
                sent_tokens,
            } => {
                let since = sent_tokens.saturating_sub(sent.sent_tokens);
                since <= max_tokens && now < sent.at + MAX_PREFIX_TTL
            }
        }
    }
}

/// Returns whether the first target is to be preferred to the second.
fn is_better(
    (penalties, cost, _): &ScoredTarget<'_>,
    (others, other, _): &ScoredTarget<'_>,
) -> bool {
    penalties.cmp(others).then(cost.total_cmp(other)).is_lt()
}

/// Returns the targets with the highest rendezvous hashes for a part, in descending order.
fn hash_owners<'a>(
    part: &Part,
    targets: &[(&'a Target, Expectation)],
) -> [Option<&'a TargetId>; OWNER_PREFILL_SHARES.len()] {
    let mut best: [Option<(u64, &TargetId)>; OWNER_PREFILL_SHARES.len()] =
        [None; OWNER_PREFILL_SHARES.len()];
    let fast = targets
        .iter()
        .filter(|(_, expectation)| expectation.slowness <= MAX_OWNER_SLOWNESS);
    for (target, _) in fast {
        let entry = Some((hash::texts(&[&part.id, &target.id]), &target.id));
        if let Some(rank) = best.iter().position(|other| *other < entry) {
            best[rank..].rotate_right(1);
            best[rank] = entry;
        }
    }
    best.map(|entry| entry.map(|(_, id)| id))
}

impl TargetStats {
    /// Returns the cost of the target's load and failures.
    fn cost(&self, now: Time, target: &Target, expectation: &Expectation) -> f64 {
        let own = f64::from(self.in_flight);
        let age = self
            .reported
            .map_or(f64::INFINITY, |at| now.saturating_sub(at).as_secs_f64());
        let weight = 0.5_f64.powf(age / REPORT_HALF_LIFE);
        let running = own.max(self.running * weight);
        let over = (running + 1.0 - f64::from(target.slots)).max(0.0);
        let waiting = self.waiting * weight + over;
        // The pace of streams shows the speed of a target better than the time to the first events of a
        // few requests, which depends on their prompts and on what was cached.
        let time = match expectation.pool_interval {
            Some(_) => 0.0,
            None => self.mean_seconds.unwrap_or_default().min(1.0) * TIME_COST,
        };
        (running * LOAD_COST + waiting * WAIT_COST) * expectation.factor()
            + self.error_rate * ERROR_COST
            + time
    }
}

/// Fraction of a target's mean time to the answer that is added to its cost, so that slow targets
/// receive fewer requests.
const TIME_COST: f64 = 0.3;

impl Criteria<'_> {
    /// Returns the parts of the prompt that are shared with other requests.
    fn shared_parts(&self) -> &[Part] {
        self.parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared)
    }

    /// Returns the last part of the prompt that is shared with other requests.
    fn shared(&self) -> Option<&Part> {
        self.shared_parts().last()
    }

    /// Returns the cost of a target of which `tokens` shared tokens are not cached, apart from its load.
    fn cost(&self, target: &Target, expectation: &Expectation, tokens: f64) -> f64 {
        let distance = match self.domain {
            Some(domain) if *domain != target.domain => DISTANCE_COST,
            Some(_) | None => 0.0,
        };
        let large_results = match self.large_results {
            Some((domain, bytes)) if *domain != target.domain => LARGE_RESULT_COST * bytes as f64,
            Some(_) | None => 0.0,
        };
        let own_tokens = self.parts.last().map_or(0, |part| part.tokens);
        let excess = expectation.factor() - 1.0;
        let slow_prefill = f64::from(own_tokens) / PREFILL_RATE * excess;
        tokens / PREFILL_RATE * expectation.factor()
            + distance
            + large_results
            + slow_prefill
            + self.rest_cost(target, expectation)
            + self.wait(&target.id)
    }

    /// Returns the seconds that the request has to expect to wait before it may be sent to a target.
    fn wait(&self, target: &TargetId) -> f64 {
        let mut waits = self.waits.iter();
        let wait = waits.find(|(of, _)| of == target);
        wait.map_or(0.0, |(_, wait)| wait.as_secs_f64())
    }

    /// Returns the cost of the time from the first event to the last one, less the usual one in the pool.
    fn rest_cost(&self, target: &Target, expectation: &Expectation) -> f64 {
        let Some(interval) = expectation.pool_interval else {
            return 0.0;
        };
        let usual = f64::from(self.events.min(MAX_EVENTS)) * interval;
        let rest = usual * expectation.slowness;
        let left = self
            .time_left
            .map_or(f64::INFINITY, |left| left.as_secs_f64());
        let overrun = (rest - left).max(0.0);
        let spread = SPREAD * unit(self.draw ^ hash::texts(&[&target.id]));
        (rest - usual) * REST_COST + overrun + spread
    }
}

/// Returns a number from 0 to 1 that depends on all bits of `x`.
fn unit(x: u64) -> f64 {
    hash::mix(x) as f64 / u64::MAX as f64
}
