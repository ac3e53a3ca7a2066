//! The outcome of one committed command.

use millford_api::command::{
    ClaimResult, CommandResult, OpenSessionResult, PutConfigResult, command_result,
};
use millford_api::state::StateItem;
use millford_core::ResultCode;

/// Result for the proposer and the items of the public state that changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Reply to the proposer.
    pub result: CommandResult,
    /// Changed items only; an absent value is a deletion. An order's are in the order of their keys,
    /// a catalogue update's in that of the update, removals last.
    pub changes: Vec<StateItem>,
}

impl Applied {
    /// A result that carries a code only.
    pub(crate) fn code(code: ResultCode) -> Self {
        Self::with_kind(code, None)
    }

    /// Success with these changes.
    pub(crate) fn changed(changes: Vec<StateItem>) -> Self {
        let mut applied = Self::code(ResultCode::Ok);
        applied.changes = changes;
        applied
    }

    /// Reply to an order that is accepted now, with these changes.
    pub(crate) fn accepted_order(revision: u64, changes: Vec<StateItem>) -> Self {
        let mut applied = Self::order(ResultCode::Ok, revision, false);
        applied.changes = changes;
        applied
    }

    /// Reply to an order that was accepted earlier as `revision`.
    pub(crate) fn repeated_order(revision: u64) -> Self {
        Self::order(ResultCode::Ok, revision, true)
    }

    /// Reply to a refused order; `revision` is the current one.
    pub(crate) fn refused_order(code: ResultCode, revision: u64) -> Self {
        Self::order(code, revision, false)
    }

    /// Whether this is the reply to an order that was accepted now, not earlier.
    pub(crate) fn is_accepted_order(&self) -> bool {
        let accepted = self.result.code == ResultCode::Ok.number();
        match &self.result.kind {
            Some(command_result::Kind::PutConfig(result)) => accepted && !result.repeated_order,
            _ => false,
        }
    }

    /// Reply to a claim.
    pub(crate) fn claim(result: ClaimResult) -> Self {
        Self::with_kind(ResultCode::Ok, Some(command_result::Kind::Claim(result)))
    }

    /// Reply to an opened session.
    pub(crate) fn session(epoch: u64) -> Self {
        let result = OpenSessionResult { epoch };
        Self::with_kind(
            ResultCode::Ok,
            Some(command_result::Kind::OpenSession(result)),
        )
    }

    fn order(code: ResultCode, revision: u64, repeated_order: bool) -> Self {
        let result = PutConfigResult {
            revision,
            repeated_order,
        };
        Self::with_kind(code, Some(command_result::Kind::PutConfig(result)))
    }

    fn with_kind(code: ResultCode, kind: Option<command_result::Kind>) -> Self {
        let result = CommandResult {
            code: code.number(),
            kind,
        };
        Self {
            result,
            changes: Vec::new(),
        }
    }
}
