//! Inserting and reading claim rows.

use super::{Claims, TABLE};
use crate::platform::{Error, Transaction};
use compact_str::CompactString;
use policy::claim::{Reply, Row, Version};
use serde_json::Value;

/// Inserts that are tried before the platform counts as out.
const TRIES: usize = 3;

/// How one try to insert ended.
enum Try {
    /// The row that now stands.
    Row(Row),
    /// Nothing is known of the row; try again.
    Again,
    /// The platform can't be asked.
    Out,
}

impl Claims {
    /// Inserts a row, or finds the one that stands there.
    ///
    /// A lost reply is settled by reading back what stands there.
    pub(super) async fn insert(&self, row_key: &CompactString, row: Row) -> Reply {
        let Ok(value) = serde_json::to_value(&row) else {
            return Reply::Out;
        };
        for _ in 0..TRIES {
            match self.try_insert(row_key, &row, &value).await {
                Try::Row(row) => return Reply::Row { row },
                Try::Again => {}
                Try::Out => return Reply::Out,
            }
        }
        Reply::Out
    }

    /// Reads a row.
    pub(super) async fn read(&self, row_key: &CompactString) -> Reply {
        match self.platform.row(TABLE, row_key).await {
            Ok(Some(found)) => match self.note(row_key, found.value, found.version) {
                Some(row) => Reply::Row { row },
                None => Reply::Out,
            },
            Ok(None) => Reply::Absent,
            Err(_) => Reply::Out,
        }
    }

    async fn try_insert(&self, row_key: &CompactString, row: &Row, value: &Value) -> Try {
        let transaction = Transaction::new().with_check(TABLE, row_key, 0).with_write(
            TABLE,
            row_key,
            value.clone(),
        );
        match self.platform.commit(&transaction).await {
            Ok(version) => {
                self.versions.note(row_key, row, version);
                Try::Row(row.clone())
            }
            Err(Error::Conflict(conflicts)) => {
                let standing = conflicts
                    .into_iter()
                    .find(|conflict| conflict.version > 0)
                    .and_then(|conflict| self.note(row_key, conflict.value, conflict.version));
                standing.map_or(Try::Again, Try::Row)
            }
            Err(error) if error.is_outcome_unknown() => {
                tracing::warn!(row = %row_key, %error, "reply about a claim was lost");
                match self.read(row_key).await {
                    Reply::Row { row } => Try::Row(row),
                    Reply::Absent => Try::Again,
                    Reply::Out => Try::Out,
                }
            }
            Err(_) => Try::Out,
        }
    }

    fn note(&self, row_key: &CompactString, value: Value, version: Version) -> Option<Row> {
        match serde_json::from_value(value) {
            Ok(row) => {
                self.versions.note(row_key, &row, version);
                Some(row)
            }
            Err(error) => {
                tracing::error!(row = %row_key, %error, "claim row is malformed");
                None
            }
        }
    }
}
