//! Reports of experiments as text tables, JSON and SVG charts.

pub mod chart;
pub mod document;
pub mod table;

pub use chart::{Chart, Series};
pub use document::Report;
pub use table::{Table, number, percent};
