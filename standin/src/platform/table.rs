//! Versioned rows with transactions.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{
    collections::BTreeMap,
    ops::Bound::{Excluded, Included, Unbounded},
};

/// Number of a commit.
pub type Version = u64;

/// One row of a table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: CompactString,
    /// Value of the row; null if it was deleted.
    pub value: Value,
    /// Commit that wrote the row.
    pub version: Version,
}

/// Condition of a transaction: a row has this version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Check {
    /// Table of the row.
    pub table: CompactString,
    /// Key of the row.
    pub key: CompactString,
    /// Expected version; 0 if the row is absent.
    pub version: Version,
}

/// One write of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// Table of the row.
    pub table: CompactString,
    /// Key of the row.
    pub key: CompactString,
    /// New value; null deletes the row.
    pub value: Value,
}

/// Row that doesn't have the version that a check expects.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Conflict {
    /// Table of the row.
    pub table: CompactString,
    /// Key of the row.
    pub key: CompactString,
    /// Version that stands there; 0 if the row is absent.
    pub version: Version,
    /// Value that stands there; null if the row is absent.
    pub value: Value,
}

/// Rows that a read asks for.
#[derive(Clone, Debug)]
pub(super) struct Range {
    pub(super) table: CompactString,
    pub(super) prefix: CompactString,
    pub(super) after: Option<CompactString>,
    pub(super) since: Option<Version>,
    pub(super) limit: usize,
}

impl Range {
    pub(super) fn new(table: &str) -> Self {
        Self {
            table: table.into(),
            prefix: CompactString::default(),
            after: None,
            since: None,
            limit: usize::MAX,
        }
    }
}

/// All tables, with the history of each row.
#[derive(Debug, Default)]
pub(super) struct Store {
    version: Version,
    tables: BTreeMap<CompactString, BTreeMap<CompactString, Vec<Cell>>>,
}

#[derive(Clone, Debug)]
struct Cell {
    version: Version,
    value: Value,
}

impl Store {
    /// Returns a row as of commit `stale`, or the newest.
    pub(super) fn row(&self, table: &str, key: &str, stale: Option<Version>) -> Option<Row> {
        let cells = self.tables.get(table)?.get(key)?;
        let cell = as_of(cells, stale.unwrap_or(self.version))?;
        (!cell.value.is_null()).then(|| row(key, cell))
    }

    /// Returns the rows of a range as of commit `stale`, or the newest, and that commit's number.
    pub(super) fn rows(&self, range: &Range, stale: Option<Version>) -> (Vec<Row>, Version) {
        let version = stale.unwrap_or(self.version).min(self.version);
        let Some(table) = self.tables.get(&range.table) else {
            return (Vec::new(), version);
        };
        let start = match &range.after {
            Some(after) if *after >= range.prefix => Excluded(after),
            _ => Included(&range.prefix),
        };
        let rows = table
            .range::<CompactString, _>((start, Unbounded))
            .take_while(|(key, _)| key.starts_with(range.prefix.as_str()))
            .filter_map(|(key, cells)| Some((key, as_of(cells, version)?)))
            .filter(|(_, cell)| match range.since {
                Some(since) => cell.version > since,
                None => !cell.value.is_null(),
            })
            .map(|(key, cell)| row(key, cell))
            .take(range.limit)
            .collect();
        (rows, version)
    }

    /// Commits a transaction and returns its number.
    pub(super) fn commit(
        &mut self,
        checks: &[Check],
        writes: Vec<Write>,
    ) -> Result<Version, Vec<Conflict>> {
        let conflicts: Vec<_> = checks
            .iter()
            .filter_map(|check| self.conflict(check))
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.version += 1;
        for write in writes {
            self.write(write);
        }
        Ok(self.version)
    }

    fn conflict(&self, check: &Check) -> Option<Conflict> {
        let row = self.row(&check.table, &check.key, None);
        let (version, value) = row.map_or((0, Value::Null), |row| (row.version, row.value));
        (version != check.version).then(|| Conflict {
            table: check.table.clone(),
            key: check.key.clone(),
            version,
            value,
        })
    }

    fn write(&mut self, write: Write) {
        let table = self.tables.entry(write.table).or_default();
        table.entry(write.key).or_default().push(Cell {
            version: self.version,
            value: write.value,
        });
    }
}

fn as_of(cells: &[Cell], version: Version) -> Option<&Cell> {
    cells.iter().rev().find(|cell| cell.version <= version)
}

fn row(key: &str, cell: &Cell) -> Row {
    Row {
        key: key.into(),
        value: cell.value.clone(),
        version: cell.version,
    }
}
