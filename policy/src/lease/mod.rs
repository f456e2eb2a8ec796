//! Lease of a region, which lets one planner at a time give orders there.
//!
//! The lease is one row of the platform's table service. Its holder counts the lease from before
//! it sent the renewing request, and every other planner counts it from after it first read the
//! row, so the holder's time ends first whatever the delays between them. No clock but the
//! planner's own monotonic one is used.

mod row;

pub use self::row::{Fence, Row};

use crate::{
    chart::{Chart, chart_enum},
    claim::Version,
    id::Time,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Text of the chart that a lease follows.
pub const CHART: &str = include_str!("../../charts/lease.toml");

/// Part of the lease after which the holder renews it, and failed reads are repeated.
const INTERVAL_PART: u32 = 4;

/// Part of the lease after which a planner that does not hold it reads its row again.
const WATCH_PART: u32 = 2;

/// Part of another's lease that is waited besides, since clocks differ in speed.
const DRIFT_PART: u32 = 16;

/// What a lease is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this planner: host and incarnation.
    pub holder: CompactString,
    /// Time for which the lease is held.
    pub duration: Duration,
    /// Longest time that an order takes.
    pub order_timeout: Duration,
}

/// Number of one question to the platform.
pub type Ask = u64;

/// What happened to a lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The time of [`Lease::wake_at`] has come.
    Wake,
    /// The platform answered, or did not in time.
    Reply {
        /// The question.
        ask: Ask,
        /// The answer.
        reply: Reply,
    },
    /// The planner is about to end and has no order under way.
    Release,
}

/// What the platform answered about the lease row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum Reply {
    /// The row that was read.
    Row {
        /// The row.
        row: Row,
        /// Version of the row.
        version: Version,
    },
    /// There is no row.
    Absent,
    /// The row was written.
    Written {
        /// Version of the row.
        version: Version,
    },
    /// The row was not written, because another version stands there.
    Conflict,
    /// The platform could not be asked, or its answer was lost.
    Out,
}

/// What a lease wants done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Read the lease row.
    Read {
        /// Number of the question.
        ask: Ask,
    },
    /// Write the lease row.
    Write {
        /// Number of the question.
        ask: Ask,
        /// Version that must stand there; 0 for none.
        version: Version,
        /// Row to write.
        row: Row,
    },
    /// Tell that the lease is held from now on.
    Gained {
        /// Number that goes with each order.
        fence: Fence,
    },
    /// Tell that the lease is held no more.
    Lost {
        /// Number that went with the orders.
        fence: Fence,
    },
}

chart_enum! {
    /// State of a lease, as in its chart.
    State {
        /// Another planner may hold the lease.
        Watching,
        /// The lease is being taken over.
        Taking,
        /// It is unknown whether the lease was taken over.
        Checking,
        /// The lease is held.
        Holding,
        /// The lease is held and being renewed.
        Renewing,
        /// The lease is held, and it is unknown whether it was renewed.
        Confirming,
        /// The planner is about to end.
        Released,
    }
}

chart_enum! {
    /// Step from one state to another, as in the chart.
    Step {
        /// The lease is free and gets written.
        Take,
        /// The lease is due for renewal and gets written.
        Renew,
        /// The row of this planner stands.
        Confirm,
        /// The row of this planner does not stand.
        Refuse,
        /// It is unknown which row stands.
        Doubt,
        /// The time of the lease has passed.
        Lapse,
        /// The planner is about to end.
        Release,
    }
}

/// A row of another holder, and since when it has stood unchanged.
#[derive(Debug)]
struct Seen {
    row: Row,
    version: Version,
    since: Time,
}

/// Lease of one region, as one planner sees it.
#[derive(Debug)]
pub struct Lease {
    settings: Settings,
    chart: Chart<State, Step>,
    state: State,
    last_ask: Ask,
    asked: Option<Ask>,
    due: Time,
    seen: Option<Seen>,
    version: Version,
    sent: Time,
    fence: Fence,
    until: Time,
    guard: Duration,
    unfenced_from: Time,
}

impl Lease {
    /// Creates a lease that is not held.
    ///
    /// # Panics
    ///
    /// Panics if the embedded chart is invalid.
    pub fn new(settings: Settings) -> Self {
        let chart = Chart::from_str(CHART).expect("the embedded chart is valid");
        Self {
            settings,
            state: chart.start(),
            chart,
            last_ask: 0,
            asked: None,
            due: Time::ZERO,
            seen: None,
            version: 0,
            sent: Time::ZERO,
            fence: 0,
            until: Time::ZERO,
            guard: Duration::ZERO,
            unfenced_from: Time::ZERO,
        }
    }

    /// Takes in one event and appends what is to be done.
    pub fn on(&mut self, now: Time, event: Event, commands: &mut Vec<Command>) {
        self.lapse(now, commands);
        match event {
            Event::Wake => self.wake(now, commands),
            Event::Reply { ask, reply } if self.asked == Some(ask) => {
                self.asked = None;
                self.take_in(now, reply, commands);
            }
            Event::Reply { .. } => {}
            Event::Release => self.release(commands),
        }
    }

    /// Returns the fence for an order that is given now, if one may be given.
    ///
    /// An order may be given while its whole time-out lies within the lease. To a target that
    /// ignores fences none may be given before every order of the former holder has ended.
    pub fn permit(&self, now: Time, fenced: bool) -> Option<Fence> {
        let in_time = now + self.settings.order_timeout <= self.until;
        let guarded = !fenced && now < self.unfenced_from;
        (self.is_held() && in_time && !guarded).then_some(self.fence)
    }

    /// Returns the latest time at which an order may begin, as long as the lease is held.
    pub fn order_until(&self) -> Time {
        self.until.saturating_sub(self.settings.order_timeout)
    }

    /// Returns when the lease wants [`Event::Wake`], if it does.
    pub fn wake_at(&self) -> Option<Time> {
        let due = (self.asked.is_none() && self.state != State::Released).then_some(self.due);
        let end = self.is_held().then_some(self.until);
        due.into_iter().chain(end).min()
    }

    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the row of the holder that was last read.
    pub fn seen(&self) -> Option<&Row> {
        self.seen.as_ref().map(|seen| &seen.row)
    }

    fn is_held(&self) -> bool {
        matches!(
            self.state,
            State::Holding | State::Renewing | State::Confirming
        )
    }

    fn step(&mut self, step: Step) -> bool {
        let next = self.chart.next(self.state, step);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }

    fn lapse(&mut self, now: Time, commands: &mut Vec<Command>) {
        if self.is_held() && now >= self.until {
            self.lose(now, Step::Lapse, commands);
        }
    }

    fn lose(&mut self, now: Time, step: Step, commands: &mut Vec<Command>) {
        if self.step(step) {
            self.asked = None;
            self.seen = None;
            self.due = now;
            commands.push(Command::Lost { fence: self.fence });
        }
    }

    fn wake(&mut self, now: Time, commands: &mut Vec<Command>) {
        if self.asked.is_some() || now < self.due {
            return;
        }
        match self.state {
            State::Watching | State::Checking | State::Confirming => {
                let ask = self.ask();
                commands.push(Command::Read { ask });
            }
            State::Holding => self.write(now, Step::Renew, commands),
            State::Taking | State::Renewing | State::Released => {}
        }
    }

    fn take_in(&mut self, now: Time, reply: Reply, commands: &mut Vec<Command>) {
        match self.state {
            State::Watching => self.watched(now, reply, commands),
            State::Taking | State::Checking => self.taken(now, reply, commands),
            State::Holding | State::Renewing | State::Confirming => {
                self.renewed(now, reply, commands);
            }
            State::Released => {}
        }
    }

    fn watched(&mut self, now: Time, reply: Reply, commands: &mut Vec<Command>) {
        self.due = now + self.interval();
        match reply {
            Reply::Row { row, version } => self.observe(now, row, version),
            Reply::Absent => self.seen = None,
            Reply::Written { .. } | Reply::Conflict | Reply::Out => return,
        }
        match self.free_at() {
            Some(free) if now < free => {
                self.due = free.min(now + self.settings.duration / WATCH_PART);
            }
            _ => self.take(now, commands),
        }
    }

    /// Keeps the time at which the row was first seen, since the lease is counted from there.
    fn observe(&mut self, now: Time, row: Row, version: Version) {
        if self
            .seen
            .as_ref()
            .is_none_or(|seen| seen.version != version)
        {
            self.seen = Some(Seen {
                row,
                version,
                since: now,
            });
        }
    }

    /// Returns when the row that was read may be taken over; `None` if at once.
    fn free_at(&self) -> Option<Time> {
        let seen = self.seen.as_ref()?;
        let duration = seen.row.duration;
        let own = seen.row.holder == self.settings.holder;
        let lapse = seen.since + duration + duration / DRIFT_PART;
        (!own && !duration.is_zero()).then_some(lapse)
    }

    fn take(&mut self, now: Time, commands: &mut Vec<Command>) {
        let old = self.seen.as_ref().map(|seen| &seen.row);
        self.fence = old.map_or(0, |row| row.fence) + 1;
        let guard = old.map_or(Duration::ZERO, |row| {
            row.duration + row.order_timeout.max(self.settings.order_timeout)
        });
        let own = old.is_some_and(|row| row.holder == self.settings.holder);
        self.guard = if own { self.guard.max(guard) } else { guard };
        self.version = self.seen.as_ref().map_or(0, |seen| seen.version);
        self.write(now, Step::Take, commands);
    }

    fn taken(&mut self, now: Time, reply: Reply, commands: &mut Vec<Command>) {
        let version = match reply {
            Reply::Written { version } => Some(version),
            Reply::Row { row, version } if self.is_own(&row) => Some(version),
            Reply::Out => return self.doubt(now),
            Reply::Row { .. } | Reply::Absent | Reply::Conflict => None,
        };
        let Some(version) = version else {
            self.due = now;
            self.seen = None;
            self.step(Step::Refuse);
            return;
        };
        self.unfenced_from = now + self.guard;
        self.confirm(version, self.sent);
        commands.push(Command::Gained { fence: self.fence });
        self.lapse(now, commands);
    }

    fn renewed(&mut self, now: Time, reply: Reply, commands: &mut Vec<Command>) {
        match reply {
            Reply::Written { version } => self.confirm(version, self.sent),
            Reply::Row { row, version } if self.is_own(&row) => self.confirm(version, row.sent),
            Reply::Row { .. } | Reply::Absent => self.lose(now, Step::Refuse, commands),
            Reply::Conflict => {
                self.doubt(now);
                self.due = now;
            }
            Reply::Out => self.doubt(now),
        }
    }

    /// Reads the row back, at once after a write and at intervals after a failed read.
    fn doubt(&mut self, now: Time) {
        let was_write = matches!(self.state, State::Taking | State::Renewing);
        self.step(Step::Doubt);
        self.due = if was_write {
            now
        } else {
            now + self.interval()
        };
    }

    fn confirm(&mut self, version: Version, sent: Time) {
        if self.step(Step::Confirm) {
            self.version = version;
            self.until = sent + self.settings.duration;
            self.due = sent + self.interval();
        }
    }

    fn is_own(&self, row: &Row) -> bool {
        row.holder == self.settings.holder && row.fence == self.fence
    }

    fn release(&mut self, commands: &mut Vec<Command>) {
        let holding = self.state == State::Holding;
        let held = self.is_held();
        self.step(Step::Release);
        self.asked = None;
        if held {
            commands.push(Command::Lost { fence: self.fence });
        }
        if holding {
            let ask = self.ask();
            let row = self.row(self.sent, Duration::ZERO);
            let version = self.version;
            commands.push(Command::Write { ask, version, row });
        }
    }

    fn write(&mut self, now: Time, step: Step, commands: &mut Vec<Command>) {
        if self.step(step) {
            self.sent = now;
            let ask = self.ask();
            let row = self.row(now, self.settings.duration);
            let version = self.version;
            commands.push(Command::Write { ask, version, row });
        }
    }

    fn row(&self, sent: Time, duration: Duration) -> Row {
        Row {
            holder: self.settings.holder.clone(),
            fence: self.fence,
            sent,
            duration,
            order_timeout: self.settings.order_timeout,
        }
    }

    fn ask(&mut self) -> Ask {
        self.last_ask += 1;
        self.asked = Some(self.last_ask);
        self.last_ask
    }

    fn interval(&self) -> Duration {
        self.settings.duration / INTERVAL_PART
    }
}
