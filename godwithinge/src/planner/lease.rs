//! Reads and writes of the lease row in the platform's table service.

use crate::platform::{Client, Error, Transaction};
use policy::{
    claim::Version,
    lease::{Reply, Row},
};

/// Platform table of the leases, with one row per region.
pub const TABLE: &str = "leases";

/// Reads the lease row of `region`.
pub(super) async fn read(client: &Client, region: &str) -> Reply {
    let row = match client.row(TABLE, region).await {
        Ok(Some(row)) => row,
        Ok(None) => return Reply::Absent,
        Err(error) => return unavailable(&error),
    };
    match serde_json::from_value::<Row>(row.value) {
        Ok(value) => Reply::Row {
            row: value,
            version: row.version,
        },
        Err(cause) => unavailable(&Error::Malformed(cause)),
    }
}

/// Writes the lease row of `region` if its current version is `version` (compare-and-swap).
pub(super) async fn write(client: &Client, region: &str, version: Version, row: &Row) -> Reply {
    let value = match serde_json::to_value(row) {
        Ok(value) => value,
        Err(cause) => return unavailable(&Error::Malformed(cause)),
    };
    let transaction = Transaction::new()
        .with_check(TABLE, region, version)
        .with_write(TABLE, region, value);
    match client.commit(&transaction).await {
        Ok(version) => Reply::Written { version },
        Err(Error::Conflict(_)) => Reply::Conflict,
        Err(error) => unavailable(&error),
    }
}

fn unavailable(error: &Error) -> Reply {
    tracing::warn!(%error, "lease row can't be asked for");
    Reply::Unavailable
}
