//! Why a request earned less than its full worth.

use std::fmt;

use crate::attempt_record::AttemptOutcome;
use crate::decision_record::{DecisionRecord, Ending};

/// The reason, the first that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// All of it in time.
    InTime,
    /// The first event was late and the backend was believed to be busy: more work was in flight there
    /// than the target allows.
    LateBusy,
    /// The first event was late although little was believed to be in flight.
    LateUnforeseen,
    /// The first event was late after an attempt that brought nothing.
    LateAfterRetry,
    /// A gap between events was too long.
    LateGap,
    /// Refused for the tenant's quota.
    OverQuota,
    /// Refused before a backend ran it.
    Refused,
    /// Given up after a backend may have run it.
    Failed,
    /// The backend answered with a failure of its own.
    BackendFailure,
    /// The time was over before the first event.
    TimedOut,
    /// The answer was broken off, its time being over or its backend lost.
    BrokenOff,
    /// The caller left before the first event.
    CallerLeftWaiting,
    /// The caller left in the middle of the answer.
    CallerLeftMidway,
}

impl Verdict {
    /// The verdict on a request.
    #[must_use]
    pub fn of(record: &DecisionRecord) -> Self {
        match record.ending {
            Ending::OverQuota => Verdict::OverQuota,
            Ending::Refused => Verdict::Refused,
            Ending::Failed => Verdict::Failed,
            Ending::BackendFailure => Verdict::BackendFailure,
            Ending::TimedOut => Verdict::TimedOut,
            Ending::BrokenOff => Verdict::BrokenOff,
            Ending::CallerLeft if record.first_bytes_ms.is_none() => Verdict::CallerLeftWaiting,
            Ending::CallerLeft => Verdict::CallerLeftMidway,
            Ending::Complete => Self::of_complete(record),
        }
    }

    /// Share of the request's worth that is lost, when a late answer earns `late_share` of it.
    #[must_use]
    pub fn lost_share(self, late_share: f64) -> f64 {
        match self {
            Verdict::InTime => 0.0,
            Verdict::LateBusy
            | Verdict::LateUnforeseen
            | Verdict::LateAfterRetry
            | Verdict::LateGap => 1.0 - late_share,
            _ => 1.0,
        }
    }

    fn of_complete(record: &DecisionRecord) -> Self {
        let first = record.first_bytes_ms.unwrap_or(record.ended_ms);
        if record.target_ms > 0 && first > record.target_ms {
            return Self::of_late(record);
        }
        if record.gap_target_ms > 0 && record.longest_gap_ms > record.gap_target_ms {
            return Verdict::LateGap;
        }
        Verdict::InTime
    }

    fn of_late(record: &DecisionRecord) -> Self {
        let Some((last, before)) = record.attempts.split_last() else {
            return Verdict::LateUnforeseen;
        };
        let brought_nothing = |outcome| outcome != AttemptOutcome::Answered;
        if before
            .iter()
            .any(|attempt| brought_nothing(attempt.outcome))
        {
            return Verdict::LateAfterRetry;
        }
        if last.believed_work_ms >= f64::from(record.target_ms) / 2.0 {
            return Verdict::LateBusy;
        }
        Verdict::LateUnforeseen
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Verdict::InTime => "in time",
            Verdict::LateBusy => "late, believed busy",
            Verdict::LateUnforeseen => "late, unforeseen",
            Verdict::LateAfterRetry => "late after a retry",
            Verdict::LateGap => "late by a pause",
            Verdict::OverQuota => "over quota",
            Verdict::Refused => "refused",
            Verdict::Failed => "failed",
            Verdict::BackendFailure => "backend failure",
            Verdict::TimedOut => "timed out",
            Verdict::BrokenOff => "broken off",
            Verdict::CallerLeftWaiting => "caller left waiting",
            Verdict::CallerLeftMidway => "caller left midway",
        })
    }
}
