//! The entry that a bench run writes, as far as the account reads it.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;

use super::error::DaysError;

/// Price of the machines that run: what no service can save.
const MACHINES: &str = "machine-seconds";

/// One run.
#[derive(Clone, Debug, Deserialize)]
pub struct JournalEntry {
    /// Number of the run.
    pub id: String,
    /// The verb: `score`, `run`, `hunt` and so on.
    pub cmd: String,
    /// The deployment, where the run came to its end.
    #[serde(default)]
    pub site: Option<String>,
    /// Why the run did not come to its end.
    #[serde(default)]
    pub error: Option<String>,
    /// The days that were played.
    #[serde(default)]
    pub days: Vec<PlayedDay>,
}

/// One day.
#[derive(Clone, Debug, Deserialize)]
pub struct PlayedDay {
    /// Name, with the seed where it is not the usual one.
    pub name: String,
    /// What the day was worth, less prices.
    #[serde(rename = "G")]
    pub worth: f64,
    /// Mark between 0 and 1.
    pub score: f64,
    /// Components of the worth: name, weight, share earned.
    #[serde(rename = "parts", default)]
    pub components: Vec<(String, f64, f64)>,
    /// Prices taken off.
    #[serde(default)]
    pub prices: Vec<Price>,
    /// Broken rules and how often.
    #[serde(default)]
    pub rules: BTreeMap<String, serde_json::Value>,
    /// A fault of the programs.
    #[serde(default)]
    pub fault: Option<String>,
}

/// A price: name, amount, and what it takes off the worth.
#[derive(Clone, Debug, Deserialize)]
pub struct Price(pub String, pub f64, pub f64);

impl JournalEntry {
    /// Reads an entry.
    ///
    /// # Errors
    /// The file cannot be read, or is no entry.
    pub fn read(path: &Path) -> Result<Self, DaysError> {
        let text = std::fs::read(path).map_err(|source| DaysError::Input {
            path: path.to_owned(),
            source,
        })?;
        serde_json::from_slice(&text).map_err(|source| DaysError::Unreadable {
            path: path.to_owned(),
            source,
        })
    }
}

impl PlayedDay {
    /// What a perfect service on the same machines would be worth.
    #[must_use]
    pub fn maximum_worth(&self) -> f64 {
        1.0 - self.price_of(MACHINES)
    }

    /// Share that a component earned; a component is identified by a prefix of its name.
    #[must_use]
    pub fn component(&self, name: &str) -> Option<f64> {
        let mut components = self.components.iter();
        let component = components.find(|(component, _, _)| component.starts_with(name))?;
        Some(component.2)
    }

    /// The largest prices beside that of the machines.
    #[must_use]
    pub fn largest_prices(&self, count: usize) -> Vec<&Price> {
        let others = self.prices.iter();
        let mut others: Vec<&Price> = others.filter(|price| price.0 != MACHINES).collect();
        others.sort_by(|left, right| right.2.total_cmp(&left.2));
        others.truncate(count);
        others
    }

    fn price_of(&self, name: &str) -> f64 {
        let mut prices = self.prices.iter();
        prices.find(|price| price.0 == name).map_or(0.0, |it| it.2)
    }
}
