//! Account of days that were played at the users' bench, from the entries that its runs write.
//!
//! A day's worth is what its components earned less prices. Its maximum is what a perfect service would be worth:
//! one less the price of the machines that must run. The distance between the two, and the components and prices
//! that make it up, say what to mend next.

pub mod day_row;
pub mod error;
pub mod journal_entry;

pub use day_row::DayRow;
pub use error::DaysError;
pub use journal_entry::{JournalEntry, PlayedDay, Price};
