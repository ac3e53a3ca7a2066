//! `millford-control`: the daemon of a control node.

use std::process::ExitCode;

use millford_control::daemon::run::COMMAND;
use millford_control::daemon::{ControlSettings, run};

fn main() -> ExitCode {
    let settings: ControlSettings = COMMAND.parse_or_exit();
    run(settings)
}
