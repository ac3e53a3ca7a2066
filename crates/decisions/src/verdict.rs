//! Verdict on a request: why it lost all or part of its value.

use std::fmt;

use crate::attempt_record::AttemptOutcome;
use crate::decision_record::{DecisionRecord, Ending};

/// Reason for the loss of value of a request: the first one that applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// No loss: the response was complete and met its targets.
    InTime,
    /// The first bytes were late and the backend was expected to be busy: its estimated work in flight
    /// was at least half of the target.
    LateBusy,
    /// The first bytes were late although the estimated work in flight was small.
    LateUnforeseen,
    /// The first bytes were late after an earlier attempt without a response.
    LateAfterRetry,
    /// A gap within the response was longer than its target.
    LateGap,
    /// Refused because of the tenant's quota.
    OverQuota,
    /// Refused before any backend ran it.
    Refused,
    /// Failed after a backend may have run it.
    Failed,
    /// The backend's own response had an error status.
    BackendFailure,
    /// The deadline passed before the response began.
    TimedOut,
    /// The response was aborted after it had begun, because the deadline passed, the backend was lost or a resumed
    /// stream skipped an event.
    BrokenOff,
    /// The caller disconnected before the first bytes.
    CallerLeftWaiting,
    /// The caller disconnected during the response.
    CallerLeftMidway,
}

impl Verdict {
    /// Determines the verdict on a request.
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

    /// Returns the share of a request's value that is lost, from 0 to 1. A late response keeps
    /// `late_share` of its value.
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
        let has_no_response = |outcome| outcome != AttemptOutcome::Answered;
        if before
            .iter()
            .any(|attempt| has_no_response(attempt.outcome))
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
