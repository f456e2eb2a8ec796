//! Order of the asks about one row.

use compact_str::CompactString;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex as StdMutex, PoisonError},
};
use tokio::sync::{Mutex, OwnedMutexGuard};

/// Rows that are being asked about.
#[derive(Clone, Debug, Default)]
pub(super) struct RowLocks {
    rows: Arc<StdMutex<HashMap<CompactString, Arc<Mutex<()>>>>>,
}

/// A place in the order of one row.
#[derive(Debug)]
pub(super) struct PendingRowLock {
    row: Arc<Mutex<()>>,
    held: Option<OwnedMutexGuard<()>>,
}

/// The turn of one ask; the next one follows when it is dropped.
#[derive(Debug)]
pub(super) struct RowGuard(
    #[expect(dead_code, reason = "held until it is dropped")] OwnedMutexGuard<()>,
);

/// Number of rows above which unused ones are dropped.
const PRUNE_THRESHOLD: usize = 1024;

impl RowLocks {
    /// Takes a place; the first one in a row holds it from now on.
    pub(super) fn begin_lock(&self, row_key: &CompactString) -> PendingRowLock {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if rows.len() > PRUNE_THRESHOLD {
            rows.retain(|_, row| Arc::strong_count(row) > 1);
        }
        let row = Arc::clone(rows.entry(row_key.clone()).or_default());
        let held = Arc::clone(&row).try_lock_owned().ok();
        PendingRowLock { row, held }
    }

    /// Takes the turn of a row if nobody else has it.
    pub(super) fn try_lock(&self, row_key: &CompactString) -> Option<RowGuard> {
        self.begin_lock(row_key).held.map(RowGuard)
    }
}

impl PendingRowLock {
    /// Waits for the turn.
    pub(super) async fn acquire(self) -> RowGuard {
        match self.held {
            Some(held) => RowGuard(held),
            None => RowGuard(self.row.lock_owned().await),
        }
    }
}
