//! Operator commands behind `gwictl`.

pub mod diagnosis;
mod error;
mod grid;
mod operator;
mod view;

pub use self::{
    diagnosis::Diagnosis,
    error::{Error, ExitStatus},
    grid::Grid,
    operator::OperatorClient,
    view::View,
};

use crate::table::Store;
use compact_str::{CompactString, format_compact};
use policy::{
    id::Revision,
    table::{
        Table,
        check::InvalidCell,
        edit::{Cell, Edit, EditId},
        row::{Column, Key},
    },
};
use std::time::{SystemTime, UNIX_EPOCH};
use strum::IntoEnumIterator;

/// Author, base revision and identifier of an edit.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EditOptions {
    /// Operator's name, as recorded in the change log.
    pub who: CompactString,
    /// Revision that the edit is based on; `None` for the latest one.
    pub base: Option<Revision>,
    /// Identifier of the edit, which makes a repeated edit idempotent; `None` generates one.
    ///
    /// An explicit identifier requires `base`.
    pub id: Option<EditId>,
}

/// Diagnoses the outcome of a request from parsed log lines.
///
/// # Errors
///
/// Fails with [`Error::NotLogged`] if no line belongs to the request.
pub fn explain(request: &str, lines: &[diagnosis::Line]) -> Result<View, Error> {
    let diagnosis = Diagnosis::new(request, lines);
    diagnosis
        .map(View::Diagnosis)
        .ok_or_else(|| Error::NotLogged {
            request: request.into(),
        })
}

/// Returns the current table.
///
/// # Errors
///
/// Fails if the platform is unavailable or holds an invalid row.
pub async fn get(store: &Store) -> Result<View, Error> {
    Ok(View::Table(store.read().await?.table))
}

/// Validates a sheet, without access to the platform.
///
/// # Errors
///
/// Fails with all syntax errors of the sheet, or else with all of its invalid cells.
pub fn check(sheet: &str) -> Result<View, Error> {
    let table = Table::from_csv(sheet).map_err(Error::Sheet)?;
    let faults = table.check();
    if faults.is_empty() {
        Ok(View::Checked {
            revision: table.revision,
            rows: table.keys().count(),
        })
    } else {
        Err(Error::Invalid(faults))
    }
}

/// Returns the cells that differ between a sheet and the table revision that it is based on.
///
/// # Errors
///
/// Fails if the sheet can't be parsed, the platform is unavailable or its change log is invalid.
pub async fn diff(store: &Store, sheet: &str) -> Result<View, Error> {
    let sheet = Table::from_csv(sheet).map_err(Error::Sheet)?;
    let base = table_at(store, sheet.revision).await?;
    Ok(View::Changes(base.diff(&sheet)))
}

/// Applies the differences between a sheet and the table revision that it is based on.
///
/// The base revision is taken from the sheet; `options.base` is ignored.
///
/// # Errors
///
/// Fails if the sheet can't be parsed, the platform is unavailable, the edit is refused, or its
/// result is unknown.
pub async fn apply(store: &Store, options: EditOptions, sheet: &str) -> Result<View, Error> {
    let sheet = Table::from_csv(sheet).map_err(Error::Sheet)?;
    let base = table_at(store, sheet.revision).await?;
    let cells = base.diff(&sheet).into_iter().map(|change| Cell {
        row: change.row,
        column: change.column,
        value: change.after,
    });
    let options = EditOptions {
        base: Some(sheet.revision),
        ..options
    };
    edit(store, options, cells.collect()).await
}

/// Edits single cells, each given as `workspace/tailors.share=2`.
///
/// # Errors
///
/// Fails if a cell is malformed or invalid, `options` has an identifier but no base, the platform
/// is unavailable, the edit is refused, or its result is unknown.
pub async fn set(store: &Store, options: EditOptions, cells: &[String]) -> Result<View, Error> {
    let cells: Result<Vec<_>, _> = cells.iter().map(|cell| parse_cell(cell)).collect();
    edit(store, options, cells?).await
}

/// Removes a row by clearing all of its cells.
///
/// # Errors
///
/// Fails if the key is malformed, and otherwise under the same conditions as [`set`].
pub async fn remove(store: &Store, options: EditOptions, row: &str) -> Result<View, Error> {
    let row: Key = row.parse().map_err(Error::MalformedKey)?;
    let kind = row.kind;
    let columns =
        Column::iter().filter(|column| *column != Column::Name && kind.has_column(*column));
    let cells = columns.map(|column| Cell {
        row: row.clone(),
        column,
        value: CompactString::default(),
    });
    edit(store, options, cells.collect()).await
}

/// Returns the change log entries after a revision, oldest first.
///
/// # Errors
///
/// Fails if the platform is unavailable or holds an invalid row.
pub async fn log(store: &Store, after: Revision) -> Result<View, Error> {
    Ok(View::Log(store.log(after).await?))
}

async fn edit(store: &Store, options: EditOptions, cells: Vec<Cell>) -> Result<View, Error> {
    let base = match options.base {
        Some(base) => base,
        // A retry on a newer base would miss the entry of the first attempt in the change log and
        // apply the edit twice.
        None if options.id.is_some() => return Err(Error::MissingFlag { flag: "--base" }),
        None => store.read().await?.table.revision,
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_ms = now.map_or(0, |now| now.as_millis() as u64);
    let random = || format_compact!("{:016x}", rand::random::<u64>());
    let edit = Edit {
        id: options.id.unwrap_or_else(random),
        who: options.who,
        base,
        cells,
    };
    let entry = store.edit(&edit, at_ms).await?;
    Ok(View::Accepted(entry))
}

/// Reconstructs the table at an earlier revision by undoing the change log from the latest one.
async fn table_at(store: &Store, revision: Revision) -> Result<Table, Error> {
    let table = store.read().await?.table;
    let mut log = store.log(revision).await?;
    log.retain(|entry| entry.revision <= table.revision);
    Ok(table.rewind(&log).map_err(crate::table::Error::Refused)?)
}

fn parse_cell(text: &str) -> Result<Cell, Error> {
    let malformed = || Error::MalformedCell { text: text.into() };
    let (place, value) = text.split_once('=').ok_or_else(malformed)?;
    let (row, column) = place.rsplit_once('.').ok_or_else(malformed)?;
    let row: Key = row.parse().map_err(Error::MalformedKey)?;
    let column: Column = column.parse().map_err(|_unknown| malformed())?;
    if column == Column::Name {
        return Err(malformed());
    }
    let value = value.trim();
    match InvalidCell::check(&row, column, value) {
        Some(fault) => Err(Error::Invalid(vec![fault])),
        None => Ok(Cell {
            row,
            column,
            value: value.into(),
        }),
    }
}
