//! Plain-text tables with aligned columns.

use std::fmt;

/// Spaces between columns.
const COLUMN_GAP: usize = 2;

/// Table with a heading row. Each column is as wide as its widest cell.
#[derive(Debug, Clone)]
pub struct Table {
    /// Heading, then the added rows.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the given column names and no rows.
    pub fn new<const N: usize>(heading: [&str; N]) -> Self {
        Self { rows: vec![heading.map(str::to_owned).to_vec()] }
    }

    pub fn push_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    fn column_width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.column_width(column) + COLUMN_GAP;
                line.push_str(&format!("{cell:width$}"));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
