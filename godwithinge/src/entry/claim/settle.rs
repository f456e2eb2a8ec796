//! Settlements and releases of claims, written in batches in the background.

use super::{Daemon, HeldVersions, TABLE, row_lock::RowLocks};
use crate::{
    metrics::Metrics,
    platform::{self, Conflict, Error, Transaction},
};
use compact_str::CompactString;
use policy::{
    Event,
    claim::{Reply, Row, Version},
    id::{AttemptId, Key, StageIndex},
};
use rand::RngExt;
use serde_json::Value;
use std::{collections::VecDeque, time::Duration};
use tokio::{sync::mpsc, time};

/// Maximum number of rows that are written in one transaction.
const MAX_BATCH: usize = 64;
/// Time for which settlements are collected before a batch is written.
const BATCH_WINDOW: Duration = Duration::from_millis(10);
/// Backoff after the first failed write; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff between two writes, without jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Request to replace a claim row held by `attempt`, or to delete it if `row` is `None`.
#[derive(Clone, Debug)]
pub(super) struct Settlement {
    pub(super) key: Key,
    pub(super) stage: StageIndex,
    pub(super) row_key: CompactString,
    pub(super) attempt: AttemptId,
    pub(super) row: Option<Row>,
}

/// Background task that writes settlements and releases.
#[derive(Debug)]
pub(in crate::entry) struct Settler {
    platform: platform::Client,
    locks: RowLocks,
    versions: HeldVersions,
    queue: mpsc::UnboundedReceiver<Settlement>,
    pending: VecDeque<Settlement>,
    metrics: Metrics,
    backoff: Duration,
}

/// State of the row that a settlement applies to.
enum RowStatus {
    /// The attempt holds the row, which has this version.
    Held(Version),
    /// There is nothing to write: the attempt does not hold the row, or the row is malformed.
    Resolved(Reply),
    /// The platform cannot be reached.
    Unavailable,
}

impl Settler {
    pub(super) fn new(
        platform: platform::Client,
        locks: RowLocks,
        versions: HeldVersions,
        queue: mpsc::UnboundedReceiver<Settlement>,
        metrics: Metrics,
    ) -> Self {
        Self {
            platform,
            locks,
            versions,
            queue,
            pending: VecDeque::new(),
            metrics,
            backoff: MIN_BACKOFF,
        }
    }

    /// Writes settlements until the daemon stops.
    pub(in crate::entry) async fn run(mut self, daemon: Daemon) {
        while self.fill_pending().await {
            if self.write_batch(&daemon).await {
                self.backoff = MIN_BACKOFF;
            } else {
                let jitter = rand::rng().random_range(0.5..1.5);
                time::sleep(self.backoff.mul_f64(jitter)).await;
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
        }
    }

    /// Waits until settlements are pending; returns `false` once the daemon stops.
    ///
    /// Releases are not delayed to fill a batch, since their requests wait for the reply.
    async fn fill_pending(&mut self) -> bool {
        if self.pending.is_empty() {
            let Some(first) = self.queue.recv().await else {
                return false;
            };
            self.pending.push_back(first);
        }
        self.drain_queue();
        let has_release = self
            .pending
            .iter()
            .any(|settlement| settlement.row.is_none());
        if !has_release {
            time::sleep(BATCH_WINDOW).await;
            self.drain_queue();
        }
        true
    }

    fn drain_queue(&mut self) {
        while let Ok(settlement) = self.queue.try_recv() {
            self.pending.push_back(settlement);
        }
    }

    /// Writes one batch of pending settlements.
    ///
    /// Settlements whose row is locked, or that exceed the batch, stay pending. Returns whether the
    /// next batch can follow without backoff.
    async fn write_batch(&mut self, daemon: &Daemon) -> bool {
        let mut guards = Vec::new();
        let mut batch: Vec<(Settlement, Version)> = Vec::new();
        let mut deferred = VecDeque::new();
        let mut unavailable = false;
        while let Some(settlement) = self.pending.pop_front() {
            let guard = self.locks.try_lock(&settlement.row_key);
            let (Some(guard), true) = (guard, batch.len() < MAX_BATCH && !unavailable) else {
                deferred.push_back(settlement);
                continue;
            };
            match self.row_status(&settlement).await {
                RowStatus::Held(version) => {
                    guards.push(guard);
                    batch.push((settlement, version));
                }
                RowStatus::Resolved(reply) => self.complete(daemon, settlement, reply),
                RowStatus::Unavailable => {
                    unavailable = true;
                    deferred.push_back(settlement);
                }
            }
        }
        self.pending = deferred;
        if batch.is_empty() {
            return !unavailable && self.pending.is_empty();
        }
        let committed = self.commit(&batch).await;
        drop(guards);
        for (settlement, _) in batch {
            if committed {
                let reply = settlement
                    .row
                    .clone()
                    .map_or(Reply::Absent, |row| Reply::Row { row });
                self.complete(daemon, settlement, reply);
            } else {
                self.pending.push_back(settlement);
            }
        }
        committed
    }

    /// Returns the state of the row, which is read unless its version is known.
    async fn row_status(&self, settlement: &Settlement) -> RowStatus {
        if let Some(version) = self.versions.get(&settlement.row_key, settlement.attempt) {
            return RowStatus::Held(version);
        }
        let found = match self.platform.row(TABLE, &settlement.row_key).await {
            Err(_) => return RowStatus::Unavailable,
            Ok(None) => return RowStatus::Resolved(Reply::Absent),
            Ok(Some(found)) => found,
        };
        match serde_json::from_value::<Row>(found.value) {
            Ok(row) => {
                self.versions
                    .record(&settlement.row_key, &row, found.version);
                match row {
                    Row::Held { attempt, .. } if attempt == settlement.attempt => {
                        RowStatus::Held(found.version)
                    }
                    row => RowStatus::Resolved(Reply::Row { row }),
                }
            }
            Err(_) => RowStatus::Resolved(Reply::Out),
        }
    }

    /// Commits a batch and returns whether it is known to be committed.
    ///
    /// Versions that may have become stale are forgotten, so that the rows are read again.
    async fn commit(&self, batch: &[(Settlement, Version)]) -> bool {
        let mut transaction = Transaction::new();
        for (settlement, version) in batch {
            let row_key = &settlement.row_key;
            let value = to_value(settlement);
            transaction = transaction
                .with_check(TABLE, row_key, *version)
                .with_write(TABLE, row_key, value);
        }
        match self.platform.commit(&transaction).await {
            Ok(_) => {
                let rows = batch.iter().map(|(settlement, _)| &settlement.row_key);
                rows.for_each(|row_key| self.versions.remove(row_key));
                true
            }
            Err(Error::Conflict(conflicts)) => {
                self.invalidate_versions(&conflicts);
                false
            }
            Err(error) => {
                if error.is_outcome_unknown() {
                    let rows = batch.iter().map(|(settlement, _)| &settlement.row_key);
                    rows.for_each(|row_key| self.versions.remove(row_key));
                }
                tracing::warn!(%error, rows = batch.len(), "failed to settle claims");
                false
            }
        }
    }

    fn invalidate_versions(&self, conflicts: &[Conflict]) {
        for conflict in conflicts {
            self.versions.remove(&conflict.key);
        }
    }

    /// Finishes a settlement; the state machine is notified of the reply to a release only.
    fn complete(&self, daemon: &Daemon, settlement: Settlement, reply: Reply) {
        self.metrics.unwritten_settlements.dec();
        let operation = if settlement.row.is_some() {
            "settle"
        } else {
            "release"
        };
        tracing::debug!(row = %settlement.row_key, ask = operation, ?reply, "claim settled");
        if settlement.row.is_none() {
            self.versions.remove(&settlement.row_key);
            let (key, stage) = (settlement.key, settlement.stage);
            daemon.handle(Event::Claim { key, stage, reply });
        }
    }
}

fn to_value(settlement: &Settlement) -> Value {
    let row = settlement.row.as_ref();
    row.and_then(|row| serde_json::to_value(row).ok())
        .unwrap_or(Value::Null)
}
