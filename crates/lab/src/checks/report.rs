//! Runs all checks and prints their verdicts.

use std::fmt::Write;

use serde::Serialize;

use super::history::History;
use super::verdict::Verdict;
use super::{
    adoption, answer_identity, at_most_once, credentials, drain, not_run, one_winner, quota_limit,
    quota_refusals, recovery, revision_order, revocation, second_sends, stream_continuity,
    success_backed, survival,
};

/// Largest number of violations printed for one guarantee.
const PRINTED_VIOLATIONS: usize = 5;

/// Verdicts of all checks on one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Verdicts in the order of the checks.
    pub verdicts: Vec<Verdict>,
}

/// Runs every check on `history`.
#[must_use]
pub fn check_all(history: &History) -> Report {
    let checks = [
        at_most_once::check,
        not_run::check,
        answer_identity::check,
        stream_continuity::check,
        success_backed::check,
        credentials::check,
        second_sends::check,
        revision_order::check,
        one_winner::check,
        survival::check,
        revocation::check,
        adoption::check,
        drain::check,
        quota_limit::check,
        quota_refusals::check,
        recovery::check,
    ];
    Report {
        verdicts: checks.iter().map(|check| check(history)).collect(),
    }
}

impl Report {
    /// Returns whether no guarantee was violated.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.verdicts.iter().all(Verdict::holds)
    }

    /// Formats the verdicts as a table, with the first violations of each guarantee.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<58} {:>8} {:>16} {:>10}\n",
            "guarantee", "judged", "worst", "violations"
        );
        for verdict in &self.verdicts {
            let worst = verdict.worst.as_deref().unwrap_or("-");
            let judged = if verdict.judged == 0 {
                "not tried".to_owned()
            } else {
                verdict.judged.to_string()
            };
            let violations = verdict.violations.len();
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:<58} {judged:>9} {worst:>15} {violations:>10}",
                verdict.guarantee
            );
            for violation in verdict.violations.iter().take(PRINTED_VIOLATIONS) {
                let _ = writeln!(text, "    {violation}");
            }
        }
        text
    }
}
