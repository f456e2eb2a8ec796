//! Text in columns, for a terminal.

use compact_str::{CompactString, ToCompactString};
use std::fmt;

/// Space between two columns.
const COLUMN_GAP: usize = 2;

/// Rows of text whose columns are as wide as their widest cell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Grid {
    rows: Vec<Vec<CompactString>>,
}

impl Grid {
    /// Creates a grid with a header.
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

    /// Adds a row.
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
