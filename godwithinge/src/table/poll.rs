//! Repeated reads of the table that transfer only what changed.

use super::{Error, WEIGHTS_TABLE, insert_row};
use crate::platform::{Client, Range, Row, Rows};
use compact_str::CompactString;
use policy::{claim::Version, table::Table};
use std::collections::BTreeMap;

/// Reads the table again and again, and transfers only the rows that changed.
///
/// A platform that answers from before the last read is read as a whole, so that its table shows
/// the revision that it fell back to; what was read before is kept.
#[derive(Debug)]
pub struct Poller {
    platform: Client,
    rows: BTreeMap<CompactString, Row>,
    version: Version,
}

impl Poller {
    /// Creates a poll that has read nothing.
    pub fn new(platform: Client) -> Self {
        Self {
            platform,
            rows: BTreeMap::new(),
            version: 0,
        }
    }

    /// Reads the table; `None` if it stands as at the last read.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be asked, or holds a row that is no row of the table.
    pub async fn read(&mut self) -> Result<Option<Table>, Error> {
        let range = Range::default().with_since(self.version);
        let read = self.platform.rows(WEIGHTS_TABLE, &range).await?;
        if read.version < self.version {
            let old = self.platform.rows(WEIGHTS_TABLE, &Range::default()).await?;
            return build_table(old.rows).map(Some);
        }
        let changed = !read.rows.is_empty() || self.version == 0;
        self.apply(read);
        if !changed {
            return Ok(None);
        }
        build_table(self.rows.values().cloned()).map(Some)
    }

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
