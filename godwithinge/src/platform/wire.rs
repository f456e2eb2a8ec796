//! Messages of the platform.

use super::percent_encode;
use compact_str::CompactString;
use policy::{claim::Version, host::Host};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt::Write as _;

/// A row of a table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: CompactString,
    /// Value of the row; null if it was deleted.
    pub value: Value,
    /// Number of the commit that wrote the row.
    pub version: Version,
}

/// Rows of a table at one commit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rows {
    /// The rows, in order of their keys.
    pub rows: Vec<Row>,
    /// Number of the newest commit.
    pub version: Version,
}

/// Which rows of a table are read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Range {
    /// What the keys begin with.
    pub prefix: CompactString,
    /// Key after which the rows begin.
    pub after: Option<CompactString>,
    /// Commit after which the rows were written.
    pub since: Option<Version>,
    /// Most rows to read.
    pub limit: Option<usize>,
}

/// A transaction: all checks hold and all writes are done, or nothing is.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Transaction {
    /// What must hold.
    pub checks: Vec<Check>,
    /// What is written.
    pub writes: Vec<Write>,
}

/// Condition that a row has a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// Table of the row.
    pub table: CompactString,
    /// Key of the row.
    pub key: CompactString,
    /// Version that the row must have; 0 if it must be absent.
    pub version: Version,
}

/// A row that is written.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// Table of the row.
    pub table: CompactString,
    /// Key of the row.
    pub key: CompactString,
    /// New value; null deletes the row.
    pub value: Value,
}

/// A row that made a check fail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Conflict {
    /// Table of the row.
    pub table: CompactString,
    /// Key of the row.
    pub key: CompactString,
    /// Version that stands; 0 if the row is absent.
    pub version: Version,
    /// Value that stands; null if the row is absent.
    pub value: Value,
}

/// The platform's list of hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hosts {
    /// Version of the list.
    pub version: Version,
    /// One entry for each target.
    pub hosts: Vec<Host>,
}

impl Range {
    /// Creates a range of all rows whose keys begin with `prefix`.
    pub fn new(prefix: impl Into<CompactString>) -> Self {
        Self {
            prefix: prefix.into(),
            ..Self::default()
        }
    }

    /// Limits the range to rows that were written after commit `since`.
    #[must_use]
    pub fn with_since(mut self, since: Version) -> Self {
        self.since = Some(since);
        self
    }

    /// Limits the range to keys after `after`.
    #[must_use]
    pub fn with_after(mut self, after: impl Into<CompactString>) -> Self {
        self.after = Some(after.into());
        self
    }

    /// Limits the number of rows.
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.limit = Some(limit);
        self
    }

    pub(super) fn to_query(&self) -> String {
        let mut query = format!("prefix={}", percent_encode(&self.prefix));
        // Writing to a string can't fail.
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
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the condition that a row has `version`; 0 means that it is absent.
    #[must_use]
    pub fn with_check(mut self, table: &str, key: &str, version: Version) -> Self {
        self.checks.push(Check {
            table: table.into(),
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a write; null deletes the row.
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
