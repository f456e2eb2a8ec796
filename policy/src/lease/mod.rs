//! Lease of a region: at most one planner at a time may send orders to the region's engines.
//!
//! The lease is one row of the platform's table service. The holder measures the duration from
//! before it sends a renewal, and every other planner from after it first reads the row. The
//! holder's lease therefore expires first, whatever the network delay. Each planner uses only its
//! own monotonic clock.

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

/// State chart of [`Lease`] over [`State`] and [`Step`], as TOML.
pub const CHART: &str = include_str!("../../charts/lease.toml");

/// The holder renews, and a failed read is retried, after the lease's duration divided by this.
const RENEWAL_DIVISOR: u32 = 4;

/// Other planners read the row again at the latest after the lease's duration divided by this.
const WATCH_DIVISOR: u32 = 2;

/// Another planner's lease is waited out for its duration divided by this in addition, since
/// clocks run at different speeds.
const DRIFT_DIVISOR: u32 = 16;

/// Configuration of a [`Lease`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host and incarnation of this planner; unique among all that compete for the lease.
    pub holder: CompactString,
    /// Time from the sending of an acquisition or renewal to the expiry of the lease.
    pub duration: Duration,
    /// Timeout of an order to an engine.
    pub order_timeout: Duration,
}

/// Number of a read or write of the lease row, unique within one [`Lease`].
pub type OperationId = u64;

/// Input of [`Lease::on`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The time returned by [`Lease::wake_at`] has been reached.
    Wake,
    /// A read or write of the lease row completed or failed.
    Reply {
        /// Number from the command; a reply to any but the latest command is ignored.
        #[serde(rename = "ask")]
        operation: OperationId,
        /// Result of the operation.
        reply: Reply,
    },
    /// The planner is shutting down and has no order in flight.
    Release,
}

/// Result of a read or write of the lease row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum Reply {
    /// The read found a row.
    Row {
        /// Value of the row.
        row: Row,
        /// Version of the row, for the check of a later write.
        version: Version,
    },
    /// The read found no row.
    Absent,
    /// The row was written.
    Written {
        /// New version of the row.
        version: Version,
    },
    /// The row was not written, because its version is not the expected one.
    Conflict,
    /// The platform was not reached or its reply was lost; a write may have taken effect.
    #[serde(rename = "out")]
    Unavailable,
}

/// Output of [`Lease::on`], to be carried out by the caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Read the lease row.
    Read {
        /// Number to return in [`Event::Reply`].
        #[serde(rename = "ask")]
        operation: OperationId,
    },
    /// Write the lease row.
    Write {
        /// Number to return in [`Event::Reply`].
        #[serde(rename = "ask")]
        operation: OperationId,
        /// Version that the row must have; 0 if there must be no row.
        version: Version,
        /// New value of the row.
        row: Row,
    },
    /// Report that the lease has been acquired.
    Gained {
        /// Fencing token of the orders sent under this lease.
        fence: FencingToken,
    },
    /// Report that the lease has expired, was lost or was released.
    Lost {
        /// Fencing token of the orders that were sent under this lease.
        fence: FencingToken,
    },
}

chart_enum! {
    /// State of a [`Lease`], as named in [`CHART`].
    State {
        /// Another planner may hold the lease; its row is polled.
        Watching,
        /// The write that acquires the lease is in flight.
        Taking,
        /// The write that acquires the lease had no reply; the row is read back.
        Checking,
        /// The lease is held and no write is in flight.
        Holding,
        /// The lease is held and a renewal is in flight.
        Renewing,
        /// The lease is held, and it is unknown whether the last renewal was written.
        Confirming,
        /// The planner is shutting down and does not acquire the lease again.
        Released,
    }
}

chart_enum! {
    /// Transition of a [`Lease`], as named in [`CHART`].
    Step {
        /// The lease is available, and the write that acquires it is sent.
        Take,
        /// A renewal is due, and its write is sent.
        Renew,
        /// The row is known to be this planner's.
        Confirm,
        /// The row is known not to be this planner's.
        Refuse,
        /// The result of a write, or of reading it back, is unknown.
        Doubt,
        /// The lease has expired.
        Lapse,
        /// The planner is shutting down.
        Release,
    }
}

/// The row as last read, and when this version of it was first read.
#[derive(Debug)]
struct ObservedRow {
    row: Row,
    version: Version,
    since: Time,
}

/// State machine by which one planner acquires, renews and releases the lease of one region.
///
/// It does no I/O and reads no clock: the caller passes in the time and carries out the commands.
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
    /// When the last write was sent.
    sent: Time,
    fence: FencingToken,
    expires_at: Time,
    /// Time after an acquisition for which orders of the former holder may still be running.
    unfenced_delay: Duration,
    /// Start of orders to targets that ignore fencing tokens.
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

    /// Handles one event and appends the resulting commands.
    ///
    /// Before the event, a lease whose time has passed at `now` expires.
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

    /// Returns the fencing token for an order that starts at `now`; `None` if none may start.
    ///
    /// An order may start only if its timeout ends by the expiry of the lease. If the target does
    /// not check fencing tokens (`fenced` is false), every order of the former holder must have
    /// ended as well.
    pub fn permit(&self, now: Time, fenced: bool) -> Option<FencingToken> {
        let in_time = now + self.settings.order_timeout <= self.expires_at;
        let unfenced_blocked = !fenced && now < self.unfenced_from;
        (self.is_held() && in_time && !unfenced_blocked).then_some(self.fence)
    }

    /// Returns the latest time at which an order may start; valid only while the lease is held.
    pub fn latest_order_start(&self) -> Time {
        self.expires_at.saturating_sub(self.settings.order_timeout)
    }

    /// Returns when to pass in [`Event::Wake`].
    ///
    /// `None` while only a reply or [`Event::Release`] can change anything.
    pub fn wake_at(&self) -> Option<Time> {
        let next_action_at = (self.pending.is_none() && self.state != State::Released)
            .then_some(self.next_action_at);
        let end = self.is_held().then_some(self.expires_at);
        next_action_at.into_iter().chain(end).min()
    }

    /// Returns the state as of the last event.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the row that this planner last read while polling for the lease.
    ///
    /// `None` if there was no row, and from a loss of the lease until the next read.
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
            Some(available_at) if now < available_at => {
                self.next_action_at =
                    available_at.min(now + self.settings.duration / WATCH_DIVISOR);
            }
            _ => self.take(now, commands),
        }
    }

    /// Records a row, keeping the first read of a version, since the duration counts from there.
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

    /// Returns when the lease can be acquired; `None` if it already can.
    fn available_at(&self) -> Option<Time> {
        let observed = self.observed.as_ref()?;
        let duration = observed.row.duration;
        let is_own = observed.row.holder == self.settings.holder;
        let expires_at = observed.since + duration + duration / DRIFT_DIVISOR;
        (!is_own && !duration.is_zero()).then_some(expires_at)
    }

    fn take(&mut self, now: Time, commands: &mut Vec<Command>) {
        let previous = self.observed.as_ref().map(|observed| &observed.row);
        self.fence = previous.map_or(0, |row| row.fence) + 1;
        let unfenced_delay = previous.map_or(Duration::ZERO, |row| {
            row.duration + row.order_timeout.max(self.settings.order_timeout)
        });
        let is_own = previous.is_some_and(|row| row.holder == self.settings.holder);
        self.unfenced_delay = if is_own {
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

    /// Schedules a read of the row: immediately after a write, after an interval otherwise.
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
