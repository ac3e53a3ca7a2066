//! Starts the daemon and shuts it down.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future::BoxFuture;
use millford_bounded_io::MemoryLimit;
use millford_core::ResultCode;
use millford_registry::{ConfirmedEmptyList, HttpRegistry, RegistryAddress, SharedRegistry};
use millford_settings::logging::parse_level;
use millford_settings::{
    DaemonCommand, Invocation, LogOptions, ProcessSignal, ProcessSignals, SettingsReader, logging,
};
use millford_storage::{Disk, FileDisk, StorageError};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::CONTROL;
use super::connections::{Connector, listen};
use super::event::{GatewayEvent, GatewayQueue};
use super::gateway_thread::GatewayThread;
use super::link_bounds::LinkBounds;
use super::operator_http::{self, OperatorPort};
use super::registry_watch;
use super::seed_watch::SeedWatch;
use super::settings::ControlSettings;
use super::shared::NodeShared;
use crate::node::FolderOpener;
use crate::node_input::NodeInput;
use crate::options::ControlOptions;

/// Command line of the program.
pub const COMMAND: DaemonCommand = DaemonCommand {
    program: "millford-control",
    purpose: "Control node of a millford fleet.",
    version: env!("CARGO_PKG_VERSION"),
};

/// Time for the announcement of the shutdown to reach the other control nodes.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(100);

/// Longest time that a shutdown waits for leaderships to be transferred.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Errors that keep the daemon from starting.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// An address is in use, or does not belong to this machine.
    #[error("{code}: {address}: {source}", code = ResultCode::AddressInUse)]
    Bind {
        /// The address from the settings.
        address: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The data folder cannot be used.
    #[error("{code}: data folder: {source}", code = ResultCode::StartFailed)]
    Folder {
        /// The error of the storage.
        source: StorageError,
    },
    /// A thread, a signal handler or the address of a socket is not available.
    #[error("{code}: {source}", code = ResultCode::StartFailed)]
    System {
        /// The error of the operating system.
        #[from]
        source: std::io::Error,
    },
    /// The metrics cannot be registered.
    #[error("{code}: {source}", code = ResultCode::StartFailed)]
    Metrics {
        /// The error of the metrics registry.
        #[from]
        source: prometheus::Error,
    },
}

/// A server of the operator interface that runs on a bound listener until the process exits.
pub type OperatorServer =
    Box<dyn FnOnce(TcpListener, OperatorPort) -> BoxFuture<'static, ()> + Send>;

/// The interfaces of a control node that a deployment may replace by its own.
pub struct ControlAdapters {
    /// The service registry; absent if none is watched.
    pub registry: Option<SharedRegistry>,
    /// The server of the operator interface.
    pub operators: OperatorServer,
    /// The seeds of the settings as they are now; `None` if they are fixed.
    pub seeds: Option<SettingsReader<Vec<String>>>,
}

impl ControlAdapters {
    /// The default interfaces: a registry over HTTP, if the settings have its address, the
    /// operator interface over HTTP, and the seeds of the settings file that the process was started with.
    #[must_use]
    pub fn of_settings(settings: &ControlSettings) -> Self {
        let address = settings.registry_address.as_str();
        let registry = (!address.is_empty()).then(|| -> SharedRegistry {
            let reader = Arc::new(|| settings_of_process().map(|now| now.registry_address));
            Arc::new(HttpRegistry::new(RegistryAddress::following(
                address, reader,
            )))
        });
        Self {
            registry,
            operators: Box::new(|listener, port| operator_http::serve(listener, port).boxed()),
            seeds: Some(Arc::new(|| settings_of_process().map(|now| now.seeds))),
        }
    }
}

/// Reads the command line and the settings file of the process again.
fn settings_of_process() -> Option<ControlSettings> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match COMMAND.parse::<ControlSettings>(&arguments) {
        Ok(Invocation::Run(settings)) => Some(settings),
        _ => None,
    }
}

/// Runs the daemon until SIGTERM or SIGINT.
#[must_use]
pub fn run(settings: ControlSettings) -> ExitCode {
    let adapters = ControlAdapters::of_settings(&settings);
    run_with(settings, adapters)
}

/// As [`run`], with interfaces of the caller's choice.
#[must_use]
pub fn run_with(settings: ControlSettings, adapters: ControlAdapters) -> ExitCode {
    let level = parse_level(&settings.log_level).unwrap_or(spdlog::Level::Info);
    let format = settings.log_format;
    if let Err(error) = logging::init(LogOptions { level, format }) {
        eprintln!("millford-control: failed to initialize logging: {error}");
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(&StartError::from(error)),
    };
    match runtime.block_on(serve(settings, adapters)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_with_error(&error),
    }
}

fn exit_with_error(error: &StartError) -> ExitCode {
    eprintln!("millford-control: {error}");
    ExitCode::FAILURE
}

async fn serve(settings: ControlSettings, adapters: ControlAdapters) -> Result<(), StartError> {
    let mut signals = ProcessSignals::install()?;
    let internal = bind(&settings.internal_address).await?;
    let operator = bind(&settings.operator_address).await?;
    let internal_address = local_address(&internal)?;
    let operator_address = local_address(&operator)?;
    let shared = Arc::new(NodeShared::new()?);
    let (queue, events) = mpsc::channel();
    let limit = MemoryLimit::of_megabytes(settings.memory_limit_mb);
    let bounds = LinkBounds::of_memory(limit);
    let memory = Arc::clone(&bounds.frames.budget);
    shared.register(memory.collectors())?;
    let connector = Connector::new(
        tokio::runtime::Handle::current(),
        queue.clone(),
        bounds.clone(),
    );
    let options = options_of(&settings, &internal_address, &operator_address);
    let folders = open_folders(&settings.data_folder)?;
    let thread = GatewayThread::open(
        options,
        folders,
        events,
        queue.clone(),
        connector,
        shared.clone(),
    );
    let thread = thread.map_err(|source| StartError::Folder { source })?;
    std::thread::Builder::new()
        .name("gateway".to_owned())
        .spawn(move || thread.run())?;
    // Aborted when this function returns, so that a node that has shut down serves no requests.
    let mut tasks = JoinSet::new();
    tasks.spawn(listen(internal, queue.clone(), bounds));
    if let Some(registry) = adapters.registry {
        let registry = ConfirmedEmptyList::wrap(registry);
        let watch = registry_watch::watch(registry, queue.clone(), shared.clone());
        tasks.spawn(watch);
    }
    let port = OperatorPort::new(
        queue.clone(),
        shared.clone(),
        &settings.operator_key_hash,
        memory,
        limit.operator_body_bytes(),
    );
    tasks.spawn((adapters.operators)(operator, port));
    println!("millford-control ready internal={internal_address} operator={operator_address}");
    let mut seeds = SeedWatch::new(adapters.seeds, settings.seeds, queue.clone());
    wait_for_termination(&mut signals, &mut seeds).await;
    shut_down(&queue, &shared).await;
    Ok(())
}

async fn bind(address: &str) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| StartError::Bind {
        address: address.to_owned(),
        source,
    })
}

fn local_address(listener: &TcpListener) -> Result<String, StartError> {
    let address = listener.local_addr()?;
    Ok(address.to_string())
}

fn options_of(settings: &ControlSettings, internal: &str, operator: &str) -> ControlOptions {
    ControlOptions {
        zone: settings.zone.clone(),
        internal_address: internal.to_owned(),
        operator_address: operator.to_owned(),
        seeds: settings.seeds.clone(),
        data_shards: settings.data_shards,
        voters_per_shard: settings.voters_per_shard as usize,
        replace_after: Duration::from_millis(settings.replace_after_ms),
        seed: rand::random(),
    }
}

/// Returns the opener of the node's folders. Opens the node's own folder once, so that an unusable
/// data folder is detected at the start.
fn open_folders(data_folder: &str) -> Result<FolderOpener, StartError> {
    let root = PathBuf::from(data_folder);
    FileDisk::open(root.join(crate::node::NODE_FOLDER))
        .map_err(|source| StartError::Folder { source })?;
    Ok(Arc::new(move |name: &str| -> Box<dyn Disk> {
        match FileDisk::open(root.join(name)) {
            Ok(disk) => Box::new(disk),
            Err(error) => {
                CONTROL.error(format!("Failed to open folder {name}: {error}."));
                super::exit_with(ResultCode::DiskFailed)
            }
        }
    }))
}

/// Waits for SIGTERM or SIGINT. Meanwhile reads the seeds again, at intervals and on SIGHUP.
async fn wait_for_termination(signals: &mut ProcessSignals, seeds: &mut SeedWatch) {
    loop {
        tokio::select! {
            signal = signals.next() => match signal {
                ProcessSignal::Terminate => return,
                ProcessSignal::HangUp => {
                    CONTROL.info("Received SIGHUP: reading the seeds again.");
                    seeds.read().await;
                }
            },
            () = seeds.due() => seeds.read().await,
        }
    }
}

/// Announces the shutdown and transfers leaderships before the exit, so that the other nodes don't have to wait for a
/// standby to replace this node, or for an election timeout.
async fn shut_down(queue: &GatewayQueue, shared: &NodeShared) {
    CONTROL.info("Shutting down: transferring leaderships.");
    let _ = queue.send(GatewayEvent::Input(NodeInput::Shutdown));
    let deadline = Instant::now() + LEADERSHIP_TRANSFER_TIMEOUT;
    tokio::time::sleep(ANNOUNCEMENT_TIME).await;
    while shared.led_shards() > 0 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    CONTROL.info("Shut down.");
}
