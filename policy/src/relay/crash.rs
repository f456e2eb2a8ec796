//! Detection of what crashes targets: a payload that is sent repeatedly, or a part that requests with
//! nothing else in common share in their prompts.
//!
//! Both are features of a request. A target that crashes breaks off all requests that it runs, most of
//! which did not cause it. The cause is a feature that is present in each crash and in no request that
//! is served. So a crash is charged to the features of those requests that the target had not begun to
//! answer, and a request that is served clears its features. A feature that is charged with several
//! crashes is quarantined, unless another one [explains](CrashTracker::is_explained) them as well.
//! Single requests with one of them but not the other then show which it is.
//!
//! A feature may be present in the crashes of others by chance. So after a while, one request with it is
//! tried: either it is served, and the quarantine ends, or the cause is confirmed.
//!
//! Features that were served before are charged with far more crashes before they are quarantined,
//! since popular ones are present whenever many targets fail at once.

use crate::id::{TargetId, Time};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Hash of the content of a request; equal for requests that cause the same work.
pub type PayloadHash = u64;
/// Hash of a payload or of a part of a prompt.
pub type Feature = u64;
/// Position of a crash in the order in which crashes became known.
type CrashNumber = u64;

/// Number of crashes from which a feature that was never served is quarantined. The users' rules
/// count what reaches targets after the third crash of a payload, or the fifth of a part.
const MAX_CRASHES: usize = 3;
/// Same as [`MAX_CRASHES`] for a feature that was served before.
const MAX_CRASHES_ONCE_SERVED: usize = 6;
/// Period within which reports of a target's crash are about the same one. Crashed targets are back
/// after a few seconds.
const SAME_CRASH_WINDOW: Duration = Duration::from_millis(1_500);
/// Same as [`SAME_CRASH_WINDOW`] for a report that was handed on, whose age is less exact.
const SAME_OLD_CRASH_WINDOW: Duration = Duration::from_secs(10);
/// Period within which crashes of several targets count once, as they are likely to have a cause in
/// common, such as a power failure.
const SIMULTANEITY_WINDOW: Duration = Duration::from_millis(40);
/// Time for which a crash is charged.
const CRASH_RETENTION: Duration = Duration::from_secs(15 * 60);
/// Maximum number of crashes that are charged; the oldest ones are dropped.
const MAX_RECENT_CRASHES: usize = 128;
/// Maximum number of crashes that a daemon reports to one that has joined.
const MAX_REPEATED_REPORTS: usize = 16;
/// Maximum number of features that a crash is charged to.
pub const MAX_SUSPECTS: usize = 256;
/// Time from the quarantine of a feature until a request with it is tried.
pub const TRIAL_DELAY: Duration = Duration::from_secs(30);
/// Time after which another request is tried if nothing is known of the one before.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30); // longer than requests last
/// Same as [`TRIAL_TIMEOUT`] for a feature that is not quarantined; a few times as long as it takes
/// until a response begins.
const SHORT_TRIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a feature is quarantined, from when a request last had it to within half that time.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(24 * 60 * 60);
/// Time before the start of the daemon from which times are counted here, since what peers and the
/// store report may have happened before it.
const HISTORY: Duration = QUARANTINE_TTL;
/// Maximum number of quarantined features; the oldest ones are dropped.
pub const MAX_QUARANTINED: usize = 1_024;
/// Time for which peers may still announce a quarantine that a served request has ended.
const CLEARING_PERIOD: Duration = Duration::from_secs(2);
/// Number of served features from which the older ones are dropped.
const MAX_SERVED: usize = 4_096; // at 32 bytes each and for two generations, 256 KiB
/// Time after which served features begin to be dropped.
const SERVED_RETENTION: Duration = Duration::from_secs(10 * 60);

/// Crash of a target, as reported to other daemons.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Target that crashed.
    pub target: TargetId,
    /// Features of requests that the target had not begun to answer.
    pub suspects: Vec<Feature>,
    /// Features among them that the reporting daemon has seen in requests that were served.
    pub served: Vec<Feature>,
}

/// Features whose state has changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// Features that are quarantined from now on.
    pub quarantined: Vec<Feature>,
    /// Features that were served and are no longer charged with crashes.
    pub cleared: Vec<Feature>,
    /// Features among them whose quarantine has ended.
    pub released: Vec<Feature>,
}

/// A quarantined feature, as announced to other daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quarantine {
    /// The feature.
    pub feature: Feature,
    /// Time since the quarantine began or was last extended.
    pub age: Duration,
    /// Whether a request with the feature was tried since, and its target crashed.
    pub is_confirmed: bool,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// None of its features is known to crash targets.
    Allowed,
    /// It is sent to find out whether this feature crashes its target.
    Tried(Feature),
    /// It is refused because of this feature.
    Refused(Feature),
    /// It is refused because of a feature whose quarantine was extended, which other daemons have to
    /// be told.
    Extended(Quarantine),
}

/// Recent crashes, the features that they are charged to, and quarantined features.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    /// Recent crashes in the order of their numbers, which have no gaps.
    crashes: VecDeque<Crash>,
    next_number: CrashNumber,
    /// Numbers of the crashes that are charged to a feature, in ascending order.
    suspects: HashMap<Feature, Vec<CrashNumber>>,
    served: ServedFeatures,
    quarantine: HashMap<Feature, Entry>,
    /// Until when the outcome of a request is awaited that this daemon sent although it has this
    /// feature, which is charged with crashes that another one explains.
    trials: HashMap<Feature, Time>,
}

/// State of a quarantined feature.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Start or last extension of the quarantine.
    since: Time,
    /// Whether a request was tried and its target crashed.
    is_confirmed: bool,
    /// Until when the outcome of a trial is awaited; before the first one, until it may begin.
    no_trial_until: Time,
}

impl Entry {
    fn may_be_tried(&self, now: Time) -> bool {
        !self.is_confirmed && now >= self.no_trial_until
    }
}

#[derive(Clone, Debug)]
struct Crash {
    number: CrashNumber,
    target: TargetId,
    at: Time,
    /// First of the crashes that count as one.
    group: CrashNumber,
    /// Whether a quarantined feature accounts for it, so that it is charged to no other.
    is_accounted_for: bool,
}

/// Features of requests that were served, and when they last were, in two generations.
#[derive(Clone, Debug, Default)]
struct ServedFeatures {
    recent: HashMap<Feature, Time>,
    older: HashMap<Feature, Time>,
    recent_since: Time,
}

impl ServedFeatures {
    fn insert(&mut self, now: Time, feature: Feature, served: Time) {
        let is_old = now >= self.recent_since + SERVED_RETENTION;
        if is_old || self.recent.len() >= MAX_SERVED {
            self.older = std::mem::take(&mut self.recent);
            self.recent_since = now;
        }
        self.recent.insert(feature, served);
    }

    fn last(&self, feature: Feature) -> Option<Time> {
        let recent = self.recent.get(&feature);
        recent.or_else(|| self.older.get(&feature)).copied()
    }
}

impl CrashTracker {
    /// Decides whether a request with these features may be sent. Of all daemons, only the one for
    /// which `is_tester` returns `true` tries requests with a quarantined feature.
    pub fn judge(
        &mut self,
        now: Time,
        features: &[Feature],
        is_tester: impl Fn(Feature) -> bool,
    ) -> Verdict {
        let now = HISTORY + now;
        self.expire(now);
        let mut tried = None;
        for &feature in features {
            let Some(entry) = self.quarantine.get_mut(&feature) else {
                continue;
            };
            if entry.may_be_tried(now) && is_tester(feature) {
                tried = Some(feature);
                continue;
            }
            if now < entry.since + QUARANTINE_TTL / 2 {
                return Verdict::Refused(feature);
            }
            entry.since = now;
            return Verdict::Extended(Quarantine {
                feature,
                age: Duration::ZERO,
                is_confirmed: entry.is_confirmed,
            });
        }
        let Some(feature) = tried else {
            return self.judge_suspicious(now, features);
        };
        if let Some(entry) = self.quarantine.get_mut(&feature) {
            entry.no_trial_until = now + TRIAL_TIMEOUT;
        }
        Verdict::Tried(feature)
    }

    /// Decides whether a request may be sent that has no quarantined feature. A feature that another
    /// one explains is tried with one request at a time.
    fn judge_suspicious(&mut self, now: Time, features: &[Feature]) -> Verdict {
        let suspicious = features.iter().copied();
        let suspicious: Vec<Feature> = suspicious
            .filter(|&feature| self.is_suspicious(feature))
            .collect();
        let is_refused = |feature: &&Feature| {
            let trial_until = self.trials.get(*feature);
            trial_until.is_some_and(|until| now < *until) || !self.is_explained(**feature, features)
        };
        if let Some(&feature) = suspicious.iter().find(is_refused) {
            return Verdict::Refused(feature);
        }
        for &feature in &suspicious {
            self.trials.insert(feature, now + SHORT_TRIAL_TIMEOUT);
        }
        let first = suspicious.first().copied();
        first.map_or(Verdict::Allowed, Verdict::Tried)
    }

    /// Records that a target crashed `age` ago, and returns the features that are quarantined because
    /// of it. Several reports of one crash count once.
    pub fn record_crash(&mut self, now: Time, age: Duration, report: &Report) -> Change {
        let now = HISTORY + now;
        for &feature in report.served.iter().take(MAX_SUSPECTS) {
            if !self.is_served(feature) {
                // It is not known when.
                self.served.insert(now, feature, Time::ZERO);
            }
        }
        self.expire(now);
        let at = now.saturating_sub(age);
        let window = if age < SAME_CRASH_WINDOW {
            SAME_CRASH_WINDOW
        } else {
            SAME_OLD_CRASH_WINDOW
        };
        let number = self.crash_number(at, &report.target, window);
        let is_charged = self
            .crash(number)
            .is_some_and(|crash| !crash.is_accounted_for);
        let mut is_accounted_for = false;
        for feature in &report.suspects {
            if let Some(entry) = self.quarantine.get_mut(feature) {
                is_accounted_for = true;
                // Requests that were sent before the quarantine do not confirm it.
                entry.is_confirmed |= at >= entry.since + TRIAL_DELAY;
            }
        }
        if is_accounted_for {
            self.account_for([number]);
        } else if is_charged {
            self.charge(number, &report.suspects);
        }
        Change {
            quarantined: self.quarantine_causes(now),
            ..Change::default()
        }
    }

    /// Records that a request was served, here or at a peer. Its parts are remembered; its payload is
    /// not, as few are repeated.
    pub fn record_served(
        &mut self,
        now: Time,
        payload: Option<Feature>,
        parts: &[Feature],
    ) -> Change {
        let now = HISTORY + now;
        let mut change = Change::default();
        for &part in parts {
            self.served.insert(now, part, now);
        }
        for feature in parts.iter().copied().chain(payload) {
            self.trials.remove(&feature);
            let was_charged = self.suspects.remove(&feature).is_some();
            let was_quarantined = self.quarantine.remove(&feature).is_some();
            if was_charged || was_quarantined {
                change.cleared.push(feature);
            }
            if was_quarantined {
                change.released.push(feature);
            }
        }
        if !change.cleared.is_empty() {
            change.quarantined = self.quarantine_causes(now);
        }
        change
    }

    /// Quarantines a feature as announced by a peer or the store. Returns whether this is new.
    pub fn record_quarantine(&mut self, now: Time, announced: Quarantine) -> bool {
        let now = HISTORY + now;
        let served = self.served.last(announced.feature);
        let is_cleared = served.is_some_and(|served| now < served + CLEARING_PERIOD);
        if is_cleared || announced.age >= QUARANTINE_TTL {
            return false;
        }
        let since = now.saturating_sub(announced.age);
        let known = self.quarantine.get(&announced.feature).copied();
        let entry = Entry {
            since: known.map_or(since, |known| known.since.max(since)),
            is_confirmed: announced.is_confirmed || known.is_some_and(|known| known.is_confirmed),
            no_trial_until: known.map_or(since + TRIAL_DELAY, |known| known.no_trial_until),
        };
        self.insert_quarantined(announced.feature, entry);
        known.is_none()
    }

    /// Returns the quarantined features.
    pub fn quarantined(&self, now: Time) -> impl Iterator<Item = Quarantine> {
        let now = HISTORY + now;
        let entries = self.quarantine.iter();
        entries.map(move |(&feature, entry)| Quarantine {
            feature,
            age: now.saturating_sub(entry.since),
            is_confirmed: entry.is_confirmed,
        })
    }

    /// Returns whether a feature is quarantined.
    pub fn is_quarantined(&self, feature: Feature) -> bool {
        self.quarantine.contains_key(&feature)
    }

    /// Returns whether a request with this feature was served not long ago.
    pub fn is_served(&self, feature: Feature) -> bool {
        self.served.last(feature).is_some()
    }

    /// Returns a report of each of the last crashes that are not accounted for, and its age, for a
    /// daemon that did not receive them.
    pub fn reports(&self, now: Time) -> Vec<(Report, Duration)> {
        let now = HISTORY + now;
        let crashes = self.crashes.iter().rev();
        let crashes = crashes.filter(|crash| !crash.is_accounted_for);
        let reports = crashes.take(MAX_REPEATED_REPORTS).map(|crash| {
            let suspects = self.suspects.iter();
            let suspects = suspects.filter(|(_, numbers)| numbers.contains(&crash.number));
            let suspects: Vec<Feature> = suspects.map(|(&feature, _)| feature).collect();
            let served = suspects.iter().copied();
            let report = Report {
                target: crash.target.clone(),
                served: served.filter(|&feature| self.is_served(feature)).collect(),
                suspects,
            };
            (report, now.saturating_sub(crash.at))
        });
        reports.collect()
    }

    /// Returns whether a feature is charged with enough crashes to be the cause of them.
    fn is_suspicious(&self, feature: Feature) -> bool {
        let limit = if self.is_served(feature) {
            MAX_CRASHES_ONCE_SERVED
        } else {
            MAX_CRASHES
        };
        let Some(numbers) = self.suspects.get(&feature) else {
            return false;
        };
        let mut groups: Vec<CrashNumber> = numbers
            .iter()
            .filter_map(|&number| self.crash(number).map(|crash| crash.group))
            .collect();
        groups.sort_unstable();
        groups.dedup();
        groups.len() >= limit
    }

    /// Returns whether a feature outside of `excluded` was present in each crash that this one is
    /// charged with, and is no less suspicious.
    fn is_explained(&self, feature: Feature, excluded: &[Feature]) -> bool {
        let Some(numbers) = self.suspects.get(&feature) else {
            return false;
        };
        let is_served = self.is_served(feature);
        self.suspects.iter().any(|(&other, others)| {
            other != feature
                && others.len() >= numbers.len()
                && numbers
                    .iter()
                    .all(|number| others.binary_search(number).is_ok())
                && !excluded.contains(&other)
                && (is_served || !self.is_served(other))
        })
    }

    /// Quarantines each feature that alone explains its crashes.
    fn quarantine_causes(&mut self, now: Time) -> Vec<Feature> {
        let mut causes: Vec<Feature> = self
            .suspects
            .keys()
            .copied()
            .filter(|&feature| self.is_suspicious(feature) && !self.is_explained(feature, &[]))
            .collect();
        causes.sort_unstable();
        for &feature in &causes {
            let entry = Entry {
                since: now,
                is_confirmed: false,
                no_trial_until: now + TRIAL_DELAY,
            };
            self.insert_quarantined(feature, entry);
        }
        causes
    }

    fn insert_quarantined(&mut self, feature: Feature, entry: Entry) {
        if self.quarantine.len() >= MAX_QUARANTINED && !self.quarantine.contains_key(&feature) {
            let oldest = self.quarantine.iter().min_by_key(|(_, entry)| entry.since);
            let oldest = oldest.map(|(&oldest, _)| oldest);
            oldest.map(|oldest| self.quarantine.remove(&oldest));
        }
        self.quarantine.insert(feature, entry);
        let numbers = self.suspects.remove(&feature).unwrap_or_default();
        self.account_for(numbers);
    }

    /// Charges the crashes with these numbers to no feature any more.
    fn account_for(&mut self, numbers: impl IntoIterator<Item = CrashNumber>) {
        for number in numbers {
            let first = self.crashes.front().map_or(0, |crash| crash.number);
            let index = number.checked_sub(first).map(|index| index as usize);
            if let Some(crash) = index.and_then(|index| self.crashes.get_mut(index)) {
                crash.is_accounted_for = true;
            }
            self.discharge(number);
        }
    }

    fn discharge(&mut self, number: CrashNumber) {
        self.suspects.retain(|_, numbers| {
            numbers.retain(|other| *other != number);
            !numbers.is_empty()
        });
    }

    fn charge(&mut self, number: CrashNumber, features: &[Feature]) {
        let charged = self.suspects.values();
        let charged = charged.filter(|numbers| numbers.contains(&number)).count();
        let room = MAX_SUSPECTS.saturating_sub(charged);
        for &feature in features.iter().take(room) {
            let numbers = self.suspects.entry(feature).or_default();
            if let Err(index) = numbers.binary_search(&number) {
                numbers.insert(index, number);
            }
        }
    }

    /// Returns the number of the crash of a target at this time, give or take `window`, and records it
    /// if it is new.
    fn crash_number(&mut self, at: Time, target: &TargetId, window: Duration) -> CrashNumber {
        let is_within = |crash: &&Crash, window| crash.at.abs_diff(at) <= window;
        let mut recent = self.crashes.iter().rev();
        let known = recent
            .find(|crash| crash.target == *target && is_within(crash, window))
            .map(|crash| crash.number);
        if let Some(number) = known {
            return number;
        }
        let number = self.next_number;
        self.next_number += 1;
        let mut firsts = self
            .crashes
            .iter()
            .filter(|crash| crash.group == crash.number);
        let group = firsts
            .find(|crash| is_within(crash, SIMULTANEITY_WINDOW))
            .map_or(number, |crash| crash.number);
        self.crashes.push_back(Crash {
            number,
            target: target.clone(),
            at,
            group,
            is_accounted_for: false,
        });
        if self.crashes.len() > MAX_RECENT_CRASHES {
            self.drop_oldest_crash();
        }
        number
    }

    fn crash(&self, number: CrashNumber) -> Option<&Crash> {
        let first = self.crashes.front()?.number;
        self.crashes.get(number.checked_sub(first)? as usize)
    }

    fn drop_oldest_crash(&mut self) {
        if let Some(crash) = self.crashes.pop_front() {
            self.discharge(crash.number);
        }
    }

    /// Drops what is older than its retention.
    fn expire(&mut self, now: Time) {
        let is_old = |crash: &Crash| now >= crash.at + CRASH_RETENTION;
        while self.crashes.front().is_some_and(is_old) {
            self.drop_oldest_crash();
        }
        self.quarantine
            .retain(|_, entry| now < entry.since + QUARANTINE_TTL);
        self.trials.retain(|_, until| now < *until);
    }
}
