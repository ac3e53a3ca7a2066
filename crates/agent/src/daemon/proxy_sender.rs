//! Queues of frames to be sent to the proxy.

use millford_api::local::{LocalFrame, local_frame};
use tokio::sync::mpsc;

/// Capacity of the state queue, in frames. A proxy whose queue is full is disconnected and receives
/// snapshots when it reconnects.
const STATE_QUEUE_LENGTH: usize = 1024;

/// Capacity of the traffic queue, in frames.
const TRAFFIC_QUEUE_LENGTH: usize = 8192;

/// Senders of the queues. State and replies have separate queues, and state is written first.
#[derive(Clone, Debug)]
pub struct ProxySender {
    state: mpsc::Sender<LocalFrame>,
    traffic: mpsc::Sender<LocalFrame>,
}

/// A frame could not be queued because the queue is full or the connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the proxy does not accept frames")]
pub struct ProxyUnresponsive;

/// Receivers of the queues, held by the task that writes to the connection.
#[derive(Debug)]
pub struct ProxyFrames {
    state: mpsc::Receiver<LocalFrame>,
    traffic: mpsc::Receiver<LocalFrame>,
}

impl ProxySender {
    /// Creates both queues.
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
    /// The queue is full or the connection has ended. The caller must disconnect the proxy, which
    /// would miss the frame.
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
    /// Waits for the next frame, state first. Returns `None` when the agent has closed the
    /// connection.
    pub async fn next(&mut self) -> Option<LocalFrame> {
        tokio::select! {
            biased;
            frame = self.state.recv() => frame,
            frame = self.traffic.recv() => frame,
        }
    }

    /// Returns the next frame if one is already queued, state first.
    pub fn try_next(&mut self) -> Option<LocalFrame> {
        self.state
            .try_recv()
            .or_else(|_| self.traffic.try_recv())
            .ok()
    }
}
