//! Outcome of one attempt at sending a request to one control node.

use hyper::StatusCode;
use millford_api::operator::ErrorBody;
use millford_core::ResultCode;
use serde::de::DeserializeOwned;

use crate::failure::Failure;

/// Outcome of one attempt.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// The node responded with a success status. Contains the response's body.
    Succeeded(Vec<u8>),
    /// The node responded with a failure status.
    Rejected(Failure),
    /// No connection was established, so the node did not receive the request. Contains the reason.
    NotSent(String),
    /// The request was sent but no complete response arrived, so the node may have executed it.
    /// Contains the reason.
    ResponseLost(String),
}

impl AttemptOutcome {
    /// Classifies an HTTP response by its status. A failure without a valid error body becomes
    /// [`ResultCode::ProtocolViolation`].
    #[must_use]
    pub fn from_response(status: StatusCode, body: Vec<u8>) -> Self {
        if status.is_success() {
            return Self::Succeeded(body);
        }
        match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(error) => Self::Rejected(Failure::from_body(error)),
            Err(_) => Self::Rejected(malformed_response()),
        }
    }

    /// Returns whether the node may have executed the request although the attempt did not succeed.
    #[must_use]
    pub fn may_have_executed(&self) -> bool {
        match self {
            Self::ResponseLost(_) => true,
            Self::Rejected(failure) => matches!(
                failure.code,
                ResultCode::OrderUncertain | ResultCode::ControlTimeout
            ),
            Self::Succeeded(_) | Self::NotSent(_) => false,
        }
    }
}

/// Decodes the body of a successful response.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|_| malformed_response())
}

fn malformed_response() -> Failure {
    Failure::with_message(
        ResultCode::ProtocolViolation,
        "the response is not from a control node of this release; check the address and the versions",
    )
}
