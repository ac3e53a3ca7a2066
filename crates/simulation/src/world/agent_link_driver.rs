//! The proxies' links to their agents.

use std::time::Duration;

use millford_api::local::{LocalFrame, ProxyHello, local_frame};
use millford_data_plane::frame_handler::FrameOutcome;

use crate::history::{FrontNumber, Record};
use crate::network::ProcessId;
use crate::world::defect::Defect;
use crate::world::event::Event;
use crate::world::process_input::ProcessInput;
use crate::world::proxy::{ProxyAction, lock};
use crate::world::site::Site;

const RECONNECT: Duration = Duration::from_millis(50);

impl Site {
    pub(super) fn connect_to_agent(&mut self, number: u16) {
        let link = self.open_link(ProcessId::Proxy(number), ProcessId::Agent(number));
        if let Some(proxy) = self.proxies.get_mut(&number) {
            proxy.agent = Some(link);
            proxy.agent_open = false;
        }
    }

    pub(super) fn greet_agent(&mut self, number: u16) {
        let boot_id = self.boot_of(ProcessId::Proxy(number));
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        proxy.agent_open = true;
        let Some(core) = proxy.core.as_ref() else {
            return;
        };
        let hello = local_frame::Body::ProxyHello(ProxyHello {
            boot_id,
            caller_address: format!("10.0.2.{number}:8080"),
        });
        let mut frames = vec![LocalFrame { body: Some(hello) }];
        frames.push(core.handler.applied_revision_frame());
        // What tasks queued for the old connection is among the unanswered, or out of date.
        let mut port = lock(&core.port);
        port.actions
            .retain(|action| !matches!(action, ProxyAction::ToAgent(_)));
        let now = port.now;
        drop(port);
        frames.extend(core.desk.unanswered(now));
        for frame in frames {
            self.proxy_to_agent(number, frame);
        }
    }

    pub(super) fn lose_agent(&mut self, number: u16) {
        let process = ProcessId::Proxy(number);
        let boot = self.boot_of(process);
        if let Some(proxy) = self.proxies.get_mut(&number) {
            proxy.agent = None;
            proxy.agent_open = false;
        }
        let input = ProcessInput::Reconnect;
        self.after(
            RECONNECT,
            Event::Input {
                process,
                boot,
                input,
            },
        );
    }

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
        let Some(core) = proxy.core.as_mut() else {
            return;
        };
        match core.handler.handle(frame) {
            FrameOutcome::Nothing => self.note_shown(number),
            FrameOutcome::Changed => {
                let shown = core.handler.apply_changes();
                self.note_shown(number);
                if let Some(frame) = shown {
                    self.proxy_to_agent(number, frame);
                }
            }
            FrameOutcome::Reconnect => {
                if let Some(link) = proxy.agent {
                    self.close_link(ProcessId::Proxy(number), link);
                }
                self.lose_agent(number);
            }
            answer => core.desk.answered(&core.port, answer),
        }
    }

    // A planted defect: the first front machine takes no state after its first revision.
    pub(super) fn holds_back(&self, number: u16, frame: &LocalFrame) -> bool {
        let shows = self.proxies.get(&number).is_some_and(|it| it.shown > 0);
        let is_state = matches!(
            frame.body,
            Some(local_frame::Body::Snapshot(_) | local_frame::Body::Change(_))
        );
        self.options.defect == Some(Defect::HoldsRevisions) && number == 1 && shows && is_state
    }

    pub(super) fn note_shown(&mut self, number: u16) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        let Some(core) = proxy.core.as_ref() else {
            return;
        };
        // Until it is ready a proxy serves nothing, so it shows nothing.
        let revision = core.state.table().revision();
        if revision == proxy.shown || !core.state.is_ready() {
            return;
        }
        proxy.shown = revision;
        self.record(Record::RevisionShown {
            front: FrontNumber(number),
            revision,
        });
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
