//! Records of builds in the store, and what peers tell of them.

use super::{
    dialect::{Row, Table},
    frame::{Frame, WireBuild},
    state::{self, Relay},
};
use compact_str::CompactString;
use policy::{
    id::HostId,
    relay::{
        builds::{Key, Presence},
        history::Era,
        leader::UnixMillis,
    },
};
use serde::{Deserialize, Serialize};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time;

/// Interval at which the records are compared with the targets, apart from changes of these.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time for which the record of a build that has left is kept.
const MIN_RETENTION: Duration = Duration::from_secs(120);
/// Time after which a daemon that is no reader writes a record itself: that in which it hears from the
/// readers, even if a call of theirs fails once.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);
/// Time for each daemon of the fleet over which such writes are spread.
const TAKEOVER_SPREAD_PER_DAEMON: Duration = Duration::from_millis(10);

/// Value of a record's row.
#[derive(Deserialize, Serialize)]
struct WireRecord {
    pool: CompactString,
    build: CompactString,
    /// When its last target left, in milliseconds since the Unix epoch; absent while it has targets.
    left_ms: Option<UnixMillis>,
}

/// Keeps the records up to date, in the store as well while this daemon is a reader; never returns.
pub(super) async fn record_builds(relay: Rc<Relay>) {
    let mut missing_since: Option<Instant> = None;
    loop {
        let changed = relay.targets_changed.notified();
        // Elapses if no target was added.
        drop(time::timeout(CHECK_INTERVAL, changed).await);
        if relay.tables.age().is_none() {
            continue;
        }
        let pending = relay.pending_build_records();
        if relay.is_reader() {
            missing_since = None;
            relay.write_build_records(pending).await;
            continue;
        }
        let is_new = |(_, presence): &(Key, Option<Presence>)| *presence == Some(Presence::Present);
        let (new, former): (Vec<_>, Vec<_>) = pending.into_iter().partition(is_new);
        // The readers write the same.
        for (key, presence) in former {
            relay.build_records_mut().confirm(key, presence);
        }
        if new.is_empty() {
            missing_since = None;
            continue;
        }
        let since = *missing_since.get_or_insert_with(Instant::now);
        let spread = TAKEOVER_SPREAD_PER_DAEMON * relay.fleet_size() as u32;
        let delay = TAKEOVER_DELAY + spread.mul_f64(rand::random());
        if since.elapsed() >= delay {
            relay.write_build_records(new).await;
        }
    }
}

impl Relay {
    fn pending_build_records(&self) -> Vec<(Key, Option<Presence>)> {
        let Some(max_age) = self.max_stream_age() else {
            return Vec::new();
        };
        let mut records = self.build_records_mut();
        if !records.is_loaded() {
            return Vec::new();
        }
        let mut retention = MIN_RETENTION.max(max_age);
        if !self.is_reader() {
            // Must not take a build for recorded whose record the readers have removed.
            retention /= 2;
        }
        let unix_now = state::unix_millis_now();
        records.pending(self.now(), unix_now, retention, self.registry().all())
    }

    async fn write_build_records(self: &Rc<Self>, records: Vec<(Key, Option<Presence>)>) {
        for (key, presence) in records {
            let (row_key, value) = encode(&key, presence);
            let written = self
                .store
                .put_row(self, Table::Builds, &row_key, value.as_deref());
            match written.await {
                Ok(_era) => {
                    tracing::info!(key = row_key, ?presence, "build recorded");
                    self.confirm_build(key, presence);
                }
                Err(fault) => {
                    tracing::warn!(key = row_key, %fault, "failed to record a build");
                    break;
                }
            }
        }
    }

    /// Records that the store has a record, or no longer has it, and tells peers of a new one.
    fn confirm_build(&self, key: Key, presence: Option<Presence>) {
        let is_new = self.build_records_mut().confirm(key.clone(), presence);
        if is_new {
            self.links.broadcast(&Frame::Builds(vec![key.into()]));
        }
    }

    /// Sends all recorded builds to a peer that has just been linked.
    pub(super) fn send_builds(&self, host: &HostId) {
        let records = self.build_records();
        let builds: Vec<WireBuild> = records.keys().cloned().map(WireBuild::from).collect();
        if !builds.is_empty() {
            self.links.send_to_host(host, Frame::Builds(builds));
        }
    }

    /// Handles the recorded builds that a peer tells of.
    pub(super) fn receive_builds(&self, builds: Vec<WireBuild>) {
        let mut records = self.build_records_mut();
        for key in builds.into_iter().map(Key::from) {
            if !records.is_known(&key) {
                records.confirm(key, Some(Presence::Present));
            }
        }
    }

    /// Sets the records to the rows that the whole table has in `era`.
    pub(super) fn load_builds(&self, era: Era, rows: &[Row]) {
        self.build_records_mut().load(era, decode_all(rows));
    }

    /// Applies a row that was written or deleted.
    pub(super) fn apply_build_record(&self, row: &Row) {
        if let Some((key, presence)) = decode(row) {
            self.confirm_build(key, Some(presence));
            return;
        }
        let known = self
            .build_records()
            .keys()
            .find(|key| row_key(key) == row.key)
            .cloned();
        if let Some(key) = known {
            self.build_records_mut().confirm(key, None);
        }
    }
}

/// Returns the records of rows, without those that are malformed.
pub(super) fn decode_all(rows: &[Row]) -> impl Iterator<Item = (Key, Presence)> {
    rows.iter().filter_map(decode)
}

fn row_key((pool, build): &Key) -> String {
    format!("{pool}/{build}")
}

fn encode(key: &Key, presence: Option<Presence>) -> (String, Option<Vec<u8>>) {
    let value = presence.map(|presence| {
        let (pool, build) = key.clone();
        let left_ms = match presence {
            Presence::Present => None,
            Presence::Left(at) => Some(at),
        };
        let record = WireRecord {
            pool,
            build,
            left_ms,
        };
        serde_json::to_vec(&record).expect("texts and numbers serialize to JSON")
    });
    (row_key(key), value)
}

/// Returns the record of a row; `None` if it was deleted or is malformed, which is logged.
fn decode(row: &Row) -> Option<(Key, Presence)> {
    let record = serde_json::from_slice(row.value.as_ref()?);
    let record = record.inspect_err(
        |fault| tracing::warn!(key = %row.key, %fault, "malformed record of a build ignored"),
    );
    let record: WireRecord = record.ok()?;
    let presence = record.left_ms.map_or(Presence::Present, Presence::Left);
    Some(((record.pool, record.build), presence))
}
