//! Runs one agent's core with sockets and timers.

use std::sync::Arc;

use millford_api::local::LocalFrame;
use millford_core::time::monotonic_now;
use millford_registry::SharedRegistry;
use millford_settings::PartLog;
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

/// What a driver needs from its process.
pub struct DriverComponents {
    /// Options of the agent's core.
    pub options: AgentOptions,
    /// Sending ends of the event queues, for the connections that the driver opens.
    pub queues: EventQueues,
    /// Receiving ends of the event queues.
    pub events: EventReceivers,
    /// The sender to the proxy, whenever its connection changes; none while there is no connection.
    pub proxy_senders: mpsc::Receiver<Option<ProxySender>>,
    /// The service registry, if there is one to read.
    pub registry: Option<SharedRegistry>,
    /// Saves the control members, if there is a data folder.
    pub saved_members: Option<SavedMembers>,
    /// Counts the traffic with control nodes.
    pub meter: Arc<TrafficMeter>,
    /// Publishes the agent's state to monitors.
    pub report: SharedReport,
}

/// One agent at work. Dropping it closes its connections and ends its tasks.
pub struct Driver {
    core: AgentCore,
    components: DriverComponents,
    connection: Option<ControlConnection>,
    proxy: Option<ProxySender>,
    /// The read of the registry in progress, or the last one.
    registry_read: Option<JoinHandle<()>>,
    stopped: bool,
}

impl Driver {
    /// An agent that starts with [`Self::run`].
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

    /// Runs until the agent is stopped and its session closed.
    ///
    /// State events go before traffic, so that a drained backend never waits behind requests.
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
            log_changes(&before, &after);
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
        let connection = ControlConnection::open(link, address, queues, meter);
        self.connection = Some(connection);
    }

    /// A proxy that does not read is disconnected: it would not notice that frames are missing.
    fn send_proxy(&mut self, frame: LocalFrame) {
        let Some(proxy) = &self.proxy else { return };
        if proxy.send(frame).is_err() {
            LOG.warn("The proxy does not read; its connection is closed.");
            self.proxy = None;
        }
    }

    /// Starts a read of the registry, unless one is in progress.
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
                    LOG.debug(format_args!("{error}."));
                    queues.send_state(AgentInput::RegistryFailed).await;
                }
            }
        }));
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        if let Some(task) = &self.registry_read {
            task.abort();
        }
    }
}

fn log_changes(before: &AgentReport, after: &AgentReport) {
    if before.connected != after.connected {
        if after.connected {
            LINK_LOG.info("Connected to the control plane.");
        } else {
            LINK_LOG.warn("Disconnected from the control plane.");
        }
    }
    if before.session_epoch != after.session_epoch {
        LOG.info(format_args!("Session epoch is {}.", after.session_epoch));
    }
    if before.revision != after.revision {
        LOG.info(format_args!(
            "Configuration revision is {}.",
            after.revision
        ));
    }
    if !before.complete && after.complete {
        LOG.info("Every shard is confirmed.");
    }
}
