//! What operators do from the command line.

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

/// An edit as an operator asks for it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EditOptions {
    /// Operator who asks.
    pub who: CompactString,
    /// Revision that the operator saw; `None` for the newest one.
    pub base: Option<Revision>,
    /// Name of the edit; `None` draws a new one.
    pub id: Option<EditId>,
}

/// Tells what became of a request, from logs that were read.
///
/// # Errors
///
/// Fails if no line names the request.
pub fn explain(request: &str, lines: &[diagnosis::Line]) -> Result<View, Error> {
    let diagnosis = Diagnosis::new(request, lines);
    diagnosis
        .map(View::Diagnosis)
        .ok_or_else(|| Error::NotLogged {
            request: request.into(),
        })
}

/// Shows the table.
///
/// # Errors
///
/// Fails if the platform can't be asked.
pub async fn get(store: &Store) -> Result<View, Error> {
    Ok(View::Table(store.read().await?.table))
}

/// Checks a sheet and says which revision it is based on.
///
/// # Errors
///
/// Fails with all faults of the sheet.
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

/// Shows the cells in which a sheet differs from the table that it is based on.
///
/// # Errors
///
/// Fails if the sheet has faults or the platform can't be asked.
pub async fn diff(store: &Store, sheet: &str) -> Result<View, Error> {
    let sheet = Table::from_csv(sheet).map_err(Error::Sheet)?;
    let base = table_at(store, sheet.revision).await?;
    Ok(View::Changes(base.diff(&sheet)))
}

/// Edits the cells in which a sheet differs from the table that it is based on.
///
/// # Errors
///
/// Fails if the sheet has faults, or the edit is refused or can't be settled.
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

/// Edits single cells, written `workspace/tailors.share=2`.
///
/// # Errors
///
/// Fails if a cell is not written so, or the edit is refused or can't be settled.
pub async fn set(store: &Store, options: EditOptions, cells: &[String]) -> Result<View, Error> {
    let cells: Result<Vec<_>, _> = cells.iter().map(|cell| parse_cell(cell)).collect();
    edit(store, options, cells?).await
}

/// Removes a row.
///
/// # Errors
///
/// Fails as [`set`] does.
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

/// Shows the change log after a revision.
///
/// # Errors
///
/// Fails if the platform can't be asked.
pub async fn log(store: &Store, after: Revision) -> Result<View, Error> {
    Ok(View::Log(store.log(after).await?))
}

async fn edit(store: &Store, options: EditOptions, cells: Vec<Cell>) -> Result<View, Error> {
    let base = match options.base {
        Some(base) => base,
        // On a newer base, an edit that took effect would not be found and take effect again.
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

/// Returns the table of an earlier revision, from the newest one and the change log.
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
