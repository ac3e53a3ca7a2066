//! Limits of the frames that a process receives.

use std::sync::Arc;

use millford_bounded_io::{MemoryBudget, MemoryLimit, Reader};

use crate::codec::MAX_FRAME_BYTES;

/// Limits of one process. Clones share the budget.
#[derive(Clone, Debug)]
pub struct FrameLimits {
    /// Counts the frames that are not complete yet.
    pub budget: Arc<MemoryBudget>,
    /// Largest frame, in bytes.
    pub max_frame_bytes: usize,
}

impl FrameLimits {
    /// Derives the limits from the memory that the process may use. The names of the metrics begin with `namespace`.
    #[must_use]
    pub fn of_memory(namespace: &str, memory: MemoryLimit) -> Self {
        let limits = [
            (Reader::Frame, memory.frame_bytes()),
            (Reader::OperatorBody, memory.buffer_bytes()),
        ];
        Self {
            budget: MemoryBudget::new(namespace, &limits),
            max_frame_bytes: memory.max_frame_bytes().min(MAX_FRAME_BYTES),
        }
    }
}

impl Default for FrameLimits {
    /// Frames of up to [`MAX_FRAME_BYTES`] without a limit in sum, for tools and tests.
    fn default() -> Self {
        Self {
            budget: MemoryBudget::unlimited(),
            max_frame_bytes: MAX_FRAME_BYTES,
        }
    }
}
