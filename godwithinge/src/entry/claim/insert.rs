//! Inserts and reads of claim rows.

use super::{ClaimClient, TABLE};
use crate::platform::{Error, Transaction};
use compact_str::CompactString;
use policy::claim::{Reply, Row, Version};
use serde_json::Value;

/// Number of tries after which the platform is considered unavailable.
const MAX_TRIES: usize = 3;

/// Result of one try to insert a row.
enum InsertResult {
    /// Current row, either inserted or found.
    Row(Row),
    /// The state of the row is unknown, so the insert should be retried.
    Retry,
    /// The platform cannot be reached.
    Unavailable,
}

impl ClaimClient {
    /// Inserts a row if it is absent, and returns the current row.
    ///
    /// If the reply is lost, the row is read to find out whether it was inserted.
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
            Err(error) if error.is_outcome_unknown() => {
                tracing::warn!(row = %row_key, %error, "reply to claim insert lost");
                match self.read(row_key).await {
                    Reply::Row { row } => InsertResult::Row(row),
                    Reply::Absent => InsertResult::Retry,
                    Reply::Out => InsertResult::Unavailable,
                }
            }
            Err(_) => InsertResult::Unavailable,
        }
    }

    /// Parses a row and records its version; `None` if it is malformed.
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
