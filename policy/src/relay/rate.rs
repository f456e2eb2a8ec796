//! Limits on the rate of requests that targets name.
//!
//! A target in need says in its answers how many requests a second it takes from all daemons
//! together, for as long as it says so: often one or two, of hundreds of daemons that hold a few
//! requests each. All of them find it idle, since the others leave it alone. A share that each daemon
//! keeps for itself is then one request in minutes, and a burst when many of them make use of theirs
//! at once. So the leader alone spends the rate, and grants sends to the others, evenly spaced. It
//! grants the linked daemons' share only: those that have been lost may have a leader of their own. A
//! daemon that becomes the leader begins with nothing saved up, so that its grants and those of the
//! one before add up to no burst.
//!
//! All daemons tell each other of limits, and ask with the limit that they know, so that the leader
//! need not have heard of it. Answers overtake each other: one without a limit ends it only if its
//! request was sent after the limit was last named. So do reports: what was named last holds.
//!
//! A target that is cold has such a limit too, by the configuration, until it is no longer
//! [`cold`](super::cold). Of both limits, the smaller one holds.

use super::{leader::UnixMillis, registry::Target};
use crate::id::{HostId, TargetId, Time};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// Number of requests a second.
pub type Rate = f64;

/// Lowest rate at which a target is asked whether its limit has ended.
const MIN_RATE: Rate = 0.1;
/// Longest interval between two sends of a pace.
pub const MAX_INTERVAL: Duration = Duration::from_secs(3_600);
/// Number of sends that may be made at once after a time without any.
const BURST: u32 = 2;
/// Interval at which the limit of a target is reported to peers although it has not changed.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which the share of a daemon that is no longer linked is held back: it may still run.
const MEMBER_TTL: Duration = Duration::from_secs(30);
/// Time for which the limit of a target without an entry is remembered.
const LIMIT_MEMORY: Duration = Duration::from_secs(60);

/// What a daemon tells its peers of the limit of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The target.
    pub target: TargetId,
    /// Its start time in milliseconds since the Unix epoch.
    pub started_unix_ms: UnixMillis,
    /// Its limit; `None` if it names none any more.
    pub rate: Option<Rate>,
    /// Time since it was named, or since the request was sent whose answer named none.
    pub age: Duration,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may be sent after this time.
    Send(Duration),
    /// It may not; the target takes the next one after this time.
    Refuse(Duration),
}

/// Spends a rate in evenly spaced sends.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    interval: Duration,
    /// When the sends made so far would have been due, had they been evenly spaced.
    spent_until: Time,
}

/// Limits that targets have named, by target.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    targets: HashMap<TargetId, Limit>,
    fleet: Fleet,
}

/// Limit of a target while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Requests a second.
    pub rate: Rate,
    /// End of the limit.
    pub until: Time,
}

#[derive(Clone, Debug)]
struct Limit {
    /// Start of the target that it applies to.
    started: UnixMillis,
    /// Limit that the target names, if it does.
    named: Option<Rate>,
    /// When it was last named.
    named_at: Time,
    /// Limit of a target that is cold.
    cold: Option<Cold>,
    /// When any daemon last reported it.
    reported_at: Time,
    pace: Pace,
    /// This daemon sends nothing before.
    closed_until: Time,
}

/// Daemons among which rates are divided.
#[derive(Clone, Debug, Default)]
struct Fleet {
    /// When each daemon was last linked.
    members: BTreeMap<HostId, Time>,
    /// Fraction of them that are linked; 0 before they are known.
    share: f64,
}

impl Pace {
    /// Creates a pace with nothing saved up.
    pub fn new(now: Time, rate: Rate) -> Self {
        let interval = interval(rate);
        let mut pace = Self {
            interval,
            spent_until: Time::ZERO,
        };
        pace.hold(now);
        pace
    }

    /// Changes the rate. At the new one, no more than before is saved up.
    pub fn set_rate(&mut self, now: Time, rate: Rate) {
        self.interval = interval(rate);
        self.spent_until = self.spent_until.min(now + self.interval * BURST);
    }

    /// Discards what is saved up.
    pub fn hold(&mut self, now: Time) {
        self.spent_until = self.spent_until.max(now + self.interval * BURST);
    }

    /// Returns when the next send may be made.
    pub fn open_at(&self) -> Time {
        self.spent_until.saturating_sub(self.interval * (BURST - 1))
    }

    /// Returns the number of sends a second.
    pub fn rate(&self) -> Rate {
        self.interval.as_secs_f64().recip()
    }

    /// Decides about a send that may wait for `max_wait`.
    pub fn take(&mut self, now: Time, max_wait: Duration) -> Decision {
        let wait = self.open_at().saturating_sub(now);
        if wait > max_wait {
            return Decision::Refuse(wait);
        }
        self.spent_until = self.spent_until.max(now) + self.interval;
        Decision::Send(wait)
    }
}

impl Limits {
    /// Records which daemons are linked, this one included. `min_members` is the minimum number of
    /// daemons, in case that some are not linked yet.
    pub fn set_fleet(
        &mut self,
        now: Time,
        linked: impl IntoIterator<Item = HostId>,
        min_members: usize,
    ) {
        let members = &mut self.fleet.members;
        members.extend(linked.into_iter().map(|host| (host, now)));
        members.retain(|_, linked_at| now <= *linked_at + MEMBER_TTL);
        let linked = members.values().filter(|linked_at| **linked_at == now);
        let linked = linked.count() as f64;
        let share = linked / members.len().max(min_members).max(1) as f64;
        if share.to_bits() != self.fleet.share.to_bits() {
            self.fleet.share = share;
            for limit in self.targets.values_mut() {
                limit.pace.set_rate(now, limit.rate().max(MIN_RATE) * share);
            }
        }
    }

    /// Returns the fraction of each rate that the linked daemons may spend.
    pub fn share(&self) -> f64 {
        self.fleet.share
    }

    /// Records what an answer to a request that was sent at `sent_at` says of the target's limit.
    /// Returns what the peers have to know.
    pub fn record_answer(
        &mut self,
        now: Time,
        target: &Target,
        sent_at: Time,
        rate: Option<Rate>,
    ) -> Option<Report> {
        let report = Report {
            target: target.id.clone(),
            started_unix_ms: target.started_unix_ms,
            rate,
            age: rate.map_or_else(|| now.saturating_sub(sent_at), |_| Duration::ZERO),
        };
        let known = self.targets.get(&target.id);
        let is_due =
            rate.is_some() && known.is_none_or(|known| now >= known.reported_at + REPORT_INTERVAL);
        let has_changed = self.apply(now, &report);
        let limit = self.targets.get_mut(&target.id);
        if !has_changed && !is_due {
            return None;
        }
        if let Some(limit) = limit {
            limit.reported_at = now;
        }
        Some(report)
    }

    /// Records what a peer tells. Returns whether this changes the limit of the target.
    pub fn record_report(&mut self, now: Time, report: &Report) -> bool {
        let has_changed = self.apply(now, report);
        if let Some(limit) = self.targets.get_mut(&report.target) {
            limit.reported_at = now;
        }
        has_changed
    }

    fn apply(&mut self, now: Time, report: &Report) -> bool {
        let started = report.started_unix_ms;
        let at = now.saturating_sub(report.age);
        let share = self.fleet.share;
        let known = self.targets.get_mut(&report.target);
        let known = known.filter(|known| known.started >= started);
        match (report.rate, known) {
            (_, Some(known)) if known.started > started => false,
            (Some(_), Some(known)) if at < known.named_at => false,
            (Some(rate), Some(known)) => {
                known.named_at = at;
                let has_changed = known.named.map(Rate::to_bits) != Some(rate.to_bits());
                if has_changed {
                    known.named = Some(rate);
                    known.update_pace(now, share);
                }
                has_changed
            }
            (Some(rate), None) => {
                let limit = Limit {
                    started,
                    named: Some(rate),
                    named_at: at,
                    cold: None,
                    reported_at: now,
                    pace: Pace::new(now, rate.max(MIN_RATE) * share),
                    closed_until: Time::ZERO,
                };
                self.targets.insert(report.target.clone(), limit);
                true
            }
            (None, Some(known)) if known.named.is_some() && at > known.named_at => {
                known.named = None;
                if known.cold.is_none() {
                    self.targets.remove(&report.target);
                } else {
                    known.update_pace(now, share);
                }
                true
            }
            (None, _) => false,
        }
    }

    /// Returns all limits, to be told to a peer that has just been linked.
    pub fn reports(&self, now: Time) -> impl Iterator<Item = Report> {
        let limits = self.targets.iter();
        let named = limits.filter(|(_, limit)| limit.named.is_some());
        named.map(move |(target, limit)| limit.to_report(now, target))
    }

    /// Sets the limit of a target that is cold; `None` if it is not. Returns whether this begins, ends or
    /// changes the limit, apart from its end.
    pub fn set_cold(&mut self, now: Time, target: &Target, cold: Option<Cold>) -> bool {
        let started = target.started_unix_ms;
        let share = self.fleet.share;
        let known = self.targets.get_mut(&target.id);
        match (cold, known.filter(|known| known.started >= started)) {
            (_, Some(known)) if known.started > started => false,
            (Some(cold), Some(known)) => {
                let before = known.cold.replace(cold).map(|before| before.rate.to_bits());
                let has_changed = before != Some(cold.rate.to_bits());
                if has_changed {
                    known.update_pace(now, share);
                }
                has_changed
            }
            (Some(cold), None) => {
                let limit = Limit {
                    started,
                    named: None,
                    named_at: Time::ZERO,
                    cold: Some(cold),
                    reported_at: Time::ZERO,
                    pace: Pace::new(now, cold.rate.max(MIN_RATE) * share),
                    closed_until: Time::ZERO,
                };
                self.targets.insert(target.id.clone(), limit);
                true
            }
            (None, Some(known)) => {
                let has_changed = known.cold.take().is_some();
                if known.named.is_none() {
                    self.targets.remove(&target.id);
                } else if has_changed {
                    known.update_pace(now, share);
                }
                has_changed
            }
            (None, None) => false,
        }
    }

    /// Ends the limits of targets that are no longer cold, and returns these.
    pub fn end_cold(&mut self, now: Time) -> Vec<TargetId> {
        let share = self.fleet.share;
        let mut ended = Vec::new();
        self.targets.retain(|target, limit| {
            if limit.cold.is_some_and(|cold| cold.until <= now) {
                limit.cold = None;
                limit.update_pace(now, share);
                ended.push(target.clone());
                return limit.named.is_some();
            }
            true
        });
        ended
    }

    /// Returns the limit of a target that is cold.
    pub fn cold(&self, target: &Target) -> Option<Cold> {
        self.get(target)?.cold
    }

    /// Returns the number of targets with a limit because they are cold.
    pub fn cold_count(&self) -> usize {
        let limits = self.targets.values();
        limits.filter(|limit| limit.cold.is_some()).count()
    }

    /// Returns the targets that are cold, and how long a request has to expect to wait for a permit.
    pub fn cold_waits(&self, now: Time) -> Vec<(TargetId, Duration)> {
        let limits = self.targets.iter();
        let cold = limits.filter(|(_, limit)| limit.cold.is_some());
        let waits = cold.map(|(target, limit)| {
            let wait = limit.pace.open_at().saturating_sub(now);
            (target.clone(), wait.max(limit.pace.interval))
        });
        waits.collect()
    }

    /// Returns the limit of one target, to be told to a peer.
    pub fn report(&self, now: Time, target: &Target) -> Option<Report> {
        let limit = self.get(target)?;
        Some(limit.to_report(now, &target.id))
    }

    /// Returns the targets with a limit.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.keys()
    }

    /// Returns the limit of a target, if it has one: the smaller one if it names one and is cold, too.
    pub fn rate(&self, target: &Target) -> Option<Rate> {
        self.get(target).map(Limit::rate)
    }

    /// Returns the limit that a target names, if it names one.
    pub fn named_rate(&self, target: &Target) -> Option<Rate> {
        self.get(target)?.named
    }

    /// Returns the share of a target's limit that the linked daemons may spend.
    pub fn spendable(&self, target: &Target) -> Option<Rate> {
        self.get(target).map(|limit| limit.pace.rate())
    }

    /// Spends the rate of a target on a send that may wait for `max_wait`. Only the leader does.
    pub fn take(&mut self, now: Time, target: &TargetId, max_wait: Duration) -> Decision {
        let limit = self.targets.get_mut(target);
        limit.map_or(Decision::Send(Duration::ZERO), |limit| {
            limit.pace.take(now, max_wait)
        })
    }

    /// Discards what is saved up at a daemon that is not the leader. Otherwise each change of the leader
    /// would allow a burst.
    pub fn hold(&mut self, now: Time) {
        for limit in self.targets.values_mut() {
            limit.pace.hold(now);
        }
    }

    /// Records that this daemon was refused a send to a target until `until`.
    pub fn close(&mut self, target: &TargetId, until: Time) {
        if let Some(limit) = self.targets.get_mut(target) {
            limit.closed_until = until;
        }
    }

    /// Returns until when this daemon sends nothing to a target; `None` if it may ask for a send.
    pub fn end(&self, now: Time, target: &Target) -> Option<Time> {
        let until = self.get(target)?.closed_until;
        (now < until).then_some(until)
    }

    /// Drops the limit of a target that has ended.
    pub fn remove_target(&mut self, target: &TargetId) {
        self.targets.remove(target);
    }

    /// Drops limits named long ago of targets for which `has_entry` is false.
    pub fn expire(&mut self, now: Time, has_entry: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|target, limit| {
            let is_cold = limit.cold.is_some_and(|cold| now < cold.until);
            has_entry(target) || is_cold || now < limit.named_at + LIMIT_MEMORY
        });
    }

    /// Returns the number of targets that name a limit.
    pub fn count(&self) -> usize {
        let limits = self.targets.values();
        limits.filter(|limit| limit.named.is_some()).count()
    }

    fn get(&self, target: &Target) -> Option<&Limit> {
        let limit = self.targets.get(&target.id)?;
        (limit.started == target.started_unix_ms).then_some(limit)
    }
}

impl Limit {
    fn rate(&self) -> Rate {
        let named = self.named.unwrap_or(Rate::INFINITY);
        let cold = self.cold.map_or(Rate::INFINITY, |cold| cold.rate);
        named.min(cold)
    }

    /// Applies a change of the rate, of which `share` may be spent.
    fn update_pace(&mut self, now: Time, share: f64) {
        self.pace.set_rate(now, self.rate().max(MIN_RATE) * share);
    }

    fn to_report(&self, now: Time, target: &TargetId) -> Report {
        Report {
            target: target.clone(),
            started_unix_ms: self.started,
            rate: self.named,
            age: now.saturating_sub(self.named_at),
        }
    }
}

/// Returns the time between two sends.
fn interval(rate: Rate) -> Duration {
    let interval = Duration::try_from_secs_f64(rate.recip());
    interval.map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL))
}
