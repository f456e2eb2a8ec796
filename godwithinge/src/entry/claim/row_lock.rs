//! Locks that serialize the operations on one row.

use compact_str::CompactString;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex as StdMutex, PoisonError},
};
use tokio::sync::{Mutex, OwnedMutexGuard};

/// Locks of the rows that operations are in progress on.
#[derive(Clone, Debug, Default)]
pub(super) struct RowLocks {
    rows: Arc<StdMutex<HashMap<CompactString, Arc<Mutex<()>>>>>,
}

/// Lock request for one row, which may hold the lock already.
#[derive(Debug)]
pub(super) struct PendingRowLock {
    row: Arc<Mutex<()>>,
    held: Option<OwnedMutexGuard<()>>,
}

/// Guard that holds the lock of a row until it is dropped.
#[derive(Debug)]
pub(super) struct RowGuard(
    #[expect(dead_code, reason = "held until it is dropped")] OwnedMutexGuard<()>,
);

/// Number of locks above which unused ones are removed.
const PRUNE_THRESHOLD: usize = 1024;

impl RowLocks {
    /// Requests the lock of a row, and takes it immediately if it is free.
    pub(super) fn begin_lock(&self, row_key: &CompactString) -> PendingRowLock {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if rows.len() > PRUNE_THRESHOLD {
            rows.retain(|_, row| Arc::strong_count(row) > 1);
        }
        let row = Arc::clone(rows.entry(row_key.clone()).or_default());
        let held = Arc::clone(&row).try_lock_owned().ok();
        PendingRowLock { row, held }
    }

    /// Takes the lock of a row if it is free.
    pub(super) fn try_lock(&self, row_key: &CompactString) -> Option<RowGuard> {
        self.begin_lock(row_key).held.map(RowGuard)
    }
}

impl PendingRowLock {
    /// Waits until the lock is held.
    pub(super) async fn acquire(self) -> RowGuard {
        match self.held {
            Some(held) => RowGuard(held),
            None => RowGuard(self.row.lock_owned().await),
        }
    }
}
