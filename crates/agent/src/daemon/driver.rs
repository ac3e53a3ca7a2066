//! Runs the agent's core with sockets and timers.

use std::sync::Arc;

use millford_api::local::LocalFrame;
use millford_core::time::monotonic_now;
use millford_registry::SharedRegistry;
use millford_settings::{PartLog, SettingsReader};
use millford_transport::FrameLimits;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::agent_core::AgentCore;
use crate::daemon::control_connection::ControlConnection;
use crate::daemon::event_queues::{EventQueues, EventReceivers};
use crate::daemon::proxy_sender::ProxySender;
use crate::daemon::report::{AgentReport, SharedReport};
use crate::daemon::saved_members::SavedMembers;
use crate::daemon::traffic_meter::TrafficMeter;
use crate::input::{AgentInput, ControlLinkId};
use crate::options::AgentOptions;
use crate::output::AgentOutput;
use crate::registry::RegistryView;

const LOG: PartLog = PartLog::new("AGENT");
const LINK_LOG: PartLog = PartLog::new("LINK");

/// Components that the process passes to a driver.
pub struct DriverComponents {
    /// Options of the agent's core.
    pub options: AgentOptions,
    /// Senders of the event queues, for the connections that the driver opens.
    pub queues: EventQueues,
    /// Receivers of the event queues.
    pub events: EventReceivers,
    /// Receives the sender of each new connection from the proxy, and `None` when it is closed.
    pub proxy_senders: mpsc::Receiver<Option<ProxySender>>,
    /// The service registry; `None` if none is configured.
    pub registry: Option<SharedRegistry>,
    /// Reads the seeds of the settings again; `None` if they are fixed.
    pub seeds: Option<SettingsReader<Vec<String>>>,
    /// Saves the control members; `None` if no data folder is configured.
    pub saved_members: Option<SavedMembers>,
    /// Counts the traffic with control nodes.
    pub meter: Arc<TrafficMeter>,
    /// Limits of the frames of control nodes.
    pub frame_limits: FrameLimits,
    /// Publishes the agent's state to the HTTP server.
    pub report: SharedReport,
}

/// Event loop of one agent. Dropping it closes its connections and aborts its tasks.
pub struct Driver {
    core: AgentCore,
    components: DriverComponents,
    connection: Option<ControlConnection>,
    proxy: Option<ProxySender>,
    /// Task of the latest registry read, which may have finished.
    registry_read: Option<JoinHandle<()>>,
    stopped: bool,
}

impl Driver {
    /// Creates a driver, which does nothing until [`Self::run`] is called.
    #[must_use]
    pub fn new(components: DriverComponents) -> Self {
        let core = AgentCore::new(&components.options, monotonic_now());
        Self {
            core,
            components,
            connection: None,
            proxy: None,
            registry_read: None,
            stopped: false,
        }
    }

    /// Runs until the agent has been stopped, its proxy no longer needs it, and its session is closed or closing it
    /// timed out.
    ///
    /// State events take priority over traffic, so that the draining of a backend is never delayed
    /// by requests.
    pub async fn run(mut self) {
        self.handle(AgentInput::Tick);
        while !self.stopped {
            let now = monotonic_now();
            let wait = self.core.next_tick(now).since(now);
            let events = &mut self.components.events;
            tokio::select! {
                biased;
                Some(proxy) = self.components.proxy_senders.recv() => self.proxy = proxy,
                Some(input) = events.state.recv() => self.handle(input),
                Some(input) = events.traffic.recv() => self.handle(input),
                () = tokio::time::sleep(wait) => self.handle(AgentInput::Tick),
            }
        }
    }

    fn handle(&mut self, input: AgentInput) {
        let before = AgentReport::of(&self.core);
        for output in self.core.handle(monotonic_now(), input) {
            self.perform(output);
        }
        let after = AgentReport::of(&self.core);
        if before != after {
            log_changes(&before, &after, self.core.control_address());
            self.components.report.set(after);
        }
    }

    fn perform(&mut self, output: AgentOutput) {
        match output {
            AgentOutput::Connect { link, address } => self.connect(link, address),
            AgentOutput::SendControl { link, frame } => {
                let connection = self.connection.as_ref();
                if let Some(connection) = connection.filter(|open| open.link() == link) {
                    connection.send(*frame);
                }
            }
            AgentOutput::CloseControl { link } => {
                let connection = self.connection.take();
                self.connection = connection.filter(|open| open.link() != link);
            }
            AgentOutput::SendProxy(frame) => self.send_proxy(*frame),
            AgentOutput::ReadRegistry => self.read_registry(),
            AgentOutput::ReadSeeds => self.read_seeds(),
            AgentOutput::SaveMembers(members) => {
                if let Some(saved) = &self.components.saved_members {
                    saved.save(members);
                }
            }
            AgentOutput::Stopped => self.stopped = true,
        }
    }

    fn connect(&mut self, link: ControlLinkId, address: String) {
        LINK_LOG.debug(format_args!("Connecting to control node {address}."));
        let queues = self.components.queues.clone();
        let meter = Arc::clone(&self.components.meter);
        let connection = ControlConnection::open(
            link,
            address,
            queues,
            meter,
            self.components.frame_limits.clone(),
        );
        self.connection = Some(connection);
    }

    /// Sends a frame to the proxy, if one is connected. Disconnects a proxy whose queue is full,
    /// because the proxy could not detect the missing frame.
    fn send_proxy(&mut self, frame: LocalFrame) {
        let Some(proxy) = &self.proxy else { return };
        if proxy.send(frame).is_err() {
            LOG.warn("The proxy does not accept frames; closing its connection.");
            self.proxy = None;
        }
    }

    /// Starts a read of the seeds on a blocking thread.
    fn read_seeds(&self) {
        if let Some(reader) = self.components.seeds.clone() {
            let queues = self.components.queues.clone();
            tokio::spawn(send_seeds(reader, queues));
        }
    }

    /// Starts a read of the service registry unless one is in progress or no registry is
    /// configured.
    fn read_registry(&mut self) {
        let Some(registry) = self.components.registry.clone() else {
            return;
        };
        let previous = self.registry_read.as_ref();
        if previous.is_some_and(|task| !task.is_finished()) {
            return;
        }
        let queues = self.components.queues.clone();
        self.registry_read = Some(tokio::spawn(async move {
            match registry.read().await {
                Ok(list) => {
                    let view = RegistryView::from(&list);
                    queues.send_state(AgentInput::Registry(view)).await;
                }
                Err(error) => {
                    LOG.debug(format_args!(
                        "Failed to read the service registry: {error}."
                    ));
                    queues.send_state(AgentInput::RegistryFailed).await;
                }
            }
        }));
    }
}

/// Reads the seeds and passes them to the core.
pub(super) async fn send_seeds(reader: SettingsReader<Vec<String>>, queues: EventQueues) {
    let read = tokio::task::spawn_blocking(move || reader()).await;
    if let Ok(Some(seeds)) = read {
        queues.send_state(AgentInput::Seeds(seeds)).await;
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        if let Some(task) = &self.registry_read {
            task.abort();
        }
    }
}

fn log_changes(before: &AgentReport, after: &AgentReport, control_address: Option<&str>) {
    if before.connected != after.connected {
        if after.connected {
            let address = control_address.unwrap_or("unknown");
            LINK_LOG.info(format_args!(
                "Connected to the control plane through {address}."
            ));
        } else {
            LINK_LOG.warn("Disconnected from the control plane.");
        }
    }
    if before.session_epoch != after.session_epoch {
        LOG.info(format_args!(
            "Session epoch changed to {} (0: no open session).",
            after.session_epoch
        ));
    }
    if before.revision != after.revision {
        LOG.info(format_args!(
            "Received configuration revision {}.",
            after.revision
        ));
    }
    if !before.complete && after.complete {
        LOG.info("The state of every shard is confirmed.");
    }
}
