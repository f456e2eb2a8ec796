//! Plain-text tables for terminals.

use compact_str::{CompactString, ToCompactString};
use std::fmt;

/// Width of the gap between columns, in characters.
const COLUMN_GAP: usize = 2;

/// Rows of text in left-aligned columns, each as wide as its widest cell.
///
/// Widths are counted in `char`s.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Grid {
    rows: Vec<Vec<CompactString>>,
}

impl Grid {
    /// Creates a grid whose first row is `header`.
    pub fn new(header: &[&str]) -> Self {
        Self {
            rows: vec![
                header
                    .iter()
                    .map(ToCompactString::to_compact_string)
                    .collect(),
            ],
        }
    }

    /// Appends a row, which may have more or fewer cells than the others.
    pub fn push(&mut self, row: impl IntoIterator<Item = CompactString>) {
        self.rows.push(row.into_iter().collect());
    }
}

impl fmt::Display for Grid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells
                .map(|cell: &CompactString| cell.chars().count())
                .max()
                .unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(cell);
                let pad = width + COLUMN_GAP - cell.chars().count();
                line.extend(std::iter::repeat_n(' ', pad));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
