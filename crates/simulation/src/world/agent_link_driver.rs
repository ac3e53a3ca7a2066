//! Connections of the proxies to their agents.

use std::time::Duration;

use millford_api::local::{LocalFrame, ProxyHello, local_frame};
use millford_data_plane::frame_handler::FrameOutcome;

use crate::history::{ProxyNodeNumber, Record};
use crate::network::ProcessId;
use crate::world::addresses::caller_address;
use crate::world::injected_defect::InjectedDefect;
use crate::world::process_input::ProcessInput;
use crate::world::proxy::{AgentLink, ProxyAction, ProxyProcess, lock};
use crate::world::simulation::Simulation;

/// Time from the end of a connection until the proxy reconnects.
const RECONNECT_AFTER: Duration = Duration::from_millis(50);

impl Simulation {
    /// Opens the connection of a proxy to its agent.
    pub(super) fn connect_to_agent(&mut self, number: u16) {
        let link = self.open_link(ProcessId::Proxy(number), ProcessId::Agent(number));
        if let Some(proxy) = self.proxies.get_mut(&number) {
            proxy.agent = AgentLink::Connecting(link);
        }
    }

    /// Handles an open connection: the proxy sends its identity, the revision it has applied and its
    /// in-flight requests.
    pub(super) fn send_hello(&mut self, number: u16) {
        let boot_id = self.incarnation_of(ProcessId::Proxy(number));
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        if let Some(link) = proxy.agent.number() {
            proxy.agent = AgentLink::Open(link);
        }
        let Some(running) = proxy.running.as_ref() else {
            return;
        };
        let hello = local_frame::Body::ProxyHello(ProxyHello {
            boot_id,
            caller_address: caller_address(number),
        });
        let mut frames = vec![LocalFrame { body: Some(hello) }];
        frames.push(running.handler.applied_revision_frame());
        // Frames that tasks queued for the old connection are either in flight, and so sent below, or
        // outdated.
        let mut port = lock(&running.port);
        port.actions
            .retain(|action| !matches!(action, ProxyAction::ToAgent(_)));
        let now = port.now;
        drop(port);
        frames.extend(running.agent_client.in_flight_frames(now));
        for frame in frames {
            self.proxy_to_agent(number, frame);
        }
    }

    /// Handles the end of the connection: the proxy reconnects after [`RECONNECT_AFTER`].
    pub(super) fn agent_disconnected(&mut self, number: u16) {
        let process = ProcessId::Proxy(number);
        let incarnation = self.incarnation_of(process);
        if let Some(proxy) = self.proxies.get_mut(&number) {
            proxy.agent = AgentLink::Disconnected;
        }
        let input = ProcessInput::Reconnect;
        self.schedule_input(RECONNECT_AFTER, process, incarnation, input);
    }

    /// Handles a frame from the agent.
    pub(super) fn handle_agent_frame(&mut self, number: u16, frame: LocalFrame) {
        if self.drops_state_frame(number, &frame) {
            return;
        }
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        if is_configuration(&frame) && !proxy.first_frames.iter().any(names_revision) {
            proxy.first_frames.push(frame.clone());
        }
        let Some(running) = proxy.running.as_mut() else {
            return;
        };
        match running.handler.handle(frame) {
            FrameOutcome::Nothing => self.record_applied_revision(number),
            FrameOutcome::Changed => {
                let applied = running.handler.apply_changes();
                self.record_applied_revision(number);
                if let Some(frame) = applied {
                    self.proxy_to_agent(number, frame);
                }
            }
            FrameOutcome::Reconnect => {
                if let Some(link) = proxy.agent.number() {
                    self.close_link(ProcessId::Proxy(number), link);
                }
                self.agent_disconnected(number);
            }
            answer => running.agent_client.handle_answer(&running.port, &answer),
        }
    }

    /// Injected defect: returns whether the first proxy node drops the frame, because it carries state and
    /// the node has already applied a revision.
    fn drops_state_frame(&self, number: u16, frame: &LocalFrame) -> bool {
        let proxy = self.proxies.get(&number);
        let has_revision = proxy.is_some_and(ProxyProcess::has_recorded_revision);
        let is_state = matches!(
            frame.body,
            Some(local_frame::Body::Snapshot(_) | local_frame::Body::Change(_))
        );
        self.options.defect == Some(InjectedDefect::StaleRevision)
            && number == 1
            && has_revision
            && is_state
    }

    /// Records the revision that a proxy routes by, if it has changed.
    pub(super) fn record_applied_revision(&mut self, number: u16) {
        let proxy = self.proxies.get_mut(&number);
        if let Some(revision) = proxy.and_then(ProxyProcess::take_applied_revision) {
            self.record(&Record::RevisionApplied {
                proxy_node: ProxyNodeNumber(number),
                revision,
            });
        }
    }
}

/// Key of the state item that holds the current configuration revision.
const CONFIG_HEAD_KEY: &str = "config/head";

/// Returns whether the frame belongs to the feed of the configuration shard.
fn is_configuration(frame: &LocalFrame) -> bool {
    match &frame.body {
        // An empty snapshot counts too: later changes build on it.
        Some(local_frame::Body::Snapshot(snapshot)) => snapshot.shard == 0,
        Some(local_frame::Body::Change(change)) => change.shard == 0,
        _ => false,
    }
}

/// Returns whether the frame contains the current configuration revision.
fn names_revision(frame: &LocalFrame) -> bool {
    let items = match &frame.body {
        Some(local_frame::Body::Snapshot(snapshot)) => &snapshot.items,
        Some(local_frame::Body::Change(change)) => &change.items,
        _ => return false,
    };
    items.iter().any(|item| item.key == CONFIG_HEAD_KEY)
}
