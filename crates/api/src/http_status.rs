//! HTTP status of each numbered result code, the same for callers and operators.

use millford_core::ResultCode;

/// Returns the HTTP status of a response with this result code.
///
/// Codes that only occur inside the control plane or on the command line map to 503, like every
/// code that is not expected in a response to a client.
#[must_use]
pub fn http_status(code: ResultCode) -> u16 {
    match code {
        ResultCode::Ok => 200,
        ResultCode::BadJson
        | ResultCode::BadField
        | ResultCode::BadHeader
        | ResultCode::BodyIncomplete
        | ResultCode::DocumentInvalid
        | ResultCode::RevisionNotAbove => 400,
        ResultCode::KeyMissing | ResultCode::KeyUnknown | ResultCode::OperatorKeyWrong => 401,
        ResultCode::NoRoute
        | ResultCode::ModelUnknown
        | ResultCode::PathUnknown
        | ResultCode::BackendUnknown => 404,
        ResultCode::MethodNotAllowed => 405,
        ResultCode::AlreadyCompleted
        | ResultCode::MayHaveRun
        | ResultCode::AlreadyFailed
        | ResultCode::RevisionConflict
        | ResultCode::OrderIdReused
        | ResultCode::RecoveryRefused => 409,
        ResultCode::BodyTooLarge => 413,
        ResultCode::ContentTypeUnsupported => 415,
        ResultCode::IdempotencyKeyReused => 422,
        ResultCode::QuotaExceeded | ResultCode::StreamLimit => 429,
        ResultCode::HeadersTooLarge => 431,
        ResultCode::BackendLost
        | ResultCode::AnswerMismatch
        | ResultCode::AnswerTruncated
        | ResultCode::StreamOutOfOrder
        | ResultCode::BackendError
        | ResultCode::BackendSilent
        | ResultCode::BackendOverLimit => 502,
        ResultCode::DeadlineBeforeSend
        | ResultCode::DeadlineAfterSend
        | ResultCode::OrderUncertain => 504,
        _ => 503,
    }
}
