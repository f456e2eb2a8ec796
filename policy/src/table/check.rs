//! Validation of the cells of a table.

use super::{
    Table,
    row::{Column, Key, Kind},
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A cell whose text breaks the rule of its column.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InvalidCell {
    /// Row of the cell.
    pub row: Key,
    /// Column of the cell.
    pub column: Column,
    /// Text of the cell.
    pub value: CompactString,
    /// Rule that the text breaks, phrased to follow "is not".
    pub allowed: CompactString,
}

/// Maximum number of rows in one table.
pub const MAX_ROWS: usize = 20_000;

impl InvalidCell {
    /// Checks the text of one cell; `None` if it is valid.
    pub fn check(row: &Key, column: Column, value: &str) -> Option<Self> {
        rules::broken_rule(row.kind, column, value).map(|allowed| Self {
            row: row.clone(),
            column,
            value: value.into(),
            allowed: allowed.into(),
        })
    }
}

impl fmt::Display for InvalidCell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: column {}: {:?} is not {}",
            self.row, self.column, self.value, self.allowed
        )
    }
}

impl std::error::Error for InvalidCell {}

impl Table {
    /// Returns all invalid cells, and the name of the first row beyond [`MAX_ROWS`].
    pub fn check(&self) -> Vec<InvalidCell> {
        let rows: Vec<_> = self.keys().collect();
        let mut faults: Vec<_> = rows.iter().flat_map(|key| self.check_row(key)).collect();
        if rows.len() > MAX_ROWS {
            faults.push(InvalidCell {
                row: rows[MAX_ROWS].clone(),
                column: Column::Name,
                value: rows[MAX_ROWS].name.clone(),
                allowed: compact_str::format_compact!("one of at most {MAX_ROWS} rows"),
            });
        }
        faults
    }

    fn check_row(&self, key: &Key) -> Vec<InvalidCell> {
        let cells = self.row(key).map(|row| row.cells()).unwrap_or_default();
        InvalidCell::check(key, Column::Name, &key.name)
            .into_iter()
            .chain(
                cells
                    .iter()
                    .filter_map(|(column, text)| InvalidCell::check(key, *column, text)),
            )
            .collect()
    }
}

/// Rules for the text of each column.
pub(super) mod rules {
    use super::{Column, CompactString, Kind};
    use crate::table::row::STAGE_SEPARATOR;

    /// Maximum length of the name of a row or a pool, in bytes.
    const MAX_NAME: usize = 64;
    /// Maximum share, weight and ceiling.
    const MAX_NUMBER: f64 = 1e6;
    /// Maximum absolute value of a priority.
    const MAX_PRIORITY: i32 = 1000;
    /// Maximum number of stages of a pipeline.
    const MAX_STAGES: usize = 16;

    // Texts of the rules, which repeat the limits above and follow "is not" in an error.
    const NAME: &str = "a name of 1 to 64 letters, digits, '-', '_' or '.'";
    const POSITIVE: &str = "a number above 0 and at most 1000000";
    const WEIGHT: &str = "a number from 0 to 1000000";
    const RATE: &str = "blank or a number above 0 and at most 1000000";
    const COUNT: &str = "blank or a whole number from 0 to 1000000";
    const PRIORITY: &str = "a whole number from -1000 to 1000";
    const STAGES: &str = "1 to 16 names of pools, each once, joined by '>'";
    const BLANK: &str = "blank, since rows of this kind have no such column";

    /// Returns the rule that a cell breaks, or `None` if the text is valid.
    ///
    /// Blank cells take the default, except for the name and the stages, which have none.
    pub fn broken_rule(kind: Kind, column: Column, text: &str) -> Option<&'static str> {
        let text = text.trim();
        if !kind.has_column(column) {
            return (!text.is_empty()).then_some(BLANK);
        }
        let optional = text.is_empty() && !matches!(column, Column::Name | Column::Stages);
        let (valid, rule) = match column {
            Column::Name => (is_name(text), NAME),
            Column::Share => (is_number(text, f64::MIN_POSITIVE), POSITIVE),
            Column::Weight => (is_number(text, 0.0), WEIGHT),
            Column::Ceiling if kind == Kind::Target => (is_count(text), COUNT),
            Column::Ceiling => (is_number(text, f64::MIN_POSITIVE), RATE),
            Column::Priority => (is_priority(text), PRIORITY),
            Column::Stages => (is_stage_list(text), STAGES),
        };
        (!optional && !valid).then_some(rule)
    }

    /// Splits the text of a pipeline's stages into names of pools, without checking them.
    pub fn stages(text: &str) -> impl Iterator<Item = CompactString> {
        text.split(STAGE_SEPARATOR).map(|stage| stage.trim().into())
    }

    fn is_name(text: &str) -> bool {
        let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(valid)
    }

    fn is_number(text: &str, min: f64) -> bool {
        text.parse::<f64>()
            .is_ok_and(|number| (min..=MAX_NUMBER).contains(&number))
    }

    fn is_count(text: &str) -> bool {
        text.parse::<u32>()
            .is_ok_and(|count| f64::from(count) <= MAX_NUMBER)
    }

    fn is_priority(text: &str) -> bool {
        text.parse::<i32>()
            .is_ok_and(|priority| (-MAX_PRIORITY..=MAX_PRIORITY).contains(&priority))
    }

    fn is_stage_list(text: &str) -> bool {
        let names: Vec<_> = stages(text).collect();
        let distinct = (1..names.len()).all(|i| !names[..i].contains(&names[i]));
        (1..=MAX_STAGES).contains(&names.len())
            && names.iter().all(|name| is_name(name))
            && distinct
    }
}
