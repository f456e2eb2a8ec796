//! Request and response bodies of the platform API.

use super::percent_encode;
use compact_str::CompactString;
use policy::{claim::Version, host::Host};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt::Write as _;

/// Row of a platform table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Key of the row, unique within its table.
    pub key: CompactString,
    /// Value of the row; null if the row was deleted.
    pub value: Value,
    /// Number of the commit that wrote the row.
    pub version: Version,
}

/// Rows of a table as of one commit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rows {
    /// The rows, in order of their keys.
    pub rows: Vec<Row>,
    /// Number of the commit as of which the rows were read.
    pub version: Version,
}

/// Selects the rows of a table to read; the conditions are combined with AND.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Range {
    /// Prefix of the keys; all keys if empty.
    pub prefix: CompactString,
    /// Exclusive lower bound of the keys.
    pub after: Option<CompactString>,
    /// Commit number after which the rows were written; exclusive.
    pub since: Option<Version>,
    /// Maximum number of rows.
    pub limit: Option<usize>,
}

/// Atomic transaction: if every check holds, all writes are applied, otherwise none is.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Transaction {
    /// Preconditions of the writes.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub writes: Vec<Write>,
}

/// Precondition that a row has a given version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// Table of the row.
    pub table: CompactString,
    /// Key of the row.
    pub key: CompactString,
    /// Expected version; 0 if the row must be absent.
    pub version: Version,
}

/// Write of one row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// Table of the row.
    pub table: CompactString,
    /// Key of the row.
    pub key: CompactString,
    /// New value; null deletes the row.
    pub value: Value,
}

/// Current state of a row whose check failed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Conflict {
    /// Table of the row.
    pub table: CompactString,
    /// Key of the row.
    pub key: CompactString,
    /// Current version; 0 if the row is absent.
    pub version: Version,
    /// Current value; null if the row is absent.
    pub value: Value,
}

/// List of hosts in the platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hosts {
    /// Version of the list, which increases with each change.
    pub version: Version,
    /// One entry for each target.
    pub hosts: Vec<Host>,
}

impl Range {
    /// Selects all rows whose keys begin with `prefix`.
    pub fn new(prefix: impl Into<CompactString>) -> Self {
        Self {
            prefix: prefix.into(),
            ..Self::default()
        }
    }

    /// Restricts the range to rows written after commit `since`, including deleted rows.
    #[must_use]
    pub fn with_since(mut self, since: Version) -> Self {
        self.since = Some(since);
        self
    }

    /// Restricts the range to keys greater than `after`.
    #[must_use]
    pub fn with_after(mut self, after: impl Into<CompactString>) -> Self {
        self.after = Some(after.into());
        self
    }

    /// Sets the maximum number of rows.
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.limit = Some(limit);
        self
    }

    pub(super) fn to_query(&self) -> String {
        let mut query = format!("prefix={}", percent_encode(&self.prefix));
        // Writing to a `String` never fails.
        if let Some(after) = &self.after {
            let _ = write!(query, "&after={}", percent_encode(after));
        }
        if let Some(since) = self.since {
            let _ = write!(query, "&since={since}");
        }
        if let Some(limit) = self.limit {
            let _ = write!(query, "&limit={limit}");
        }
        query
    }
}

impl Transaction {
    /// Creates a transaction without checks and writes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the precondition that a row has `version`; 0 means that the row is absent.
    #[must_use]
    pub fn with_check(mut self, table: &str, key: &str, version: Version) -> Self {
        self.checks.push(Check {
            table: table.into(),
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a write of a row; a null value deletes it.
    #[must_use]
    pub fn with_write(mut self, table: &str, key: &str, value: Value) -> Self {
        self.writes.push(Write {
            table: table.into(),
            key: key.into(),
            value,
        });
        self
    }
}
