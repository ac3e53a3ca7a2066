//! Row of the table of days.

use std::fmt;

use super::journal_entry::{JournalEntry, PlayedDay};

/// Largest number of prices in a row.
const PRICES_NAMED: usize = 3;

/// Smallest price that is listed; smaller ones are not significant.
const SMALLEST_PRICE: f64 = 0.001;

/// Header of the table, in Markdown.
pub const HEAD: &str = "| entry | day | score | value | maximum | worst windows | worst kind | largest other prices | broken |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Row of the table for one day of a journal entry.
#[derive(Clone, Debug)]
pub struct DayRow<'a> {
    entry: &'a JournalEntry,
    day: &'a PlayedDay,
}

impl<'a> DayRow<'a> {
    /// Returns one row for each day of an entry.
    pub fn all_of(entry: &'a JournalEntry) -> impl Iterator<Item = DayRow<'a>> {
        entry.days.iter().map(move |day| DayRow { entry, day })
    }

    /// Returns whether the day's value is at least `below` under its maximum, or a rule was broken.
    #[must_use]
    pub fn is_selected(&self, below: f64) -> bool {
        let missing = self.day.maximum_value() - self.day.value;
        missing >= below || !self.broken().is_empty()
    }

    fn prices(&self) -> String {
        let prices = self.day.largest_prices(PRICES_NAMED);
        let significant = prices.iter().filter(|price| price.2 >= SMALLEST_PRICE);
        let texts: Vec<String> = significant
            .map(|price| format!("{} {:.3}", price.0, price.2))
            .collect();
        texts.join(", ")
    }

    fn broken(&self) -> String {
        let rules = self.day.rules.keys().cloned();
        let all: Vec<String> = rules.chain(self.day.fault.clone()).collect();
        all.join(", ")
    }
}

impl fmt::Display for DayRow<'_> {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let site = self.entry.site.as_deref().unwrap_or("?");
        let component = |name| {
            let share = self.day.component(name);
            share.map_or(String::new(), |share| format!("{share:.2}"))
        };
        write!(
            to,
            "| {} | {site} {} | {:.2} | {:.3} | {:.3} | {} | {} | {} | {} |",
            self.entry.id,
            self.day.name,
            self.day.score,
            self.day.value,
            self.day.maximum_value(),
            component("worst windows"),
            component("worst class"),
            self.prices(),
            self.broken(),
        )
    }
}
