//! A day as a line of a table.

use std::fmt;

use super::journal_entry::{JournalEntry, PlayedDay};

/// Prices that a line names.
const PRICES_NAMED: usize = 3;

/// Prices below this are noise.
const SMALLEST_PRICE: f64 = 0.001;

/// Head of the table, in Markdown.
pub const HEAD: &str = "| entry | day | score | worth | ceiling | worst windows | worst kind | largest other prices | broken |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// One line.
#[derive(Clone, Debug)]
pub struct DayRow<'a> {
    entry: &'a JournalEntry,
    day: &'a PlayedDay,
}

impl<'a> DayRow<'a> {
    /// The lines of an entry.
    pub fn all_of(entry: &'a JournalEntry) -> impl Iterator<Item = DayRow<'a>> {
        entry.days.iter().map(move |day| DayRow { entry, day })
    }

    /// Whether the day is this far below its maximum, or broke a rule.
    #[must_use]
    pub fn is_selected(&self, below: f64) -> bool {
        let missing = self.day.maximum_worth() - self.day.worth;
        missing >= below || !self.broken().is_empty()
    }

    fn prices(&self) -> String {
        let prices = self.day.largest_prices(PRICES_NAMED);
        let worth_naming = prices.iter().filter(|price| price.2 >= SMALLEST_PRICE);
        let texts: Vec<String> = worth_naming
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
            self.day.worth,
            self.day.maximum_worth(),
            component("worst windows"),
            component("worst class"),
            self.prices(),
            self.broken(),
        )
    }
}
