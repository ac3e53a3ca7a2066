//! Bounds on what the peers of the internal listener may cost the process.

use std::sync::Arc;

use millford_api::internal::Frame;
use millford_bounded_io::MemoryLimit;
use millford_transport::FrameLimits;
use prost::Message;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Most links that other processes have opened to this one; several times the nodes of the planned fleet.
const MAX_INCOMING_LINKS: usize = 2048;
/// Bytes that each queued frame counts at least, for its place in the queue.
const MIN_FRAME_WEIGHT: usize = 256;

/// Bounds of all links of one process. Clones share them.
#[derive(Clone, Debug)]
pub struct LinkBounds {
    /// Limits of received frames.
    pub frames: FrameLimits,
    /// Links that other processes may still open.
    pub incoming: Arc<Semaphore>,
    /// Bytes that may still be queued for the gateway's thread.
    queue: Arc<Semaphore>,
    queue_bytes: usize,
}

impl LinkBounds {
    /// Derives the bounds from the memory that the process may use.
    #[must_use]
    pub fn of_memory(memory: MemoryLimit) -> Self {
        let queue_bytes = memory.buffer_bytes().min(Semaphore::MAX_PERMITS);
        Self {
            frames: FrameLimits::of_memory("millford_control", memory),
            incoming: Arc::new(Semaphore::new(MAX_INCOMING_LINKS)),
            queue: Arc::new(Semaphore::new(queue_bytes)),
            queue_bytes,
        }
    }

    /// Waits until the queue of the gateway's thread has room for a frame. Meanwhile nothing is read from the link. Returns
    /// `None` if the process is shutting down.
    pub async fn queue_frame(&self, frame: &Frame) -> Option<OwnedSemaphorePermit> {
        let weight = frame
            .encoded_len()
            .max(MIN_FRAME_WEIGHT)
            .min(self.queue_bytes);
        let weight = u32::try_from(weight).unwrap_or(u32::MAX);
        let queue = Arc::clone(&self.queue);
        queue.acquire_many_owned(weight).await.ok()
    }
}
