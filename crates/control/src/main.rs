//! `millford-control`: the daemon of a control node.

use std::process::ExitCode;

use millford_control::daemon::{ControlSettings, run};
use millford_settings::DaemonCommand;

const COMMAND: DaemonCommand = DaemonCommand {
    program: "millford-control",
    purpose: "Control node of a millford fleet.",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    let settings: ControlSettings = COMMAND.parse_or_exit();
    run(settings)
}
