//! `millford-lab backend`: runs one emulated backend.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use getopts::{Matches, Options};
use tokio::signal::unix::{SignalKind, signal};

use crate::arguments::{ArgumentError, optional, parse, value};
use crate::emulator::registration::{deregister, keep_registered};
use crate::emulator::{BackendKind, BackendOptions, BackendServer};
use crate::fleet::{FleetError, SitePlan};

/// Exit status of a command that was interrupted by SIGTERM or SIGINT.
pub const INTERRUPTED_STATUS: u8 = 130;

/// Serves until SIGTERM or SIGINT, then deregisters the backend.
///
/// # Errors
/// The command line is invalid, the address cannot be bound, the execution log cannot be opened, or a signal
/// handler cannot be installed.
pub async fn run(arguments: &[String]) -> Result<(), FleetError> {
    let mut options = Options::new();
    options.optopt("", "id", "identity in the registry", "TEXT");
    options.optopt("", "zone", "zone reported to the registry", "TEXT");
    options.optopt("", "kind", "kind of work", "model|lookup");
    options.optopt("", "address", "address to listen on", "IP:PORT");
    options.optopt("", "registry", "address of the registry", "IP:PORT");
    options.optopt(
        "",
        "execution-log",
        "file that executions are appended to",
        "FILE",
    );
    options.optopt("", "cores", "processor cores", "NUMBER");
    options.optopt("", "bandwidth", "memory bandwidth in GB/s", "NUMBER");
    options.optopt(
        "",
        "speed",
        "factor on the speed of the cost model",
        "NUMBER",
    );
    let Some(matches) = parse("backend", &mut options, arguments)? else {
        return Ok(());
    };
    let backend = backend_options(&matches)?;
    let registry = backend.registry;
    let server = BackendServer::start(backend)
        .await
        .map_err(FleetError::io("starting the backend"))?;
    let state = Arc::clone(server.state());
    println!("millford-lab-backend ready http={}", server.address());
    let Some(registry) = registry else {
        return wait_for_termination_signal().await;
    };
    let registering = tokio::spawn(keep_registered(
        Arc::clone(&state),
        registry,
        server.address(),
    ));
    wait_for_termination_signal().await?;
    registering.abort();
    deregister(&state, registry).await;
    Ok(())
}

fn backend_options(matches: &Matches) -> Result<BackendOptions, ArgumentError> {
    let kind = match matches.opt_str("kind").as_deref() {
        None | Some("model") => BackendKind::Model,
        Some("lookup") => BackendKind::Lookup,
        Some(other) => {
            return Err(ArgumentError::UnknownChoice {
                option: "kind",
                value: other.to_owned(),
            });
        }
    };
    let id: String = value(matches, "id", "backend".to_owned())?;
    let defaults = BackendOptions::standalone(&id, kind);
    Ok(BackendOptions {
        address: value::<SocketAddr>(matches, "address", defaults.address)?,
        zone: value(matches, "zone", defaults.zone)?,
        declarations: match kind {
            BackendKind::Model => SitePlan::model_declarations(),
            BackendKind::Lookup => SitePlan::lookup_declarations(),
        },
        cores: value(matches, "cores", defaults.cores)?,
        bandwidth_gbps: value(matches, "bandwidth", defaults.bandwidth_gbps)?,
        registry: optional(matches, "registry")?,
        execution_log: optional::<PathBuf>(matches, "execution-log")?,
        speed: value(matches, "speed", defaults.speed)?,
        id,
        kind,
    })
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// [`FleetError::Io`] when the signal handler cannot be installed.
pub async fn wait_for_termination_signal() -> Result<(), FleetError> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(FleetError::io("listening for SIGTERM"))?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}
