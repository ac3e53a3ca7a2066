//! Journal entry that a bench run writes. Fields that the table does not use are ignored.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;

use super::error::DaysError;

/// Name of the price of the running machines, which no service can avoid.
const MACHINES: &str = "machine-seconds";

/// Journal entry of one bench run.
#[derive(Clone, Debug, Deserialize)]
pub struct JournalEntry {
    /// Id of the run.
    pub id: String,
    /// Command of the bench: `score`, `run`, `hunt` and so on.
    pub cmd: String,
    /// Name of the deployment; absent if the run did not finish.
    #[serde(default)]
    pub site: Option<String>,
    /// Reason why the run did not finish; absent if it did.
    #[serde(default)]
    pub error: Option<String>,
    /// Days that were played; empty if the run did not finish.
    #[serde(default)]
    pub days: Vec<PlayedDay>,
}

/// Results of one day.
#[derive(Clone, Debug, Deserialize)]
pub struct PlayedDay {
    /// Name of the day, with the seed if it is not the default.
    pub name: String,
    /// Value earned by the components, less the prices.
    #[serde(rename = "G")]
    pub value: f64,
    /// Score, from 0 to 1.
    pub score: f64,
    /// Components of the value: name, weight, and share earned.
    #[serde(rename = "parts", default)]
    pub components: Vec<(String, f64, f64)>,
    /// Prices subtracted from the value.
    #[serde(default)]
    pub prices: Vec<Price>,
    /// Broken rules, with the number of violations.
    #[serde(default)]
    pub rules: BTreeMap<String, serde_json::Value>,
    /// A fault of the programs during the day; absent if there was none.
    #[serde(default)]
    pub fault: Option<String>,
}

/// A price: name, amount used, and the value subtracted for it.
#[derive(Clone, Debug, Deserialize)]
pub struct Price(pub String, pub f64, pub f64);

impl JournalEntry {
    /// Reads a journal entry from a file.
    ///
    /// # Errors
    /// The file cannot be read, or is not a journal entry.
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
    /// Returns the value that a perfect service on the same machines would reach.
    #[must_use]
    pub fn maximum_value(&self) -> f64 {
        1.0 - self.price_of(MACHINES)
    }

    /// Returns the share earned by the first component whose name starts with `name`.
    #[must_use]
    pub fn component(&self, name: &str) -> Option<f64> {
        let mut components = self.components.iter();
        let component = components.find(|(component, _, _)| component.starts_with(name))?;
        Some(component.2)
    }

    /// Returns the `count` largest prices, without that of the machines, in descending order.
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
