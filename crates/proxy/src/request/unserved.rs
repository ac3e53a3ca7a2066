//! Reasons why a request got no complete answer.

use millford_core::RunState;

use crate::request::refusal::Refusal;

/// Reason why a request ended without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unserved {
    /// The caller gets this refusal.
    Refused(Refusal),
    /// The caller disconnected. The value states whether the request may have run.
    CallerDisconnected(RunState),
}

impl Unserved {
    /// Returns whether a backend may have run the request.
    #[must_use]
    pub fn run_state(&self) -> RunState {
        match self {
            Unserved::Refused(refusal) => refusal.run,
            Unserved::CallerDisconnected(run) => *run,
        }
    }
}

impl From<Refusal> for Unserved {
    fn from(refusal: Refusal) -> Self {
        Unserved::Refused(refusal)
    }
}
