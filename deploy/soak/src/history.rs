//! What the stand-ins saw during a run, in the order in which it was recorded.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::configuration::Generation;
use crate::deployment::ProcessGroup;

/// Time since the start of the run.
pub type Moment = Duration;

/// What a request asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The route of one generation, with the key of another.
    Probe {
        /// Generation that added the route.
        route: Generation,
        /// Generation that added the key.
        key: Generation,
    },
    /// The permanent route whose requests must not run twice.
    Unsafe,
    /// The permanent route for streams.
    Stream,
    /// A permanent route, with a key that no configuration contains.
    NeverHeldKey,
}

impl Target {
    /// Whether the configuration of a generation has the route.
    #[must_use]
    pub fn route_is_in(self, generation: Generation) -> bool {
        match self {
            Self::Probe { route, .. } => generation.contains(route),
            Self::Unsafe | Self::Stream | Self::NeverHeldKey => true,
        }
    }

    /// Whether the key is valid in the configuration of a generation.
    #[must_use]
    pub fn key_is_in(self, generation: Generation) -> bool {
        match self {
            Self::Probe { key, .. } => generation.holds_key_of(key),
            Self::Unsafe | Self::Stream => generation.holds_permanent_key(),
            Self::NeverHeldKey => false,
        }
    }
}

/// How a request ended for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A complete answer with this status.
    Answered(u16),
    /// The connection ended before the answer was complete.
    Broken,
    /// The client gave up after its deadline.
    TimedOut,
}

/// A request of a client, once it has ended.
#[derive(Clone, Debug)]
pub struct Request {
    /// Value of `Request-Id`.
    pub id: String,
    /// Index of the proxy machine.
    pub front: usize,
    /// What it asked for.
    pub target: Target,
    /// When it was sent whole.
    pub sent: Moment,
    /// When it ended.
    pub ended: Moment,
    /// How it ended.
    pub ending: Ending,
}

/// A request that a backend ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Value of `Request-Id`.
    pub request: String,
    /// Identifier of the backend.
    pub backend: String,
    /// When it arrived.
    pub at: Moment,
    /// Whether the backend ended before it had answered.
    pub broke_off: bool,
}

/// A machine of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineId {
    /// Proxy machine by index.
    Front(usize),
    /// Control machine by number; numbers are not reused.
    Control(usize),
}

/// What was done to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineEvent {
    /// Its processes were started.
    Started,
    /// Its processes got SIGTERM.
    Terminated,
    /// All its processes have ended after SIGTERM.
    Ended,
    /// At least one of its processes got SIGKILL.
    Killed,
    /// Its processes got SIGSTOP.
    Frozen,
    /// Its processes got SIGCONT.
    Thawed,
    /// Its processes got SIGHUP.
    HungUp,
    /// A process exited although nothing was done to it.
    EndedByItself,
}

/// State of an operator's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// Sent, without a clear answer so far.
    Sent,
    /// Acknowledged at this moment.
    Acknowledged(Moment),
    /// Refused with this status.
    Refused(u16),
}

/// A configuration that the operator sent.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// Generation of the configuration.
    pub generation: Generation,
    /// Version of the configuration.
    pub version: u64,
    /// Version that it builds on.
    pub base: u64,
    /// When it was first sent.
    pub sent: Moment,
    /// What became of it.
    pub state: OrderState,
}

/// A read of the configuration that was answered with 200.
#[derive(Clone, Copy, Debug)]
pub struct ConfigRead {
    /// Address of the control machine that answered.
    pub server: SocketAddr,
    /// When the read was sent.
    pub sent: Moment,
    /// Version in the answer; `None` if the answer is not the text of any order.
    pub version: Option<u64>,
}

/// When the backend list began to show a backend as draining.
#[derive(Clone, Debug)]
pub struct BackendDrain {
    /// Identifier of the backend.
    pub backend: String,
    /// Since when it is shown as draining.
    pub since: Moment,
}

/// Largest resident memory of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeakMemory {
    /// The machine.
    pub machine: MachineId,
    /// Role of the process.
    pub role: String,
    /// When it was read.
    pub at: Moment,
    /// Resident memory, in bytes.
    pub bytes: u64,
}

/// Everything that was recorded.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests in the order of their ends.
    pub requests: Vec<Request>,
    /// Runs in the order of their arrival.
    pub runs: Vec<Run>,
    /// Events of machines.
    pub machines: Vec<(Moment, MachineId, MachineEvent)>,
    /// Orders in the order in which they were sent.
    pub orders: Vec<Order>,
    /// Reads of the configuration.
    pub reads: Vec<ConfigRead>,
    /// Addresses at which the control machines serve operators once the disruptions are over.
    pub control_servers: Vec<SocketAddr>,
    /// Backends that were drained.
    pub drains: Vec<BackendDrain>,
    /// Memory of the processes that ran when it was read.
    pub memory: Vec<PeakMemory>,
    /// When the disruptions ended and recovery began.
    pub calm_since: Moment,
}

impl History {
    /// Events of machines, backends and orders in the order of time, a line each.
    #[must_use]
    pub fn timeline(&self) -> String {
        let machines = self.machines.iter();
        let mut lines: Vec<(Moment, String)> = machines
            .map(|(at, machine, event)| (*at, format!("{machine:?} {event:?}")))
            .collect();
        for order in &self.orders {
            lines.push((order.sent, format!("version {} sent", order.version)));
            if let OrderState::Acknowledged(at) = order.state {
                lines.push((at, format!("version {} acknowledged", order.version)));
            }
        }
        let drains = self.drains.iter();
        lines.extend(drains.map(|drain| (drain.since, format!("{} drains", drain.backend))));
        lines.sort_by_key(|(at, _)| *at);
        let lines = lines
            .iter()
            .map(|(at, text)| format!("{:9.3} {text}\n", at.as_secs_f64()));
        lines.collect()
    }
}

/// Shared history of a run with its clock.
#[derive(Clone, Debug)]
pub struct Recorder {
    start: Instant,
    history: Arc<Mutex<History>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            history: Arc::default(),
        }
    }
}

impl Recorder {
    /// Time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// Locks the history.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a run. Returns its index.
    #[must_use]
    pub fn add_run(&self, run: Run) -> usize {
        let mut history = self.lock();
        history.runs.push(run);
        history.runs.len() - 1
    }

    /// Records that the backend of a run ended before it had answered.
    pub fn break_off_run(&self, index: usize) {
        if let Some(run) = self.lock().runs.get_mut(index) {
            run.broke_off = true;
        }
    }

    /// Records an event of a machine.
    pub fn machine(&self, machine: MachineId, event: MachineEvent) {
        let now = self.now();
        self.lock().machines.push((now, machine, event));
    }

    /// Records the largest memory that each process of a machine has had so far.
    pub fn memory(&self, machine: MachineId, processes: &ProcessGroup) {
        let at = self.now();
        let mut history = self.lock();
        for process in processes.processes() {
            let Some(bytes) = process.peak_memory() else {
                continue;
            };
            history.memory.push(PeakMemory {
                machine,
                role: process.role().to_owned(),
                at,
                bytes,
            });
        }
    }
}
