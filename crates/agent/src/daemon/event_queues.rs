//! Queues of input events for the agent's core.

use millford_api::internal::{Frame, frame};
use millford_api::local::{LocalFrame, local_frame};
use tokio::sync::mpsc;

use crate::input::{AgentInput, ControlLinkId};

/// Capacity of each queue, in events; senders wait while it is full.
const QUEUE_LENGTH: usize = 1024;

/// Senders of the event queues. State events (feed, heartbeats, registry, connections) and traffic
/// events (quota, claims, sessions, load) have separate queues and the driver empties the state
/// queue first, so that the draining of a backend is never delayed by requests.
#[derive(Clone, Debug)]
pub struct EventQueues {
    state: mpsc::Sender<AgentInput>,
    traffic: mpsc::Sender<AgentInput>,
}

/// Receivers of the event queues.
#[derive(Debug)]
pub struct EventReceivers {
    /// State events, which take priority.
    pub state: mpsc::Receiver<AgentInput>,
    /// Traffic events.
    pub traffic: mpsc::Receiver<AgentInput>,
}

impl EventQueues {
    /// Creates both queues.
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

    /// Queues a state event. Returns `false` if the driver has stopped.
    pub async fn send_state(&self, input: AgentInput) -> bool {
        self.state.send(input).await.is_ok()
    }

    /// Queues a frame from a control node. Returns `false` if the driver has stopped.
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

    /// Queues a frame from the proxy. Returns `false` if the driver has stopped.
    pub async fn send_proxy_frame(&self, frame: LocalFrame) -> bool {
        let queue = match frame.body {
            Some(local_frame::Body::ProxyHello(_) | local_frame::Body::Applied(_)) => &self.state,
            _ => &self.traffic,
        };
        let input = AgentInput::ProxyFrame(Box::new(frame));
        queue.send(input).await.is_ok()
    }
}
