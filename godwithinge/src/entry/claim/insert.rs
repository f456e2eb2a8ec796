//! Inserting and reading claim rows.

use super::{ClaimClient, TABLE};
use crate::platform::{Error, Transaction};
use compact_str::CompactString;
use policy::claim::{Reply, Row, Version};
use serde_json::Value;

/// Inserts that are tried before the platform counts as out.
const MAX_TRIES: usize = 3;

/// How one try to insert ended.
enum InsertResult {
    /// The row that now stands.
    Row(Row),
    /// Nothing is known of the row; try again.
    Retry,
    /// The platform can't be asked.
    Unavailable,
}

impl ClaimClient {
    /// Inserts a row, or finds the one that stands there.
    ///
    /// A lost reply is settled by reading back what stands there.
    pub(super) async fn insert(&self, row_key: &CompactString, row: Row) -> Reply {
        let Ok(value) = serde_json::to_value(&row) else {
            return Reply::Out;
        };
        for _ in 0..MAX_TRIES {
            match self.try_insert(row_key, &row, &value).await {
                InsertResult::Row(row) => return Reply::Row { row },
                InsertResult::Retry => {}
                InsertResult::Unavailable => return Reply::Out,
            }
        }
        Reply::Out
    }

    /// Reads a row.
    pub(super) async fn read(&self, row_key: &CompactString) -> Reply {
        match self.platform.row(TABLE, row_key).await {
            Ok(Some(found)) => match self.parse_row(row_key, found.value, found.version) {
                Some(row) => Reply::Row { row },
                None => Reply::Out,
            },
            Ok(None) => Reply::Absent,
            Err(_) => Reply::Out,
        }
    }

    async fn try_insert(&self, row_key: &CompactString, row: &Row, value: &Value) -> InsertResult {
        let transaction = Transaction::new().with_check(TABLE, row_key, 0).with_write(
            TABLE,
            row_key,
            value.clone(),
        );
        match self.platform.commit(&transaction).await {
            Ok(version) => {
                self.versions.record(row_key, row, version);
                InsertResult::Row(row.clone())
            }
            Err(Error::Conflict(conflicts)) => {
                let existing = conflicts
                    .into_iter()
                    .find(|conflict| conflict.version > 0)
                    .and_then(|conflict| self.parse_row(row_key, conflict.value, conflict.version));
                existing.map_or(InsertResult::Retry, InsertResult::Row)
            }
            Err(error) if error.is_lost() => {
                tracing::warn!(row = %row_key, %error, "reply about a claim was lost");
                match self.read(row_key).await {
                    Reply::Row { row } => InsertResult::Row(row),
                    Reply::Absent => InsertResult::Retry,
                    Reply::Out => InsertResult::Unavailable,
                }
            }
            Err(_) => InsertResult::Unavailable,
        }
    }

    fn parse_row(&self, row_key: &CompactString, value: Value, version: Version) -> Option<Row> {
        match serde_json::from_value(value) {
            Ok(row) => {
                self.versions.record(row_key, &row, version);
                Some(row)
            }
            Err(error) => {
                tracing::error!(row = %row_key, %error, "claim row is malformed");
                None
            }
        }
    }
}
