//! State shared by all tasks of a daemon.

use super::{
    callers::Callers,
    conduct::JobDispatcher,
    crash::CrashWatch,
    dialect::{Dialect, Row},
    link::Links,
    metrics::Metrics,
    origin::OriginTable,
    rate::RateWatch,
    reach::ReachWatch,
    rejection::RejectionWatch,
    replication::Replication,
    settings::Settings,
    snapshot::SnapshotReader,
    store::Store,
    watch::TableCache,
};
use crate::http::Pool;
use policy::{
    budget::Budget,
    id::{Incarnation, PoolId, TargetId, Time},
    relay::{
        builds::BuildRecords,
        history::Edition,
        leader::{self, UnixMillis},
        memory,
        patience::Activity,
        pause::Pauses,
        plan::Plan,
        registry::Registry,
        selection::TargetSelector,
        shutdown::RunTimes,
    },
};
use std::{
    cell::{Cell, Ref, RefCell, RefMut},
    collections::HashMap,
    future,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::{Notify, watch},
    time,
};

/// Connect timeout for targets. A target that does not answer a SYN in this time is treated as
/// unreachable.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Fraction of the fleet's retry budget that the known daemons share. The rest is left for daemons
/// that are not known yet.
const RETRY_BUDGET_SHARE: f64 = 0.7;

/// A daemon that forwards requests to targets.
#[derive(Debug)]
pub struct Relay {
    settings: RefCell<Settings>,
    pub(super) dialect: Rc<dyn Dialect>,
    pub(super) incarnation: Incarnation,
    /// Start time of the process by the clock of its machine.
    pub(super) started_unix_ms: UnixMillis,
    started_at: Instant,
    /// Pool of connections to targets.
    pub(super) pool: Pool,
    pub(super) store: Store,
    plan: RefCell<Option<Rc<Plan>>>,
    plan_row: RefCell<Option<Row>>,
    registry: RefCell<Registry>,
    build_records: RefCell<BuildRecords>,
    /// Notified when a target was added or changed.
    pub(super) targets_changed: Notify,
    target_selector: RefCell<TargetSelector>,
    /// When targets last sent events of streams.
    pub(super) activity: RefCell<Activity>,
    pub(super) crash_watch: CrashWatch,
    pub(super) reach: ReachWatch,
    /// Number of tunnels that this daemon serves.
    pub(super) tunnels: Cell<usize>,
    pub(super) rejection_watch: RejectionWatch,
    /// Pauses that targets asked for.
    pub(super) pauses: RefCell<Pauses>,
    pub(super) rates: RateWatch,
    /// Open connections of callers.
    pub(super) callers: Callers,
    memory_usage: RefCell<memory::Usage>,
    /// When there was last no memory for a request body.
    body_refused_at: Cell<Option<Instant>>,
    /// Durations of requests that must not be repeated.
    pub(super) run_times: RefCell<RunTimes>,
    retry_budgets: RefCell<HashMap<PoolId, Budget>>,
    pub(super) links: Links,
    pub(super) replication: Replication,
    pub(super) origins: OriginTable,
    pub(super) snapshots: SnapshotReader,
    pub(super) tables: TableCache,
    pub(super) dispatcher: JobDispatcher,
    pub(super) metrics: Metrics,
    is_leaving: Cell<bool>,
    is_closing: watch::Sender<bool>,
    /// When requests without a response are given up, once the daemon is leaving.
    last_call: watch::Sender<Option<Instant>>,
    in_flight: Cell<usize>,
    /// Number of requests whose response has not begun.
    unanswered: Cell<usize>,
    /// Number of connections of callers that have carried a request.
    connections: Cell<usize>,
}

/// Counts a connection of a caller as open until dropped.
#[derive(Debug)]
pub(super) struct ConnectionGuard(Rc<Relay>);

/// Counts a request as unanswered until dropped.
#[derive(Debug)]
pub(super) struct UnansweredGuard(Rc<Relay>);

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard(Rc<Relay>);

impl Relay {
    /// Creates a daemon that is not running yet.
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>) -> Self {
        Self {
            links: Links::new(&settings),
            replication: Replication::new(settings.host.clone()),
            origins: OriginTable::default(),
            snapshots: SnapshotReader::default(),
            dialect,
            incarnation: rand::random(),
            started_unix_ms: unix_millis_now(),
            started_at: Instant::now(),
            pool: Pool::new(CONNECT_TIMEOUT),
            store: Store::new(),
            plan: RefCell::default(),
            plan_row: RefCell::default(),
            registry: RefCell::default(),
            build_records: RefCell::default(),
            targets_changed: Notify::new(),
            target_selector: RefCell::default(),
            activity: RefCell::default(),
            crash_watch: CrashWatch::default(),
            reach: ReachWatch::default(),
            tunnels: Cell::new(0),
            rejection_watch: RejectionWatch::new(&settings),
            pauses: RefCell::default(),
            rates: RateWatch::default(),
            callers: Callers::default(),
            memory_usage: RefCell::default(),
            body_refused_at: Cell::new(None),
            run_times: RefCell::default(),
            retry_budgets: RefCell::default(),
            dispatcher: JobDispatcher::new(),
            tables: TableCache::default(),
            metrics: Metrics::new(),
            is_leaving: Cell::new(false),
            is_closing: watch::Sender::new(false),
            last_call: watch::Sender::new(None),
            in_flight: Cell::new(0),
            unanswered: Cell::new(0),
            connections: Cell::new(0),
            settings: RefCell::new(settings),
        }
    }

    /// Returns the time since the start of the daemon.
    pub(super) fn now(&self) -> Time {
        self.started_at.elapsed()
    }

    /// Returns the time of an instant since the start of the daemon.
    pub(super) fn time_of(&self, instant: Instant) -> Time {
        instant.saturating_duration_since(self.started_at)
    }

    /// Returns the instant at a time since the start of the daemon.
    pub(super) fn instant_of(&self, time: Time) -> Instant {
        self.started_at + time
    }

    pub(super) fn settings(&self) -> Ref<'_, Settings> {
        self.settings.borrow()
    }

    pub(super) fn set_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = settings;
    }

    pub(super) fn plan(&self) -> Option<Rc<Plan>> {
        self.plan.borrow().clone()
    }

    /// Returns the edition of the configuration in force; `None` if there is none yet.
    pub(super) fn plan_edition(&self) -> Option<Edition> {
        let version = self.plan_row.borrow().as_ref()?.version;
        let revision = self.plan.borrow().as_ref()?.revision;
        Some(Edition { version, revision })
    }

    pub(super) fn plan_row(&self) -> Option<Row> {
        self.plan_row.borrow().clone()
    }

    pub(super) fn set_plan(self: &Rc<Self>, plan: Plan, row: Row) {
        self.dispatcher.set_plan(self, &plan);
        self.record_routes(&plan);
        *self.plan.borrow_mut() = Some(Rc::new(plan));
        *self.plan_row.borrow_mut() = Some(row);
        self.replication.clear_packed();
        self.reapply_cold();
    }

    pub(super) fn registry(&self) -> Ref<'_, Registry> {
        self.registry.borrow()
    }

    pub(super) fn registry_mut(&self) -> RefMut<'_, Registry> {
        self.registry.borrow_mut()
    }

    pub(super) fn build_records(&self) -> Ref<'_, BuildRecords> {
        self.build_records.borrow()
    }

    pub(super) fn build_records_mut(&self) -> RefMut<'_, BuildRecords> {
        self.build_records.borrow_mut()
    }

    pub(super) fn target_selector(&self) -> Ref<'_, TargetSelector> {
        self.target_selector.borrow()
    }

    pub(super) fn target_selector_mut(&self) -> RefMut<'_, TargetSelector> {
        self.target_selector.borrow_mut()
    }

    /// Returns the memory that is taken from each share.
    pub(super) fn memory_usage_mut(&self) -> RefMut<'_, memory::Usage> {
        self.memory_usage.borrow_mut()
    }

    /// Records that there was no memory for a request body.
    pub(super) fn record_refused_body(&self) {
        self.body_refused_at.set(Some(Instant::now()));
    }

    /// Returns whether there was no memory for a request body within the last `period`.
    pub(super) fn has_refused_body(&self, period: Duration) -> bool {
        let refused_at = self.body_refused_at.get();
        refused_at.is_some_and(|at| at.elapsed() < period)
    }

    /// Records the first send of a request, which earns a fraction of a retry.
    pub(super) fn record_first_send(&self, pool: &PoolId) {
        self.with_retry_budget(pool, Budget::deposit);
    }

    /// Takes one retry from this daemon's share of the fleet's retry budget; returns `false` if it
    /// is exhausted.
    pub(super) fn try_take_retry(&self, pool: &PoolId) -> bool {
        self.with_retry_budget(pool, Budget::try_spend)
    }

    /// Returns whether this daemon's share of the fleet's retry budget permits another retry.
    pub(super) fn has_retry(&self, pool: &PoolId) -> bool {
        self.with_retry_budget(pool, |budget| budget.available() > 0)
    }

    /// Records an event of a stream.
    pub(super) fn record_activity(&self, target: &TargetId) {
        self.activity.borrow_mut().record(self.now(), target);
    }

    fn with_retry_budget<T>(&self, pool: &PoolId, act: impl FnOnce(&mut Budget) -> T) -> T {
        let settings = self.settings.borrow();
        let extra = f64::from(settings.retry_burst) * RETRY_BUDGET_SHARE / self.fleet_size() as f64;
        let (ratio, burst) = (
            settings.retry_ratio * RETRY_BUDGET_SHARE,
            extra.max(1.0) as u32,
        );
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets.entry(pool.clone());
        let budget = budget.or_insert_with(|| Budget::new(ratio, burst));
        budget.resize(ratio, burst);
        act(budget)
    }

    /// Returns the number of daemons that share the fleet's budgets of retries and reads. Shortly after the
    /// start, known addresses count as well, since links to them are still being established.
    pub(super) fn fleet_size(&self) -> usize {
        let linked = self.links.count();
        let others = if self.now() < leader::JOIN_TIMEOUT {
            linked.max(self.links.addresses.count())
        } else {
            linked
        };
        others + 1
    }

    /// Returns whether the daemon is ready for callers.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_leaving.get() && self.plan.borrow().is_some()
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Begins to leave. Requests without a response are given up at `last_call`.
    pub(super) fn set_leaving(&self, last_call: Instant) {
        self.is_leaving.set(true);
        self.last_call.send_replace(Some(last_call));
    }

    /// Returns when requests without a response are given up; `None` unless the daemon is leaving.
    pub(super) fn last_call(&self) -> Option<Instant> {
        *self.last_call.borrow()
    }

    /// Waits until the daemon is leaving.
    pub(super) async fn until_leaving(&self) {
        let mut changes = self.last_call.subscribe();
        // The sender is a field of this daemon, so it is not dropped while the wait lasts.
        drop(changes.wait_for(Option::is_some).await);
    }

    /// Waits until requests without a response are to be given up.
    pub(super) async fn until_last_call(&self) {
        let mut changes = self.last_call.subscribe();
        // The sender is a field of this daemon, so it is not dropped while the wait lasts.
        let last_call = changes.wait_for(Option::is_some).await;
        let last_call = last_call.ok().and_then(|last_call| *last_call);
        match last_call {
            Some(at) => time::sleep_until(at.into()).await,
            None => future::pending().await,
        }
    }

    /// Returns whether new requests are rejected.
    pub(super) fn is_closing(&self) -> bool {
        *self.is_closing.borrow()
    }

    pub(super) fn set_closing(&self) {
        self.is_closing.send_replace(true);
    }

    /// Waits until new requests are rejected.
    pub(super) async fn until_closing(&self) {
        let mut changes = self.is_closing.subscribe();
        // The sender is a field of this daemon, so it is not dropped while the wait lasts.
        drop(changes.wait_for(|is_closing| *is_closing).await);
    }

    /// Returns whether a caller or a peer may still need this process: a request has no response, the
    /// caller has not read all of it, or a tunnel is open.
    pub(super) fn is_needed(&self) -> bool {
        self.in_flight.get() > 0 || self.connections.get() > 0 || self.tunnels.get() > 0
    }

    /// Returns whether a response has not begun.
    pub(super) fn owes_response(&self) -> bool {
        self.unanswered.get() > 0
    }

    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }
}

impl ConnectionGuard {
    pub fn new(relay: &Rc<Relay>) -> Self {
        relay.connections.set(relay.connections.get() + 1);
        Self(Rc::clone(relay))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

impl UnansweredGuard {
    pub fn new(relay: &Rc<Relay>) -> Self {
        relay.unanswered.set(relay.unanswered.get() + 1);
        Self(Rc::clone(relay))
    }
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        self.0.unanswered.set(self.0.unanswered.get() - 1);
    }
}

impl InFlightGuard {
    pub fn new(relay: &Rc<Relay>) -> Self {
        relay.in_flight.set(relay.in_flight.get() + 1);
        relay.metrics.in_flight.inc();
        Self(Rc::clone(relay))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.metrics.in_flight.dec();
    }
}

/// Returns the time of the system clock; 0 if the clock is set before 1970.
pub(super) fn unix_millis_now() -> UnixMillis {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |time| time.as_millis() as UnixMillis)
}
