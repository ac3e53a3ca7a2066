//! Summary of the days played by runs of the users' bench, from the journal entries that the runs write.
//!
//! The value of a day is what its components earned, less prices. Its maximum is the value that a perfect
//! service would reach: one less the price of the machines that must run. The difference between the two,
//! and the components and prices that cause it, show what to improve next.

pub mod day_row;
pub mod error;
pub mod journal_entry;

pub use day_row::DayRow;
pub use error::DaysError;
pub use journal_entry::{JournalEntry, PlayedDay, Price};
