//! Garbage collection of claims that are older than the retention period.
//!
//! Each workspace is assigned to one entry, which reads and deletes one page at a time to limit
//! the load on the platform.

use super::Daemon;
use crate::platform::{Error, Range, Row, Rows, Transaction};
use compact_str::CompactString;
use policy::{
    claim::{self, Version},
    id::{HostId, WorkspaceId},
    sweep::{Watermarks, is_sweeper},
};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time;

/// Table that contains the watermarks in a single row.
const WATERMARK_TABLE: &str = "sweeps";
/// Key of the row that contains the watermarks.
const WATERMARK_KEY: &str = "marks";
/// Table that contains the claims.
const CLAIM_TABLE: &str = "claims";
/// Pages that are read per retention period.
const PAGES_PER_RETENTION: u32 = 8640;
/// Minimum time between two pages.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time between two pages.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of rows in a page, whose expired rows are deleted in one transaction.
const MAX_PAGE_ROWS: usize = 64;

/// Position of the sweep.
#[derive(Debug, Default)]
struct Cursor {
    /// Workspace that is being swept.
    workspace: Option<WorkspaceId>,
    /// Last key of the previous page; `None` at the start of a workspace.
    after: Option<CompactString>,
}

/// Deletes expired claims until the daemon stops.
pub(super) async fn run(daemon: Daemon) {
    let retention = daemon.settings().entry.claim_retention;
    let interval = (retention / PAGES_PER_RETENTION).clamp(MIN_INTERVAL, MAX_INTERVAL);
    let mut cursor = Cursor::default();
    loop {
        time::sleep(interval).await;
        if let Err(error) = sweep_page(&daemon, &mut cursor, retention).await {
            tracing::debug!(%error, "failed to delete expired claims");
        }
    }
}

/// Reads one page of claims and deletes the expired ones.
async fn sweep_page(
    daemon: &Daemon,
    cursor: &mut Cursor,
    retention: Duration,
) -> Result<(), Error> {
    let Some(workspace) = cursor
        .workspace
        .clone()
        .or_else(|| next_workspace(daemon, None))
    else {
        return Ok(());
    };
    let prefix = claim::workspace_prefix(&workspace);
    let mut range = Range::new(prefix).with_limit(MAX_PAGE_ROWS);
    range.after = cursor.after.take();
    let page = daemon.shared.platform.rows(CLAIM_TABLE, &range).await?;
    let horizon = horizon(daemon, page.version, retention).await?;
    delete_expired(daemon, &page, horizon).await?;
    let full = page.rows.len() == MAX_PAGE_ROWS;
    cursor.after = page.rows.last().filter(|_| full).map(|row| row.key.clone());
    cursor.workspace = if full {
        Some(workspace)
    } else {
        next_workspace(daemon, Some(&workspace))
    };
    Ok(())
}

/// Returns the commit number up to which claims are expired.
///
/// Records `newest` as a watermark if one is due.
async fn horizon(daemon: &Daemon, newest: Version, retention: Duration) -> Result<Version, Error> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let row = daemon
        .shared
        .platform
        .row(WATERMARK_TABLE, WATERMARK_KEY)
        .await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let mut watermarks: Watermarks = match row {
        Some(Row { value, .. }) => serde_json::from_value(value).map_err(Error::Malformed)?,
        None => Watermarks::default(),
    };
    if watermarks.record(now, newest, retention) {
        let value = serde_json::to_value(&watermarks).map_err(Error::Malformed)?;
        let transaction = Transaction::new()
            .with_check(WATERMARK_TABLE, WATERMARK_KEY, version)
            .with_write(WATERMARK_TABLE, WATERMARK_KEY, value);
        daemon.shared.platform.commit(&transaction).await?;
    }
    Ok(watermarks.horizon(now, retention))
}

async fn delete_expired(daemon: &Daemon, page: &Rows, horizon: Version) -> Result<(), Error> {
    let expired: Vec<_> = page
        .rows
        .iter()
        .filter(|row| row.version <= horizon)
        .collect();
    if expired.is_empty() {
        return Ok(());
    }
    let transaction = expired.iter().fold(Transaction::new(), |transaction, row| {
        transaction
            .with_check(CLAIM_TABLE, &row.key, row.version)
            .with_write(CLAIM_TABLE, &row.key, serde_json::Value::Null)
    });
    daemon.shared.platform.commit(&transaction).await?;
    tracing::info!(rows = expired.len(), horizon, "expired claims deleted");
    Ok(())
}

/// Returns the first workspace after `last` that is assigned to this daemon.
///
/// `None` if there is none; the sweep then starts again at the first workspace.
fn next_workspace(daemon: &Daemon, last: Option<&WorkspaceId>) -> Option<WorkspaceId> {
    let table = daemon.table()?;
    let own = &daemon.settings().daemon.host;
    let members = daemon.links().members();
    let hosts: Vec<HostId> = members.into_iter().map(|member| member.host).collect();
    let mut assigned = table
        .workspaces
        .keys()
        .filter(|workspace| is_sweeper(own, &hosts, workspace))
        .skip_while(|workspace| last.is_some_and(|last| *workspace <= last));
    assigned.next().cloned()
}
