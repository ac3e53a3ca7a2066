//! The `millford-forward` daemon: the forwarding proxy with Millford's own headers.

use millford_forward::{ForwardSettings, MillfordProtocol, run};
use millford_settings::{DaemonCommand, logging};

const COMMAND: DaemonCommand = DaemonCommand {
    program: "millford-forward",
    purpose: "Forwards callers' HTTP requests to the backends.",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> miette::Result<()> {
    let settings: ForwardSettings = COMMAND.parse_or_exit();
    if let Err(error) = logging::init(settings.log_options()) {
        eprintln!("millford-forward: failed to initialize logging: {error}");
    }
    run(&settings, MillfordProtocol)
}
