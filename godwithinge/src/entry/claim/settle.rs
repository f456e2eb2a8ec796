//! Settlements and releases, written in batches off the callers' path.

use super::{Daemon, TABLE, Versions, order::Order};
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

/// Most rows that are settled in one transaction.
const MAX_BATCH: usize = 64;
/// Time for which settlements are gathered before they are written.
const WINDOW: Duration = Duration::from_millis(10);
/// Pause after the first failed write.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two writes.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// A row to replace or, without a new value, to delete.
#[derive(Clone, Debug)]
pub(super) struct Settlement {
    pub(super) key: Key,
    pub(super) stage: StageIndex,
    pub(super) row_key: CompactString,
    pub(super) attempt: AttemptId,
    pub(super) row: Option<Row>,
}

/// Task that writes settlements and releases.
#[derive(Debug)]
pub(in crate::entry) struct Settler {
    platform: platform::Client,
    order: Order,
    versions: Versions,
    queue: mpsc::UnboundedReceiver<Settlement>,
    waiting: VecDeque<Settlement>,
    metrics: Metrics,
    pause: Duration,
}

/// What stands in the way of a settlement.
enum Obstacle {
    /// Nothing; the row has this version.
    None(Version),
    /// The row stands as it is to, or another attempt has it.
    Over(Reply),
    /// The platform can't be asked.
    Out,
}

impl Settler {
    pub(super) fn new(
        platform: platform::Client,
        order: Order,
        versions: Versions,
        queue: mpsc::UnboundedReceiver<Settlement>,
        metrics: Metrics,
    ) -> Self {
        Self {
            platform,
            order,
            versions,
            queue,
            waiting: VecDeque::new(),
            metrics,
            pause: FIRST_PAUSE,
        }
    }

    /// Writes settlements for as long as the daemon runs.
    pub(in crate::entry) async fn run(mut self, daemon: Daemon) {
        while self.gather().await {
            if self.write(&daemon).await {
                self.pause = FIRST_PAUSE;
            } else {
                let jitter = rand::rng().random_range(0.5..1.5);
                time::sleep(self.pause.mul_f64(jitter)).await;
                self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            }
        }
    }

    /// Waits for settlements; `false` at the daemon's end.
    async fn gather(&mut self) -> bool {
        if self.waiting.is_empty() {
            let Some(first) = self.queue.recv().await else {
                return false;
            };
            self.waiting.push_back(first);
        }
        self.drain_queue();
        let waited_for = self.waiting.iter().any(|waiting| waiting.row.is_none());
        if !waited_for {
            time::sleep(WINDOW).await;
            self.drain_queue();
        }
        true
    }

    fn drain_queue(&mut self) {
        while let Ok(settlement) = self.queue.try_recv() {
            self.waiting.push_back(settlement);
        }
    }

    /// Writes one batch and returns whether the platform took it.
    async fn write(&mut self, daemon: &Daemon) -> bool {
        let mut turns = Vec::new();
        let mut batch: Vec<(Settlement, Version)> = Vec::new();
        let mut later = VecDeque::new();
        let mut out = false;
        while let Some(settlement) = self.waiting.pop_front() {
            let turn = self.order.try_enter(&settlement.row_key);
            let (Some(turn), true) = (turn, batch.len() < MAX_BATCH && !out) else {
                later.push_back(settlement);
                continue;
            };
            match self.obstacle(&settlement).await {
                Obstacle::None(version) => {
                    turns.push(turn);
                    batch.push((settlement, version));
                }
                Obstacle::Over(reply) => self.end(daemon, settlement, reply),
                Obstacle::Out => {
                    out = true;
                    later.push_back(settlement);
                }
            }
        }
        self.waiting = later;
        if batch.is_empty() {
            return !out && self.waiting.is_empty();
        }
        let committed = self.commit(&batch).await;
        drop(turns);
        for (settlement, _) in batch {
            if committed {
                let reply = settlement
                    .row
                    .clone()
                    .map_or(Reply::Absent, |row| Reply::Row { row });
                self.end(daemon, settlement, reply);
            } else {
                self.waiting.push_back(settlement);
            }
        }
        committed
    }

    /// Finds out the version of the row that a settlement replaces.
    async fn obstacle(&self, settlement: &Settlement) -> Obstacle {
        if let Some(version) = self.versions.get(&settlement.row_key, settlement.attempt) {
            return Obstacle::None(version);
        }
        let found = match self.platform.row(TABLE, &settlement.row_key).await {
            Err(_) => return Obstacle::Out,
            Ok(None) => return Obstacle::Over(Reply::Absent),
            Ok(Some(found)) => found,
        };
        match serde_json::from_value::<Row>(found.value) {
            Ok(row) => {
                self.versions.note(&settlement.row_key, &row, found.version);
                match row {
                    Row::Held { attempt, .. } if attempt == settlement.attempt => {
                        Obstacle::None(found.version)
                    }
                    row => Obstacle::Over(Reply::Row { row }),
                }
            }
            Err(_) => Obstacle::Over(Reply::Out),
        }
    }

    /// Commits a batch and returns whether it is known to be committed.
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
                self.forget(&conflicts);
                false
            }
            Err(error) => {
                if error.is_lost() {
                    let rows = batch.iter().map(|(settlement, _)| &settlement.row_key);
                    rows.for_each(|row_key| self.versions.remove(row_key));
                }
                tracing::warn!(%error, rows = batch.len(), "claims were not settled");
                false
            }
        }
    }

    /// Has the rows read again that are not as expected.
    fn forget(&self, conflicts: &[Conflict]) {
        for conflict in conflicts {
            self.versions.remove(&conflict.key);
        }
    }

    fn end(&self, daemon: &Daemon, settlement: Settlement, reply: Reply) {
        self.metrics.unwritten_settlements.dec();
        let ask = if settlement.row.is_some() {
            "settle"
        } else {
            "release"
        };
        tracing::debug!(row = %settlement.row_key, ask, ?reply, "claim was settled");
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
