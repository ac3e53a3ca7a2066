//! Runs one soak: starts the deployment, disturbs it by the plan, lets it recover and checks what was seen.

use std::path::Path;
use std::time::Duration;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::bounds::RECOVERY;
use crate::checks::violations;
use crate::configuration::FAULTY_SERVICE;
use crate::deployment::deploy_file::DeployFileError;
use crate::deployment::settings_file::MachineSettings;
use crate::deployment::{
    ControlMachines, DeployFile, FrontMachine, Network, ProcessError, SeedList,
};
use crate::drivers::{BackendDriver, drive_control, drive_front, start_backend};
use crate::history::Recorder;
use crate::options::SoakOptions;
use crate::plan::{SoakPlan, timeline};
use crate::report::SoakReport;
use crate::stand_ins::http::connect;
use crate::stand_ins::operator::NewestGeneration;
use crate::stand_ins::{
    Backend, BackendList, ClientKind, Clients, Operator, ScriptedAnswer, ScriptedBackend,
    ask_faulty,
};

/// File in a kept folder with the events of machines and orders.
const TIMELINE_FILE: &str = "timeline.txt";
/// Number of backends.
const BACKENDS: usize = 4;
/// Time within which every proxy machine must serve after the first start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(25);
/// Time that the run goes on after the recovery.
const AFTER_RECOVERY: Duration = Duration::from_secs(4);
/// Range of the pause between two configurations, in milliseconds.
const CHANGE_PAUSE_MS: (u64, u64) = (300, 2500);
/// Interval between two reads of the configuration.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Requests of all proxy machines together in a second that the range of pauses aims at.
const REQUESTS_PER_SECOND: u64 = 300;
/// Shortest pause between two requests of one client, in milliseconds.
const MIN_PAUSE_MS: u64 = 20;
/// Clients of each faulty backend at each proxy machine.
const FAULTY_CLIENTS: usize = 2;
/// Zones of the proxy machines, one after the other.
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];
/// Streams of random numbers of the tasks beside the plan, counted from the last.
const OPERATOR_TIMELINE: u64 = u64::MAX - 10;
const READER_TIMELINE: u64 = u64::MAX - 11;
const NETWORK_TIMELINE: u64 = u64::MAX - 12;

/// What each proxy machine's clients send.
const CLIENT_KINDS: [ClientKind; 4] = [
    ClientKind::Probes,
    ClientKind::Probes,
    ClientKind::Unsafe,
    ClientKind::Streams,
];

/// Reason why a run could not be played.
#[derive(Debug, Error)]
pub enum SoakError {
    /// The deploy file cannot be used.
    #[error(transparent)]
    DeployFile(#[from] DeployFileError),
    /// A process cannot be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A folder or socket of the stand-ins cannot be made.
    #[error("cannot set up the stand-ins: {0}")]
    SetUp(#[from] std::io::Error),
    /// A proxy machine was not ready in time.
    #[error("proxy machine {0} did not serve in time")]
    NotReady(usize),
}

/// Plays the plan of the seed.
///
/// # Errors
/// The run could not be played.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let plan = SoakPlan::draw(options.seed, options.fronts, options.controls);
    run_plan(options, plan).await
}

/// Plays a plan.
///
/// # Errors
/// The run could not be played.
pub async fn run_plan(options: &SoakOptions, plan: SoakPlan) -> Result<SoakReport, SoakError> {
    let folder = tempfile::Builder::new()
        .prefix("millford-soak-")
        .tempdir()?;
    let soak = Soak::start(options, folder.path()).await?;
    let recorder = soak.recorder.clone();
    soak.play(options, plan).await?;
    let history = std::mem::take(&mut *recorder.lock());
    let violations = violations(&history);
    let kept = match &options.keep {
        Some(parent) if !violations.is_empty() => {
            std::fs::write(folder.path().join(TIMELINE_FILE), history.timeline())?;
            Some(keep(folder, parent, options.seed)?)
        }
        _ => None,
    };
    Ok(SoakReport {
        seed: options.seed,
        history,
        violations,
        kept,
    })
}

fn keep(
    folder: tempfile::TempDir,
    parent: &Path,
    seed: u64,
) -> Result<std::path::PathBuf, std::io::Error> {
    std::fs::create_dir_all(parent)?;
    let target = parent.join(format!("seed-{seed}"));
    let _ = std::fs::remove_dir_all(&target);
    let source = folder.keep();
    std::fs::rename(&source, &target).map_or(Ok(source), |()| Ok(target))
}

/// A running deployment with its stand-ins.
pub(crate) struct Soak {
    pub(crate) recorder: Recorder,
    pub(crate) network: Network,
    seeds: SeedList,
    pub(crate) list: BackendList,
    backends: Vec<Backend>,
    pub(crate) control: ControlMachines,
    pub(crate) fronts: Vec<FrontMachine>,
    newest: NewestGeneration,
    /// Tasks of the stand-ins, which end when the value is dropped.
    pub(crate) background: JoinSet<()>,
}

impl Soak {
    pub(crate) async fn start(options: &SoakOptions, folder: &Path) -> Result<Self, SoakError> {
        let deploy = DeployFile::read(&options.deploy_file, &options.programs)?;
        let (network, listener) = Network::draw(&mut timeline(options.seed, NETWORK_TIMELINE))?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let recorder = Recorder::default();
        let seeds = SeedList::default();
        let list = BackendList::default();
        let mut background = JoinSet::new();
        let served = list.clone();
        background.spawn(async move { served.serve(listener).await });
        let control = ControlMachines::new(
            options.controls,
            deploy.control.clone(),
            network,
            folder,
            seeds.clone(),
            recorder.clone(),
        );
        let front = |index: usize| {
            let settings = MachineSettings::front(network, index, ZONES[index % ZONES.len()]);
            let programs = deploy.front.clone();
            FrontMachine::new(
                index,
                programs,
                settings,
                folder.to_owned(),
                seeds.clone(),
                recorder.clone(),
            )
        };
        let fronts = (0..options.fronts).map(front).collect();
        let mut soak = Self {
            recorder,
            network,
            seeds,
            list,
            backends: Vec::new(),
            control,
            fronts,
            newest: NewestGeneration::default(),
            background,
        };
        soak.start_processes().await?;
        soak.configure(options.seed).await;
        soak.wait_until_ready().await?;
        Ok(soak)
    }

    async fn start_processes(&mut self) -> Result<(), SoakError> {
        for number in 0..BACKENDS {
            let backend = start_backend(number, self.network, &self.recorder, &self.list).await?;
            self.backends.push(backend);
        }
        self.control.start_all()?;
        for front in &mut self.fronts {
            front.start(true)?;
        }
        Ok(())
    }

    async fn configure(&self, seed: u64) {
        let put = self.operator(seed, OPERATOR_TIMELINE);
        let _ = tokio::time::timeout(STARTUP_TIMEOUT, async move {
            let mut operator = put;
            operator.put_first().await;
        })
        .await;
    }

    fn operator(&self, seed: u64, number: u64) -> Operator {
        Operator {
            seeds: self.seeds.clone(),
            recorder: self.recorder.clone(),
            newest: self.newest.clone(),
            random: timeline(seed, number),
        }
    }

    async fn wait_until_ready(&self) -> Result<(), SoakError> {
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        for index in 0..self.fronts.len() {
            while !is_ready(self.network.readiness(index)).await {
                if Instant::now() > deadline {
                    return Err(SoakError::NotReady(index));
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Plays the plan, then the recovery.
    async fn play(mut self, options: &SoakOptions, plan: SoakPlan) -> Result<(), SoakError> {
        self.start_clients(options);
        let faulty = self.start_faulty(options, &plan.faulty).await?;
        let mut changes = self.operator(options.seed, OPERATOR_TIMELINE);
        self.background
            .spawn(async move { changes.change(CHANGE_PAUSE_MS).await });
        let mut reader = self.operator(options.seed, READER_TIMELINE);
        self.background.spawn(async move {
            loop {
                reader.read().await;
                sleep(READ_INTERVAL).await;
            }
        });
        let until = Instant::now() + options.disruption;
        let mut drivers = JoinSet::new();
        for (front, steps) in self.fronts.drain(..).zip(plan.fronts) {
            drivers.spawn(drive_front(front, steps, until));
        }
        let backends = BackendDriver {
            backends: std::mem::take(&mut self.backends),
            list: self.list.clone(),
            network: self.network,
            recorder: self.recorder.clone(),
        };
        let backends = tokio::spawn(backends.drive(plan.backends, until));
        let control = drive_control(&mut self.control, plan.control, until).await;
        let mut fronts = Vec::new();
        while let Some(driven) = drivers.join_next().await {
            fronts.push(driven.map_err(std::io::Error::other)??);
        }
        control?;
        let backends = backends.await.map_err(std::io::Error::other)??;
        sleep_until(until).await;
        let calm_since = self.recorder.now();
        {
            let mut history = self.recorder.lock();
            history.calm_since = calm_since;
            history.control_servers = self.control.operator_addresses();
        }
        sleep(RECOVERY + AFTER_RECOVERY).await;
        self.background.abort_all();
        for front in &mut fronts {
            front.record_memory();
            front.record_own_ends();
        }
        self.control.record_memory();
        self.control.record_own_ends();
        drop(backends);
        drop(faulty);
        Ok(())
    }

    /// Starts the faulty backends and their clients.
    async fn start_faulty(
        &mut self,
        options: &SoakOptions,
        answers: &[ScriptedAnswer],
    ) -> Result<Vec<ScriptedBackend>, SoakError> {
        let mut started = Vec::new();
        for (number, answer) in answers.iter().enumerate() {
            let host = self.network.backend(0);
            let id = format!("faulty-{number}");
            let backend = ScriptedBackend::start(id, host, *answer).await?;
            self.list
                .add_to(FAULTY_SERVICE, &backend.id, backend.address);
            started.push(backend);
            for front in 0..options.fronts {
                let address = self.network.caller(front);
                for client in 0..FAULTY_CLIENTS {
                    self.background
                        .spawn(ask_faulty(address, answer.path(), client));
                }
            }
        }
        Ok(started)
    }

    fn start_clients(&mut self, options: &SoakOptions) {
        let clients = options.fronts * CLIENT_KINDS.len();
        let pause = (1000 * clients as u64 / REQUESTS_PER_SECOND).max(MIN_PAUSE_MS);
        for index in 0..options.fronts {
            for (number, kind) in CLIENT_KINDS.into_iter().enumerate() {
                let clients = Clients {
                    recorder: self.recorder.clone(),
                    newest: self.newest.clone(),
                    pause_ms: (pause / 2, pause * 3 / 2),
                };
                let seed = options.seed ^ ((index * CLIENT_KINDS.len() + number) as u64) << 32;
                let address = self.network.caller(index);
                self.background
                    .spawn(clients.run(kind, index, address, seed));
            }
        }
    }
}

async fn is_ready(address: std::net::SocketAddr) -> bool {
    let Ok(mut connection) = connect(address).await else {
        return false;
    };
    let request = http::Request::builder()
        .uri("/millford/ready")
        .header("host", "platform");
    let request = request
        .body(http_body_util::Full::default())
        .unwrap_or_default();
    let response = connection.send_request(request).await;
    response.is_ok_and(|response| response.status().is_success())
}
