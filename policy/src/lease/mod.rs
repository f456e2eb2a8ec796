//! Lease of a region, which lets one planner at a time give orders there.
//!
//! The lease is one row of the platform's table service. Its holder counts the lease from before
//! it sent the renewing request, and every other planner counts it from after it first read the
//! row, so the holder's time ends first whatever the delays between them. No clock but the
//! planner's own monotonic one is used.

mod row;

pub use self::row::{FencingToken, Row};

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
const RENEWAL_DIVISOR: u32 = 4;

/// Part of the lease after which a planner that does not hold it reads its row again.
const WATCH_DIVISOR: u32 = 2;

/// Part of another's lease that is waited besides, since clocks differ in speed.
const DRIFT_DIVISOR: u32 = 16;

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
pub type OperationId = u64;

/// What happened to a lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The time of [`Lease::wake_at`] has come.
    Wake,
    /// The platform answered, or did not in time.
    Reply {
        /// The question.
        #[serde(rename = "ask")]
        operation: OperationId,
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
    #[serde(rename = "out")]
    Unavailable,
}

/// What a lease wants done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Read the lease row.
    Read {
        /// Number of the question.
        #[serde(rename = "ask")]
        operation: OperationId,
    },
    /// Write the lease row.
    Write {
        /// Number of the question.
        #[serde(rename = "ask")]
        operation: OperationId,
        /// Version that must stand there; 0 for none.
        version: Version,
        /// Row to write.
        row: Row,
    },
    /// Tell that the lease is held from now on.
    Gained {
        /// Number that goes with each order.
        fence: FencingToken,
    },
    /// Tell that the lease is held no more.
    Lost {
        /// Number that went with the orders.
        fence: FencingToken,
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
struct ObservedRow {
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
    last_operation: OperationId,
    pending: Option<OperationId>,
    next_action_at: Time,
    observed: Option<ObservedRow>,
    version: Version,
    sent: Time,
    fence: FencingToken,
    expires_at: Time,
    unfenced_delay: Duration,
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
            last_operation: 0,
            pending: None,
            next_action_at: Time::ZERO,
            observed: None,
            version: 0,
            sent: Time::ZERO,
            fence: 0,
            expires_at: Time::ZERO,
            unfenced_delay: Duration::ZERO,
            unfenced_from: Time::ZERO,
        }
    }

    /// Takes in one event and appends what is to be done.
    pub fn on(&mut self, now: Time, event: Event, commands: &mut Vec<Command>) {
        self.lapse(now, commands);
        match event {
            Event::Wake => self.handle_wake(now, commands),
            Event::Reply { operation, reply } if self.pending == Some(operation) => {
                self.pending = None;
                self.handle_reply(now, reply, commands);
            }
            Event::Reply { .. } => {}
            Event::Release => self.release(commands),
        }
    }

    /// Returns the fence for an order that is given now, if one may be given.
    ///
    /// An order may be given while its whole time-out lies within the lease. To a target that
    /// ignores fences none may be given before every order of the former holder has ended.
    pub fn permit(&self, now: Time, fenced: bool) -> Option<FencingToken> {
        let in_time = now + self.settings.order_timeout <= self.expires_at;
        let unfenced_blocked = !fenced && now < self.unfenced_from;
        (self.is_held() && in_time && !unfenced_blocked).then_some(self.fence)
    }

    /// Returns the latest time at which an order may begin, as long as the lease is held.
    pub fn latest_order_start(&self) -> Time {
        self.expires_at.saturating_sub(self.settings.order_timeout)
    }

    /// Returns when the lease wants [`Event::Wake`], if it does.
    pub fn wake_at(&self) -> Option<Time> {
        let next_action_at = (self.pending.is_none() && self.state != State::Released)
            .then_some(self.next_action_at);
        let end = self.is_held().then_some(self.expires_at);
        next_action_at.into_iter().chain(end).min()
    }

    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the row of the holder that was last read.
    pub fn observed_row(&self) -> Option<&Row> {
        self.observed.as_ref().map(|observed| &observed.row)
    }

    fn is_held(&self) -> bool {
        matches!(
            self.state,
            State::Holding | State::Renewing | State::Confirming
        )
    }

    fn transition(&mut self, step: Step) -> bool {
        let next = self.chart.next(self.state, step);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }

    fn lapse(&mut self, now: Time, commands: &mut Vec<Command>) {
        if self.is_held() && now >= self.expires_at {
            self.lose(now, Step::Lapse, commands);
        }
    }

    fn lose(&mut self, now: Time, step: Step, commands: &mut Vec<Command>) {
        if self.transition(step) {
            self.pending = None;
            self.observed = None;
            self.next_action_at = now;
            commands.push(Command::Lost { fence: self.fence });
        }
    }

    fn handle_wake(&mut self, now: Time, commands: &mut Vec<Command>) {
        if self.pending.is_some() || now < self.next_action_at {
            return;
        }
        match self.state {
            State::Watching | State::Checking | State::Confirming => {
                let operation = self.next_operation();
                commands.push(Command::Read { operation });
            }
            State::Holding => self.write(now, Step::Renew, commands),
            State::Taking | State::Renewing | State::Released => {}
        }
    }

    fn handle_reply(&mut self, now: Time, reply: Reply, commands: &mut Vec<Command>) {
        match self.state {
            State::Watching => self.handle_watch_reply(now, reply, commands),
            State::Taking | State::Checking => self.handle_takeover_reply(now, reply, commands),
            State::Holding | State::Renewing | State::Confirming => {
                self.handle_renewal_reply(now, reply, commands);
            }
            State::Released => {}
        }
    }

    fn handle_watch_reply(&mut self, now: Time, reply: Reply, commands: &mut Vec<Command>) {
        self.next_action_at = now + self.renewal_interval();
        match reply {
            Reply::Row { row, version } => self.observe(now, row, version),
            Reply::Absent => self.observed = None,
            Reply::Written { .. } | Reply::Conflict | Reply::Unavailable => return,
        }
        match self.available_at() {
            Some(free) if now < free => {
                self.next_action_at = free.min(now + self.settings.duration / WATCH_DIVISOR);
            }
            _ => self.take(now, commands),
        }
    }

    /// Keeps the time at which the row was first seen, since the lease is counted from there.
    fn observe(&mut self, now: Time, row: Row, version: Version) {
        if self
            .observed
            .as_ref()
            .is_none_or(|observed| observed.version != version)
        {
            self.observed = Some(ObservedRow {
                row,
                version,
                since: now,
            });
        }
    }

    /// Returns when the row that was read may be taken over; `None` if at once.
    fn available_at(&self) -> Option<Time> {
        let observed = self.observed.as_ref()?;
        let duration = observed.row.duration;
        let own = observed.row.holder == self.settings.holder;
        let lapse = observed.since + duration + duration / DRIFT_DIVISOR;
        (!own && !duration.is_zero()).then_some(lapse)
    }

    fn take(&mut self, now: Time, commands: &mut Vec<Command>) {
        let old = self.observed.as_ref().map(|observed| &observed.row);
        self.fence = old.map_or(0, |row| row.fence) + 1;
        let unfenced_delay = old.map_or(Duration::ZERO, |row| {
            row.duration + row.order_timeout.max(self.settings.order_timeout)
        });
        let own = old.is_some_and(|row| row.holder == self.settings.holder);
        self.unfenced_delay = if own {
            self.unfenced_delay.max(unfenced_delay)
        } else {
            unfenced_delay
        };
        self.version = self
            .observed
            .as_ref()
            .map_or(0, |observed| observed.version);
        self.write(now, Step::Take, commands);
    }

    fn handle_takeover_reply(&mut self, now: Time, reply: Reply, commands: &mut Vec<Command>) {
        let version = match reply {
            Reply::Written { version } => Some(version),
            Reply::Row { row, version } if self.is_own(&row) => Some(version),
            Reply::Unavailable => return self.doubt(now),
            Reply::Row { .. } | Reply::Absent | Reply::Conflict => None,
        };
        let Some(version) = version else {
            self.next_action_at = now;
            self.observed = None;
            self.transition(Step::Refuse);
            return;
        };
        self.unfenced_from = now + self.unfenced_delay;
        self.confirm(version, self.sent);
        commands.push(Command::Gained { fence: self.fence });
        self.lapse(now, commands);
    }

    fn handle_renewal_reply(&mut self, now: Time, reply: Reply, commands: &mut Vec<Command>) {
        match reply {
            Reply::Written { version } => self.confirm(version, self.sent),
            Reply::Row { row, version } if self.is_own(&row) => self.confirm(version, row.sent),
            Reply::Row { .. } | Reply::Absent => self.lose(now, Step::Refuse, commands),
            Reply::Conflict => {
                self.doubt(now);
                self.next_action_at = now;
            }
            Reply::Unavailable => self.doubt(now),
        }
    }

    /// Reads the row back, at once after a write and at intervals after a failed read.
    fn doubt(&mut self, now: Time) {
        let was_write = matches!(self.state, State::Taking | State::Renewing);
        self.transition(Step::Doubt);
        self.next_action_at = if was_write {
            now
        } else {
            now + self.renewal_interval()
        };
    }

    fn confirm(&mut self, version: Version, sent: Time) {
        if self.transition(Step::Confirm) {
            self.version = version;
            self.expires_at = sent + self.settings.duration;
            self.next_action_at = sent + self.renewal_interval();
        }
    }

    fn is_own(&self, row: &Row) -> bool {
        row.holder == self.settings.holder && row.fence == self.fence
    }

    fn release(&mut self, commands: &mut Vec<Command>) {
        let holding = self.state == State::Holding;
        let held = self.is_held();
        self.transition(Step::Release);
        self.pending = None;
        if held {
            commands.push(Command::Lost { fence: self.fence });
        }
        if holding {
            let operation = self.next_operation();
            let row = self.row(self.sent, Duration::ZERO);
            let version = self.version;
            commands.push(Command::Write {
                operation,
                version,
                row,
            });
        }
    }

    fn write(&mut self, now: Time, step: Step, commands: &mut Vec<Command>) {
        if self.transition(step) {
            self.sent = now;
            let operation = self.next_operation();
            let row = self.row(now, self.settings.duration);
            let version = self.version;
            commands.push(Command::Write {
                operation,
                version,
                row,
            });
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

    fn next_operation(&mut self) -> OperationId {
        self.last_operation += 1;
        self.pending = Some(self.last_operation);
        self.last_operation
    }

    fn renewal_interval(&self) -> Duration {
        self.settings.duration / RENEWAL_DIVISOR
    }
}
