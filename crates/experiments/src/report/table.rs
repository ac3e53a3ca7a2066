//! A table of a report.

use std::fmt::Write;

use serde::Serialize;

/// A titled table of texts; the first column names the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Table {
    /// What the table shows.
    pub title: String,
    /// Names of the columns, with units.
    pub columns: Vec<String>,
    /// Rows of cells.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    #[must_use]
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.iter().map(|column| (*column).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// The table as aligned text.
    #[must_use]
    pub fn to_text(&self) -> String {
        let widths: Vec<usize> = (0..self.columns.len())
            .map(|column| self.width(column))
            .collect();
        let mut text = format!("{}\n", self.title);
        text.push_str(&line(&self.columns, &widths));
        for row in &self.rows {
            text.push_str(&line(row, &widths));
        }
        text
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        let longest = cells.map(String::len).max().unwrap_or(0);
        longest.max(self.columns[column].len())
    }
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let mut text = String::new();
    for (position, (cell, width)) in cells.iter().zip(widths).enumerate() {
        if position == 0 {
            let _ = write!(text, "{cell:<width$}");
        } else {
            let _ = write!(text, "  {cell:>width$}");
        }
    }
    text.truncate(text.trim_end().len());
    text.push('\n');
    text
}

/// A number with so many decimals.
#[must_use]
pub fn number(value: f64, decimals: usize) -> String {
    format!("{value:.decimals$}")
}

/// A share as percent.
#[must_use]
pub fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}
