//! Replicates the tables of configuration, targets and daemons from the store.

use super::{
    dialect::{Row, Table},
    frame::{EVACUATION_PROTOCOL, PROTOCOL, Profile},
    state::Relay,
    store::{self, CALL_TIMEOUT},
};
use compact_str::CompactString;
use policy::relay::{
    history::{Edition, Era, Version},
    reader::{self, Order, Schedule},
    registry::TargetChange,
};
use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time;

/// Time for which the store holds a feed call of the daemons' own tables open. They are less urgent
/// than the others: links detect failed daemons, and the rest matters after a start.
const OWN_FEED_WAIT: Duration = Duration::from_secs(10);
/// Interval at which a daemon that does not read a table checks whether it has to; less than the time
/// between two turns of standing in.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the order of the readers is reused.
const READER_ORDER_TTL: Duration = Duration::from_millis(100);
/// Base of the delay after failed calls, which doubles with each failure and is shortened at random
/// by up to half.
const BASE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after failed calls. After an outage, the store is thus read within half of the
/// grace period in which targets have to register again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(900);
/// Number of consecutive failed calls after which the whole table is read again. They take a few
/// seconds, in which the store may drop its history.
const MAX_FAILURES_BEFORE_REREAD: u32 = 3;

/// Number of peers that do not read the store from which a daemon requests all targets, as long as
/// it has read none itself. Several, since an entry may have passed one of them by.
const MAX_PEER_REQUESTS: u32 = 3;
/// Time after which another peer is asked if none of them knew a target.
const PEER_REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Cached entries of targets, and when this daemon last read its tables.
#[derive(Debug, Default)]
pub(super) struct TableCache {
    /// Latest known row of each target, including deleted ones, to be sent to peers.
    targets: RefCell<HashMap<CompactString, Row>>,
    /// Keys of deleted rows that may reappear: a daemon told of them that could not read the store.
    hearsay: RefCell<HashSet<CompactString>>,
    targets_read_at: Cell<Option<Instant>>,
    plan_read_at: Cell<Option<Instant>>,
    /// Era of the store in which the targets were last read; `None` before the first read.
    targets_era: Cell<Option<Era>>,
    /// Number of requests for all targets to peers that do not read the store.
    peer_requests: Cell<u32>,
    last_peer_request: Cell<Option<Instant>>,
    /// Order in which the daemons read, and when it was determined.
    reader_order: RefCell<Option<(Instant, Order)>>,
    /// Since when no daemon before this one has had recent tables.
    stale_since: Cell<Option<Instant>>,
    /// Whether this daemon reads although it is not a reader.
    stands_in: Cell<bool>,
}

/// Keeps a table up to date; never returns.
///
/// A few readers follow the feeds of the store and send changes to their peers over the links. If
/// none of them has recent tables, other daemons stand in by turns.
pub(super) async fn follow_table(relay: Rc<Relay>, table: Table) {
    let mut after: Option<Version> = None;
    let mut failures = 0_u32;
    let mut has_read = false;
    loop {
        if after.is_some_and(|after| after.era < relay.store.era()) {
            after = None;
        }
        if has_read && !relay.must_read(table) {
            after = None;
            time::sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let started_at = Instant::now();
        let outcome = read_or_poll(&relay, table, &mut after).await;
        let name: &'static str = table.into();
        let result = if outcome.is_ok() { "ok" } else { "failed" };
        relay
            .metrics
            .store_calls
            .with_label_values(&[name, result])
            .inc();
        match outcome {
            Ok(()) => {
                has_read = true;
                relay.tables.record_read(table);
                if failures > 0 {
                    tracing::info!(table = name, failures, "store regained");
                    if table == Table::Targets {
                        relay.record_outage();
                    }
                }
                failures = 0;
                let min_interval = relay.read_schedule().min_interval;
                time::sleep(min_interval.saturating_sub(started_at.elapsed())).await;
            }
            Err(store::Error::Compacted) => {
                let after_version = after.map(|after| after.number);
                tracing::info!(
                    table = name,
                    after = after_version,
                    "store dropped its history; reading the whole table"
                );
                after = None;
            }
            Err(store::Error::Restored) => {
                tracing::info!(
                    table = name,
                    era = relay.store.era(),
                    "store came back from an older copy; reading the whole table"
                );
                after = None;
            }
            Err(fault) => {
                if failures == 0 {
                    tracing::warn!(table = name, %fault, "store lost");
                }
                failures += 1;
                if table == Table::Targets {
                    relay.record_outage();
                }
                // Changes may be lost by now; reading the whole table also finds deleted rows.
                if failures > MAX_FAILURES_BEFORE_REREAD {
                    after = None;
                }
                let delay = BASE_RETRY_DELAY * 2_u32.saturating_pow(failures.min(8));
                time::sleep(
                    delay
                        .min(MAX_RETRY_DELAY)
                        .mul_f64(0.5 + rand::random::<f64>() / 2.0),
                )
                .await;
            }
        }
    }
}

/// Reads the whole table if `after` is absent, or else waits for changes after that version.
async fn read_or_poll(
    relay: &Rc<Relay>,
    table: Table,
    after: &mut Option<Version>,
) -> Result<(), store::Error> {
    match *after {
        None => {
            let rows = relay.store.read_table(relay, table).await?;
            *after = Some(rows.version);
            if table == Table::Targets && relay.tables.record_era(rows.version.era) {
                relay.record_outage();
            }
            match table {
                Table::Targets => relay.replace_targets(rows.rows, rows.version),
                Table::Builds => relay.load_builds(rows.version.era, &rows.rows),
                Table::Quarantine => relay.load_quarantine(&rows.rows),
                Table::Plan => {
                    // Before the configuration, from which on the daemon is ready.
                    relay.replace_evacuations(rows.version, &rows.rows);
                    relay.apply_rows(table, rows.rows);
                }
                Table::Daemons | Table::Streams => relay.apply_rows(table, rows.rows),
            }
        }
        Some(version) => {
            let wait = match table {
                Table::Plan | Table::Targets => relay.read_schedule().feed_wait,
                Table::Daemons | Table::Builds | Table::Quarantine | Table::Streams => {
                    OWN_FEED_WAIT
                }
            };
            let changes = relay
                .store
                .poll_changes(relay, table, version, wait)
                .await?;
            *after = Some(changes.version.max(version));
            relay.apply_rows(table, changes.rows);
        }
    }
    Ok(())
}

impl TableCache {
    fn record_read(&self, table: Table) {
        let now = Some(Instant::now());
        match table {
            Table::Plan => self.plan_read_at.set(now),
            Table::Targets => self.targets_read_at.set(now),
            Table::Daemons | Table::Builds | Table::Quarantine | Table::Streams => {}
        }
    }

    /// Returns the time since the older of the last reads of configuration and targets; absent
    /// until this daemon has read both.
    pub fn age(&self) -> Option<Duration> {
        let older = self.targets_read_at.get()?.min(self.plan_read_at.get()?);
        Some(older.elapsed())
    }

    /// Returns whether to request all targets from one more peer that does not read the store, and
    /// counts the request.
    pub fn begin_peer_request(&self) -> bool {
        let last = self.last_peer_request.get();
        let is_overdue = last.is_some_and(|last| last.elapsed() >= PEER_REPLY_TIMEOUT);
        let is_needed = self.peer_requests.get() < MAX_PEER_REQUESTS
            || is_overdue && self.targets.borrow().is_empty();
        let is_begun = self.age().is_none() && is_needed;
        if is_begun {
            self.peer_requests.set(self.peer_requests.get() + 1);
            self.last_peer_request.set(Some(Instant::now()));
        }
        is_begun
    }

    /// Records the era in which the targets were read. Returns whether the store came back from an
    /// older copy since they were last read.
    fn record_era(&self, era: Era) -> bool {
        let is_earlier = |row: &Row| row.version.era < era;
        match self.targets_era.replace(Some(era)) {
            Some(previous) => previous < era,
            // Peers may have sent entries before this daemon read any itself.
            None => self.targets.borrow().values().any(is_earlier),
        }
    }

    /// Returns whether a row is newer than the cached one.
    fn is_newer(&self, row: &Row) -> bool {
        let cached = self.targets.borrow();
        let previous = cached.get(&row.key);
        previous.is_none_or(|previous| previous.version < row.version)
    }

    /// Caches a row. If `is_lenient`, a deleted one may reappear.
    fn insert(&self, row: &Row, is_lenient: bool) {
        self.targets
            .borrow_mut()
            .insert(row.key.clone(), row.clone());
        if row.value.is_none() && is_lenient {
            self.hearsay.borrow_mut().insert(row.key.clone());
        } else {
            self.confirm(&row.key);
        }
    }

    /// Records that the row of a target is as the store has it, or that it did not reappear.
    fn confirm(&self, key: &str) {
        self.hearsay.borrow_mut().remove(key);
    }

    /// Returns whether the row of a target may reappear.
    pub fn is_hearsay(&self, key: &str) -> bool {
        self.hearsay.borrow().contains(key)
    }

    /// Returns the cached rows of all targets, including deleted ones.
    pub fn targets(&self) -> Vec<Row> {
        self.targets.borrow().values().cloned().collect()
    }
}

/// Writes this daemon's address to the store until the daemon leaves. Retries until the store
/// confirms it, and writes it again when the store has come back from an older copy.
pub(super) async fn register_daemon(relay: Rc<Relay>) {
    let profile = relay.profile();
    let value = profile.link.to_string();
    while !relay.is_leaving() {
        let name = relay.settings().host.clone();
        let written = relay
            .store
            .put_row(&relay, Table::Daemons, &name, Some(value.as_bytes()));
        match written.await {
            Ok(era) => {
                relay.store.wait_for_era_after(era).await;
                time::sleep(REREGISTRATION_SPREAD.mul_f64(rand::random())).await;
            }
            Err(fault) => {
                tracing::warn!(%fault, "failed to write own address to the store");
                time::sleep(CALL_TIMEOUT.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }
}

/// Time over which the daemons spread the writes of their addresses after the store has come back
/// from an older copy, when targets and the operator write as well.
const REREGISTRATION_SPREAD: Duration = Duration::from_secs(3);

impl Relay {
    /// Returns the age of the tables; absent if this daemon does not read them for its peers, or has
    /// not read them yet.
    pub(super) fn reader_table_age(&self) -> Option<Duration> {
        let serves_peers = self.serves_tables();
        serves_peers.then(|| self.tables.age()).flatten()
    }

    /// Returns whether this daemon reads the store for its peers, as a reader or in place of one.
    pub(super) fn serves_tables(&self) -> bool {
        self.is_reader() || self.tables.stands_in.get()
    }

    /// Returns whether this daemon is one of those that read the store for all.
    pub(super) fn is_reader(&self) -> bool {
        let host = self.settings().host.clone();
        !self.is_leaving() && self.with_reader_order(|order| order.is_reader(&host))
    }

    /// Returns how often a reader calls the store.
    fn read_schedule(&self) -> Schedule {
        Schedule::new(self.settings().change_bound)
    }

    /// Calls `read` with the order in which the daemons read, which may be slightly outdated.
    pub(super) fn with_reader_order<T>(&self, read: impl FnOnce(&Order) -> T) -> T {
        let mut cached = self.tables.reader_order.borrow_mut();
        let is_recent = |(at, _): &(Instant, Order)| at.elapsed() < READER_ORDER_TTL;
        let (_, order) = match cached.take().filter(is_recent) {
            Some(recent) => cached.insert(recent),
            None => cached.insert((Instant::now(), self.reader_order())),
        };
        read(order)
    }

    /// Orders the readers anew at the next use, since the peers that may read have changed.
    pub(super) fn forget_reader_order(&self) {
        self.tables.reader_order.take();
    }

    fn reader_order(&self) -> Order {
        let settings = self.settings();
        let own = reader::Candidate {
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            cpu: settings.cpu_cores,
        };
        let mut candidates = Vec::with_capacity(self.links.count() + 1);
        self.links.for_each_peer(|peer| {
            if !peer.is_leaving {
                candidates.push(reader::Candidate {
                    host: peer.profile.host.clone(),
                    domain: peer.profile.domain.clone(),
                    cpu: peer.profile.cpu,
                });
            }
        });
        if !self.is_leaving() {
            candidates.push(own);
        }
        Order::new(candidates)
    }

    /// Returns whether this daemon has to read a table from the store, as a reader or because no
    /// daemon before it has recent tables. Only readers read the daemons' own tables again.
    fn must_read(&self, table: Table) -> bool {
        if self.is_reader() {
            self.tables.stands_in.set(false);
            return true;
        }
        match table {
            Table::Plan | Table::Targets => self.must_stand_in(),
            Table::Daemons | Table::Builds | Table::Quarantine | Table::Streams => false,
        }
    }

    /// Returns whether it is this daemon's turn to read in place of the readers.
    fn must_stand_in(&self) -> bool {
        let host = self.settings().host.clone();
        let max_age = self.read_schedule().max_table_age;
        let delay = self.with_reader_order(|order| {
            let place = order.place(&host);
            let mut is_fresh = false;
            self.links.for_each_peer(|peer| {
                // A peer of an earlier build does not tell of evacuations.
                is_fresh |= peer.profile.protocol >= EVACUATION_PROTOCOL
                    && peer.table_age().is_some_and(|age| age < max_age)
                    && order.place(&peer.profile.host) < place;
            });
            (!is_fresh).then(|| order.stand_in_delay(&host))
        });
        let Some(delay) = delay else {
            self.tables.stale_since.set(None);
            self.tables.stands_in.set(false);
            return false;
        };
        let since = self.tables.stale_since.get().unwrap_or_else(Instant::now);
        self.tables.stale_since.set(Some(since));
        let stands_in = since.elapsed() >= delay;
        if stands_in && !self.tables.stands_in.replace(true) {
            tracing::info!("reading the store in place of the readers");
        }
        stands_in
    }

    /// Applies rows that this daemon has read from the store.
    fn apply_rows(self: &Rc<Self>, table: Table, rows: Vec<Row>) {
        let is_lenient = self.registry().is_lenient(self.now());
        for row in rows {
            match table {
                Table::Plan if self.apply_evacuation(&row) => {}
                Table::Plan => self.apply_plan(row),
                Table::Targets => self.apply_target(&row, is_lenient),
                Table::Daemons => self.learn_daemon_address(&row),
                Table::Builds => self.apply_build_record(&row),
                Table::Quarantine => self.apply_quarantine_record(&row),
                // Read only when a stream of unknown origin is taken up.
                Table::Streams => {}
            }
        }
    }

    /// Applies a configuration if it is newer than the one in force.
    pub(super) fn apply_plan(self: &Rc<Self>, row: Row) {
        let current = self.plan_edition();
        let version = row.version;
        let is_known = |current: Edition| {
            current.version.era == version.era && current.version.number >= version.number
        };
        if current.is_some_and(is_known) {
            return;
        }
        match self.dialect.parse_plan(&row) {
            Ok(Some(plan)) => {
                let revision = plan.revision;
                let offered = Edition { version, revision };
                if let Some(current) = current
                    && !offered.supersedes(&current)
                {
                    tracing::info!(
                        revision,
                        version = version.number,
                        era = version.era,
                        in_force = current.revision,
                        "configuration of an older copy left out"
                    );
                    return;
                }
                tracing::info!(
                    revision = plan.revision,
                    version = row.version.number,
                    era = row.version.era,
                    routes = plan.route_count(),
                    "configuration in force"
                );
                self.metrics.set_revision(plan.revision);
                self.set_plan(plan, row);
                self.broadcast_heartbeat();
            }
            Ok(None) => {}
            Err(fault) => {
                tracing::warn!(version = version.number, %fault, "configuration left out");
            }
        }
    }

    /// Applies the entry of a target if it is newer than the cached one. A reader also sends it to
    /// its peers.
    pub(super) fn apply_target(self: &Rc<Self>, row: &Row, is_lenient: bool) {
        if !self.tables.is_newer(row) && !self.is_lost_write(row) {
            // A reader that had lost its path to the store may have told of the removal before.
            let is_confirmed = row.value.is_none()
                && !is_lenient
                && self.registry().is_missing_since(&row.key, row.version);
            if is_confirmed {
                self.remove_target(row, is_lenient);
            }
            return;
        }
        let parsed = row.value.is_some().then(|| self.dialect.parse_target(row));
        if let Some(Ok(registration)) = &parsed
            && self.registry().is_outdated(registration)
        {
            tracing::debug!(key = %row.key, "outdated entry of a target ignored");
            let is_new = self.registry_mut().record_outdated(registration.clone());
            // Further ones show the peers whether this start is the one that runs.
            if is_new && self.serves_tables() {
                self.broadcast_target(row, is_lenient);
            }
            return;
        }
        self.tables.insert(row, is_lenient);
        let is_refresh = matches!(&parsed, Some(Ok(registration))
            // Other entries of these targets show the peers which process lives.
            if self.registry().is_refresh(registration)
                && !self.registry().has_ended(&registration.target)
                && !self.registry().has_replaced_later_start(&row.key)
                && !self.is_cold_news(registration));
        if !is_refresh && self.serves_tables() {
            self.broadcast_target(row, is_lenient);
        }
        let change = match parsed {
            Some(Ok(registration)) => {
                let now = self.now();
                let (target, cold_for) = (registration.target.clone(), registration.cold_for);
                let change = self.registry_mut().upsert(now, registration);
                self.record_cold_entry(&target, cold_for);
                change
            }
            Some(Err(fault)) => {
                tracing::debug!(key = %row.key, %fault, "entry of a target ignored");
                None
            }
            None => {
                let now = self.now();
                self.registry_mut().remove(now, &row.key, is_lenient)
            }
        };
        self.apply_target_changes(change.into_iter().collect());
    }

    /// Returns whether a peer tells of an entry that was written in the seconds that the store has lost,
    /// after the one that the copy shows.
    fn is_lost_write(&self, row: &Row) -> bool {
        let is_earlier_era = row.version.era < self.store.era();
        is_earlier_era
            && row.value.is_some()
            && self
                .dialect
                .parse_target(row)
                .is_ok_and(|registration| self.registry().is_lost_write(&registration))
    }

    /// Ends the grace period of a target that is missing from the store.
    fn remove_target(self: &Rc<Self>, row: &Row, is_lenient: bool) {
        self.tables.confirm(&row.key);
        if self.serves_tables() {
            self.broadcast_target(row, is_lenient);
        }
        let now = self.now();
        let change = self.registry_mut().remove(now, &row.key, is_lenient);
        self.apply_target_changes(change.into_iter().collect());
    }

    /// Applies all entries that the store holds at a version, and removes cached targets that are
    /// not among them.
    fn replace_targets(self: &Rc<Self>, rows: Vec<Row>, version: Version) {
        let cached = self.tables.targets();
        let deleted = cached.into_iter().filter(|cached| {
            cached.value.is_some() && !rows.iter().any(|row| row.key == cached.key)
        });
        let deleted: Vec<Row> = deleted
            .map(|row| Row {
                key: row.key,
                value: None,
                version,
            })
            .collect();
        self.apply_rows(Table::Targets, deleted);
        self.apply_rows(Table::Targets, rows);
    }

    /// Removes targets that did not register again after an outage.
    pub(super) fn expire_targets(self: &Rc<Self>) {
        let now = self.now();
        let changes = self.registry_mut().expire(now);
        self.apply_target_changes(changes);
    }

    fn learn_daemon_address(self: &Rc<Self>, row: &Row) {
        let Some(value) = &row.value else {
            return;
        };
        let address = std::str::from_utf8(value).ok();
        if let Some(address) = address.and_then(|text| text.parse().ok()) {
            self.links.addresses.add([address]);
        } else {
            tracing::warn!(key = %row.key, "row of a daemon is not a valid address");
        }
    }

    pub(super) fn apply_target_changes(self: &Rc<Self>, changes: Vec<TargetChange>) {
        if !changes.is_empty() {
            self.close_idle_connections();
        }
        for change in changes {
            let (change_name, target) = match &change {
                TargetChange::Added(target) => ("added", target),
                TargetChange::Draining(target) => ("draining", target),
                TargetChange::Gone(target) => ("gone", target),
            };
            tracing::info!(
                target_id = %target.id, pool = %target.pool, address = %target.address,
                change = change_name, "target"
            );
            if matches!(change, TargetChange::Gone(_)) {
                self.target_selector_mut().remove_target(&target.id);
                self.activity.borrow_mut().remove(&target.id);
                self.rejection_watch.limiter_mut().remove_target(&target.id);
                self.pauses.borrow_mut().remove_target(&target.id);
                self.rates.remove_target(&target.id);
                self.tables.confirm(&target.id);
            }
            self.dispatcher.apply_target_change(self, &change);
            if let TargetChange::Added(target) = &change {
                self.targets_changed.notify_one();
                self.limit_stage_target(&target.id);
            }
        }
    }

    fn record_outage(&self) {
        let now = self.now();
        self.registry_mut().record_outage(now);
    }

    /// Returns the description of this daemon for its peers.
    pub(super) fn profile(&self) -> Profile {
        let settings = self.settings();
        Profile {
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            front: settings.front_address,
            link: settings.link_address,
            tunnel: settings.tunnel_address,
            cpu: settings.cpu_cores,
            incarnation: self.incarnation,
            started: self.started_unix_ms,
            leads_since: self.leads_since(),
            protocol: PROTOCOL,
        }
    }
}
