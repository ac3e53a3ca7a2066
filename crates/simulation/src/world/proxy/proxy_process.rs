//! The proxy of a front machine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use millford_api::local::LocalFrame;
use millford_core::MonotonicTime;
use millford_data_plane::frame_handler::FrameHandler;
use millford_data_plane::proxy_state::ProxyState;
use rand_chacha::ChaCha8Rng;

use crate::history::CallNumber;
use crate::network::LinkNumber;
use crate::world::process::ProcessState;
use crate::world::proxy::action::{ExchangeNumber, ProxyAction};
use crate::world::proxy::agent_desk::AgentDesk;
use crate::world::proxy::executor::Executor;
use crate::world::proxy::port::{ProxyPort, SharedPort, lock};

/// Why a connection to a backend was opened.
pub enum BackendLink {
    /// For an attempt at a call.
    Dispatch {
        exchange: ExchangeNumber,
        call: CallNumber,
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

/// The running part of a proxy; gone when the process dies.
pub struct ProxyCore {
    /// State of the request path.
    pub state: Arc<ProxyState>,
    /// Feed and link state.
    pub handler: FrameHandler,
    /// Where tasks leave their wishes.
    pub port: SharedPort,
    /// Asks to the agent.
    pub desk: Arc<AgentDesk>,
    /// Request tasks.
    pub executor: Executor,
}

/// A proxy and its connections.
pub struct ProxyProcess {
    /// The process.
    pub process: ProcessState,
    /// The proxy while it runs.
    pub core: Option<ProxyCore>,
    /// Connection to the agent, open or not.
    pub agent: Option<LinkNumber>,
    /// Whether that connection is open.
    pub agent_open: bool,
    /// Connections to backends.
    pub backends: BTreeMap<LinkNumber, BackendLink>,
    /// Connections by exchange.
    pub exchanges: BTreeMap<ExchangeNumber, LinkNumber>,
    /// Calls of which an attempt was sent.
    pub sent: BTreeSet<CallNumber>,
    /// Revision that was recorded last.
    pub shown: u64,
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
            core: None,
            agent: None,
            agent_open: false,
            backends: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            sent: BTreeSet::new(),
            shown: 0,
            ticks: 0,
            first_frames: Vec::new(),
        }
    }

    /// Forgets everything of the last incarnation.
    pub fn forget_core(&mut self) {
        self.core = None;
        self.agent = None;
        self.agent_open = false;
        self.backends.clear();
        self.exchanges.clear();
        self.shown = 0;
        self.ticks = 0;
    }

    /// Lets tasks run at a local time and takes their wishes.
    pub fn run_tasks(&mut self, now: MonotonicTime) -> Vec<ProxyAction> {
        let Some(core) = self.core.as_mut() else {
            return Vec::new();
        };
        {
            let mut port = lock(&core.port);
            port.now = now;
            port.fire_timers();
        }
        core.executor.run();
        std::mem::take(&mut lock(&core.port).actions)
    }
}

impl ProxyCore {
    /// A proxy that starts.
    #[must_use]
    pub fn new(now: MonotonicTime, random: ChaCha8Rng, desk: AgentDesk) -> Self {
        let limits = millford_data_plane::limits::RequestLimits::default();
        let state = Arc::new(ProxyState::new(limits));
        Self {
            handler: FrameHandler::new(Arc::clone(&state)),
            state,
            port: Arc::new(std::sync::Mutex::new(ProxyPort::new(now, random))),
            desk: Arc::new(desk),
            executor: Executor::default(),
        }
    }
}
