//! `millford-lab registry`: the service registry stand-in as a process.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::Options;

use super::backend::wait_for_end;
use crate::arguments::{parse, value};
use crate::fleet::FleetError;
use crate::registry::RegistryServer;
use crate::registry::store::RegistryDelays;

/// Runs until SIGTERM or SIGINT.
///
/// # Errors
/// A bad command line, an address that cannot be bound, or a signal handler that cannot be installed.
pub async fn run(arguments: &[String]) -> Result<(), FleetError> {
    let mut options = Options::new();
    options.optopt("", "address", "address to listen on", "IP:PORT");
    options.optopt("", "show-after-ms", "delay before a change is listed", "MS");
    options.optopt(
        "",
        "forget-after-ms",
        "silence before a backend is dropped",
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
    wait_for_end().await
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
