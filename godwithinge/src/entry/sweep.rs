//! Deletes claims that are older than the retention.
//!
//! Each workspace is swept by one entry, a page at a time, so that reads and writes stay few.

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

/// Table that holds the marks, and the key of its one row.
const TABLE: &str = "sweeps";
const KEY: &str = "marks";
/// Table that holds the claims.
const CLAIMS: &str = "claims";
/// Pages that are read in one retention.
const PAGES: u32 = 8640;
/// Shortest time between two pages.
const LEAST_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two pages.
const MOST_INTERVAL: Duration = Duration::from_secs(10);
/// Most rows of a page, which are deleted in one transaction.
const PAGE_ROWS: usize = 64;

/// Where a sweep stands.
#[derive(Debug, Default)]
struct Cursor {
    workspace: Option<WorkspaceId>,
    after: Option<CompactString>,
}

/// Sweeps claims for as long as the daemon runs.
pub(super) async fn run(daemon: Daemon) {
    let retention = daemon.settings().entry.claim_retention;
    let interval = (retention / PAGES).clamp(LEAST_INTERVAL, MOST_INTERVAL);
    let mut cursor = Cursor::default();
    loop {
        time::sleep(interval).await;
        if let Err(error) = sweep(&daemon, &mut cursor, retention).await {
            tracing::debug!(%error, "claims were not swept");
        }
    }
}

/// Reads one page of claims and deletes those that are too old.
async fn sweep(daemon: &Daemon, cursor: &mut Cursor, retention: Duration) -> Result<(), Error> {
    let Some(workspace) = cursor.workspace.clone().or_else(|| next(daemon, None)) else {
        return Ok(());
    };
    let prefix = claim::workspace_prefix(&workspace);
    let mut range = Range::new(prefix).with_limit(PAGE_ROWS);
    range.after = cursor.after.take();
    let page = daemon.shared.platform.rows(CLAIMS, &range).await?;
    let horizon = horizon(daemon, page.version, retention).await?;
    delete(daemon, &page, horizon).await?;
    let full = page.rows.len() == PAGE_ROWS;
    cursor.after = page.rows.last().filter(|_| full).map(|row| row.key.clone());
    cursor.workspace = if full {
        Some(workspace)
    } else {
        next(daemon, Some(&workspace))
    };
    Ok(())
}

/// Returns the commit number up to which claims are too old, and marks the newest one.
async fn horizon(daemon: &Daemon, newest: Version, retention: Duration) -> Result<Version, Error> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let row = daemon.shared.platform.row(TABLE, KEY).await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let mut marks: Watermarks = match row {
        Some(Row { value, .. }) => serde_json::from_value(value).map_err(Error::Malformed)?,
        None => Watermarks::default(),
    };
    if marks.record(now, newest, retention) {
        let value = serde_json::to_value(&marks).map_err(Error::Malformed)?;
        let transaction = Transaction::new()
            .with_check(TABLE, KEY, version)
            .with_write(TABLE, KEY, value);
        daemon.shared.platform.commit(&transaction).await?;
    }
    Ok(marks.horizon(now, retention))
}

async fn delete(daemon: &Daemon, page: &Rows, horizon: Version) -> Result<(), Error> {
    let old: Vec<_> = page
        .rows
        .iter()
        .filter(|row| row.version <= horizon)
        .collect();
    if old.is_empty() {
        return Ok(());
    }
    let transaction = old.iter().fold(Transaction::new(), |transaction, row| {
        transaction
            .with_check(CLAIMS, &row.key, row.version)
            .with_write(CLAIMS, &row.key, serde_json::Value::Null)
    });
    daemon.shared.platform.commit(&transaction).await?;
    tracing::info!(rows = old.len(), horizon, "old claims were deleted");
    Ok(())
}

/// Returns the workspace after `last` that this daemon sweeps, from the first one on at the end.
fn next(daemon: &Daemon, last: Option<&WorkspaceId>) -> Option<WorkspaceId> {
    let table = daemon.table()?;
    let own = &daemon.settings().daemon.host;
    let members = daemon.links().members();
    let hosts: Vec<HostId> = members.into_iter().map(|member| member.host).collect();
    let mut mine = table
        .workspaces
        .keys()
        .filter(|workspace| is_sweeper(own, &hosts, workspace))
        .skip_while(|workspace| last.is_some_and(|last| *workspace <= last));
    mine.next().cloned()
}
