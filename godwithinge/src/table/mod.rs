//! Storage of the table of weights and limits in the platform's table service.
//!
//! The platform table `weights` holds one row per table row, under the key of that row, and the row
//! `revision`. The platform table `changes` holds the change log, with one entry per revision.

mod error;
mod poll;

pub use self::{error::Error, poll::Poller};

use crate::platform::{Client, Range, Row, Rows, Transaction};
use compact_str::{CompactString, format_compact};
use policy::{
    claim::Version,
    id::Revision,
    table::{
        Table,
        edit::{Edit, EditId, LogEntry},
        row::{self, Key},
    },
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::{self, Instant};

/// Name of the platform table that holds the rows and the revision.
pub const WEIGHTS_TABLE: &str = "weights";

/// Name of the platform table that holds the change log.
pub const CHANGES_TABLE: &str = "changes";

/// Key in [`WEIGHTS_TABLE`] of the row that holds the revision.
pub const REVISION_KEY: &str = "revision";

/// Default time for which an edit is retried.
const EDIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay between two attempts of an edit.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Value of the row under [`REVISION_KEY`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RevisionRow {
    /// Current revision of the table.
    pub revision: Revision,
    /// Id of the edit that created the revision; empty if the row does not name it.
    #[serde(default)]
    pub edit: EditId,
}

/// Consistent read of the table with the versions of its platform rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Table as of commit [`version`](Self::version).
    pub table: Table,
    /// Number of the platform commit as of which the table was read.
    pub version: Version,
    versions: BTreeMap<CompactString, Version>,
}

/// Reads and edits the table in the platform's table service.
#[derive(Clone, Debug)]
pub struct Store {
    platform: Client,
    edit_timeout: Duration,
}

impl Store {
    /// Creates a store that accesses the table through `platform`.
    pub fn new(platform: Client) -> Self {
        Self {
            platform,
            edit_timeout: EDIT_TIMEOUT,
        }
    }

    /// Sets for how long an edit is retried; 10 s by default.
    #[must_use]
    pub fn with_edit_timeout(mut self, edit_timeout: Duration) -> Self {
        self.edit_timeout = edit_timeout;
        self
    }

    /// Reads the whole table as of one commit.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be read, or holds a row whose key or value is invalid.
    pub async fn read(&self) -> Result<Snapshot, Error> {
        Snapshot::new(self.platform.rows(WEIGHTS_TABLE, &Range::default()).await?)
    }

    /// Reads the entries of the change log after revision `after`, in order of their revisions.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be read, or holds a malformed entry.
    pub async fn log(&self, after: Revision) -> Result<Vec<LogEntry>, Error> {
        let range = Range::default().with_after(log_key(after));
        let rows = self.platform.rows(CHANGES_TABLE, &range).await?.rows;
        rows.into_iter()
            .map(|row| {
                serde_json::from_value(row.value).map_err(|cause| Error::Malformed {
                    key: row.key,
                    cause,
                })
            })
            .collect()
    }

    /// Applies an edit as one transaction and returns its entry of the change log.
    ///
    /// The transaction checks the versions of the rows that the edit touches and of the revision.
    /// If the outcome of a commit is unknown, the change log shows whether the edit took effect, so
    /// an edit can be retried under the same id without taking effect twice. `at_ms` is the time
    /// that is recorded in the log entry.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Refused`] if the edit is invalid or in conflict, with
    /// [`Error::Platform`] if nothing was written, and with [`Error::OutcomeUnknown`] if the edit
    /// may have taken effect.
    pub async fn edit(&self, edit: &Edit, at_ms: u64) -> Result<LogEntry, Error> {
        let end = Instant::now() + self.edit_timeout;
        let mut outcome_unknown = false;
        loop {
            let error = match self.try_edit(edit, at_ms, &mut outcome_unknown).await {
                Err(error) if error.is_transient() => error,
                result => return result,
            };
            if Instant::now() + RETRY_INTERVAL >= end {
                let outcome_error = Error::OutcomeUnknown {
                    edit: edit.id.clone(),
                    base: edit.base,
                };
                return Err(if outcome_unknown {
                    outcome_error
                } else {
                    error
                });
            }
            time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Attempts an edit once; sets `outcome_unknown` if the transaction may have taken effect.
    async fn try_edit(
        &self,
        edit: &Edit,
        at_ms: u64,
        outcome_unknown: &mut bool,
    ) -> Result<LogEntry, Error> {
        let snapshot = self.read().await?;
        let mut log = self.log(edit.base).await?;
        // The log is read after the snapshot and may already hold entries of later revisions.
        log.retain(|entry| entry.revision <= snapshot.table.revision);
        if let Some(entry) = log.iter().find(|entry| entry.edit == edit.id) {
            return Ok(entry.clone());
        }
        let (table, entry) = edit.apply(&snapshot.table, &log, at_ms)?;
        let transaction = snapshot.transaction(edit, &table, &entry)?;
        match self.platform.commit(&transaction).await {
            Ok(_) => Ok(entry),
            Err(error) => {
                *outcome_unknown |= error.is_outcome_unknown();
                Err(error.into())
            }
        }
    }
}

impl Snapshot {
    fn new(rows: Rows) -> Result<Self, Error> {
        let mut table = Table::default();
        let mut versions = BTreeMap::new();
        for row in rows.rows {
            versions.insert(row.key.clone(), row.version);
            insert_row(&mut table, row)?;
        }
        Ok(Self {
            table,
            version: rows.version,
            versions,
        })
    }

    fn transaction(
        &self,
        edit: &Edit,
        table: &Table,
        entry: &LogEntry,
    ) -> Result<Transaction, serde_json::Error> {
        let version = |key: &str| self.versions.get(key).copied().unwrap_or(0);
        let revision_row = serde_json::to_value(RevisionRow {
            revision: entry.revision,
            edit: entry.edit.clone(),
        })?;
        let log_key = log_key(entry.revision);
        let mut transaction = Transaction::new()
            .with_check(WEIGHTS_TABLE, REVISION_KEY, version(REVISION_KEY))
            .with_check(CHANGES_TABLE, &log_key, 0)
            .with_write(WEIGHTS_TABLE, REVISION_KEY, revision_row)
            .with_write(CHANGES_TABLE, &log_key, serde_json::to_value(entry)?);
        for row in edit.rows() {
            let key = format_compact!("{row}");
            let value = serde_json::to_value(table.row(row))?;
            transaction = transaction
                .with_check(WEIGHTS_TABLE, &key, version(&key))
                .with_write(WEIGHTS_TABLE, &key, value);
        }
        Ok(transaction)
    }
}

/// Decodes a platform row and inserts it into `table`.
fn insert_row(table: &mut Table, row: Row) -> Result<(), Error> {
    if row.key == REVISION_KEY {
        let revision_row: RevisionRow = parse_value(&row.key, row.value)?;
        table.revision = revision_row.revision;
        return Ok(());
    }
    let Ok(key) = row.key.parse::<Key>() else {
        return Err(Error::UnknownKey { key: row.key });
    };
    let value = row::Row::from_value(key.kind, row.value);
    let value = value.map_err(|cause| Error::Malformed {
        key: row.key,
        cause,
    })?;
    table.insert(key.name, value);
    Ok(())
}

fn parse_value<T: serde::de::DeserializeOwned>(
    key: &CompactString,
    value: serde_json::Value,
) -> Result<T, Error> {
    serde_json::from_value(value).map_err(|cause| Error::Malformed {
        key: key.clone(),
        cause,
    })
}

/// Returns the key of the change log entry of `revision`.
///
/// Revisions are zero-padded, so that the order of the keys is that of the revisions.
fn log_key(revision: Revision) -> CompactString {
    format_compact!("{revision:020}")
}
