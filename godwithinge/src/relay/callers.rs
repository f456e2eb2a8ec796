//! Connections of callers, their number and what each of them does.

use super::{
    buffer::Reservation,
    state::{ConnectionGuard, Relay},
};
use policy::relay::callers::{self, DiscardPace, Phase, Progress};
use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::BTreeMap,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

/// Time without progress after which a response counts as unread.
const UNREAD_TIME: Duration = Duration::from_secs(1);
/// Minimum interval between log lines about connections that were closed.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Reason that is counted for a new connection that was refused.
const REFUSED: &str = "refused";

/// Open connections of callers.
#[derive(Debug, Default)]
pub(super) struct Callers {
    open: RefCell<BTreeMap<u64, Rc<Activity>>>,
    next_key: Cell<u64>,
    /// Number of open connections that are about to be closed.
    closing: Cell<usize>,
    discard_pace: Cell<DiscardPace>,
    logged_at: Cell<Option<Instant>>,
    /// Connections that were closed since the last log line.
    unlogged: Cell<u64>,
}

/// Activity of one connection.
#[derive(Debug)]
pub(super) struct Activity {
    in_flight: Cell<usize>,
    last_used: Cell<Instant>,
    /// When the first part of a head arrived of which no request has come yet.
    head_since: Cell<Option<Instant>>,
    body: Cell<Option<BodyActivity>>,
    /// Ends the body that is being read; absent if it holds no memory.
    body_end: RefCell<Option<Rc<Notify>>>,
    /// Since when the caller has taken no byte of a response.
    unread_since: Cell<Option<Instant>>,
    /// Memory of a response that is not written yet.
    response: RefCell<Option<Reservation>>,
    is_closing: Cell<bool>,
    close: Notify,
    /// Keeps the process running until the connection has ended; absent before the first request.
    guard: OnceCell<ConnectionGuard>,
}

/// Body of a request that is being read.
#[derive(Clone, Copy, Debug)]
struct BodyActivity {
    began: Instant,
    last_read: Instant,
    expected: usize,
    received: usize,
}

/// Place of an open connection, given back on drop.
#[derive(Debug)]
pub(super) struct Place {
    relay: Rc<Relay>,
    key: u64,
    pub activity: Rc<Activity>,
}

/// Counts a request as in flight on its connection until dropped.
#[derive(Debug)]
pub(super) struct RequestGuard(Rc<Activity>);

/// Marks a connection as receiving the body of a request until dropped.
#[derive(Debug)]
pub(super) struct BodyGuard {
    activity: Rc<Activity>,
    end: Rc<Notify>,
}

/// Stream of a connection that records its activity.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl Relay {
    /// Takes a place for a new connection. If there are too many, the one that is of least use is closed; `None`
    /// if all of them are busy.
    pub(super) fn admit_caller(self: &Rc<Self>) -> Option<Place> {
        let callers = &self.callers;
        let limit = self.max_callers();
        while callers.count() >= limit {
            let closed = callers.close_first();
            self.record_closed_caller(closed.map_or(REFUSED, Into::into));
            closed?;
        }
        let activity = Rc::new(Activity::new());
        let key = callers.next_key.replace(callers.next_key.get() + 1);
        callers.open.borrow_mut().insert(key, Rc::clone(&activity));
        self.update_connection_memory();
        Some(Place {
            relay: Rc::clone(self),
            key,
            activity,
        })
    }

    /// Begins to close the connection whose response has been unread for longest, and returns the memory of that
    /// response. Returns `false` if there is none.
    pub(super) fn close_unread_caller(&self) -> bool {
        let is_closed = self.callers.close_unread();
        if is_closed {
            self.record_closed_caller("unread");
        }
        is_closed
    }

    /// Ends the body that arrives most slowly, if it is too slow to keep its memory while others find none. Returns
    /// `false` if there is none. The memory is free once its task has run.
    pub(super) fn end_slow_body(&self) -> bool {
        let is_ended = self.callers.end_slow_body();
        if is_ended {
            self.record_closed_caller("slow_body");
        }
        is_ended
    }

    /// Returns whether half of the connections that may be open are.
    pub(super) fn has_many_callers(&self) -> bool {
        self.callers.open.borrow().len() * 2 >= self.max_callers()
    }

    /// Records that bytes of a rejected body were discarded, and returns the wait before more of it is read.
    pub(super) fn record_discard(&self, bytes: usize) -> Duration {
        let mut pace = self.callers.discard_pace.get();
        let wait = pace.record(self.now(), bytes);
        self.callers.discard_pace.set(pace);
        wait
    }

    fn max_callers(&self) -> usize {
        let settings = self.settings();
        callers::max_connections(settings.memory_bytes, settings.max_descriptors)
    }

    /// Counts a connection that was closed, and logs it unless another one was logged recently.
    pub(super) fn record_closed_caller(&self, reason: &str) {
        let counter = self.metrics.closed_callers.with_label_values(&[reason]);
        counter.inc();
        let callers = &self.callers;
        let closed = callers.unlogged.get() + 1;
        let is_due = callers
            .logged_at
            .get()
            .is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if is_due {
            callers.logged_at.set(Some(Instant::now()));
            let open = callers.count();
            tracing::warn!(reason, closed, open, "connections of callers closed");
        }
        callers.unlogged.set(if is_due { 0 } else { closed });
    }

    fn update_connection_memory(&self) {
        let count = self.callers.open.borrow().len();
        self.memory_usage_mut().set_connections(count);
    }
}

impl Callers {
    /// Returns the number of connections that stay open.
    fn count(&self) -> usize {
        self.open.borrow().len() - self.closing.get()
    }

    /// Begins to close the connection that is of least use; returns what it did.
    fn close_first(&self) -> Option<Phase> {
        let open = self.open.borrow();
        let now = Instant::now();
        let candidates = open.values().filter_map(|activity| {
            let (phase, since) = activity.phase(now)?;
            Some((activity, phase, now.saturating_duration_since(since)))
        });
        let activity = callers::first_to_close(candidates)?;
        let (phase, _) = activity.phase(now)?;
        self.begin_closing(activity);
        Some(phase)
    }

    fn close_unread(&self) -> bool {
        let open = self.open.borrow();
        let now = Instant::now();
        let unread = open.values().filter_map(|activity| {
            let (phase, since) = activity.phase(now)?;
            let has_memory = activity.response.borrow().is_some();
            (phase == Phase::Unread && has_memory).then_some((activity, since))
        });
        let Some((activity, _)) = unread.min_by_key(|(_, since)| *since) else {
            return false;
        };
        self.begin_closing(activity);
        activity.response.take();
        true
    }

    fn end_slow_body(&self) -> bool {
        let open = self.open.borrow();
        let now = Instant::now();
        let bodies = open.values().filter_map(|activity| {
            let body = activity.body.get()?;
            let holds_memory = activity.body_end.borrow().is_some();
            holds_memory.then(|| (activity, body.progress(now)))
        });
        let slowest = callers::slowest_body(bodies);
        let end = slowest.and_then(|activity| activity.body_end.take());
        end.inspect(|end| end.notify_one()).is_some()
    }

    fn begin_closing(&self, activity: &Activity) {
        activity.is_closing.set(true);
        activity.close.notify_one();
        self.closing.set(self.closing.get() + 1);
    }
}

impl Activity {
    fn new() -> Self {
        Self {
            in_flight: Cell::new(0),
            last_used: Cell::new(Instant::now()),
            head_since: Cell::new(None),
            body: Cell::new(None),
            body_end: RefCell::default(),
            unread_since: Cell::new(None),
            response: RefCell::default(),
            is_closing: Cell::new(false),
            close: Notify::new(),
            guard: OnceCell::new(),
        }
    }

    /// Records the head of a request.
    pub fn begin_request(self: &Rc<Self>, relay: &Rc<Relay>) -> RequestGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        self.head_since.set(None);
        self.guard.get_or_init(|| ConnectionGuard::new(relay));
        RequestGuard(Rc::clone(self))
    }

    /// Waits until the connection is to be closed in favor of another one.
    pub async fn until_closed(&self) {
        self.close.notified().await;
    }

    /// Returns whether a request has arrived on the connection.
    pub fn has_carried_request(&self) -> bool {
        self.guard.get().is_some()
    }

    /// Returns whether the connection may be closed at any time without a request being lost.
    pub fn is_unused(&self) -> bool {
        self.in_flight.get() == 0
            && self.head_since.get().is_none()
            && self.body.get().is_none()
            && self.unread_since.get().is_none()
    }

    /// Returns whether nothing was requested for `timeout`.
    pub fn is_idle_for(&self, timeout: Duration) -> bool {
        self.in_flight.get() == 0
            && self.body.get().is_none()
            && self.last_used.get().elapsed() > timeout
    }

    /// Returns whether a head that has begun is not complete after `timeout`.
    pub fn is_head_late(&self, timeout: Duration) -> bool {
        let since = self.head_since.get();
        self.body.get().is_none() && since.is_some_and(|since| since.elapsed() > timeout)
    }

    /// Returns whether the caller has read nothing of a response for `timeout`.
    pub fn is_unread_for(&self, timeout: Duration) -> bool {
        let since = self.unread_since.get();
        since.is_some_and(|since| since.elapsed() > timeout)
    }

    /// Returns what the connection does, and since when; `None` if it is being closed.
    fn phase(&self, now: Instant) -> Option<(Phase, Instant)> {
        if self.is_closing.get() {
            return None;
        }
        if let Some(since) = self.unread_since.get()
            && now.saturating_duration_since(since) >= UNREAD_TIME
        {
            return Some((Phase::Unread, since));
        }
        if let Some(body) = self.body.get() {
            let phase = if body.progress(now).is_stalled() {
                Phase::Stalled
            } else {
                Phase::Busy
            };
            return Some((phase, body.began));
        }
        Some(match self.head_since.get() {
            _ if self.in_flight.get() > 0 => (Phase::Busy, now),
            Some(since) => (Phase::Head, since),
            None if self.has_carried_request() => (Phase::Idle, self.last_used.get()),
            None => (Phase::New, self.last_used.get()),
        })
    }

    fn record_read(&self, bytes: usize) {
        if let Some(mut body) = self.body.get() {
            body.last_read = Instant::now();
            body.received += bytes;
            self.body.set(Some(body));
        } else if self.in_flight.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
        }
    }

    fn record_write<T>(&self, written: &Poll<T>) {
        let since = match written {
            Poll::Ready(_) => None,
            Poll::Pending => self.unread_since.get().or_else(|| Some(Instant::now())),
        };
        self.unread_since.set(since);
    }
}

impl BodyActivity {
    fn progress(&self, now: Instant) -> Progress {
        Progress {
            expected: self.expected as u64,
            received: self.received as u64,
            age: now.saturating_duration_since(self.began),
            silence: now.saturating_duration_since(self.last_read),
        }
    }
}

impl RequestGuard {
    /// Keeps the memory of a response until it has been written. The response has to be returned without a wait.
    pub fn hold_response(&self, memory: Reservation) {
        self.0.response.replace(Some(memory));
    }

    /// Marks the connection as receiving a body for which `expected` bytes of memory are taken.
    pub fn begin_body(&self, expected: usize) -> BodyGuard {
        let now = Instant::now();
        self.0.body.set(Some(BodyActivity {
            began: now,
            last_read: now,
            expected,
            received: 0,
        }));
        let end = Rc::new(Notify::new());
        self.0.body_end.replace(Some(Rc::clone(&end)));
        BodyGuard {
            activity: Rc::clone(&self.0),
            end,
        }
    }
}

impl BodyGuard {
    /// Waits until the body has to give its memory to others.
    pub async fn until_ended(&self) {
        self.end.notified().await;
    }

    /// Records that the body holds no memory.
    pub fn release_memory(&self) {
        self.activity.body_end.take();
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.last_used.set(Instant::now());
    }
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        self.activity.body.set(None);
        self.activity.body_end.take();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let callers = &self.relay.callers;
        callers.open.borrow_mut().remove(&self.key);
        if self.activity.is_closing.get() {
            callers.closing.set(callers.closing.get() - 1);
        }
        self.relay.update_connection_memory();
    }
}

impl CallerStream {
    /// Wraps the stream of a connection.
    pub fn new(stream: TcpStream, activity: &Rc<Activity>) -> Self {
        let activity = Rc::clone(activity);
        Self { stream, activity }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let bytes = buf.filled().len() - before;
        if bytes > 0 {
            self.activity.record_read(bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // All that was buffered has been written.
        self.activity.response.take();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
