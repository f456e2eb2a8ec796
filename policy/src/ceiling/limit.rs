//! Quotas of the entries for one ceiling.

use super::{FLOOR_SHARE, RAISE_PERIOD, TICK, TokenBucket};
use crate::id::{HostId, Time};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Time constant of the average of the offered rate.
const AVERAGING_PERIOD: Duration = Duration::from_secs(3);

/// Minimum time between two publications of a changed rate of one row.
const PUBLISH_PERIOD: Duration = Duration::from_secs(1);

/// Minimum change of the offered rate that is published, relative to the published rate.
const MIN_RELATIVE_CHANGE: f64 = 0.1;

/// Minimum change of the offered rate that is published, in standard deviations of its average.
const MIN_CHANGE_DEVIATIONS: f64 = 2.5;

/// Offered rate below which demand is published as zero, as a fraction of the ceiling.
const IDLE_SHARE: f64 = 2e-3;

/// Fraction of the ceiling that all entries use, below which changed demand is not published.
const LOW_CEILING_USE: f64 = 0.5;

/// Fraction of the entry's quota in use, below which changed demand is not published while the
/// use of the ceiling is below [`LOW_CEILING_USE`].
const LOW_QUOTA_USE: f64 = 0.8;

/// Minimum change of a quota, relative to the current quota.
const MIN_QUOTA_CHANGE: f64 = 0.01;

/// One ceiling with the entry's own quota and the published quotas of the other entries.
#[derive(Debug)]
pub(super) struct RowLimit {
    pub bucket: TokenBucket,
    active: bool,
    ceiling: f64,
    offered_requests: u32,
    rate: f64,
    measured_at: Time,
    last_raise: Option<Time>,
    reservation: Option<Reservation>,
    published: Demand,
    published_at: Option<Time>,
    recent_rates: VecDeque<(Time, f64)>,
    peers: BTreeMap<HostId, Demand>,
}

/// Demand and quota published by an entry, in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Demand {
    rate: f64,
    quota: f64,
}

/// Earlier, higher quota that is in use until all starts scheduled under it have taken place.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    quota: f64,
    until: Time,
}

impl RowLimit {
    /// Creates a limit whose quota is the floor.
    pub fn new(now: Time, ceiling: f64, members: usize) -> Self {
        Self {
            bucket: TokenBucket::new(now, floor(ceiling, members)),
            active: true,
            ceiling,
            offered_requests: 0,
            rate: 0.0,
            measured_at: now,
            last_raise: None,
            reservation: None,
            published: Demand::default(),
            published_at: None,
            recent_rates: VecDeque::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Changes the ceiling; a lower one reduces the quota in proportion.
    #[must_use]
    pub fn with_ceiling(mut self, now: Time, ceiling: f64) -> Self {
        let factor = ceiling / self.ceiling;
        if factor < 1.0 {
            self.lower(now, self.bucket.rate() * factor);
        }
        self.ceiling = ceiling;
        self.activate(now);
        self
    }

    /// Removes the quotas of entries that are no longer members, and makes room for new members.
    pub fn set_members(&mut self, now: Time, members: &BTreeSet<HostId>) {
        self.activate(now);
        self.peers.retain(|host, _| members.contains(host));
        if members.len() == 1 {
            return;
        }
        // A new member uses its floor immediately, so the others must leave room for it.
        let most = self.ceiling - floor(self.ceiling, members.len()) * (members.len() - 1) as f64;
        if self.bucket.rate() > most {
            self.lower(now, most);
        }
    }

    /// Records the demand and quota that another entry published; invalid values are ignored.
    pub fn record_demand(&mut self, now: Time, from: &HostId, rate: f64, quota: f64) {
        self.activate(now);
        if rate.is_finite() && quota.is_finite() && rate >= 0.0 && quota >= 0.0 {
            self.peers.insert(from.clone(), Demand { rate, quota });
        }
    }

    /// Counts an offered request, whether it is admitted or not.
    pub fn record_offered(&mut self, now: Time) {
        self.activate(now);
        self.offered_requests += 1;
    }

    /// Adjusts the quota to the demand, and returns the rate and quota if they must be published.
    ///
    /// # Performance
    ///
    /// A limit without demand is skipped until its inputs change.
    pub fn tick(
        &mut self,
        now: Time,
        host: &HostId,
        members: &BTreeSet<HostId>,
        stable: bool,
    ) -> Option<(f64, f64)> {
        if !self.active {
            return None;
        }
        self.measure(now);
        let moved = self.adjust(now, host, members, stable);
        let update = self.pending_update(now);
        let must_recheck = !stable
            || self
                .reservation
                .is_some_and(|reservation| now < reservation.until)
            || self.last_raise.is_some_and(|at| now < at + RAISE_PERIOD);
        let idle = self.rounded_rate() == 0.0 && self.published.rate == 0.0;
        self.active =
            moved || update.is_some() || must_recheck || !idle || !self.recent_rates.is_empty();
        update
    }

    /// Resumes the evaluation of the limit in [`tick`](Self::tick).
    ///
    /// The inactive time had no demand, so the average restarts from zero.
    fn activate(&mut self, now: Time) {
        if !self.active {
            self.active = true;
            self.rate = 0.0;
            self.measured_at = now.saturating_sub(TICK);
        }
    }

    /// Updates the average of the offered rate.
    fn measure(&mut self, now: Time) {
        let passed = now.saturating_sub(self.measured_at).as_secs_f64();
        if passed == 0.0 {
            return;
        }
        let weight = 1.0 - (-passed / AVERAGING_PERIOD.as_secs_f64()).exp();
        self.rate += (f64::from(self.offered_requests) / passed - self.rate) * weight;
        self.offered_requests = 0;
        self.measured_at = now;
    }

    /// Lowers the quota to its target, or raises it within what the others leave free.
    ///
    /// Returns whether the quota changed.
    fn adjust(
        &mut self,
        now: Time,
        host: &HostId,
        members: &BTreeSet<HostId>,
        stable: bool,
    ) -> bool {
        let others = members.iter().filter(|member| *member != host);
        let others: Vec<_> = others
            .map(|member| self.peers.get(member).copied().unwrap_or_default())
            .collect();
        let own = self.bucket.rate();
        let step = own * MIN_QUOTA_CHANGE;
        let target = self.own_quota_for(&others, self.published.rate);
        if target < own - step {
            self.lower(now, target);
            return true;
        }
        let raise_allowed = self.last_raise.is_none_or(|at| now >= at + RAISE_PERIOD);
        let visible_rate = self.min_visible_rate(now);
        let target = self.own_quota_for(&others, visible_rate);
        if target < own + step || !raise_allowed || !stable {
            return false;
        }
        let raise = self.raise_amount(now, &others, target - own);
        if raise > 0.0 {
            self.bucket.set_rate(now, own + raise);
            self.last_raise = Some(now);
        }
        raise > 0.0
    }

    /// Lowers the quota for requests admitted from now on.
    fn lower(&mut self, now: Time, quota: f64) {
        let until = self.bucket.debt_paid_at(now);
        let reservation = Reservation {
            quota: self.quota_in_use(now),
            until: self
                .reservation
                .map_or(until, |reservation| reservation.until.max(until)),
        };
        self.reservation = (reservation.until > now).then_some(reservation);
        self.bucket.set_rate(now, quota);
    }

    /// Returns the largest quota under which scheduled starts are outstanding.
    fn quota_in_use(&self, now: Time) -> f64 {
        let reservation = self
            .reservation
            .filter(|reservation| now < reservation.until);
        reservation
            .map_or(0.0, |reservation| reservation.quota)
            .max(self.bucket.rate())
    }

    /// Returns the rate and quota if they must be published.
    fn pending_update(&mut self, now: Time) -> Option<(f64, f64)> {
        let quota = self.quota_in_use(now);
        let quota_moved = (quota - self.published.quota).abs() > f64::EPSILON;
        let due = self
            .published_at
            .is_none_or(|at| now >= at + PUBLISH_PERIOD);
        let rate = self.rounded_rate();
        let moved = (rate - self.published.rate).abs() > self.min_published_change();
        let rate_moved = due && moved && !self.is_lightly_used(quota);
        if !quota_moved && !rate_moved {
            return None;
        }
        if rate_moved {
            self.recent_rates.push_back((now, self.published.rate));
            self.published.rate = rate;
        }
        self.published.quota = quota;
        self.published_at = Some(now);
        Some((self.published.rate, quota))
    }

    /// Returns whether neither this entry's quota nor the ceiling is close to being used up.
    ///
    /// Returns false if there is no demand, so that demand which falls to zero is always published.
    fn is_lightly_used(&self, quota: f64) -> bool {
        let others: f64 = self.peers.values().map(|demand| demand.rate).sum();
        let is_idle = self.rounded_rate() == 0.0;
        !is_idle
            && self.rate < quota * LOW_QUOTA_USE
            && self.rate + others < self.ceiling * LOW_CEILING_USE
    }

    fn rounded_rate(&self) -> f64 {
        if self.rate < self.ceiling * IDLE_SHARE {
            0.0
        } else {
            self.rate
        }
    }

    /// Returns the minimum change of the rate that is published.
    ///
    /// It exceeds both the relative minimum and the noise of random arrivals; it is 0 if there is no
    /// demand, so that demand which falls to zero is published.
    fn min_published_change(&self) -> f64 {
        if self.rate < self.ceiling * IDLE_SHARE {
            return 0.0;
        }
        let relative = self.published.rate * MIN_RELATIVE_CHANGE;
        let variance = self.rate.max(self.published.rate) / (2.0 * AVERAGING_PERIOD.as_secs_f64());
        relative.max(MIN_CHANGE_DEVIATIONS * variance.sqrt())
    }

    /// Returns the lowest rate that some entry may still assume to be this entry's published rate.
    ///
    /// Frames may be in transit for up to [`RAISE_PERIOD`], so rates replaced within it count.
    fn min_visible_rate(&mut self, now: Time) -> f64 {
        while let Some((replaced, _)) = self.recent_rates.front()
            && now >= *replaced + RAISE_PERIOD
        {
            self.recent_rates.pop_front();
        }
        let recent_rates = self.recent_rates.iter().map(|(_, rate)| *rate);
        recent_rates.fold(self.published.rate, f64::min)
    }

    /// Returns the quota that this entry should have if its demand is `rate`.
    fn own_quota_for(&self, others: &[Demand], rate: f64) -> f64 {
        let total = rate + others.iter().map(|demand| demand.rate).sum::<f64>();
        self.quota_for(total, others.len() + 1, rate)
    }

    /// Returns the quota that an entry should have.
    ///
    /// It is the floor plus a share of the rest in proportion to the entry's demand, or an equal
    /// share if there is no demand.
    fn quota_for(&self, total: f64, members: usize, rate: f64) -> f64 {
        let rest = self.ceiling * (1.0 - FLOOR_SHARE);
        let share = if total > 0.0 {
            rate / total
        } else {
            1.0 / members as f64
        };
        floor(self.ceiling, members) + rest * share
    }

    /// Returns by how much this entry may raise its quota, which is `own_shortfall` below target.
    ///
    /// If the free part of the ceiling does not cover all shortfalls, it is divided in proportion.
    fn raise_amount(&self, now: Time, others: &[Demand], own_shortfall: f64) -> f64 {
        let members = others.len() + 1;
        // An entry that has published nothing uses at least its floor.
        let quota = |demand: &Demand| demand.quota.max(floor(self.ceiling, members));
        let used = self.quota_in_use(now) + others.iter().map(quota).sum::<f64>();
        let free = (self.ceiling - used).max(0.0);
        let total = self.published.rate + others.iter().map(|demand| demand.rate).sum::<f64>();
        let shortfall = |demand: &Demand| {
            (self.quota_for(total, members, demand.rate) - quota(demand)).max(0.0)
        };
        let total_shortfall = own_shortfall + others.iter().map(shortfall).sum::<f64>();
        own_shortfall * (free / total_shortfall).min(1.0)
    }
}

/// Returns the quota that each entry has regardless of demand.
fn floor(ceiling: f64, members: usize) -> f64 {
    ceiling * FLOOR_SHARE / members as f64
}
