//! Result of a run.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

use crate::checks::{Rule, Violation};
use crate::history::{Ending, History, MachineEvent, OrderState};

/// Violations that are printed for each rule.
const PRINTED_VIOLATIONS: usize = 6;

/// What a run did and which rules broke.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Everything that was recorded.
    pub history: History,
    /// Breaks of rules.
    pub violations: Vec<Violation>,
    /// Folder with the logs, if it was kept.
    pub kept: Option<PathBuf>,
}

impl SoakReport {
    /// Whether every rule held.
    #[must_use]
    pub fn held(&self) -> bool {
        self.violations.is_empty()
    }

    fn answered(&self) -> usize {
        let requests = self.history.requests.iter();
        requests
            .filter(|request| matches!(request.ending, Ending::Answered(_)))
            .count()
    }

    fn acknowledged(&self) -> usize {
        let orders = self.history.orders.iter();
        orders
            .filter(|order| matches!(order.state, OrderState::Acknowledged(_)))
            .count()
    }

    /// Most memory of a process that ran at the end, in MB.
    fn most_memory_mb(&self) -> u64 {
        let peaks = self.history.memory.iter().map(|peak| peak.bytes);
        peaks.max().unwrap_or(0) / (1024 * 1024)
    }

    fn events(&self, kind: MachineEvent) -> usize {
        let events = self.history.machines.iter();
        events.filter(|(_, _, event)| *event == kind).count()
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.held() { "held" } else { "BROKEN" };
        write!(
            formatter,
            "seed {}: {verdict}; {} requests, {} answered, {} runs, {} configurations acknowledged; \
             {} SIGTERM, {} SIGKILL, {} stops, {} starts; at most {} MB",
            self.seed,
            self.history.requests.len(),
            self.answered(),
            self.history.runs.len(),
            self.acknowledged(),
            self.events(MachineEvent::Terminated),
            self.events(MachineEvent::Killed),
            self.events(MachineEvent::Frozen),
            self.events(MachineEvent::Started),
            self.most_memory_mb(),
        )?;
        let mut by_rule: BTreeMap<Rule, Vec<&Violation>> = BTreeMap::new();
        for violation in &self.violations {
            by_rule.entry(violation.rule).or_default().push(violation);
        }
        for (rule, violations) in by_rule {
            write!(formatter, "\n  {rule:?}: {}", violations.len())?;
            for violation in violations.iter().take(PRINTED_VIOLATIONS) {
                write!(formatter, "\n    {violation}")?;
            }
        }
        if let Some(folder) = &self.kept {
            write!(formatter, "\n  logs: {}", folder.display())?;
        }
        Ok(())
    }
}
