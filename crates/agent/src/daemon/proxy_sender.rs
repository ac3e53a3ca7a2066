//! Frames on their way to the proxy.

use millford_api::local::{LocalFrame, local_frame};
use tokio::sync::mpsc;

/// State frames that may wait. A proxy that does not read is cut off and starts anew.
const STATE_LENGTH: usize = 1024;

/// Replies that may wait.
const TRAFFIC_LENGTH: usize = 8192;

/// Sending ends: state and replies wait apart, and state is written first.
#[derive(Clone, Debug)]
pub struct ProxySender {
    state: mpsc::Sender<LocalFrame>,
    traffic: mpsc::Sender<LocalFrame>,
}

/// Receiving ends.
#[derive(Debug)]
pub struct ProxyFrames {
    state: mpsc::Receiver<LocalFrame>,
    traffic: mpsc::Receiver<LocalFrame>,
}

impl ProxySender {
    /// Both queues.
    #[must_use]
    pub fn new() -> (Self, ProxyFrames) {
        let (state, state_frames) = mpsc::channel(STATE_LENGTH);
        let (traffic, traffic_frames) = mpsc::channel(TRAFFIC_LENGTH);
        let frames = ProxyFrames {
            state: state_frames,
            traffic: traffic_frames,
        };
        (Self { state, traffic }, frames)
    }

    /// Queues a frame. Returns false when the proxy must be cut off.
    #[must_use]
    pub fn send(&self, frame: LocalFrame) -> bool {
        let is_state = matches!(
            frame.body,
            Some(
                local_frame::Body::Snapshot(_)
                    | local_frame::Body::Change(_)
                    | local_frame::Body::Status(_)
            )
        );
        let queue = if is_state { &self.state } else { &self.traffic };
        queue.try_send(frame).is_ok()
    }
}

impl ProxyFrames {
    /// The next frame, state first; none when the agent dropped the connection.
    pub async fn next(&mut self) -> Option<LocalFrame> {
        tokio::select! {
            biased;
            frame = self.state.recv() => frame,
            frame = self.traffic.recv() => frame,
        }
    }

    /// A frame that is ready now.
    pub fn ready(&mut self) -> Option<LocalFrame> {
        self.state
            .try_recv()
            .or_else(|_| self.traffic.try_recv())
            .ok()
    }
}
