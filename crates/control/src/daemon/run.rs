//! Starts the daemon and ends it cleanly.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future::BoxFuture;
use millford_core::ResultCode;
use millford_registry::{HttpRegistry, SharedRegistry};
use millford_settings::logging::parse_level;
use millford_settings::{LogOptions, logging};
use millford_storage::{Disk, FileDisk, StorageError};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;

use super::CONTROL;
use super::connections::{Connector, listen};
use super::event::{GatewayEvent, GatewayQueue};
use super::gateway_thread::GatewayThread;
use super::operator_http::{self, OperatorPort};
use super::registry_watch;
use super::settings::ControlSettings;
use super::shared::NodeShared;
use crate::node::FolderOpener;
use crate::node_input::NodeInput;
use crate::options::ControlOptions;

/// Longest time for leaderships to be handed over at the end.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why the daemon could not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// An address is taken or not ours.
    #[error("{code}: {address}: {source}", code = ResultCode::AddressInUse)]
    Bind {
        /// The address.
        address: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The data folder cannot be used.
    #[error("{code}: data folder: {source}", code = ResultCode::StartFailed)]
    Folder {
        /// The storage's error.
        source: StorageError,
    },
    /// The system gives no thread, signal handler or address.
    #[error("{code}: {source}", code = ResultCode::StartFailed)]
    System {
        /// The system's error.
        #[from]
        source: std::io::Error,
    },
    /// The metrics cannot be registered.
    #[error("{code}: {source}", code = ResultCode::StartFailed)]
    Metrics {
        /// The registry's error.
        #[from]
        source: prometheus::Error,
    },
}

/// Serves operators on a bound address until the process ends.
pub type OperatorServer =
    Box<dyn FnOnce(TcpListener, OperatorPort) -> BoxFuture<'static, ()> + Send>;

/// The sides of a control node that a deployment may speak in its own way.
pub struct ControlAdapters {
    /// The service registry, if one is watched.
    pub registry: Option<SharedRegistry>,
    /// The operators' interface.
    pub operators: OperatorServer,
}

impl ControlAdapters {
    /// The product's own interfaces, as the settings name them.
    #[must_use]
    pub fn of_settings(settings: &ControlSettings) -> Self {
        let address = settings.registry_address.as_str();
        let registry = (!address.is_empty()).then(|| -> SharedRegistry {
            let registry = HttpRegistry::new(address);
            Arc::new(registry)
        });
        Self {
            registry,
            operators: Box::new(|listener, port| operator_http::serve(listener, port).boxed()),
        }
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
        eprintln!("millford-control: the log cannot be opened: {error}");
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return failed(&StartError::from(error)),
    };
    match runtime.block_on(serve(settings, adapters)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error),
    }
}

fn failed(error: &StartError) -> ExitCode {
    eprintln!("millford-control: {error}");
    ExitCode::FAILURE
}

async fn serve(settings: ControlSettings, adapters: ControlAdapters) -> Result<(), StartError> {
    let internal = bind(&settings.internal_address).await?;
    let operator = bind(&settings.operator_address).await?;
    let internal_address = local_address(&internal)?;
    let operator_address = local_address(&operator)?;
    let shared = Arc::new(NodeShared::new()?);
    let (queue, events) = mpsc::channel();
    let connector = Connector::new(tokio::runtime::Handle::current(), queue.clone());
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
    // Aborted when this function returns: nobody is served by a node that has shut down.
    let mut tasks = JoinSet::new();
    tasks.spawn(listen(internal, queue.clone()));
    if let Some(registry) = adapters.registry {
        let watch = registry_watch::watch(registry, queue.clone(), shared.clone());
        tasks.spawn(watch);
    }
    let port = OperatorPort::new(queue.clone(), shared.clone(), &settings.operator_key_hash);
    tasks.spawn((adapters.operators)(operator, port));
    println!("millford-control ready internal={internal_address} operator={operator_address}");
    wait_for_end().await?;
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

/// Opens every folder once, so that a folder that cannot be used is found at the start.
fn open_folders(data_folder: &str) -> Result<FolderOpener, StartError> {
    let root = PathBuf::from(data_folder);
    FileDisk::open(root.join(crate::node::NODE_FOLDER))
        .map_err(|source| StartError::Folder { source })?;
    Ok(Arc::new(move |name: &str| -> Box<dyn Disk> {
        match FileDisk::open(root.join(name)) {
            Ok(disk) => Box::new(disk),
            Err(error) => {
                CONTROL.error(format!("Folder {name} cannot be opened: {error}."));
                super::exit_with(ResultCode::DiskFailed)
            }
        }
    }))
}

async fn wait_for_end() -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // A changed settings file takes effect at the next start: members are known from the cluster.
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hang_up.recv() => CONTROL.info("The settings file is read at the next start."),
        }
    }
}

/// Hands leaderships over, so that the others need no election time-out.
async fn shut_down(queue: &GatewayQueue, shared: &NodeShared) {
    CONTROL.info("Shutting down: transferring leaderships.");
    let _ = queue.send(GatewayEvent::Input(NodeInput::Shutdown));
    let limit = Instant::now() + LEADERSHIP_TRANSFER_TIMEOUT;
    while shared.leads() > 0 && Instant::now() < limit {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    CONTROL.info("Shut down.");
}
