//! Why a request got no complete answer.

use millford_core::RunState;

use crate::request::refusal::Refusal;

/// Why a request ended without an answer, or without the end of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unserved {
    /// It is refused.
    Refused(Refusal),
    /// The caller disconnected; whether the request may have run.
    CallerDisconnected(RunState),
}

impl Unserved {
    /// Whether a backend may have run the request.
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
