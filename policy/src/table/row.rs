//! Rows and columns of the table as operators see them.

use super::{
    Pipeline, Target, Workspace,
    check::{InvalidCell, rules},
};
use compact_str::{CompactString, ToCompactString, format_compact};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt, str::FromStr};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

/// What a row is about.
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
    /// A workspace.
    Workspace,
    /// A pipeline.
    Pipeline,
    /// A target.
    Target,
}

/// A column of the table.
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
    /// Name of the row.
    Name,
    /// Share of a workspace.
    Share,
    /// Weight of a target.
    Weight,
    /// Ceiling of any row.
    Ceiling,
    /// Priority of a workspace or a pipeline.
    Priority,
    /// Pools of a pipeline's stages.
    Stages,
}

/// Names one row; written `workspace/tailors`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Key {
    /// What the row is about.
    pub kind: Kind,
    /// Name of the workspace, pipeline or target.
    pub name: CompactString,
}

/// A text that names no row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyError {
    text: CompactString,
}

/// Cells of one row by column; a blank cell takes the default.
pub type Cells = BTreeMap<Column, CompactString>;

/// One row of any kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Row {
    /// Weights and limits of a workspace.
    Workspace(Workspace),
    /// Weights and limits of a pipeline.
    Pipeline(Pipeline),
    /// Weights and limits of a target.
    Target(Target),
}

/// Separates the stages of a pipeline in its cell.
pub const STAGE_SEPARATOR: char = '>';

impl Kind {
    /// Returns whether rows of this kind have `column`.
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
    /// Creates a key.
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
            "row {:?} is not named as workspace/NAME, pipeline/NAME or target/NAME",
            self.text
        )
    }
}

impl std::error::Error for KeyError {}

impl Row {
    /// Creates a row from the text of its cells.
    ///
    /// # Errors
    ///
    /// Returns every cell that holds what its column does not allow.
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

    /// Creates a row from the JSON value that the platform keeps.
    ///
    /// # Errors
    ///
    /// Fails if the value has not the members of a row of `kind`.
    pub fn from_value(kind: Kind, value: serde_json::Value) -> serde_json::Result<Self> {
        match kind {
            Kind::Workspace => serde_json::from_value(value).map(Self::Workspace),
            Kind::Pipeline => serde_json::from_value(value).map(Self::Pipeline),
            Kind::Target => serde_json::from_value(value).map(Self::Target),
        }
    }

    /// Returns the text of one cell; blank where the row has no value or no such column.
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

    /// Returns the text of all cells but the name.
    pub fn cells(&self) -> Cells {
        Column::iter()
            .filter(|column| *column != Column::Name && self.kind().has_column(*column))
            .map(|column| (column, self.cell(column)))
            .collect()
    }

    /// Returns what the row is about.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Workspace(_) => Kind::Workspace,
            Self::Pipeline(_) => Kind::Pipeline,
            Self::Target(_) => Kind::Target,
        }
    }
}

/// Writes a number without a fraction of zero.
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
