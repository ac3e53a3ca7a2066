//! State of a simulated proxy.

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

/// Largest event of a stream, in bytes; far above those of sound backends.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// Largest plain answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 128 * 1024;

/// Connection of a proxy to its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AgentLink {
    /// There is no connection.
    #[default]
    Disconnected,
    /// The connection is being opened.
    Connecting(LinkNumber),
    /// Both sides may send.
    Open(LinkNumber),
}

impl AgentLink {
    /// Returns the number of the connection, open or being opened.
    #[must_use]
    pub fn number(self) -> Option<LinkNumber> {
        match self {
            Self::Disconnected => None,
            Self::Connecting(link) | Self::Open(link) => Some(link),
        }
    }
}

/// The running part of a proxy; dropped when its process ends.
pub struct RunningProxy {
    /// State of the request path.
    pub state: Arc<ProxyState>,
    /// Handler of the agent's frames.
    pub handler: FrameHandler,
    /// Interface between tasks and driver.
    pub port: SharedPort,
    /// Client for requests to the agent.
    pub agent_client: Arc<AgentClient>,
    /// Executor of the tasks, one per client request.
    pub executor: Executor,
}

/// A proxy and its connections.
pub struct ProxyProcess {
    /// Incarnation, clock and queued inputs.
    pub process: ProcessState,
    /// The running part; absent while the process does not run.
    pub running: Option<RunningProxy>,
    /// Connection to the agent on the same node.
    pub agent: AgentLink,
    /// Connections to backends, with the purpose of each.
    pub backends: BackendLinks,
    /// Client requests of which any incarnation sent an attempt.
    dispatched: BTreeSet<RequestNumber>,
    /// Last recorded revision of this incarnation; 0 before the first.
    recorded_revision: u64,
    /// Number of ticks since the start.
    ticks: u64,
    /// Frames of the first configuration, for an injected defect.
    pub first_frames: Vec<LocalFrame>,
}

impl ProxyProcess {
    /// Creates a proxy that has not started.
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

    /// Drops the state of the last incarnation.
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

    /// Adds an attempt at a client request. Returns whether one was sent before.
    pub fn is_second_dispatch(&mut self, client_request: RequestNumber) -> bool {
        !self.dispatched.insert(client_request)
    }

    /// Returns whether a revision was recorded since the start.
    #[must_use]
    pub fn has_recorded_revision(&self) -> bool {
        self.recorded_revision > 0
    }

    /// Returns the revision that the proxy routes by, if it has not been recorded, and marks it as recorded.
    /// `None` until the proxy is ready, since it serves no request until then.
    pub fn take_applied_revision(&mut self) -> Option<u64> {
        let state = &self.running.as_ref()?.state;
        let revision = state.table().revision();
        if revision == self.recorded_revision || !state.is_ready() {
            return None;
        }
        self.recorded_revision = revision;
        Some(revision)
    }

    /// Runs the tasks at local time `now`. Returns the actions that they requested.
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
    /// Creates the running part of a proxy that starts at local time `now`.
    #[must_use]
    pub fn new(now: MonotonicTime, random: ChaCha8Rng, agent_client: AgentClient) -> Self {
        let state = Arc::new(ProxyState::new(RequestLimits {
            max_event_bytes: MAX_EVENT_BYTES,
            max_answer_bytes: MAX_ANSWER_BYTES,
            ..RequestLimits::default()
        }));
        Self {
            handler: FrameHandler::new(Arc::clone(&state)),
            state,
            port: Arc::new(Mutex::new(ProxyPort::new(now, random))),
            agent_client: Arc::new(agent_client),
            executor: Executor::default(),
        }
    }
}
