//! The table as CSV, for editing in a spreadsheet.
//!
//! The first record is the header. A record of kind `revision` holds the revision of the table, and
//! each other record is a row:
//!
//! ```text
//! kind,name,share,weight,ceiling,priority,stages
//! revision,17,,,,,
//! workspace,tailors,2,,40,0,
//! pipeline,fitting,,,,5,encoders>generators
//! ```

use super::{
    Table,
    check::InvalidCell,
    row::{Cells, Column, Key, Kind, Row},
};
use crate::id::Revision;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt, str::FromStr};
use strum::IntoEnumIterator;

/// Name of the column that holds the kind of a row.
const KIND: &str = "kind";

/// Kind of the record that holds the revision.
const REVISION: &str = "revision";

/// Error in a sheet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum SheetError {
    /// A cell is invalid.
    Cell(InvalidCell),
    /// The header has an unknown or duplicate column.
    Column {
        /// Name of the column.
        column: CompactString,
    },
    /// The header lacks the column `kind` or `name`.
    #[serde(rename = "lacking")]
    MissingColumn {
        /// Name of the column.
        column: CompactString,
    },
    /// A record's kind is unknown.
    Kind {
        /// Line of the record.
        line: u64,
        /// Text of the column `kind`.
        value: CompactString,
    },
    /// The revision is not a whole number.
    Revision {
        /// Line of the record.
        line: u64,
        /// Text of the column `name`, which holds the revision.
        value: CompactString,
    },
    /// Two records have the same kind and name.
    Repeated {
        /// Line of the second record.
        line: u64,
        /// Key of the row.
        row: Key,
    },
    /// A record is malformed, or its number of cells is not that of the header.
    Record {
        /// Line of the record; 0 if the reader does not know it.
        line: u64,
    },
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cell(fault) => fault.fmt(f),
            Self::Column { column } => {
                write!(f, "header: column {column:?} is unknown or duplicate")
            }
            Self::MissingColumn { column } => write!(f, "header: column {column:?} is missing"),
            Self::Kind { line, value } => write!(
                f,
                "line {line}: column kind: {value:?} is not workspace, pipeline, target or revision"
            ),
            Self::Revision { line, value } => {
                write!(f, "line {line}: revision {value:?} is not a whole number")
            }
            Self::Repeated { line, row } => write!(f, "line {line}: row {row} is a duplicate"),
            Self::Record { line } => write!(
                f,
                "line {line}: the record is malformed or its number of cells differs from the header"
            ),
        }
    }
}

impl std::error::Error for SheetError {}

impl Table {
    /// Formats the table as CSV, with the revision first.
    pub fn to_csv(&self) -> String {
        let mut text = format_header();
        text.push_str(&format_record(
            REVISION,
            &self.revision.to_string(),
            &Cells::default(),
        ));
        for key in self.keys() {
            let cells = self.row(&key).map(|row| row.cells()).unwrap_or_default();
            text.push_str(&format_record(key.kind.into(), &key.name, &cells));
        }
        text
    }

    /// Parses a table from CSV; the revision is 0 if no record holds it.
    ///
    /// # Errors
    ///
    /// Returns all errors of the header or, if it has none, of the records.
    pub fn from_csv(text: &str) -> Result<Self, Vec<SheetError>> {
        let mut reader = csv::ReaderBuilder::new()
            .trim(csv::Trim::All)
            .from_reader(text.as_bytes());
        let header = match reader.headers() {
            Ok(header) => parse_header(header)?,
            Err(_) => return Err(vec![SheetError::Record { line: 1 }]),
        };
        let mut sheet = SheetReader::default();
        for record in reader.records() {
            sheet.read(&header, record);
        }
        if sheet.faults.is_empty() {
            Ok(sheet.table)
        } else {
            Err(sheet.faults)
        }
    }
}

/// Table read so far, with the errors found.
#[derive(Debug, Default)]
struct SheetReader {
    table: Table,
    seen: BTreeSet<Key>,
    faults: Vec<SheetError>,
}

impl SheetReader {
    fn read(&mut self, header: &[Option<Column>], record: csv::Result<csv::StringRecord>) {
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                let line = error.position().map_or(0, csv::Position::line);
                return self.faults.push(SheetError::Record { line });
            }
        };
        let line = record.position().map_or(0, csv::Position::line);
        let mut kind = "";
        let mut name = "";
        let mut cells = Cells::default();
        for (column, text) in header.iter().zip(&record) {
            match column {
                None => kind = text,
                Some(Column::Name) => name = text,
                Some(column) => drop(cells.insert(*column, text.into())),
            }
        }
        if kind == REVISION {
            self.set_revision(line, name);
        } else if let Ok(kind) = Kind::from_str(kind) {
            self.insert(line, Key::new(kind, name), &cells);
        } else {
            let value = kind.into();
            self.faults.push(SheetError::Kind { line, value });
        }
    }

    fn set_revision(&mut self, line: u64, text: &str) {
        match text.parse::<Revision>() {
            Ok(revision) => self.table.revision = revision,
            Err(_) => self.faults.push(SheetError::Revision {
                line,
                value: text.into(),
            }),
        }
    }

    fn insert(&mut self, line: u64, key: Key, cells: &Cells) {
        if let Some(fault) = InvalidCell::check(&key, Column::Name, &key.name) {
            self.faults.push(SheetError::Cell(fault));
        }
        match Row::from_cells(&key, cells) {
            Ok(row) => self.table.insert(key.name.clone(), row),
            Err(faults) => self.faults.extend(faults.into_iter().map(SheetError::Cell)),
        }
        if !self.seen.insert(key.clone()) {
            self.faults.push(SheetError::Repeated { line, row: key });
        }
    }
}

/// Parses the header; `None` is the column of kinds.
fn parse_header(header: &csv::StringRecord) -> Result<Vec<Option<Column>>, Vec<SheetError>> {
    let mut faults = Vec::new();
    let mut columns: Vec<Option<Column>> = Vec::new();
    for name in header {
        let column = Column::from_str(name).ok();
        if (column.is_none() && name != KIND) || columns.contains(&column) {
            let column = name.into();
            faults.push(SheetError::Column { column });
        }
        columns.push(column);
    }
    for (column, name) in [(None, KIND), (Some(Column::Name), "name")] {
        if !columns.contains(&column) {
            let column = name.into();
            faults.push(SheetError::MissingColumn { column });
        }
    }
    if faults.is_empty() {
        Ok(columns)
    } else {
        Err(faults)
    }
}

fn format_header() -> String {
    let mut text = String::from(KIND);
    for column in Column::iter() {
        text.push(',');
        text.push_str(column.into());
    }
    text.push('\n');
    text
}

fn format_record(kind: &str, name: &str, cells: &Cells) -> String {
    let mut text = format!("{kind},{name}");
    for column in Column::iter().filter(|column| *column != Column::Name) {
        text.push(',');
        text.push_str(cells.get(&column).map_or("", CompactString::as_str));
    }
    text.push('\n');
    text
}
