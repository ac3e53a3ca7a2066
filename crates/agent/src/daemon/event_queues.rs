//! Queues of events for the agent's core.

use millford_api::internal::{Frame, frame};
use millford_api::local::{LocalFrame, local_frame};
use tokio::sync::mpsc;

use crate::input::{AgentInput, ControlLinkId};

/// Events that may wait in one queue.
const QUEUE_LENGTH: usize = 1024;

/// Sending ends. State (feed, sessions, registry, links) and traffic (quota, claims, load) have a
/// queue each, so that a drain never waits behind calls; the driver empties state first.
#[derive(Clone, Debug)]
pub struct EventQueues {
    state: mpsc::Sender<AgentInput>,
    traffic: mpsc::Sender<AgentInput>,
}

/// Receiving ends.
#[derive(Debug)]
pub struct EventSources {
    /// State events.
    pub state: mpsc::Receiver<AgentInput>,
    /// Traffic events.
    pub traffic: mpsc::Receiver<AgentInput>,
}

impl EventQueues {
    /// Both queues.
    #[must_use]
    pub fn new() -> (Self, EventSources) {
        let (state, state_source) = mpsc::channel(QUEUE_LENGTH);
        let (traffic, traffic_source) = mpsc::channel(QUEUE_LENGTH);
        let sources = EventSources {
            state: state_source,
            traffic: traffic_source,
        };
        (Self { state, traffic }, sources)
    }

    /// A state event. Returns whether the driver still runs.
    pub async fn state(&self, input: AgentInput) -> bool {
        self.state.send(input).await.is_ok()
    }

    /// A frame of a control node.
    pub async fn control_frame(&self, link: ControlLinkId, frame: Frame) -> bool {
        let queue = match frame.body {
            Some(
                frame::Body::QuotaReply(_)
                | frame::Body::QuotaRecall(_)
                | frame::Body::ShardReply(_)
                | frame::Body::LoadSnapshot(_),
            ) => &self.traffic,
            _ => &self.state,
        };
        let frame = Box::new(frame);
        let input = AgentInput::ControlFrame { link, frame };
        queue.send(input).await.is_ok()
    }

    /// A frame of the proxy.
    pub async fn proxy_frame(&self, frame: LocalFrame) -> bool {
        let queue = match frame.body {
            Some(local_frame::Body::ProxyHello(_) | local_frame::Body::Applied(_)) => &self.state,
            _ => &self.traffic,
        };
        let input = AgentInput::ProxyFrame(Box::new(frame));
        queue.send(input).await.is_ok()
    }
}
