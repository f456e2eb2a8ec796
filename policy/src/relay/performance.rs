//! Speed of targets, learned from their responses.
//!
//! Targets of a pool differ in speed, and the speed of each varies from moment to moment. The pace of
//! the events within a stream shows the first: it does not depend on the prompt, and one stream has
//! many events. A daemon sees a given target only every few seconds, so daemons tell each other their
//! samples with heartbeats. The second is stated in each response, and holds for a fraction of a second.
//!
//! A target that is not known counts as its pool does on average, and knowledge fades, so that a slow
//! target is tried again from time to time with usual requests.

use crate::id::{PoolId, TargetId, Time};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Pace of the events of one stream.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceSample {
    /// Target that sent the stream.
    pub target: TargetId,
    /// Mean time between two events.
    pub interval: Duration,
    /// Number of these intervals.
    pub events: u32,
}

/// What is expected of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expectation {
    /// Time that work usually takes, relative to the mean of the pool; 1 if unknown or shorter. All
    /// daemons learn the same, and would send everything to a target that counted as faster than others:
    /// 1,200 requests had to be in flight there until their own loads outweighed it.
    pub slowness: f64,
    /// Time that work takes at the moment, relative to its usual time there; 1 if unknown.
    pub momentary: f64,
    /// Usual seconds between two events of streams of the pool; absent if unknown.
    pub pool_interval: Option<f64>,
}

/// Speed of all targets.
#[derive(Clone, Debug, Default)]
pub struct Performance {
    targets: HashMap<TargetId, TargetPerformance>,
    pools: HashMap<PoolId, PoolPerformance>,
    /// Latest samples of this daemon, for its peers.
    samples: VecDeque<PaceSample>,
    /// Number of samples that were ever added to `samples`.
    sample_count: u64,
}

/// Moving average whose weight fades.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    mean: f64,
    /// Number of samples that it stands for.
    weight: f64,
    updated: Time,
}

#[derive(Clone, Debug, Default)]
struct TargetPerformance {
    /// Logarithm of the seconds between two events.
    interval: Average,
    /// Load factors that the target has stated.
    usual_factor: Average,
    /// Latest load factor and when it was stated.
    factor: Option<(f64, Time)>,
}

#[derive(Clone, Debug, Default)]
struct PoolPerformance {
    interval: Average,
    factor: Average,
}

/// Number of intervals from which a stream counts in full; fewer say less about the usual speed.
const FULL_SAMPLE_EVENTS: f64 = 32.0;
/// Minimum number of intervals of a sample. A few events may be sent together.
const MIN_SAMPLE_EVENTS: u32 = 4;
/// Intervals of a sample outside this range, in seconds, are no pace of a stream.
const INTERVALS: std::ops::RangeInclusive<f64> = 1.0e-4..=2.0;
/// Maximum ratio by which a sample counts as slower or faster than the pool. A caller that reads
/// slowly makes its target seem slow.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Number of samples that a target's average stands for at most. At the 4 samples a second that all
/// daemons together have of a target, it follows a change within a few seconds.
const MAX_WEIGHT: f64 = 30.0;
/// Number of samples that a pool's average stands for at most.
const MAX_POOL_WEIGHT: f64 = 1000.0;
/// Time without any sample of a pool after which nothing is known of its targets.
const POOL_TTL: Duration = Duration::from_secs(60);
/// Number of samples that the mean of the pool counts for in the estimate of a target: the variance of
/// one sample over that between targets, at 2.5 times the time for 15% of the moments and targets that
/// take 0.7 to 1.7 times the nominal time.
const PRIOR_WEIGHT: f64 = 0.6;
/// Part of the logarithm of a target's slowness that is put down to chance and load.
const UNCERTAINTY: f64 = 0.3; // twice the error of an average of 8 samples
/// Time in which the weight of an average halves without samples. A slow target that gets no requests
/// is then tried again after about three minutes.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Time within which the load factor of a target changes.
const FACTOR_TTL: Duration = Duration::from_millis(600);
/// Load factors that are believed.
const FACTORS: std::ops::RangeInclusive<f64> = 0.1..=20.0;
/// Load factor of a machine without disturbance.
const USUAL_FACTOR: f64 = 1.0;
/// Number of load factors that the mean of the pool counts for in the usual one of a target.
const FACTOR_PRIOR_WEIGHT: f64 = 8.0;
/// Number of own samples that are kept for peers.
const MAX_SAMPLES: usize = 64;
/// Number of samples that a peer is told when it is linked.
const FIRST_SAMPLES: u64 = 16;

impl Performance {
    /// Records the pace of a stream that this daemon has forwarded, and keeps it for its peers.
    pub fn record_own_pace(&mut self, now: Time, pool: &PoolId, sample: PaceSample) {
        if !self.record_pace(now, pool, &sample) {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        self.sample_count += 1;
    }

    /// Records the pace of a stream. Returns `false` if it says nothing about the speed of its target.
    pub fn record_pace(&mut self, now: Time, pool: &PoolId, sample: &PaceSample) -> bool {
        let seconds = sample.interval.as_secs_f64();
        if sample.events < MIN_SAMPLE_EVENTS || !INTERVALS.contains(&seconds) {
            return false;
        }
        let weight = (f64::from(sample.events) / FULL_SAMPLE_EVENTS).min(1.0);
        let pool = self.pools.entry(pool.clone()).or_default();
        let mut value = seconds.ln();
        if pool.interval.weight >= 1.0 {
            let limit = MAX_SAMPLE_RATIO.ln();
            value = value.clamp(pool.interval.mean - limit, pool.interval.mean + limit);
        }
        pool.interval.add(now, value, weight, MAX_POOL_WEIGHT);
        let target = self.targets.entry(sample.target.clone()).or_default();
        target.interval.fade(now);
        target.interval.add(now, value, weight, MAX_WEIGHT);
        true
    }

    /// Records the time that work takes on a target at the moment, relative to that without
    /// disturbance. Factors that no machine can have are ignored.
    pub fn record_factor(&mut self, now: Time, pool: &PoolId, target: &TargetId, factor: f64) {
        if !FACTORS.contains(&factor) {
            return;
        }
        let pool = self.pools.entry(pool.clone()).or_default();
        pool.factor.add(now, factor, 1.0, MAX_POOL_WEIGHT);
        let target = self.targets.entry(target.clone()).or_default();
        target.usual_factor.add(now, factor, 1.0, MAX_WEIGHT);
        target.factor = Some((factor, now));
    }

    /// Returns what is expected of a target.
    pub fn expectation(&self, now: Time, pool: &PoolId, target: &TargetId) -> Expectation {
        let pool = self.pools.get(pool);
        let target = self.targets.get(target);
        let known = pool
            .filter(|pool| pool.interval.weight > 0.0 && now < pool.interval.updated + POOL_TTL);
        let slowness = known.zip(target).map(|(pool, target)| {
            let mut own = target.interval;
            own.fade(now);
            let share = own.weight / (own.weight + PRIOR_WEIGHT);
            let difference = share * (own.mean - pool.interval.mean);
            (difference - UNCERTAINTY).max(0.0).exp()
        });
        let momentary = pool
            .zip(target)
            .map(|(pool, target)| target.momentary(now, pool));
        Expectation {
            slowness: slowness.unwrap_or(1.0),
            momentary: momentary.unwrap_or(1.0),
            pool_interval: known.map(|pool| pool.interval.mean.exp()),
        }
    }

    /// Returns the number from which a peer that has just been linked is told samples.
    pub fn first_sample(&self) -> u64 {
        self.sample_count.saturating_sub(FIRST_SAMPLES)
    }

    /// Returns the samples of this daemon from number `first` on that are kept, and the number of the
    /// next one.
    pub fn samples_from(&self, first: u64) -> (impl Iterator<Item = &PaceSample>, u64) {
        let dropped = self.sample_count - self.samples.len() as u64;
        let skipped = first.saturating_sub(dropped) as usize;
        (self.samples.iter().skip(skipped), self.sample_count)
    }

    /// Drops what is known of a target that has ended.
    pub fn remove_target(&mut self, target: &TargetId) {
        self.targets.remove(target);
    }
}

impl Expectation {
    /// Returns the time that work takes now, relative to the mean of the pool.
    pub fn factor(&self) -> f64 {
        self.slowness * self.momentary
    }
}

impl Average {
    fn add(&mut self, now: Time, value: f64, weight: f64, max_weight: f64) {
        self.weight = (self.weight + weight).min(max_weight);
        self.mean += weight / self.weight * (value - self.mean);
        self.updated = now;
    }

    /// Reduces the weight by the time since the last sample.
    fn fade(&mut self, now: Time) {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.weight *= 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.updated = self.updated.max(now);
    }

    /// Returns the mean, of which `prior` is a part that stands for [`FACTOR_PRIOR_WEIGHT`] samples.
    fn shrunk(&self, prior: f64) -> f64 {
        let share = self.weight / (self.weight + FACTOR_PRIOR_WEIGHT);
        prior + share * (self.mean - prior)
    }
}

impl TargetPerformance {
    /// Returns the time that work takes at the moment, relative to its usual time on the target. A
    /// factor counts less with age, by the probability that it has changed since.
    fn momentary(&self, now: Time, pool: &PoolPerformance) -> f64 {
        let Some((factor, at)) = self.factor else {
            return 1.0;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        let unchanged = (1.0 - age / FACTOR_TTL.as_secs_f64()).max(0.0);
        let pool_usual = pool.factor.shrunk(USUAL_FACTOR);
        let usual = self.usual_factor.shrunk(pool_usual);
        1.0 + unchanged * (factor / usual - 1.0)
    }
}
