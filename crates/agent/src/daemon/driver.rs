//! Runs one agent's core.

use std::sync::Arc;

use millford_core::time::monotonic_now;
use millford_registry::SharedRegistry;
use millford_settings::PartLog;
use tokio::sync::mpsc;

use crate::agent_core::AgentCore;
use crate::daemon::control_connection::ControlConnection;
use crate::daemon::event_queues::{EventQueues, EventSources};
use crate::daemon::proxy_sender::ProxySender;
use crate::daemon::report::{AgentReport, SharedReport};
use crate::daemon::saved_members::SavedMembers;
use crate::daemon::traffic_meter::TrafficMeter;
use crate::input::AgentInput;
use crate::options::AgentOptions;
use crate::output::AgentOutput;
use crate::registry::RegistryView;

const LOG: PartLog = PartLog::new("AGENT");
const LINK_LOG: PartLog = PartLog::new("LINK");

/// What a driver works with.
pub struct DriverComponents {
    /// Identity and starting points.
    pub options: AgentOptions,
    /// Where connections put their events.
    pub queues: EventQueues,
    /// Where the driver takes them from.
    pub sources: EventSources,
    /// The proxy's outlet, whenever it changes.
    pub outlets: mpsc::Receiver<Option<ProxySender>>,
    /// The service registry, if there is one to read.
    pub registry: Option<SharedRegistry>,
    /// Keeps the list of control nodes.
    pub saved_members: Option<SavedMembers>,
    /// Counts the link's traffic.
    pub meter: Arc<TrafficMeter>,
    /// Shows the agent's state to others.
    pub report: SharedReport,
}

/// One agent at work.
pub struct Driver {
    core: AgentCore,
    parts: DriverComponents,
    connection: Option<ControlConnection>,
    outlet: Option<ProxySender>,
    registry_read: Option<tokio::task::JoinHandle<()>>,
    stopped: bool,
}

impl Driver {
    /// An agent that begins to work with [`Self::run`].
    #[must_use]
    pub fn new(parts: DriverComponents) -> Self {
        let core = AgentCore::new(&parts.options, monotonic_now());
        Self {
            core,
            parts,
            connection: None,
            outlet: None,
            registry_read: None,
            stopped: false,
        }
    }

    /// Works until the agent is stopped and its session closed.
    pub async fn run(mut self) {
        self.give(AgentInput::Tick);
        while !self.stopped {
            let now = monotonic_now();
            let wait = self.core.next_tick(now).since(now);
            let sources = &mut self.parts.sources;
            tokio::select! {
                biased;
                Some(outlet) = self.parts.outlets.recv() => self.outlet = outlet,
                Some(input) = sources.state.recv() => self.give(input),
                Some(input) = sources.traffic.recv() => self.give(input),
                () = tokio::time::sleep(wait) => self.give(AgentInput::Tick),
            }
        }
    }

    fn give(&mut self, input: AgentInput) {
        let before = AgentReport::of(&self.core);
        for output in self.core.handle(monotonic_now(), input) {
            self.perform(output);
        }
        let after = AgentReport::of(&self.core);
        if before != after {
            log_changes(&before, &after);
            self.parts.report.set(after);
        }
    }

    fn perform(&mut self, output: AgentOutput) {
        match output {
            AgentOutput::Connect { link, address } => {
                LINK_LOG.debug(format_args!("Connecting to control node {address}."));
                let queues = self.parts.queues.clone();
                let meter = Arc::clone(&self.parts.meter);
                let connection = ControlConnection::open(link, address, queues, meter);
                self.connection = Some(connection);
            }
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
            AgentOutput::SendProxy(frame) => {
                let sent = self
                    .outlet
                    .as_ref()
                    .is_none_or(|outlet| outlet.send(*frame));
                if !sent {
                    LOG.warn("The proxy does not read; its connection is closed.");
                    self.outlet = None;
                }
            }
            AgentOutput::ReadRegistry => self.read_registry(),
            AgentOutput::SaveMembers(members) => {
                if let Some(saved) = &self.parts.saved_members {
                    saved.save(members);
                }
            }
            AgentOutput::Stopped => self.stopped = true,
        }
    }

    fn read_registry(&mut self) {
        let Some(registry) = self.parts.registry.clone() else {
            return;
        };
        let running = self
            .registry_read
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if running {
            return;
        }
        let queues = self.parts.queues.clone();
        self.registry_read = Some(tokio::spawn(async move {
            match registry.read().await {
                Ok(list) => {
                    let view = RegistryView::from(&list);
                    queues.state(AgentInput::Registry(view)).await;
                }
                Err(error) => {
                    LOG.debug(format_args!("{error}."));
                    queues.state(AgentInput::RegistryFailed).await;
                }
            }
        }));
    }
}

fn log_changes(before: &AgentReport, after: &AgentReport) {
    if before.in_touch != after.in_touch {
        if after.in_touch {
            LINK_LOG.info("In touch with the control plane.");
        } else {
            LINK_LOG.warn("Out of touch with the control plane.");
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
