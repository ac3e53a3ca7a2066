//! Start and end of the process.

use std::sync::Arc;

use millford_registry::{HttpRegistry, SharedRegistry};
use millford_settings::logging::{self, LogOptions, parse_level};
use millford_settings::{DaemonCommand, PartLog};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::daemon::agent_settings::AgentSettings;
use crate::daemon::driver::{Driver, DriverComponents};
use crate::daemon::event_queues::EventQueues;
use crate::daemon::report::SharedReport;
use crate::daemon::saved_members::SavedMembers;
use crate::daemon::traffic_meter::TrafficMeter;
use crate::daemon::{http_server, local_listener};
use crate::input::AgentInput;
use crate::options::AgentOptions;

const LOG: PartLog = PartLog::new("AGENT");

/// Changes of the proxy's connection that may wait.
const OUTLETS_LENGTH: usize = 8;

/// Command line of the program.
pub const COMMAND: DaemonCommand = DaemonCommand {
    program: "millford-agent",
    purpose: "Keeps the link between a proxy and the control plane.",
    version: env!("CARGO_PKG_VERSION"),
};

/// Why the process could not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("{address} cannot be bound: {source}")]
    #[diagnostic(code(address_in_use_7002))]
    Bind {
        /// Address as given.
        address: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The data folder cannot be used.
    #[error("the data folder cannot be used: {0}")]
    #[diagnostic(code(start_failed_7003))]
    DataFolder(std::io::Error),
    /// Threads, logs or signal handlers cannot be set up.
    #[error("the process cannot be set up: {0}")]
    #[diagnostic(code(start_failed_7003))]
    Setup(String),
}

/// Runs the agent until it is told to stop.
///
/// # Errors
/// Fails when the process cannot start.
pub fn run(settings: AgentSettings) -> Result<(), StartError> {
    let address = settings.registry_address.as_str();
    let registry = (!address.is_empty()).then(|| -> SharedRegistry {
        let registry = HttpRegistry::new(address);
        Arc::new(registry)
    });
    run_with(settings, registry)
}

/// As [`run`], with a registry of the caller's choice.
///
/// # Errors
/// Fails when the process cannot start.
pub fn run_with(
    settings: AgentSettings,
    registry: Option<SharedRegistry>,
) -> Result<(), StartError> {
    let level = parse_level(&settings.log_level).unwrap_or(spdlog::Level::Info);
    let format = settings.log_format;
    logging::init(LogOptions { level, format }).map_err(setup_error)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(setup_error)?;
    runtime.block_on(serve(settings, registry))
}

async fn serve(
    settings: AgentSettings,
    registry: Option<SharedRegistry>,
) -> Result<(), StartError> {
    let local = bind(&settings.local_address).await?;
    let http = bind(&settings.http_address).await?;
    let local_address = local.local_addr().map_err(setup_error)?;
    let http_address = http.local_addr().map_err(setup_error)?;
    let saved_members = open_saved_members(&settings)?;
    let (queues, sources) = EventQueues::new();
    let (outlet_sender, outlets) = mpsc::channel(OUTLETS_LENGTH);
    let meter = Arc::new(TrafficMeter::default());
    let report = SharedReport::default();
    let parts = DriverComponents {
        options: options_of(&settings, saved_members.as_ref(), local_address.to_string()),
        queues: queues.clone(),
        sources,
        outlets,
        registry,
        saved_members,
        meter: Arc::clone(&meter),
        report: report.clone(),
    };
    let driver = start_driver(parts)?;
    tokio::spawn(local_listener::serve(local, queues.clone(), outlet_sender));
    tokio::spawn(http_server::serve(http, report, meter));
    stop_on_signal(queues)?;
    println!("millford-agent ready local={local_address} http={http_address}");
    // The thread ends when the session is closed or the time for that is over.
    let ended = driver.await;
    LOG.info("Stopped.");
    ended.map_err(setup_error)
}

/// The driver has a thread of its own, with nothing of the HTTP server on it.
fn start_driver(parts: DriverComponents) -> Result<tokio::task::JoinHandle<()>, StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(setup_error)?;
    Ok(tokio::task::spawn_blocking(move || {
        runtime.block_on(Driver::new(parts).run());
    }))
}

async fn bind(address: &str) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Bind {
        address: address.to_owned(),
        source,
    })
}

fn open_saved_members(settings: &AgentSettings) -> Result<Option<SavedMembers>, StartError> {
    if settings.data_folder.is_empty() {
        return Ok(None);
    }
    let folder = std::path::Path::new(&settings.data_folder);
    let saved = SavedMembers::in_folder(folder).map_err(StartError::DataFolder)?;
    Ok(Some(saved))
}

fn options_of(
    settings: &AgentSettings,
    saved: Option<&SavedMembers>,
    address: String,
) -> AgentOptions {
    let kept = saved.map(SavedMembers::load).unwrap_or_default();
    let kept = kept.into_iter().map(|member| member.internal_address);
    AgentOptions {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address,
        exchange_address: settings.exchange_address.clone(),
        boot_id: rand::random(),
        control_addresses: kept.chain(settings.seeds.iter().cloned()).collect(),
        random_seed: rand::random(),
    }
}

fn stop_on_signal(queues: EventQueues) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(setup_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(setup_error)?;
    // A changed settings file takes effect at the next start: members are learned from the feed.
    let mut hang_up = signal(SignalKind::hangup()).map_err(setup_error)?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hang_up.recv() => LOG.info("The settings file is read at the next start."),
            }
        }
        LOG.info("Told to stop.");
        queues.state(AgentInput::Stop).await;
    });
    Ok(())
}

fn setup_error(error: impl std::fmt::Display) -> StartError {
    StartError::Setup(error.to_string())
}
