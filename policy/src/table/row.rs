//! Rows and columns of the table as text.

use super::{
    Pipeline, Target, Workspace,
    check::{InvalidCell, rules},
};
use compact_str::{CompactString, ToCompactString, format_compact};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt, str::FromStr};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

/// Kind of a row.
///
/// The order of the variants is the order of rows in a sheet.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Limits of a workspace.
    Workspace,
    /// Stages and limits of a pipeline.
    Pipeline,
    /// Limits of a target.
    Target,
}

/// Column of the table.
///
/// The order of the variants is the order of columns in a sheet.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Column {
    /// Name of the workspace, pipeline or target.
    Name,
    /// [`Workspace::share`].
    Share,
    /// [`Target::weight`].
    Weight,
    /// Requests per second of a workspace or a pipeline; calls in flight of a target.
    Ceiling,
    /// [`Workspace::priority`] or [`Pipeline::priority`].
    Priority,
    /// [`Pipeline::stages`], joined by [`STAGE_SEPARATOR`].
    Stages,
}

/// Key of one row, written as in `workspace/tailors`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Key {
    /// Kind of the row; rows of different kinds may have the same name.
    pub kind: Kind,
    /// Name of the workspace, pipeline or target; not validated.
    pub name: CompactString,
}

/// Error of parsing a [`Key`]: the text has no `/` or an unknown kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyError {
    text: CompactString,
}

/// Texts of the cells of one row by column; a blank or missing cell takes the default.
pub type Cells = BTreeMap<Column, CompactString>;

/// Row of any kind, without its name.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Row {
    /// Row of [`Kind::Workspace`].
    Workspace(Workspace),
    /// Row of [`Kind::Pipeline`].
    Pipeline(Pipeline),
    /// Row of [`Kind::Target`].
    Target(Target),
}

/// Separator of the pools in the cell of a pipeline's stages.
pub const STAGE_SEPARATOR: char = '>';

impl Kind {
    /// Returns whether rows of this kind have `column`; its cell must be blank otherwise.
    pub fn has_column(self, column: Column) -> bool {
        match column {
            Column::Name | Column::Ceiling => true,
            Column::Share => self == Self::Workspace,
            Column::Weight => self == Self::Target,
            Column::Priority => self != Self::Target,
            Column::Stages => self == Self::Pipeline,
        }
    }
}

impl Key {
    /// Creates a key without validating the name.
    pub fn new(kind: Kind, name: impl Into<CompactString>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        text.split_once('/')
            .and_then(|(kind, name)| Some(Self::new(Kind::from_str(kind).ok()?, name)))
            .ok_or_else(|| KeyError { text: text.into() })
    }
}

impl TryFrom<CompactString> for Key {
    type Error = KeyError;

    fn try_from(text: CompactString) -> Result<Self, KeyError> {
        text.parse()
    }
}

impl From<Key> for CompactString {
    fn from(key: Key) -> Self {
        key.to_compact_string()
    }
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "row {:?} is not of the form workspace/NAME, pipeline/NAME or target/NAME",
            self.text
        )
    }
}

impl std::error::Error for KeyError {}

impl Row {
    /// Parses a row from the texts of its cells.
    ///
    /// # Errors
    ///
    /// Returns all invalid cells.
    pub fn from_cells(key: &Key, cells: &Cells) -> Result<Self, Vec<InvalidCell>> {
        let faults: Vec<_> = cells
            .iter()
            .filter_map(|(column, text)| InvalidCell::check(key, *column, text))
            .collect();
        if !faults.is_empty() {
            return Err(faults);
        }
        let cell = |column| cells.get(&column).map_or("", |text| text.trim());
        Ok(match key.kind {
            Kind::Workspace => Self::Workspace(Workspace {
                share: cell(Column::Share).parse().unwrap_or(1.0),
                ceiling: cell(Column::Ceiling).parse().ok(),
                priority: cell(Column::Priority).parse().unwrap_or(0),
            }),
            Kind::Pipeline => Self::Pipeline(Pipeline {
                stages: rules::stages(cell(Column::Stages)).collect(),
                priority: cell(Column::Priority).parse().unwrap_or(0),
                ceiling: cell(Column::Ceiling).parse().ok(),
            }),
            Kind::Target => Self::Target(Target {
                weight: cell(Column::Weight).parse().unwrap_or(1.0),
                ceiling: cell(Column::Ceiling).parse().ok(),
            }),
        })
    }

    /// Deserializes a row from the JSON value that the platform stores.
    ///
    /// # Errors
    ///
    /// Fails if the value is not that of a row of `kind`.
    pub fn from_value(kind: Kind, value: serde_json::Value) -> serde_json::Result<Self> {
        match kind {
            Kind::Workspace => serde_json::from_value(value).map(Self::Workspace),
            Kind::Pipeline => serde_json::from_value(value).map(Self::Pipeline),
            Kind::Target => serde_json::from_value(value).map(Self::Target),
        }
    }

    /// Returns the text of one cell; blank if the row has no value or no such column.
    pub fn cell(&self, column: Column) -> CompactString {
        match (self, column) {
            (Self::Workspace(row), Column::Share) => format_number(row.share),
            (Self::Workspace(row), Column::Ceiling) => {
                row.ceiling.map(format_number).unwrap_or_default()
            }
            (Self::Workspace(row), Column::Priority) => row.priority.to_compact_string(),
            (Self::Pipeline(row), Column::Stages) => join_stages(&row.stages),
            (Self::Pipeline(row), Column::Ceiling) => {
                row.ceiling.map(format_number).unwrap_or_default()
            }
            (Self::Pipeline(row), Column::Priority) => row.priority.to_compact_string(),
            (Self::Target(row), Column::Weight) => format_number(row.weight),
            (Self::Target(row), Column::Ceiling) => row
                .ceiling
                .map(f64::from)
                .map(format_number)
                .unwrap_or_default(),
            _ => CompactString::default(),
        }
    }

    /// Returns the texts of all cells but the name, for the columns that the row has.
    pub fn cells(&self) -> Cells {
        Column::iter()
            .filter(|column| *column != Column::Name && self.kind().has_column(*column))
            .map(|column| (column, self.cell(column)))
            .collect()
    }

    /// Returns the kind that the row's key must have.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Workspace(_) => Kind::Workspace,
            Self::Pipeline(_) => Kind::Pipeline,
            Self::Target(_) => Kind::Target,
        }
    }
}

/// Formats a number, without a fraction if it is whole.
fn format_number(value: f64) -> CompactString {
    format_compact!("{value}")
}

fn join_stages(stages: &[CompactString]) -> CompactString {
    let mut text = CompactString::default();
    for stage in stages {
        if !text.is_empty() {
            text.push(STAGE_SEPARATOR);
        }
        text.push_str(stage);
    }
    text
}
