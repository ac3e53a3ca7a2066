//! Summary of all runs of a scenario.

use std::fmt;

use crate::checkers::Figures;
use crate::runner::run_report::RunReport;
use crate::scenario::Figure;

/// Counts and worst figures over all runs of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Name of the scenario.
    pub name: String,
    /// Number of runs, one per seed.
    pub seeds: u64,
    /// Number of runs that violated a guarantee.
    pub failed: u64,
    /// Simulated time of all runs, in seconds.
    pub virtual_seconds: u64,
    /// Worst figures over all runs.
    pub figures: Figures,
    /// Failed runs, sorted by seed.
    pub failures: Vec<RunReport>,
}

impl Summary {
    /// Adds the results of a run.
    pub fn add(&mut self, report: RunReport) {
        self.seeds += 1;
        self.figures.merge(&report.results.figures);
        if !report.is_clean() {
            self.failed += 1;
            self.failures.push(report);
            self.failures.sort_by_key(|failure| failure.seed);
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:<28} seeds {:>4}  failed {:>3}  virtual {:>6} s ",
            self.name, self.seeds, self.failed, self.virtual_seconds
        )?;
        for figure in Figure::ALL {
            let Some(value) = self.figures.get(figure) else {
                continue;
            };
            write!(formatter, " {} {value}{}", figure.keyword(), figure.unit())?;
        }
        Ok(())
    }
}
