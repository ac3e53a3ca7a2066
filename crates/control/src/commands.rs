//! Construction of commands for the replicated state machines.

use millford_api::command::{Command, command};

/// Wraps a kind of command in a [`Command`].
#[must_use]
pub fn command_of(kind: command::Kind) -> Command {
    Command { kind: Some(kind) }
}
