//! Queues of events on their way to the agent's core.

use millford_api::internal::{Frame, frame};
use millford_api::local::{LocalFrame, local_frame};
use tokio::sync::mpsc;

use crate::input::{AgentInput, ControlLinkId};

/// Events that fit into one queue; whoever sends more waits.
const QUEUE_LENGTH: usize = 1024;

/// Sending ends. State (feed, sessions, registry, links) and traffic (quota, claims, load) have a
/// queue each, so that a drained backend never waits behind requests: the driver empties state first.
#[derive(Clone, Debug)]
pub struct EventQueues {
    state: mpsc::Sender<AgentInput>,
    traffic: mpsc::Sender<AgentInput>,
}

/// Receiving ends.
#[derive(Debug)]
pub struct EventReceivers {
    /// State events.
    pub state: mpsc::Receiver<AgentInput>,
    /// Traffic events.
    pub traffic: mpsc::Receiver<AgentInput>,
}

impl EventQueues {
    /// Both queues, with their receiving ends.
    #[must_use]
    pub fn new() -> (Self, EventReceivers) {
        let (state, state_events) = mpsc::channel(QUEUE_LENGTH);
        let (traffic, traffic_events) = mpsc::channel(QUEUE_LENGTH);
        let receivers = EventReceivers {
            state: state_events,
            traffic: traffic_events,
        };
        (Self { state, traffic }, receivers)
    }

    /// Queues a state event. Returns whether the driver still runs.
    pub async fn send_state(&self, input: AgentInput) -> bool {
        self.state.send(input).await.is_ok()
    }

    /// Queues a frame of a control node. Returns whether the driver still runs.
    pub async fn send_control_frame(&self, link: ControlLinkId, frame: Frame) -> bool {
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

    /// Queues a frame of the proxy. Returns whether the driver still runs.
    pub async fn send_proxy_frame(&self, frame: LocalFrame) -> bool {
        let queue = match frame.body {
            Some(local_frame::Body::ProxyHello(_) | local_frame::Body::Applied(_)) => &self.state,
            _ => &self.traffic,
        };
        let input = AgentInput::ProxyFrame(Box::new(frame));
        queue.send(input).await.is_ok()
    }
}
