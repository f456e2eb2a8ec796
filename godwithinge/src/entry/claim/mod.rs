//! Claim rows in the platform's table service.
//!
//! Asks about one row run one after another, in the order in which they were made. Inserts and
//! reads are answered at once; settlements and releases are written by the [`Settler`], which
//! tries again through outages.

mod insert;
mod order;
mod settle;

pub(super) use self::settle::Settler;

use self::{order::Order, settle::Settlement};
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

/// Table that holds the claims.
const TABLE: &str = "claims";

/// Asks about claim rows.
#[derive(Clone, Debug)]
pub(super) struct Claims {
    platform: platform::Client,
    order: Order,
    versions: Versions,
    settlements: mpsc::UnboundedSender<Settlement>,
    metrics: Metrics,
}

/// Versions of the rows that attempts of this daemon hold.
#[derive(Clone, Debug)]
struct Versions {
    incarnation: Incarnation,
    held: Arc<Mutex<HashMap<CompactString, (AttemptId, Version)>>>,
}

/// Creates the asks about claim rows and the task that settles them.
pub(super) fn new(
    platform: platform::Client,
    incarnation: Incarnation,
    metrics: Metrics,
) -> (Claims, Settler) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let order = Order::default();
    let versions = Versions::new(incarnation);
    let settler = Settler::new(
        platform.clone(),
        order.clone(),
        versions.clone(),
        receiver,
        metrics.clone(),
    );
    let claims = Claims {
        platform,
        order,
        versions,
        settlements: sender,
        metrics,
    };
    (claims, settler)
}

impl Daemon {
    /// Begins to ask the platform about a claim row.
    pub(super) fn ask_claim(&self, key: Key, stage: StageIndex, ask: Operation) {
        let claims = &self.shared.claims;
        let row_key = claim::row_key(&key, stage);
        match ask {
            Operation::Insert { row } => self.answer(key, stage, row_key, Some(row)),
            Operation::Read => self.answer(key, stage, row_key, None),
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

    /// Returns how many settlements and releases are not written yet.
    pub fn unsettled(&self) -> i64 {
        self.metrics().unwritten_settlements.get()
    }

    /// Inserts or reads a row and tells the decisions what stands there.
    fn answer(&self, key: Key, stage: StageIndex, row_key: CompactString, row: Option<Row>) {
        let daemon = self.clone();
        let turn = self.shared.claims.order.enter(&row_key);
        tokio::spawn(async move {
            let claims = &daemon.shared.claims;
            let turn = turn.wait().await;
            let name = if row.is_some() { "insert" } else { "read" };
            let reply = match row {
                Some(row) => claims.insert(&row_key, row).await,
                None => claims.read(&row_key).await,
            };
            drop(turn);
            claims.count(name, &reply);
            daemon.handle(Event::Claim { key, stage, reply });
        });
    }
}

impl Claims {
    fn settle(&self, settlement: Settlement) {
        self.metrics.unwritten_settlements.inc();
        if self.settlements.send(settlement).is_err() {
            tracing::error!("claims are not settled any more");
        }
    }

    fn count(&self, ask: &str, reply: &Reply) {
        let reply = match reply {
            Reply::Row { .. } => "row",
            Reply::Absent => "absent",
            Reply::Out => "out",
        };
        self.metrics
            .claim_requests
            .with_label_values(&[ask, reply])
            .inc();
    }
}

impl Versions {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            held: Arc::default(),
        }
    }

    /// Returns the version of the row that `attempt` is known to hold.
    fn get(&self, row_key: &str, attempt: AttemptId) -> Option<Version> {
        let versions = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let (holder, version) = versions.get(row_key)?;
        (*holder == attempt).then_some(*version)
    }

    /// Notes a row that was written or read.
    ///
    /// Rows of other daemons are not kept, since nothing here would ever drop them.
    fn note(&self, row_key: &CompactString, row: &Row, version: Version) {
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
