//! The table of weights and limits in the platform's table service.
//!
//! Platform table `weights` holds a row for each row of the table, under the row's key, and the
//! row `revision`. Platform table `changes` holds the change log, an entry for each revision.

mod error;
mod poll;

pub use self::{error::Error, poll::Poll};

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

/// Platform table of the rows.
pub const WEIGHTS: &str = "weights";

/// Platform table of the change log.
pub const CHANGES: &str = "changes";

/// Key of the row that holds the revision.
pub const REVISION: &str = "revision";

/// Time that an edit is tried for.
const PATIENCE: Duration = Duration::from_secs(10);

/// Time between two tries of an edit.
const RETRY: Duration = Duration::from_millis(100);

/// Value of the row that holds the revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Numbered {
    /// Revision of the table.
    pub revision: Revision,
    /// Edit that made the revision.
    #[serde(default)]
    pub edit: EditId,
}

/// The table as it was read, with the versions of its rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The table.
    pub table: Table,
    /// Number of the platform's newest commit.
    pub version: Version,
    versions: BTreeMap<CompactString, Version>,
}

/// Reads and edits the table in the platform's table service.
#[derive(Clone, Debug)]
pub struct Store {
    platform: Client,
    patience: Duration,
}

impl Store {
    /// Creates a store on a platform.
    pub fn new(platform: Client) -> Self {
        Self {
            platform,
            patience: PATIENCE,
        }
    }

    /// Sets how long an edit is tried for.
    #[must_use]
    pub fn with_patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Reads the whole table, consistently.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be asked, or holds a row that is no row of the table.
    pub async fn read(&self) -> Result<Snapshot, Error> {
        Snapshot::new(self.platform.rows(WEIGHTS, &Range::default()).await?)
    }

    /// Reads the entries of the change log after a revision, in order.
    ///
    /// # Errors
    ///
    /// Fails as [`read`](Self::read) does.
    pub async fn log(&self, after: Revision) -> Result<Vec<LogEntry>, Error> {
        let range = Range::default().with_after(log_key(after));
        let rows = self.platform.rows(CHANGES, &range).await?.rows;
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
    /// After a lost reply the change log tells whether the edit took effect, so an edit can be
    /// asked for again under the same id without taking effect twice.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Refused`] if the edit is invalid or in conflict, with
    /// [`Error::Platform`] if nothing was written, and with [`Error::Unsettled`] if the edit may
    /// have taken effect.
    pub async fn edit(&self, edit: &Edit, at_ms: u64) -> Result<LogEntry, Error> {
        let end = Instant::now() + self.patience;
        let mut sent = false;
        loop {
            let error = match self.try_edit(edit, at_ms, &mut sent).await {
                Err(error) if error.is_transient() => error,
                settled => return settled,
            };
            if Instant::now() + RETRY >= end {
                let unsettled = Error::Unsettled {
                    edit: edit.id.clone(),
                    base: edit.base,
                };
                return Err(if sent { unsettled } else { error });
            }
            time::sleep(RETRY).await;
        }
    }

    /// Tries an edit once; `sent` is set while a transaction may still take effect.
    async fn try_edit(&self, edit: &Edit, at_ms: u64, sent: &mut bool) -> Result<LogEntry, Error> {
        let snapshot = self.read().await?;
        let mut log = self.log(edit.base).await?;
        log.retain(|entry| entry.revision <= snapshot.table.revision);
        if let Some(entry) = log.iter().find(|entry| entry.edit == edit.id) {
            return Ok(entry.clone());
        }
        let (table, entry) = edit.apply(&snapshot.table, &log, at_ms)?;
        let transaction = snapshot.transaction(edit, &table, &entry)?;
        match self.platform.commit(&transaction).await {
            Ok(_) => Ok(entry),
            Err(error) => {
                *sent |= error.is_outcome_unknown();
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
            put(&mut table, row)?;
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
        let numbered = serde_json::to_value(Numbered {
            revision: entry.revision,
            edit: entry.edit.clone(),
        })?;
        let log_key = log_key(entry.revision);
        let mut transaction = Transaction::new()
            .with_check(WEIGHTS, REVISION, version(REVISION))
            .with_check(CHANGES, &log_key, 0)
            .with_write(WEIGHTS, REVISION, numbered)
            .with_write(CHANGES, &log_key, serde_json::to_value(entry)?);
        for row in edit.rows() {
            let key = format_compact!("{row}");
            let value = serde_json::to_value(table.row(row))?;
            transaction = transaction
                .with_check(WEIGHTS, &key, version(&key))
                .with_write(WEIGHTS, &key, value);
        }
        Ok(transaction)
    }
}

/// Puts a platform row into the table.
fn put(table: &mut Table, row: Row) -> Result<(), Error> {
    if row.key == REVISION {
        let numbered: Numbered = parse(&row.key, row.value)?;
        table.revision = numbered.revision;
        return Ok(());
    }
    let Ok(key) = row.key.parse::<Key>() else {
        return Err(Error::Key { key: row.key });
    };
    let value = row::Row::from_value(key.kind, row.value);
    let value = value.map_err(|cause| Error::Malformed {
        key: row.key,
        cause,
    })?;
    table.insert(key.name, value);
    Ok(())
}

fn parse<T: serde::de::DeserializeOwned>(
    key: &CompactString,
    value: serde_json::Value,
) -> Result<T, Error> {
    serde_json::from_value(value).map_err(|cause| Error::Malformed {
        key: key.clone(),
        cause,
    })
}

/// Returns the key of an entry of the change log; keys sort as revisions do.
fn log_key(revision: Revision) -> CompactString {
    format_compact!("{revision:020}")
}
