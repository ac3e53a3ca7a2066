//! The proxy of a proxy node.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use millford_api::local::LocalFrame;
use millford_core::MonotonicTime;
use millford_proxy::control::frame_handler::FrameHandler;
use millford_proxy::proxy_state::ProxyState;
use rand_chacha::ChaCha8Rng;

use crate::history::RequestNumber;
use crate::network::LinkNumber;
use crate::world::process::ProcessState;
use crate::world::proxy::action::{ExchangeNumber, ProxyAction};
use crate::world::proxy::agent_client::AgentClient;
use crate::world::proxy::executor::Executor;
use crate::world::proxy::port::{ProxyPort, SharedPort, lock};

/// Why a connection to a backend was opened.
pub enum BackendLink {
    /// For an attempt at a client request.
    Dispatch {
        exchange: ExchangeNumber,
        client_request: RequestNumber,
        request: Box<millford_proxy::request::message::BackendRequest>,
    },
    /// To withdraw an attempt.
    Withdraw {
        exchange: ExchangeNumber,
        attempt: String,
        age: Duration,
    },
    /// To probe the backend with this id.
    Probe { backend: String },
}

/// The running part of a proxy; dropped when the process dies.
pub struct RunningProxy {
    /// State of the request path.
    pub state: Arc<ProxyState>,
    /// Feed and link state.
    pub handler: FrameHandler,
    /// Where tasks queue their actions.
    pub port: SharedPort,
    /// Asks to the agent.
    pub agent_client: Arc<AgentClient>,
    /// Request tasks.
    pub executor: Executor,
}

/// A proxy and its connections.
pub struct ProxyProcess {
    /// The process.
    pub process: ProcessState,
    /// The proxy while it runs.
    pub running: Option<RunningProxy>,
    /// Connection to the agent, open or not.
    pub agent: Option<LinkNumber>,
    /// Whether that connection is open.
    pub agent_open: bool,
    /// Connections to backends.
    pub backends: BTreeMap<LinkNumber, BackendLink>,
    /// Connections by exchange.
    pub exchanges: BTreeMap<ExchangeNumber, LinkNumber>,
    /// Client requests of which an attempt was sent.
    pub sent: BTreeSet<RequestNumber>,
    /// Revision that was recorded last.
    pub recorded_revision: u64,
    /// Ticks since the start.
    pub ticks: u64,
    /// First state of the configuration, for a planted defect.
    pub first_frames: Vec<LocalFrame>,
}

impl ProxyProcess {
    /// A proxy that was not started yet.
    #[must_use]
    pub fn new(process: ProcessState) -> Self {
        Self {
            process,
            running: None,
            agent: None,
            agent_open: false,
            backends: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            sent: BTreeSet::new(),
            recorded_revision: 0,
            ticks: 0,
            first_frames: Vec::new(),
        }
    }

    /// Forgets everything of the last incarnation.
    pub fn forget_incarnation(&mut self) {
        self.running = None;
        self.agent = None;
        self.agent_open = false;
        self.backends.clear();
        self.exchanges.clear();
        self.recorded_revision = 0;
        self.ticks = 0;
    }

    /// Runs the tasks at a local time and takes the actions that they queued.
    pub fn run_tasks(&mut self, now: MonotonicTime) -> Vec<ProxyAction> {
        let Some(running) = self.running.as_mut() else {
            return Vec::new();
        };
        {
            let mut port = lock(&running.port);
            port.now = now;
            port.fire_timers();
        }
        running.executor.run();
        std::mem::take(&mut lock(&running.port).actions)
    }
}

impl RunningProxy {
    /// A proxy that starts.
    #[must_use]
    pub fn new(now: MonotonicTime, random: ChaCha8Rng, agent_client: AgentClient) -> Self {
        let limits = millford_proxy::limits::RequestLimits::default();
        let state = Arc::new(ProxyState::new(limits));
        Self {
            handler: FrameHandler::new(Arc::clone(&state)),
            state,
            port: Arc::new(std::sync::Mutex::new(ProxyPort::new(now, random))),
            agent_client: Arc::new(agent_client),
            executor: Executor::default(),
        }
    }
}
