//! `millford-lab registry`: runs the service registry stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::Options;

use super::backend::wait_for_termination_signal;
use crate::arguments::{parse, value};
use crate::fleet::FleetError;
use crate::registry::RegistryServer;
use crate::registry::store::RegistryDelays;

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
/// The command line is invalid, the address cannot be bound, or a signal handler cannot be installed.
pub async fn run(arguments: &[String]) -> Result<(), FleetError> {
    let mut options = Options::new();
    options.optopt("", "address", "address to listen on", "IP:PORT");
    options.optopt(
        "",
        "show-after-ms",
        "delay until a change is visible in the list",
        "MS",
    );
    options.optopt(
        "",
        "forget-after-ms",
        "time without a report after which a backend is removed",
        "MS",
    );
    let Some(matches) = parse("registry", &mut options, arguments)? else {
        return Ok(());
    };
    let defaults = RegistryDelays::default();
    let visible_after = value(&matches, "show-after-ms", millis(defaults.visible_after))?;
    let expire_after = value(&matches, "forget-after-ms", millis(defaults.expire_after))?;
    let delays = RegistryDelays {
        visible_after: Duration::from_millis(visible_after),
        expire_after: Duration::from_millis(expire_after),
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = value(&matches, "address", any)?;
    let server = RegistryServer::start(address, delays)
        .await
        .map_err(FleetError::io("starting the registry"))?;
    println!("millford-lab-registry ready http={}", server.address());
    wait_for_termination_signal().await
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
