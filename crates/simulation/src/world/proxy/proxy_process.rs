//! The proxy of a proxy node.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use millford_api::local::LocalFrame;
use millford_core::MonotonicTime;
use millford_data_plane::frame_handler::FrameHandler;
use millford_data_plane::limits::RequestLimits;
use millford_data_plane::proxy_state::ProxyState;
use rand_chacha::ChaCha8Rng;

use crate::history::RequestNumber;
use crate::network::LinkNumber;
use crate::world::process::ProcessState;
use crate::world::proxy::action::ProxyAction;
use crate::world::proxy::agent_client::AgentClient;
use crate::world::proxy::backend_links::BackendLinks;
use crate::world::proxy::executor::Executor;
use crate::world::proxy::port::{ProxyPort, SharedPort, lock};

/// A proxy's connection to its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AgentLink {
    /// There is none.
    #[default]
    Disconnected,
    /// It is being opened.
    Connecting(LinkNumber),
    /// Both sides may send.
    Open(LinkNumber),
}

impl AgentLink {
    /// Number of the connection, open or not.
    #[must_use]
    pub fn number(self) -> Option<LinkNumber> {
        match self {
            Self::Disconnected => None,
            Self::Connecting(link) | Self::Open(link) => Some(link),
        }
    }
}

/// The running part of a proxy; dropped when the process dies.
pub struct RunningProxy {
    /// State of the request path.
    pub state: Arc<ProxyState>,
    /// Feed and link state.
    pub handler: FrameHandler,
    /// Where tasks queue their actions.
    pub port: SharedPort,
    /// Requests to the agent.
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
    /// Connection to the agent.
    pub agent: AgentLink,
    /// Connections to backends.
    pub backends: BackendLinks,
    /// Client requests of which an attempt was sent, by any incarnation.
    dispatched: BTreeSet<RequestNumber>,
    /// Revision that was recorded last, 0 before the first.
    recorded_revision: u64,
    /// Ticks since the start.
    ticks: u64,
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
            agent: AgentLink::Disconnected,
            backends: BackendLinks::default(),
            dispatched: BTreeSet::new(),
            recorded_revision: 0,
            ticks: 0,
            first_frames: Vec::new(),
        }
    }

    /// Forgets everything of the last incarnation.
    pub fn forget_incarnation(&mut self) {
        self.running = None;
        self.agent = AgentLink::Disconnected;
        self.backends.clear();
        self.recorded_revision = 0;
        self.ticks = 0;
    }

    /// Counts a tick. Returns the number of ticks since the start.
    pub fn count_tick(&mut self) -> u64 {
        self.ticks += 1;
        self.ticks
    }

    /// An attempt at a client request is sent. Returns whether one was sent before.
    pub fn is_second_dispatch(&mut self, client_request: RequestNumber) -> bool {
        !self.dispatched.insert(client_request)
    }

    /// Whether a revision was recorded since the start.
    #[must_use]
    pub fn has_recorded_revision(&self) -> bool {
        self.recorded_revision > 0
    }

    /// The revision that the proxy routes by, if it was not recorded yet. Until it is ready a proxy
    /// serves nothing, so it applies nothing.
    pub fn take_applied_revision(&mut self) -> Option<u64> {
        let state = &self.running.as_ref()?.state;
        let revision = state.table().revision();
        if revision == self.recorded_revision || !state.is_ready() {
            return None;
        }
        self.recorded_revision = revision;
        Some(revision)
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
        let state = Arc::new(ProxyState::new(RequestLimits::default()));
        Self {
            handler: FrameHandler::new(Arc::clone(&state)),
            state,
            port: Arc::new(Mutex::new(ProxyPort::new(now, random))),
            agent_client: Arc::new(agent_client),
            executor: Executor::default(),
        }
    }
}
