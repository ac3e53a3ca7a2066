//! Exit statuses, as `docs/ERRORS.md` lists them.

use millford_core::ResultCode;

/// Exit status of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Success = 0,
    /// Failed for a reason without a status of its own.
    Failed = 1,
    /// Wrong arguments or settings.
    Usage = 2,
    /// The document or order has faults.
    Faults = 3,
    /// Another order was accepted on this base, or the order id was used before.
    Conflict = 4,
    /// No control node could be reached or answered in time.
    Unreachable = 5,
    /// The order may or may not have been accepted.
    Uncertain = 6,
    /// The operator key was not accepted.
    KeyWrong = 7,
    /// No such backend, or recovery was refused.
    Rejected = 8,
}

impl ExitStatus {
    /// The status for a result.
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

    /// The number that the shell sees.
    #[must_use]
    pub fn number(self) -> u8 {
        self as u8
    }
}
