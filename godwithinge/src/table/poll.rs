//! Incremental polling of the table.

use super::{Error, WEIGHTS_TABLE, insert_row};
use crate::platform::{Client, Range, Row, Rows};
use compact_str::CompactString;
use policy::{claim::Version, table::Table};
use std::collections::BTreeMap;

/// Polls the table and transfers only the rows that changed since the last read.
///
/// If the platform returns a lower version than at the last read, the whole table is read and
/// returned, so that the caller sees the lower revision. The rows of the last read are kept, and
/// polling continues from them.
#[derive(Debug)]
pub struct Poller {
    platform: Client,
    rows: BTreeMap<CompactString, Row>,
    version: Version,
}

impl Poller {
    /// Creates a poller whose first read transfers the whole table.
    pub fn new(platform: Client) -> Self {
        Self {
            platform,
            rows: BTreeMap::new(),
            version: 0,
        }
    }

    /// Reads the table; `None` if it has not changed since the last read.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be read, or holds a row whose key or value is invalid.
    pub async fn read(&mut self) -> Result<Option<Table>, Error> {
        let range = Range::default().with_since(self.version);
        let read = self.platform.rows(WEIGHTS_TABLE, &range).await?;
        if read.version < self.version {
            let stale = self.platform.rows(WEIGHTS_TABLE, &Range::default()).await?;
            return build_table(stale.rows).map(Some);
        }
        let changed = !read.rows.is_empty() || self.version == 0;
        self.apply(read);
        if !changed {
            return Ok(None);
        }
        build_table(self.rows.values().cloned()).map(Some)
    }

    /// Applies changed rows; a row with a null value was deleted.
    fn apply(&mut self, read: Rows) {
        self.version = read.version;
        for row in read.rows {
            if row.value.is_null() {
                self.rows.remove(&row.key);
            } else {
                self.rows.insert(row.key.clone(), row);
            }
        }
    }
}

fn build_table(rows: impl IntoIterator<Item = Row>) -> Result<Table, Error> {
    let mut table = Table::default();
    for row in rows {
        insert_row(&mut table, row)?;
    }
    Ok(table)
}
