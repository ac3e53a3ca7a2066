//! `millford-lab backend`: one emulated backend as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use getopts::{Matches, Options};
use tokio::signal::unix::{SignalKind, signal};

use crate::arguments::{ArgumentError, optional, parse, value};
use crate::emulator::registration::{keep_registered, leave};
use crate::emulator::{BackendKind, BackendOptions, BackendServer};
use crate::fleet::{FleetError, SitePlan};

/// Exit status of a command that was ended by a signal.
pub const INTERRUPTED_STATUS: u8 = 130;

/// Runs until SIGTERM or SIGINT, then deregisters.
///
/// # Errors
/// A bad command line, an address that cannot be bound, or a signal handler that cannot be installed.
pub async fn run(arguments: &[String]) -> Result<(), FleetError> {
    let mut options = Options::new();
    options.optopt("", "id", "identity in the registry", "TEXT");
    options.optopt("", "zone", "zone", "TEXT");
    options.optopt("", "kind", "kind of work", "model|lookup");
    options.optopt("", "address", "address to listen on", "IP:PORT");
    options.optopt("", "registry", "address of the registry", "IP:PORT");
    options.optopt("", "execution-log", "file of executions", "FILE");
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
        return wait_for_end().await;
    };
    let registering = tokio::spawn(keep_registered(
        Arc::clone(&state),
        registry,
        server.address(),
    ));
    wait_for_end().await?;
    registering.abort();
    leave(&state, registry).await;
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
pub async fn wait_for_end() -> Result<(), FleetError> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(FleetError::io("listening for SIGTERM"))?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}
