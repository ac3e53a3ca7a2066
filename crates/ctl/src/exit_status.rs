//! Exit statuses of `millfordctl`, as listed in `docs/ERRORS.md`.

use millford_core::ResultCode;

/// Exit status of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command failed for a reason that has no status of its own.
    Failed = 1,
    /// The command line is wrong, or the operator key is missing or unreadable.
    Usage = 2,
    /// The document or order is invalid.
    Faults = 3,
    /// Another order was accepted on the base revision, or the order id was used for another
    /// document.
    Conflict = 4,
    /// No control node could be reached, or none responded in time.
    Unreachable = 5,
    /// No response confirmed the order: it may have been accepted.
    Uncertain = 6,
    /// The operator key was rejected.
    KeyWrong = 7,
    /// There is no such backend, or the recovery was rejected.
    Rejected = 8,
}

impl ExitStatus {
    /// Returns the exit status for a result code.
    #[must_use]
    pub fn of(code: ResultCode) -> Self {
        match code {
            ResultCode::Ok => Self::Success,
            ResultCode::BadArgument => Self::Usage,
            ResultCode::BadJson | ResultCode::BadField | ResultCode::DocumentInvalid => {
                Self::Faults
            }
            ResultCode::RevisionConflict | ResultCode::OrderIdReused => Self::Conflict,
            ResultCode::ServerUnreachable
            | ResultCode::NoLeader
            | ResultCode::ControlTimeout
            | ResultCode::NotFormed => Self::Unreachable,
            ResultCode::OrderUncertain => Self::Uncertain,
            ResultCode::OperatorKeyWrong => Self::KeyWrong,
            ResultCode::BackendUnknown | ResultCode::RecoveryRefused => Self::Rejected,
            _ => Self::Failed,
        }
    }

    /// Returns the number that the process exits with.
    #[must_use]
    pub fn number(self) -> u8 {
        self as u8
    }
}
