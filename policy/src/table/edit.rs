//! Edits that turn one revision of the table into the next.

use super::{
    Table,
    check::InvalidCell,
    row::{Column, Key, Row},
};
use crate::id::Revision;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};
use strum::IntoEnumIterator;

/// Idempotency key of an edit: chosen by the operator's client and reused for each retry.
pub type EditId = CompactString;

/// New text for one cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cell {
    /// Row of the cell.
    pub row: Key,
    /// Column of the cell.
    pub column: Column,
    /// New text; a row is removed if all of its cells are blank.
    pub value: CompactString,
}

/// Change of the text of one cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Row of the cell.
    pub row: Key,
    /// Column of the cell.
    pub column: Column,
    /// Text before the edit; blank if the row was absent.
    pub before: CompactString,
    /// Text after the edit; blank if the row was removed.
    pub after: CompactString,
}

/// An edit as an operator requests it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Idempotency key.
    pub id: EditId,
    /// Operator who requests the edit.
    pub who: CompactString,
    /// Revision that the edit is based on: the one that the operator saw.
    pub base: Revision,
    /// Cells to change; others keep their text.
    pub cells: Vec<Cell>,
}

/// Entry of the change log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Revision that the edit created.
    pub revision: Revision,
    /// Idempotency key of the edit.
    pub edit: EditId,
    /// Operator who requested the edit.
    pub who: CompactString,
    /// Wall-clock time of the edit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Cells that the edit changed.
    pub changes: Vec<Change>,
}

/// A cell that was changed after the base of an edit, in a row that the edit touches.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConflictingCell {
    /// Row of the cell.
    pub row: Key,
    /// Column of the cell.
    pub column: Column,
    /// Text at the base of the edit.
    pub seen: CompactString,
    /// Text in the current revision.
    #[serde(rename = "stands")]
    pub current: CompactString,
    /// Text that the edit requests; `None` if it does not touch the cell.
    #[serde(rename = "asked")]
    pub requested: Option<CompactString>,
    /// Operator who last changed the cell.
    pub who: CompactString,
    /// Revision that last changed the cell.
    pub revision: Revision,
}

/// Error of applying an edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum EditError {
    /// The resulting table would be invalid.
    Invalid {
        /// All invalid cells.
        faults: Vec<InvalidCell>,
    },
    /// Rows of the edit were changed after its base.
    Conflict {
        /// All cells of these rows that differ between the base and the current revision.
        cells: Vec<ConflictingCell>,
    },
    /// The edit is based on a revision above the current one.
    Ahead {
        /// Base of the edit.
        base: Revision,
        /// Current revision of the table.
        #[serde(rename = "stands")]
        current: Revision,
    },
    /// The change log does not reach back to the base, so conflicts can't be ruled out.
    Forgotten {
        /// Base of the edit.
        base: Revision,
    },
    /// The table already holds every requested text.
    Unchanged,
}

impl Edit {
    /// Returns the table after the edit, and the entry for the change log.
    ///
    /// `log` must hold the entries of the change log after the edit's base, in order of revision,
    /// and `at_ms` is the current time in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Fails if rows of the edit were changed after its base, if `log` is incomplete, if the
    /// resulting table would be invalid, or if nothing would change.
    pub fn apply(
        &self,
        table: &Table,
        log: &[LogEntry],
        at_ms: u64,
    ) -> Result<(Table, LogEntry), EditError> {
        self.check_base(table, log)?;
        let conflicts = self.conflicts(table, log);
        if !conflicts.is_empty() {
            return Err(EditError::Conflict { cells: conflicts });
        }
        let mut next = self.with_cells(table)?;
        let changes = table.diff(&next);
        if changes.is_empty() {
            return Err(EditError::Unchanged);
        }
        let faults = next.check();
        if !faults.is_empty() {
            return Err(EditError::Invalid { faults });
        }
        next.revision = table.revision + 1;
        let entry = LogEntry {
            revision: next.revision,
            edit: self.id.clone(),
            who: self.who.clone(),
            at_ms,
            changes,
        };
        Ok((next, entry))
    }

    /// Returns the keys of the rows that the edit touches.
    pub fn rows(&self) -> BTreeSet<&Key> {
        self.cells.iter().map(|cell| &cell.row).collect()
    }

    fn check_base(&self, table: &Table, log: &[LogEntry]) -> Result<(), EditError> {
        if self.base > table.revision {
            return Err(EditError::Ahead {
                base: self.base,
                current: table.revision,
            });
        }
        let complete = (self.base + 1..=table.revision).eq(log.iter().map(|entry| entry.revision));
        if complete {
            Ok(())
        } else {
            Err(EditError::Forgotten { base: self.base })
        }
    }

    fn conflicts(&self, table: &Table, log: &[LogEntry]) -> Vec<ConflictingCell> {
        let rows = self.rows();
        let mut conflicts = BTreeMap::new();
        for entry in log {
            let touched = entry.changes.iter().filter(|c| rows.contains(&c.row));
            for change in touched {
                let conflict = conflicts
                    .entry((&change.row, change.column))
                    .or_insert_with(|| self.conflict(change));
                conflict.current = table.cell(&change.row, change.column);
                conflict.who.clone_from(&entry.who);
                conflict.revision = entry.revision;
            }
        }
        conflicts
            .into_values()
            .filter(|conflict| conflict.seen != conflict.current)
            .collect()
    }

    fn conflict(&self, change: &Change) -> ConflictingCell {
        let is_same_cell = |cell: &&Cell| cell.row == change.row && cell.column == change.column;
        ConflictingCell {
            row: change.row.clone(),
            column: change.column,
            seen: change.before.clone(),
            current: change.after.clone(),
            requested: self
                .cells
                .iter()
                .find(is_same_cell)
                .map(|cell| cell.value.clone()),
            who: CompactString::default(),
            revision: 0,
        }
    }

    fn with_cells(&self, table: &Table) -> Result<Table, EditError> {
        let mut next = table.clone();
        let mut faults = Vec::new();
        for key in self.rows() {
            let mut cells = table.row(key).map(|row| row.cells()).unwrap_or_default();
            for cell in self.cells.iter().filter(|cell| cell.row == *key) {
                cells.insert(cell.column, cell.value.clone());
            }
            if cells.values().all(CompactString::is_empty) {
                next.remove(key);
                continue;
            }
            match Row::from_cells(key, &cells) {
                Ok(row) => next.insert(key.name.clone(), row),
                Err(invalid) => faults.extend(invalid),
            }
            faults.extend(InvalidCell::check(key, Column::Name, &key.name));
        }
        if faults.is_empty() {
            Ok(next)
        } else {
            Err(EditError::Invalid { faults })
        }
    }
}

impl Table {
    /// Returns the text of one cell; blank if the row is absent.
    pub fn cell(&self, row: &Key, column: Column) -> CompactString {
        self.row(row)
            .map(|row| row.cell(column))
            .unwrap_or_default()
    }

    /// Returns the changes that lead from this table to `other`, ordered by row and column.
    pub fn diff(&self, other: &Self) -> Vec<Change> {
        let rows: BTreeSet<_> = self.keys().chain(other.keys()).collect();
        let mut changes = Vec::new();
        for row in rows {
            for column in Column::iter() {
                let before = self.cell(&row, column);
                let after = other.cell(&row, column);
                if before != after {
                    changes.push(Change {
                        row: row.clone(),
                        column,
                        before,
                        after,
                    });
                }
            }
        }
        changes
    }

    /// Returns the table as it was before the edits of `log`, which must end at this revision.
    ///
    /// # Errors
    ///
    /// Fails if the log holds invalid cells.
    pub fn rewind(&self, log: &[LogEntry]) -> Result<Self, EditError> {
        let mut table = self.clone();
        for entry in log.iter().rev() {
            let cells = entry.changes.iter().map(|change| Cell {
                row: change.row.clone(),
                column: change.column,
                value: change.before.clone(),
            });
            let undo = Edit {
                id: entry.edit.clone(),
                who: entry.who.clone(),
                base: table.revision,
                cells: cells.collect(),
            };
            table = undo.with_cells(&table)?;
            table.revision = entry.revision.saturating_sub(1);
        }
        Ok(table)
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: column {}: {:?} becomes {:?}",
            self.row, self.column, self.before, self.after
        )
    }
}

impl fmt::Display for ConflictingCell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: column {}: {:?} was seen, {:?} stands since revision {} by {}",
            self.row, self.column, self.seen, self.current, self.revision, self.who
        )
    }
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid { faults } => write_list(f, "the table would be invalid", faults),
            Self::Conflict { cells } => write_list(f, "others changed the same rows", cells),
            Self::Ahead { base, current } => {
                write!(f, "revision {base} was seen but the table is at {current}")
            }
            Self::Forgotten { base } => {
                write!(f, "the change log does not reach back to revision {base}")
            }
            Self::Unchanged => f.write_str("every cell holds the asked text already"),
        }
    }
}

impl std::error::Error for EditError {}

fn write_list(f: &mut fmt::Formatter<'_>, title: &str, items: &[impl fmt::Display]) -> fmt::Result {
    f.write_str(title)?;
    items.iter().try_for_each(|item| write!(f, "\n  {item}"))
}
