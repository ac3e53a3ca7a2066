//! The `millford-proxy` program.

use millford_proxy::daemon::run::run;
use millford_proxy::daemon::settings::ProxySettings;
use millford_settings::{DaemonCommand, logging};

const COMMAND: DaemonCommand = DaemonCommand {
    program: "millford-proxy",
    purpose: "Serves callers and relays their requests to the backends.",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> miette::Result<()> {
    let settings: ProxySettings = COMMAND.parse_or_exit();
    if let Err(error) = logging::init(settings.log_options()) {
        eprintln!("millford-proxy: failed to initialize logging: {error}");
    }
    run(&settings)
}
