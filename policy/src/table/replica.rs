//! Replica of the table at a daemon, whose revision never decreases.

use super::{
    Table,
    check::InvalidCell,
    row::{Key, Row},
};
use crate::id::Revision;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, sync::Arc};
use strum::Display;

/// Number of latest deltas kept for peers that lag; others get a snapshot.
const MAX_DELTAS: usize = 64;

/// Update of a replica to a higher revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "update", rename_all = "snake_case")]
pub enum Update {
    /// The whole table.
    Snapshot {
        /// Table at the new revision.
        table: Arc<Table>,
    },
    /// The rows that differ from a lower revision.
    #[serde(rename = "step")]
    Delta(Delta),
}

/// The rows that differ between two revisions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Revision that the delta applies to.
    pub from: Revision,
    /// Revision that results; may be several above `from`.
    pub to: Revision,
    /// Changed rows; `None` for those removed.
    pub rows: Vec<(Key, Option<Row>)>,
}

/// Result of [`Replica::apply`].
#[derive(Clone, Debug, Display, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum UpdateOutcome {
    /// The update's revision is now in force.
    Adopted,
    /// The update is a snapshot of the revision in force, or a delta to that or a lower one.
    Known,
    /// The update is a snapshot of a lower revision and was ignored.
    Lower {
        /// Revision of the update.
        offered: Revision,
    },
    /// The update has the revision in force but different rows, and was ignored.
    Forked,
    /// The update is a delta from a revision other than the one in force; a snapshot is needed.
    Gap,
    /// The resulting table is invalid, and the update was ignored.
    Invalid {
        /// All invalid cells.
        faults: Vec<InvalidCell>,
    },
}

/// The newest table that a daemon has received, and the latest deltas that led to it.
#[derive(Debug, Default)]
pub struct Replica {
    table: Option<Arc<Table>>,
    deltas: VecDeque<Delta>,
}

impl Replica {
    /// Creates a replica without a table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an update if it leads to a higher revision and a valid table.
    pub fn apply(&mut self, update: &Update) -> UpdateOutcome {
        match update {
            Update::Snapshot { table } => self.apply_snapshot(table),
            Update::Delta(delta) => self.apply_delta(delta),
        }
    }

    /// Returns the table in force; `None` before the first update.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns the revision in force; `None` before the first update.
    pub fn revision(&self) -> Option<Revision> {
        self.table.as_ref().map(|table| table.revision)
    }

    /// Returns the update that brings a peer at `revision` to the table in force.
    ///
    /// `None` if the peer does not lag or there is no table. A snapshot if the peer has no table or
    /// lags behind the deltas kept.
    pub fn update_since(&self, revision: Option<Revision>) -> Option<Update> {
        let table = self.table.as_ref()?;
        let Some(from) = revision else {
            return Some(Update::Snapshot {
                table: Arc::clone(table),
            });
        };
        if from >= table.revision {
            return None;
        }
        let start = self.deltas.iter().position(|delta| delta.from == from);
        Some(match start {
            Some(start) => Update::Delta(merge(self.deltas.iter().skip(start))),
            None => Update::Snapshot {
                table: Arc::clone(table),
            },
        })
    }

    fn apply_snapshot(&mut self, table: &Arc<Table>) -> UpdateOutcome {
        if let Some(current) = &self.table {
            if table.revision < current.revision {
                let offered = table.revision;
                return UpdateOutcome::Lower { offered };
            }
            if table.revision == current.revision {
                let same = **table == **current;
                return if same {
                    UpdateOutcome::Known
                } else {
                    UpdateOutcome::Forked
                };
            }
        }
        self.adopt(Arc::clone(table))
    }

    fn apply_delta(&mut self, delta: &Delta) -> UpdateOutcome {
        let Some(current) = &self.table else {
            return UpdateOutcome::Gap;
        };
        if delta.to <= current.revision {
            return UpdateOutcome::Known;
        }
        if delta.from != current.revision {
            return UpdateOutcome::Gap;
        }
        let mut table = Table::clone(current);
        for (key, row) in &delta.rows {
            match row {
                Some(row) => table.insert(key.name.clone(), row.clone()),
                None => table.remove(key),
            }
        }
        table.revision = delta.to;
        self.adopt(Arc::new(table))
    }

    fn adopt(&mut self, table: Arc<Table>) -> UpdateOutcome {
        let faults = table.check();
        if !faults.is_empty() {
            return UpdateOutcome::Invalid { faults };
        }
        if let Some(current) = &self.table {
            self.deltas.push_back(delta(current, &table));
            if self.deltas.len() > MAX_DELTAS {
                self.deltas.pop_front();
            }
        }
        self.table = Some(table);
        UpdateOutcome::Adopted
    }
}

fn delta(from: &Table, to: &Table) -> Delta {
    let mut rows: Vec<_> = to
        .keys()
        .filter(|key| from.row(key) != to.row(key))
        .map(|key| (to.row(&key), key))
        .map(|(row, key)| (key, row))
        .collect();
    let removed = from.keys().filter(|key| to.row(key).is_none());
    rows.extend(removed.map(|key| (key, None)));
    Delta {
        from: from.revision,
        to: to.revision,
        rows,
    }
}

fn merge<'a>(deltas: impl Iterator<Item = &'a Delta>) -> Delta {
    let mut merged = Delta {
        from: 0,
        to: 0,
        rows: Vec::new(),
    };
    for (index, delta) in deltas.enumerate() {
        if index == 0 {
            merged.from = delta.from;
        }
        merged.to = delta.to;
        merged
            .rows
            .retain(|(key, _)| delta.rows.iter().all(|(k, _)| k != key));
        merged.rows.extend(delta.rows.iter().cloned());
    }
    merged
}
