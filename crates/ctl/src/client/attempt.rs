//! How one attempt with one control node ended.

use millford_api::operator::ErrorBody;
use millford_core::ResultCode;
use serde::de::DeserializeOwned;

use crate::failure::Failure;

/// End of an attempt.
#[derive(Clone, Debug)]
pub enum Attempt {
    /// The node answered with success.
    Answered(Vec<u8>),
    /// The node answered with a refusal or failure.
    Refused(Failure),
    /// No connection: the node did not get the request.
    NotSent(String),
    /// The answer was lost: the node may have got the request.
    Lost(String),
}

impl Attempt {
    /// An answer with its HTTP status.
    #[must_use]
    pub fn of_answer(success: bool, body: Vec<u8>) -> Self {
        if success {
            return Self::Answered(body);
        }
        match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(error) => Self::Refused(Failure::of_body(error)),
            Err(_) => Self::Refused(unreadable()),
        }
    }

    /// Whether another node, or the same one later, may do better.
    #[must_use]
    pub fn is_passing(&self) -> bool {
        match self {
            Self::Answered(_) => false,
            Self::NotSent(_) | Self::Lost(_) => true,
            Self::Refused(failure) => matches!(
                failure.code,
                ResultCode::NoLeader
                    | ResultCode::NotLeader
                    | ResultCode::ControlTimeout
                    | ResultCode::NotFormed
                    | ResultCode::OrderUncertain
            ),
        }
    }

    /// Whether the node may have carried out the request all the same.
    #[must_use]
    pub fn may_have_worked(&self) -> bool {
        match self {
            Self::Lost(_) => true,
            Self::Refused(failure) => matches!(
                failure.code,
                ResultCode::OrderUncertain | ResultCode::ControlTimeout
            ),
            Self::Answered(_) | Self::NotSent(_) => false,
        }
    }
}

/// Reads the body of a successful answer.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|_| unreadable())
}

fn unreadable() -> Failure {
    Failure::with_message(
        ResultCode::ProtocolViolation,
        "the answer is not one of a control node; check the address and the releases",
    )
}
