//! Records of builds in the store.

use super::{
    dialect::{Row, Table},
    state::{self, Relay},
};
use compact_str::CompactString;
use policy::relay::{
    builds::{Key, Presence},
    leader::UnixMillis,
};
use serde::{Deserialize, Serialize};
use std::{rc::Rc, time::Duration};
use tokio::time;

/// Interval at which readers compare the records with the targets. Streams that begin at a new build
/// before it is recorded are only affected if all daemons are lost at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Value of a record's row.
#[derive(Deserialize, Serialize)]
struct Record {
    pool: CompactString,
    build: CompactString,
    /// When its last target left, in milliseconds since the Unix epoch; absent while it has targets.
    left_ms: Option<UnixMillis>,
}

/// Keeps the records in the store up to date while this daemon is a reader; never returns.
pub(super) async fn record_builds(relay: Rc<Relay>) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        if !relay.is_reader() || relay.tables.age().is_none() {
            continue;
        }
        for (key, presence) in relay.pending_build_records() {
            let (row_key, value) = encode(&key, presence);
            let written = relay
                .store
                .put_row(&relay, Table::Builds, &row_key, value.as_deref());
            match written.await {
                Ok(_era) => {
                    tracing::info!(key = row_key, ?presence, "build recorded");
                    relay.build_records_mut().confirm(key, presence);
                }
                Err(fault) => {
                    tracing::warn!(key = row_key, %fault, "failed to record a build");
                    break;
                }
            }
        }
    }
}

impl Relay {
    fn pending_build_records(&self) -> Vec<(Key, Option<Presence>)> {
        let records = self.build_records();
        if !records.is_loaded() {
            return Vec::new();
        }
        records.pending(state::unix_millis_now(), self.registry().all())
    }

    /// Sets the records to the rows of the whole table.
    pub(super) fn load_builds(&self, rows: &[Row]) {
        self.build_records_mut().load(decode_all(rows));
    }

    /// Applies a row that was written or deleted.
    pub(super) fn apply_build_record(&self, row: &Row) {
        if let Some((key, presence)) = decode(row) {
            self.build_records_mut().confirm(key, Some(presence));
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
        let record = Record {
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
    let record: Record = record.ok()?;
    let presence = record.left_ms.map_or(Presence::Present, Presence::Left);
    Some(((record.pool, record.build), presence))
}
