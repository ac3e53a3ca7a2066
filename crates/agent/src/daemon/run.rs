//! Startup and shutdown of the process.

use std::path::Path;
use std::sync::Arc;

use millford_bounded_io::MemoryLimit;
use millford_core::Duration;
use millford_registry::{HttpRegistry, RegistryAddress, SharedRegistry};
use millford_settings::logging::{self, LogOptions};
use millford_settings::{
    DaemonCommand, Invocation, PartLog, ProcessSignal, ProcessSignals, SettingsReader,
};
use millford_transport::FrameLimits;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinHandle};

use crate::daemon::agent_settings::AgentSettings;
use crate::daemon::driver::{Driver, DriverComponents, send_seeds};
use crate::daemon::event_queues::EventQueues;
use crate::daemon::report::SharedReport;
use crate::daemon::saved_members::SavedMembers;
use crate::daemon::traffic_meter::TrafficMeter;
use crate::daemon::{http_server, local_listener, metrics};
use crate::input::AgentInput;
use crate::options::AgentOptions;

const LOG: PartLog = PartLog::new("AGENT");

/// Capacity of the queue of changes of the proxy's connection.
const PROXY_SENDER_QUEUE_LENGTH: usize = 8;

/// Command line of the program.
pub const COMMAND: DaemonCommand = DaemonCommand {
    program: "millford-agent",
    purpose: "Connects the proxy on this host to the control plane.",
    version: env!("CARGO_PKG_VERSION"),
};

/// Threads of the runtime that serves HTTP and the proxy's connection.
const WORKER_THREADS: usize = 2;

/// Error that prevented the process from starting or from ending cleanly.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// A listen address could not be bound.
    #[error("failed to bind {address}: {source}")]
    #[diagnostic(code(address_in_use_7002))]
    Bind {
        /// Address as given in the settings.
        address: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The data folder could not be created.
    #[error("failed to create the data folder: {0}")]
    #[diagnostic(code(start_failed_7003))]
    DataFolder(#[source] std::io::Error),
    /// Logging could not be initialized.
    #[error("failed to initialize logging: {0}")]
    #[diagnostic(code(start_failed_7003))]
    Log(#[from] spdlog::Error),
    /// Threads, sockets or signal handlers could not be set up.
    #[error("failed to initialize the process: {0}")]
    #[diagnostic(code(start_failed_7003))]
    System(#[from] std::io::Error),
    /// The driver's thread panicked.
    #[error("the driver thread failed: {0}")]
    #[diagnostic(code(start_failed_7003))]
    Driver(#[from] JoinError),
}

/// What the agent reads from outside while it runs.
#[derive(Clone, Default)]
pub struct AgentAdapters {
    /// The service registry; `None` disables reads of it.
    pub registry: Option<SharedRegistry>,
    /// The seeds of the settings as they are now; `None` if they are fixed.
    pub seeds: Option<SettingsReader<Vec<String>>>,
}

impl AgentAdapters {
    /// The default adapters: a registry over HTTP, if the settings have its address, and the seeds of the settings
    /// file that the process was started with.
    #[must_use]
    pub fn of_process(settings: &AgentSettings) -> Self {
        let address = settings.registry_address.as_str();
        let registry = (!address.is_empty()).then(|| -> SharedRegistry {
            let reader = Arc::new(|| settings_of_process().map(|now| now.registry_address));
            Arc::new(HttpRegistry::new(RegistryAddress::following(
                address, reader,
            )))
        });
        Self {
            registry,
            seeds: Some(Arc::new(|| settings_of_process().map(|now| now.seeds))),
        }
    }
}

/// Reads the command line and the settings file of the process again.
fn settings_of_process() -> Option<AgentSettings> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match COMMAND.parse::<AgentSettings>(&arguments) {
        Ok(Invocation::Run(settings)) => Some(settings),
        _ => None,
    }
}

/// Runs the agent until SIGTERM or SIGINT, with the adapters of the process.
///
/// # Errors
/// The process could not start, or its driver failed.
pub fn run(settings: AgentSettings) -> Result<(), StartError> {
    let adapters = AgentAdapters::of_process(&settings);
    run_with(settings, adapters)
}

/// Runs the agent like [`run`], but with the given adapters.
///
/// # Errors
/// The process could not start, or its driver failed.
pub fn run_with(settings: AgentSettings, adapters: AgentAdapters) -> Result<(), StartError> {
    logging::init(LogOptions::new(&settings.log_level, settings.log_format))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings, adapters))
}

async fn serve(settings: AgentSettings, adapters: AgentAdapters) -> Result<(), StartError> {
    let signals = ProcessSignals::install()?;
    let local = bind(&settings.local_address).await?;
    let http = bind(&settings.http_address).await?;
    let local_address = local.local_addr()?;
    let http_address = http.local_addr()?;
    let saved_members = open_saved_members(&settings)?;
    let (queues, events) = EventQueues::new();
    let (proxy_sender, proxy_senders) = mpsc::channel(PROXY_SENDER_QUEUE_LENGTH);
    let meter = Arc::new(TrafficMeter::default());
    let report = SharedReport::default();
    let memory = MemoryLimit::of_megabytes(settings.memory_limit_mb);
    let frame_limits = FrameLimits::of_memory(metrics::NAMESPACE, memory);
    let driver = start_driver(DriverComponents {
        options: agent_options(&settings, saved_members.as_ref(), local_address.to_string()),
        queues: queues.clone(),
        events,
        proxy_senders,
        registry: adapters.registry,
        seeds: adapters.seeds.clone(),
        saved_members,
        meter: Arc::clone(&meter),
        frame_limits: frame_limits.clone(),
        report: report.clone(),
    })?;
    tokio::spawn(local_listener::serve(
        local,
        queues.clone(),
        proxy_sender,
        frame_limits.clone(),
    ));
    tokio::spawn(http_server::serve(http, report, meter, frame_limits.budget));
    tokio::spawn(handle_signals(signals, queues, adapters.seeds));
    println!("millford-agent ready local={local_address} http={http_address}");
    // The driver ends when the proxy no longer needs the agent and the session is closed or closing it timed out.
    let ended = driver.await;
    LOG.info("Stopped.");
    Ok(ended?)
}

/// Starts the driver on its own thread and runtime, so that HTTP requests do not delay it.
fn start_driver(components: DriverComponents) -> Result<JoinHandle<()>, StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(tokio::task::spawn_blocking(move || {
        runtime.block_on(Driver::new(components).run());
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
    let saved = SavedMembers::in_folder(Path::new(&settings.data_folder));
    saved.map(Some).map_err(StartError::DataFolder)
}

fn agent_options(
    settings: &AgentSettings,
    saved: Option<&SavedMembers>,
    address: String,
) -> AgentOptions {
    let members = saved.map(SavedMembers::load).unwrap_or_default();
    let saved_addresses = members.into_iter().map(|member| member.internal_address);
    AgentOptions {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address,
        exchange_address: settings.exchange_address.clone(),
        boot_id: rand::random(),
        control_addresses: saved_addresses
            .chain(settings.seeds.iter().cloned())
            .collect(),
        drain_timeout: Duration::from_millis(settings.drain_timeout_ms),
        random_seed: rand::random(),
    }
}

/// Reads the seeds again on SIGHUP, and stops the agent on SIGTERM or SIGINT.
async fn handle_signals(
    mut signals: ProcessSignals,
    queues: EventQueues,
    seeds: Option<SettingsReader<Vec<String>>>,
) {
    while signals.next().await == ProcessSignal::HangUp {
        reload_seeds(seeds.as_ref(), &queues).await;
    }
    LOG.info(
        "Received a termination signal; shutting down once the proxy no longer needs the agent.",
    );
    queues.send_state(AgentInput::Stop).await;
}

async fn reload_seeds(seeds: Option<&SettingsReader<Vec<String>>>, queues: &EventQueues) {
    LOG.info("Received SIGHUP: reading the seeds again.");
    if let Some(reader) = seeds {
        send_seeds(Arc::clone(reader), queues.clone()).await;
    }
}
