//! Records of quarantined features in the store, for the case that all daemons start at once.

use super::{
    dialect::{Row, Table},
    state::{self, Relay},
};
use policy::relay::{crash::Feature, leader::UnixMillis, quarantine::Record};
use serde::{Deserialize, Serialize};
use std::{rc::Rc, time::Duration};
use tokio::time;

/// Interval at which readers compare the records with the quarantined features.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Value of a record's row.
#[derive(Deserialize, Serialize)]
struct WireRecord {
    /// Start or last extension of the quarantine in milliseconds since the Unix epoch.
    since_ms: UnixMillis,
    is_confirmed: bool,
}

impl From<Record> for WireRecord {
    fn from(record: Record) -> Self {
        Self {
            since_ms: record.since,
            is_confirmed: record.is_confirmed,
        }
    }
}

impl From<WireRecord> for Record {
    fn from(record: WireRecord) -> Self {
        Self {
            since: record.since_ms,
            is_confirmed: record.is_confirmed,
        }
    }
}

/// Keeps the records in the store up to date while this daemon is a reader; never returns.
pub(super) async fn record_quarantine(relay: Rc<Relay>) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        if !relay.is_reader() {
            continue;
        }
        for (feature, record) in relay.pending_quarantine_records() {
            let (key, value) = encode(feature, record);
            let written = relay
                .store
                .put_row(&relay, Table::Quarantine, &key, value.as_deref());
            match written.await {
                Ok(_era) => {
                    tracing::info!(key, ?record, "quarantine recorded");
                    relay.crash_watch.records_mut().confirm(feature, record);
                }
                Err(fault) => {
                    tracing::warn!(key, %fault, "failed to record a quarantine");
                    break;
                }
            }
        }
    }
}

impl Relay {
    fn pending_quarantine_records(&self) -> Vec<(Feature, Option<Record>)> {
        let records = self.crash_watch.records();
        let tracker = self.crash_watch.tracker();
        records.pending(self.now(), state::unix_millis_now(), &tracker)
    }

    /// Sets the records to the rows of the whole table. After a start, their features are quarantined;
    /// later, the table may be that of an older copy of the store, and is corrected instead.
    pub(super) fn load_quarantine(&self, rows: &[Row]) {
        let records: Vec<(Feature, Record)> = rows.iter().filter_map(decode).collect();
        let is_first = !self.crash_watch.records().is_loaded();
        self.crash_watch.records_mut().load(records.iter().copied());
        if is_first {
            self.receive_recorded(&records);
        }
    }

    /// Applies a row that was written or deleted.
    pub(super) fn apply_quarantine_record(&self, row: &Row) {
        if let Some((feature, record)) = decode(row) {
            let mut records = self.crash_watch.records_mut();
            records.confirm(feature, Some(record));
            drop(records);
            self.receive_recorded(&[(feature, record)]);
        } else if let Some(feature) = decode_key(&row.key) {
            self.crash_watch.records_mut().confirm(feature, None);
        }
    }

    fn receive_recorded(&self, records: &[(Feature, Record)]) {
        let unix_now = state::unix_millis_now();
        let records = records.iter();
        self.receive_quarantine(
            records.map(|&(feature, record)| record.to_quarantine(unix_now, feature)),
        );
    }
}

fn encode(feature: Feature, record: Option<Record>) -> (String, Option<Vec<u8>>) {
    let value = record.map(|record| {
        let record = WireRecord::from(record);
        serde_json::to_vec(&record).expect("numbers serialize to JSON")
    });
    (format!("{feature:016x}"), value)
}

fn decode_key(key: &str) -> Option<Feature> {
    Feature::from_str_radix(key, 16).ok()
}

/// Returns the record of a row; `None` if it was deleted or is malformed, which is logged.
fn decode(row: &Row) -> Option<(Feature, Record)> {
    let record = serde_json::from_slice::<WireRecord>(row.value.as_ref()?);
    let record = record.inspect_err(
        |fault| tracing::warn!(key = %row.key, %fault, "malformed record of a quarantine ignored"),
    );
    Some((decode_key(&row.key)?, record.ok()?.into()))
}
