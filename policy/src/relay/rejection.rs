//! Limits on the requests at targets that fail when they reject too many.
//!
//! Many daemons share one pool. In a burst, each of them finds the targets full with its own
//! requests, sends each request to one target after the other, and all that it learns is its own
//! rejections. Some targets bear only a few rejections a second, of all daemons together, and say
//! so in their answers; beyond that they fail, and the rest of the pool gets their load. Their
//! queues are shorter than announced, so only their slots count as room.
//!
//! While a pool has such targets, the daemons divide the slots of its targets among themselves, in
//! the order of their names, so that they do not send more than there is room for, without a
//! message for each request. A daemon with all of its slots in use sends on to a target that has
//! just reported that half of its slots are free. What finds no slot waits at the daemon for a short
//! time, or is refused.
//!
//! A target may have less room than slots, because its memory is full, or because some daemons do
//! not know others. So rejections are reported to all daemons. After one, nothing is sent to the
//! target for a moment, and then less than before. This ends with the first answer of a target that
//! no longer states a limit.

use crate::{
    id::{HostId, PoolId, TargetId, Time},
    relay::registry::Target,
};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

/// Period to which the limits of targets apply.
pub const PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of sends of one request that targets of such a pool reject.
pub const MAX_REJECTED_SENDS: u32 = 2;
/// Time for which a limit holds that no answer or report has confirmed.
const LIMIT_TTL: Duration = Duration::from_secs(6);
/// Same as [`LIMIT_TTL`] once an answer of another target of the pool has stated none.
const OTHER_LIMIT_TTL: Duration = Duration::from_millis(500);
/// Interval at which the limit of a target is reported to peers.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Time without sends to a target after a rejection, of which any daemon may have told.
const REJECTION_PAUSE: Duration = Duration::from_millis(100); // several round trips between daemons
/// Fraction of a target's limit from which nothing is sent until the period has passed.
const LIMIT_SHARE: f64 = 0.5;
/// Factor by which a rejection reduces the room that a target is considered to have.
const ROOM_DECREASE: f64 = 0.8;
/// Increase of that room a second, as a fraction of the slots.
const ROOM_INCREASE: f64 = 0.02;
/// Time within which several rejections of a target have the same cause.
const SAME_CAUSE_PERIOD: Duration = Duration::from_millis(50);
/// Age up to which a report of free slots allows one send.
const FREE_REPORT_TTL: Duration = Duration::from_millis(50);
/// Time after a send within which a target may still reject it.
const UNCERTAIN_PERIOD: Duration = Duration::from_millis(15); // a few round trips
/// Time for which a daemon that is no longer linked keeps its slots: it may still run.
const MEMBER_TTL: Duration = Duration::from_secs(5);
/// Interval between the sends of a daemon that would have one slot on average, if its pool has fewer
/// slots than there are daemons.
const SLOT_TIME: Duration = Duration::from_millis(300);

/// What an answer of a target says.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answer {
    /// Number of rejections a second that the target bears, if it states one.
    pub max_rejections: Option<u32>,
    /// Numbers of running and waiting requests, if stated.
    pub load: Option<(u32, u32)>,
    /// Whether the target rejected the request for want of room.
    pub is_rejection: bool,
}

/// What a daemon tells its peers of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Pool of the target.
    pub pool: PoolId,
    /// The target.
    pub target: TargetId,
    /// Number of rejections a second that the target bears.
    pub max_rejections: u32,
    /// Number of rejections that the daemon has got since its last report.
    pub rejections: u32,
    /// Number of requests that the target was running at the last of them, if it stated that.
    pub running: Option<u32>,
}

/// Divides the room at targets that bear few rejections.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    targets: HashMap<TargetId, TargetState>,
    pools: HashMap<PoolId, PoolState>,
    own: HostId,
    /// Known daemons, including this one, and when each was last linked.
    members: BTreeMap<HostId, Time>,
    /// Position of this daemon among them.
    position: u32,
    /// Minimum number of daemons to be assumed.
    min_members: u32,
}

#[derive(Clone, Debug, Default)]
struct PoolState {
    /// Limit that a target of the pool has last stated, until when it holds.
    limit: Option<(u32, Time)>,
    /// When this daemon last sent a request without a slot of its own.
    paced_at: Option<Time>,
}

#[derive(Clone, Debug)]
struct TargetState {
    pool: PoolId,
    max_rejections: u32,
    valid_until: Time,
    /// When any daemon last reported the limit.
    reported_at: Option<Time>,
    /// Times of the rejections within [`PERIOD`] that this daemon knows of.
    rejections: VecDeque<Time>,
    /// No request is sent before this time.
    paused_until: Time,
    /// Room as a fraction of the slots, and when it was determined.
    room: (f64, Time),
    /// Number of slots, as last known; 0 if it is not known.
    slots: u32,
    /// When this daemon last sent requests, within [`UNCERTAIN_PERIOD`].
    starts: VecDeque<Time>,
    /// When the target reported that half of its slots are free, until a send makes use of it.
    free_at: Option<Time>,
}

impl Limiter {
    /// Creates a limiter for the daemon `own`.
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Records which other daemons are linked. `min_members` is the minimum number of daemons, this
    /// one included, among which the room is divided, in case that some are not linked yet.
    pub fn set_peers(
        &mut self,
        now: Time,
        peers: impl IntoIterator<Item = HostId>,
        min_members: u32,
    ) {
        self.min_members = min_members;
        self.members.insert(self.own.clone(), now);
        self.members
            .extend(peers.into_iter().map(|peer| (peer, now)));
        self.members
            .retain(|_, linked_at| now <= *linked_at + MEMBER_TTL);
        let position = self.members.keys().position(|host| *host == self.own);
        self.position = position.unwrap_or_default() as u32;
    }

    /// Returns whether targets of a pool bear few rejections.
    pub fn is_limited(&self, now: Time, pool: &str) -> bool {
        self.limit(now, pool).is_some()
    }

    /// Returns the number of rejections a second that a target of the pool last stated to bear.
    pub fn limit(&self, now: Time, pool: &str) -> Option<u32> {
        self.pools.get(pool)?.limit(now)
    }

    /// Returns whether a target may have failed because it rejected too many requests.
    pub fn may_have_overloaded(&self, now: Time, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(|state| {
            let known = state.rejections_since(now.saturating_sub(PERIOD * 2));
            now < state.valid_until && known > 0 && known * 2 >= state.max_rejections
        })
    }

    /// Returns those of the targets in use of one pool to which this daemon may send a request now.
    /// They have to be in the same order at all daemons.
    pub fn open<'a>(
        &self,
        now: Time,
        targets: impl Iterator<Item = &'a Target>,
        in_flight: impl Fn(&TargetId) -> u32,
    ) -> Vec<&'a Target> {
        let mut first_slot = 0;
        let mut open = Vec::new();
        let (mut own_slots, mut all_slots) = (0, 0);
        let mut others = Vec::new();
        for target in targets {
            let state = self.targets.get(&target.id);
            let room = state.map_or(target.slots, |state| state.room(now, target.slots));
            let own = self.own_slots(first_slot, room);
            first_slot = (first_slot + target.slots) % self.member_count();
            own_slots += own;
            all_slots += room;
            let is_open = |state: &TargetState| state.is_open(now, self.member_count());
            if !state.is_none_or(is_open) {
                continue;
            }
            if in_flight(&target.id) < own || state.is_some_and(|state| state.has_free_slots(now)) {
                open.push(target);
            } else if in_flight(&target.id) == 0 {
                others.push(target);
            }
        }
        if own_slots == 0 && open.is_empty() {
            let pool = others
                .first()
                .and_then(|target| self.pools.get(&target.pool));
            let paced_at = pool.and_then(|pool| pool.paced_at);
            let interval = SLOT_TIME * self.member_count() / all_slots.max(1);
            if paced_at.is_none_or(|at| now >= at + interval) {
                // Daemons do not resume at the same time.
                let turn = interval * self.position / self.member_count();
                others.retain(|target| {
                    let state = self.targets.get(&target.id);
                    state.is_none_or(|state| now >= state.paused_until + turn)
                });
                return others;
            }
        }
        open
    }

    /// Records that a request is sent to one of the [open](Self::open) targets.
    pub fn start_call(&mut self, now: Time, target: &Target) {
        let Some(pool) = self.pools.get_mut(&target.pool) else {
            return;
        };
        pool.paced_at = Some(now);
        if let Some((limit, valid_until)) = pool.limit.filter(|(_, until)| now < *until) {
            let state = self.targets.entry(target.id.clone());
            let state = state.or_insert_with(|| TargetState {
                max_rejections: limit,
                valid_until,
                ..TargetState::new(now, target.pool.clone())
            });
            state.free_at = None;
            state.starts.retain(|at| now < *at + UNCERTAIN_PERIOD);
            state.starts.push_back(now);
        }
    }

    /// Records an answer of a target. Returns what the peers have to know.
    pub fn record_answer(&mut self, now: Time, target: &Target, answer: Answer) -> Option<Report> {
        let Some(max_rejections) = answer.max_rejections else {
            self.remove_limit(now, target);
            return None;
        };
        let state = self.update_limit(now, &target.pool, &target.id, max_rejections);
        state.slots = target.slots;
        if answer.is_rejection {
            state.record_rejections(now, 1, answer.load.map(|(running, _)| running));
        } else if let Some((running, waiting)) = answer.load {
            let is_free = (running + waiting) * 2 <= state.room(now, target.slots);
            state.free_at = is_free.then_some(now);
            if waiting > 0 {
                state.limit_room(now, running);
            }
        }
        let is_due = state
            .reported_at
            .is_none_or(|at| now >= at + REPORT_INTERVAL);
        if !is_due && !answer.is_rejection {
            return None;
        }
        state.reported_at = Some(now);
        Some(Report {
            pool: target.pool.clone(),
            target: target.id.clone(),
            max_rejections,
            rejections: u32::from(answer.is_rejection),
            running: answer.load.map(|(running, _)| running),
        })
    }

    /// Records what a peer tells of a target.
    pub fn record_report(&mut self, now: Time, report: &Report) {
        let state = self.update_limit(now, &report.pool, &report.target, report.max_rejections);
        state.reported_at = Some(now);
        if report.rejections > 0 {
            state.record_rejections(now, report.rejections, report.running);
        }
    }

    /// Drops all state of a target that has ended.
    pub fn remove_target(&mut self, target: &TargetId) {
        self.targets.remove(target);
    }

    fn update_limit(
        &mut self,
        now: Time,
        pool: &PoolId,
        target: &TargetId,
        max_rejections: u32,
    ) -> &mut TargetState {
        let valid_until = now + LIMIT_TTL;
        let pool_state = self.pools.entry(pool.clone()).or_default();
        pool_state.limit = Some((max_rejections, valid_until));
        let state = self.targets.entry(target.clone());
        let state = state.or_insert_with(|| TargetState::new(now, pool.clone()));
        if now >= state.valid_until {
            *state = TargetState::new(now, pool.clone());
        }
        state.max_rejections = max_rejections;
        state.valid_until = valid_until;
        state
    }

    /// Ends the limit of a target, and that of its pool unless others have just stated one.
    fn remove_limit(&mut self, now: Time, target: &Target) {
        if !self.pools.contains_key(&target.pool) {
            return;
        }
        self.targets.remove(&target.id);
        self.targets.retain(|_, state| {
            state.pool != target.pool || now + LIMIT_TTL < state.valid_until + OTHER_LIMIT_TTL
        });
        if !self.targets.values().any(|state| state.pool == target.pool) {
            self.pools.remove(&target.pool);
        }
    }

    fn member_count(&self) -> u32 {
        (self.members.len() as u32).max(self.min_members).max(1)
    }

    /// Returns how many of the first `room` slots of a target are this daemon's, if slot
    /// `first_slot` of the pool is the target's first one.
    fn own_slots(&self, first_slot: u32, room: u32) -> u32 {
        let members = self.member_count();
        let distance = (self.position + members - first_slot % members) % members;
        (room + members - 1 - distance) / members
    }
}

impl PoolState {
    fn limit(&self, now: Time) -> Option<u32> {
        let (limit, valid_until) = self.limit?;
        (now < valid_until).then_some(limit)
    }
}

impl TargetState {
    fn new(now: Time, pool: PoolId) -> Self {
        Self {
            pool,
            max_rejections: 0,
            valid_until: now,
            reported_at: None,
            rejections: VecDeque::new(),
            paused_until: Time::ZERO,
            room: (1.0, now),
            slots: 0,
            starts: VecDeque::new(),
            free_at: None,
        }
    }

    fn record_rejections(&mut self, now: Time, count: u32, running: Option<u32>) {
        if let Some(running) = running {
            self.limit_room(now, running);
        }
        let last = self.rejections.back();
        if last.is_none_or(|last| now >= *last + SAME_CAUSE_PERIOD) {
            self.room = (self.room_fraction(now) * ROOM_DECREASE, now);
        }
        self.paused_until = now + REJECTION_PAUSE;
        self.free_at = None;
        self.rejections.retain(|at| now < *at + PERIOD * 2);
        // More make no difference, whatever a peer reports.
        let count = count.min(self.max_rejections.saturating_add(1));
        self.rejections.extend((0..count).map(|_| now));
    }

    /// Records that the target has no room although it runs no more than `running` requests.
    fn limit_room(&mut self, now: Time, running: u32) {
        if self.slots > 0 {
            let fraction = f64::from(running) / f64::from(self.slots);
            self.room = (self.room_fraction(now).min(fraction), now);
        }
    }

    fn rejections_since(&self, since: Time) -> u32 {
        self.rejections.iter().filter(|at| **at > since).count() as u32
    }

    /// Returns whether one of `members` daemons may send a request although the target has rejected
    /// earlier ones, and may reject those that were just sent.
    fn is_open(&self, now: Time, members: u32) -> bool {
        let starts = self.starts.iter();
        let uncertain = starts.filter(|at| now < **at + UNCERTAIN_PERIOD).count() as u32;
        if uncertain >= (self.max_rejections / members).max(1) {
            return false;
        }
        let known = self.rejections_since(now.saturating_sub(PERIOD));
        let is_exhausted = f64::from(known) >= f64::from(self.max_rejections) * LIMIT_SHARE;
        now >= self.paused_until && (known == 0 || !is_exhausted)
    }

    fn has_rejected(&self, now: Time) -> bool {
        self.rejections_since(now.saturating_sub(PERIOD)) > 0
    }

    /// Returns whether a daemon may send one request more than it has slots.
    fn has_free_slots(&self, now: Time) -> bool {
        let is_reported = self.free_at.is_some_and(|at| now < at + FREE_REPORT_TTL);
        is_reported && !self.has_rejected(now)
    }

    fn room_fraction(&self, now: Time) -> f64 {
        let (fraction, at) = self.room;
        let elapsed = now.saturating_sub(at).as_secs_f64();
        (fraction + ROOM_INCREASE * elapsed).min(1.0)
    }

    /// Returns how many of a target's slots count as room.
    fn room(&self, now: Time, slots: u32) -> u32 {
        let room = f64::from(slots) * self.room_fraction(now);
        (room as u32).max(1)
    }
}
