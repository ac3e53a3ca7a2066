//! Report of a chaos run.

use std::path::Path;

use serde::Serialize;

use super::driver::InjectedFault;
use crate::checks::{History, Report};
use crate::fleet::FleetError;
use crate::workload::Figures;

/// Report of a chaos run.
#[derive(Clone, Debug, Serialize)]
pub struct ChaosReport {
    /// Name of the site.
    pub site: &'static str,
    /// Seed of the random choice of faults.
    pub seed: u64,
    /// Requested duration of the run.
    pub minutes: f64,
    /// Injected faults, in their order.
    pub faults: Vec<InjectedFault>,
    /// Summary of the requests.
    pub figures: Figures,
    /// Verdict on each guarantee.
    #[serde(rename = "promises")]
    pub guarantees: Report,
}

/// Writes the complete history to a file as JSON, to investigate violations.
///
/// # Errors
/// [`FleetError::Io`] when the file cannot be written.
pub fn write_history(history: &History, path: &Path) -> Result<(), FleetError> {
    let text = serde_json::to_vec(history).unwrap_or_default();
    std::fs::write(path, text).map_err(FleetError::io("writing the history"))
}

impl ChaosReport {
    /// Prints the report and also writes it to the file `json`, if given.
    ///
    /// # Errors
    /// [`FleetError::Io`] when the file cannot be written.
    pub fn publish(&self, json: Option<&Path>) -> Result<(), FleetError> {
        println!(
            "\n{} faults at {}, seed {}\n",
            self.faults.len(),
            self.site,
            self.seed
        );
        println!("{}", self.figures.text());
        println!("{}", self.guarantees.table());
        let Some(path) = json else {
            return Ok(());
        };
        let text = serde_json::to_vec_pretty(self).unwrap_or_default();
        std::fs::write(path, text).map_err(FleetError::io("writing the report"))
    }
}
