//! Frames on their way to the proxy.

use millford_api::local::{LocalFrame, local_frame};
use tokio::sync::mpsc;

/// State frames that fit into the queue. A proxy that does not read is disconnected, and gets
/// snapshots when it connects again.
const STATE_QUEUE_LENGTH: usize = 1024;

/// Replies that fit into the queue.
const TRAFFIC_QUEUE_LENGTH: usize = 8192;

/// Sending ends: state and replies have a queue each, and state is written first.
#[derive(Clone, Debug)]
pub struct ProxySender {
    state: mpsc::Sender<LocalFrame>,
    traffic: mpsc::Sender<LocalFrame>,
}

/// The proxy does not take frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the proxy does not read")]
pub struct ProxyUnresponsive;

/// Receiving ends.
#[derive(Debug)]
pub struct ProxyFrames {
    state: mpsc::Receiver<LocalFrame>,
    traffic: mpsc::Receiver<LocalFrame>,
}

impl ProxySender {
    /// Both queues, with their receiving ends.
    #[must_use]
    pub fn new() -> (Self, ProxyFrames) {
        let (state, state_frames) = mpsc::channel(STATE_QUEUE_LENGTH);
        let (traffic, traffic_frames) = mpsc::channel(TRAFFIC_QUEUE_LENGTH);
        let frames = ProxyFrames {
            state: state_frames,
            traffic: traffic_frames,
        };
        (Self { state, traffic }, frames)
    }

    /// Queues a frame.
    ///
    /// # Errors
    /// The proxy does not read: its queue is full, or its connection has ended. It must be
    /// disconnected, as it would miss the frame.
    pub fn send(&self, frame: LocalFrame) -> Result<(), ProxyUnresponsive> {
        let is_state = matches!(
            frame.body,
            Some(
                local_frame::Body::Snapshot(_)
                    | local_frame::Body::Change(_)
                    | local_frame::Body::Status(_)
            )
        );
        let queue = if is_state { &self.state } else { &self.traffic };
        queue.try_send(frame).map_err(|_| ProxyUnresponsive)
    }
}

impl ProxyFrames {
    /// The next frame, state first; none when the agent has closed the connection.
    pub async fn next(&mut self) -> Option<LocalFrame> {
        tokio::select! {
            biased;
            frame = self.state.recv() => frame,
            frame = self.traffic.recv() => frame,
        }
    }

    /// The next frame if one is queued now, state first.
    pub fn try_next(&mut self) -> Option<LocalFrame> {
        self.state
            .try_recv()
            .or_else(|_| self.traffic.try_recv())
            .ok()
    }
}
