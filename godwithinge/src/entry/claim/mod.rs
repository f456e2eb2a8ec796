//! Operations on claim rows in the platform's table service.
//!
//! Operations on one row are serialized by a lock per row, which is requested in the order of the
//! commands, before the task of the operation is spawned. Inserts and reads are performed
//! immediately; settlements and releases are queued for the [`Settler`], which retries them until
//! the platform can be reached.

mod insert;
mod row_lock;
mod settle;

pub(super) use self::settle::Settler;

use self::{row_lock::RowLocks, settle::Settlement};
use super::Daemon;
use crate::{metrics::Metrics, platform};
use compact_str::CompactString;
use policy::{
    Event,
    claim::{self, Operation, Reply, Row, Version},
    id::{AttemptId, Incarnation, Key, StageIndex},
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::sync::mpsc;

/// Table that contains the claims.
const TABLE: &str = "claims";

/// Client for claim rows.
#[derive(Clone, Debug)]
pub(super) struct ClaimClient {
    platform: platform::Client,
    locks: RowLocks,
    versions: HeldVersions,
    settlements: mpsc::UnboundedSender<Settlement>,
    metrics: Metrics,
}

/// Versions of the rows held by attempts of this daemon.
#[derive(Clone, Debug)]
struct HeldVersions {
    incarnation: Incarnation,
    held: Arc<Mutex<HashMap<CompactString, (AttemptId, Version)>>>,
}

/// Creates a client for claim rows and the task that writes its settlements.
pub(super) fn new(
    platform: platform::Client,
    incarnation: Incarnation,
    metrics: Metrics,
) -> (ClaimClient, Settler) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let locks = RowLocks::default();
    let versions = HeldVersions::new(incarnation);
    let settler = Settler::new(
        platform.clone(),
        locks.clone(),
        versions.clone(),
        receiver,
        metrics.clone(),
    );
    let claims = ClaimClient {
        platform,
        locks,
        versions,
        settlements: sender,
        metrics,
    };
    (claims, settler)
}

impl Daemon {
    /// Starts an operation on a claim row.
    ///
    /// The state machine receives the reply as [`Event::Claim`], except that of a settlement.
    pub(super) fn operate_on_claim(&self, key: Key, stage: StageIndex, operation: Operation) {
        let claims = &self.shared.claims;
        let row_key = claim::row_key(&key, stage);
        match operation {
            Operation::Insert { row } => self.insert_or_read(key, stage, row_key, Some(row)),
            Operation::Read => self.insert_or_read(key, stage, row_key, None),
            Operation::Settle { attempt, row } => claims.settle(Settlement {
                key,
                stage,
                row_key,
                attempt,
                row: Some(row),
            }),
            Operation::Release { attempt } => claims.settle(Settlement {
                key,
                stage,
                row_key,
                attempt,
                row: None,
            }),
        }
    }

    /// Returns the number of settlements and releases that are not written yet.
    pub fn unsettled(&self) -> i64 {
        self.metrics().unwritten_settlements.get()
    }

    /// Inserts `row`, or reads the current row if it is `None`.
    fn insert_or_read(
        &self,
        key: Key,
        stage: StageIndex,
        row_key: CompactString,
        row: Option<Row>,
    ) {
        let daemon = self.clone();
        let pending = self.shared.claims.locks.begin_lock(&row_key);
        tokio::spawn(async move {
            let claims = &daemon.shared.claims;
            let guard = pending.acquire().await;
            let operation = if row.is_some() { "insert" } else { "read" };
            let reply = match row {
                Some(row) => claims.insert(&row_key, row).await,
                None => claims.read(&row_key).await,
            };
            drop(guard);
            claims.count_reply(operation, &reply);
            daemon.handle(Event::Claim { key, stage, reply });
        });
    }
}

impl ClaimClient {
    fn settle(&self, settlement: Settlement) {
        self.metrics.unwritten_settlements.inc();
        if self.settlements.send(settlement).is_err() {
            tracing::error!("settlement lost: settler task has stopped");
        }
    }

    fn count_reply(&self, operation: &str, reply: &Reply) {
        let reply = match reply {
            Reply::Row { .. } => "row",
            Reply::Absent => "absent",
            Reply::Out => "out",
        };
        self.metrics
            .claim_requests
            .with_label_values(&[operation, reply])
            .inc();
    }
}

impl HeldVersions {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            held: Arc::default(),
        }
    }

    /// Returns the version of the row if `attempt` is known to hold it.
    fn get(&self, row_key: &str, attempt: AttemptId) -> Option<Version> {
        let versions = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let (holder, version) = versions.get(row_key)?;
        (*holder == attempt).then_some(*version)
    }

    /// Records the version of a row that was written or read.
    ///
    /// Rows of other daemons are not recorded, since nothing would remove them again.
    fn record(&self, row_key: &CompactString, row: &Row, version: Version) {
        let mut versions = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        match row {
            Row::Held { attempt, .. } if attempt.incarnation == self.incarnation => {
                versions.insert(row_key.clone(), (*attempt, version));
            }
            _ => {
                versions.remove(row_key);
            }
        }
    }

    fn remove(&self, row_key: &str) {
        let mut versions = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        versions.remove(row_key);
    }
}
