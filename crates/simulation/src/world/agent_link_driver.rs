//! The proxies' links to their agents.

use std::time::Duration;

use millford_api::local::{LocalFrame, ProxyHello, local_frame};
use millford_data_plane::frame_handler::FrameOutcome;

use crate::history::{ProxyNodeNumber, Record};
use crate::network::ProcessId;
use crate::world::addresses::caller_address;
use crate::world::defect::Defect;
use crate::world::process_input::ProcessInput;
use crate::world::proxy::{AgentLink, ProxyAction, ProxyProcess, lock};
use crate::world::site::Site;

/// Time from the end of a connection to the next attempt.
const RECONNECT_AFTER: Duration = Duration::from_millis(50);

impl Site {
    /// Opens the connection of a proxy to its agent.
    pub(super) fn connect_to_agent(&mut self, number: u16) {
        let link = self.open_link(ProcessId::Proxy(number), ProcessId::Agent(number));
        if let Some(proxy) = self.proxies.get_mut(&number) {
            proxy.agent = AgentLink::Connecting(link);
        }
    }

    /// The connection is open: the proxy says who it is, what it applied and what is in flight.
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
        // What tasks queued for the old connection is among the frames in flight, or out of date.
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

    /// The connection ended: the proxy connects again after a moment.
    pub(super) fn agent_disconnected(&mut self, number: u16) {
        let process = ProcessId::Proxy(number);
        let incarnation = self.incarnation_of(process);
        if let Some(proxy) = self.proxies.get_mut(&number) {
            proxy.agent = AgentLink::Disconnected;
        }
        let input = ProcessInput::Reconnect;
        self.schedule_input(RECONNECT_AFTER, process, incarnation, input);
    }

    /// A frame of the agent arrived.
    pub(super) fn local_frame(&mut self, number: u16, frame: LocalFrame) {
        if self.holds_back(number, &frame) {
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

    /// A planted defect: the first proxy node applies no state after its first revision.
    fn holds_back(&self, number: u16, frame: &LocalFrame) -> bool {
        let proxy = self.proxies.get(&number);
        let has_revision = proxy.is_some_and(ProxyProcess::has_recorded_revision);
        let is_state = matches!(
            frame.body,
            Some(local_frame::Body::Snapshot(_) | local_frame::Body::Change(_))
        );
        self.options.defect == Some(Defect::HoldsRevisions)
            && number == 1
            && has_revision
            && is_state
    }

    /// Records the revision that a proxy routes by, if it changed.
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

/// Key of the number of the configuration in force.
const CONFIG_HEAD_KEY: &str = "config/head";

/// Whether the frame carries items of the configuration.
fn is_configuration(frame: &LocalFrame) -> bool {
    match &frame.body {
        // An empty snapshot counts: it is where the changes after it begin.
        Some(local_frame::Body::Snapshot(snapshot)) => snapshot.shard == 0,
        Some(local_frame::Body::Change(change)) => change.shard == 0,
        _ => false,
    }
}

/// Whether the frame tells the number of a configuration.
fn names_revision(frame: &LocalFrame) -> bool {
    let items = match &frame.body {
        Some(local_frame::Body::Snapshot(snapshot)) => &snapshot.items,
        Some(local_frame::Body::Change(change)) => &change.items,
        _ => return false,
    };
    items.iter().any(|item| item.key == CONFIG_HEAD_KEY)
}
