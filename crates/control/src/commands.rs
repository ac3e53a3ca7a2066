//! Commands of the replicated state machines.

use millford_api::command::{Command, command};

/// A command of this kind.
#[must_use]
pub fn command_of(kind: command::Kind) -> Command {
    Command { kind: Some(kind) }
}
