//! Tables of a report and the formatting of their cells.

use std::fmt::Write;

use serde::Serialize;

/// A titled table of formatted cells. The first column names the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Table {
    /// Title above the table.
    pub title: String,
    /// Names of the columns, with units.
    pub columns: Vec<String>,
    /// Cells of each row, in the order of the columns.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
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

    /// Formats the table as text with aligned columns.
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

/// Formats a number with the given number of decimals.
#[must_use]
pub fn number(value: f64, decimals: usize) -> String {
    format!("{value:.decimals$}")
}

/// Formats a share between 0 and 1 as a percentage.
#[must_use]
pub fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}
