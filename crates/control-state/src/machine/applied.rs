//! Result of applying one committed command.

use millford_api::command::{
    ClaimResult, CommandResult, OpenSessionResult, PutConfigResult, command_result,
};
use millford_api::state::StateItem;
use millford_core::ResultCode;

/// Reply to a command's proposer and the items of the public state that the command changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Reply to the node that proposed the command.
    pub result: CommandResult,
    /// Changed items only; an absent value means that the item was deleted. The items of a
    /// configuration order are sorted by key, those of a catalogue update are in the order of the
    /// update, removals last.
    pub changes: Vec<StateItem>,
}

impl Applied {
    /// Creates a result with a code only.
    pub(crate) fn code(code: ResultCode) -> Self {
        Self::with_kind(code, None)
    }

    /// Creates a successful result with these changes.
    pub(crate) fn changed(changes: Vec<StateItem>) -> Self {
        let mut applied = Self::code(ResultCode::Ok);
        applied.changes = changes;
        applied
    }

    /// Creates the reply to an order that is accepted as `revision`, with these changes.
    pub(crate) fn accepted_order(revision: u64, changes: Vec<StateItem>) -> Self {
        let mut applied = Self::order(ResultCode::Ok, revision, false);
        applied.changes = changes;
        applied
    }

    /// Creates the reply to a resent order that was accepted earlier as `revision`.
    pub(crate) fn repeated_order(revision: u64) -> Self {
        Self::order(ResultCode::Ok, revision, true)
    }

    /// Creates the reply to a refused order; `revision` is the current revision.
    pub(crate) fn refused_order(code: ResultCode, revision: u64) -> Self {
        Self::order(code, revision, false)
    }

    /// Whether this is the reply to an order that was newly accepted, not to a resent one.
    pub(crate) fn is_accepted_order(&self) -> bool {
        let accepted = self.result.code == ResultCode::Ok.number();
        match &self.result.kind {
            Some(command_result::Kind::PutConfig(result)) => accepted && !result.repeated_order,
            _ => false,
        }
    }

    /// Creates the reply to a claim.
    pub(crate) fn claim(result: ClaimResult) -> Self {
        Self::with_kind(ResultCode::Ok, Some(command_result::Kind::Claim(result)))
    }

    /// Creates the reply to an opened session with this epoch.
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
