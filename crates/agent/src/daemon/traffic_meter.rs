//! Bytes and frames on the link to the control plane.

use std::sync::atomic::{AtomicU64, Ordering};

use millford_api::internal::Frame;
use prost::Message;

/// Length prefix of a frame, in bytes.
const PREFIX_BYTES: usize = 4;

/// Counts of one agent's link, without what TCP and IP add.
#[derive(Debug, Default)]
pub struct TrafficMeter {
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    frames_in: AtomicU64,
    frames_out: AtomicU64,
}

impl TrafficMeter {
    /// Counts a received frame.
    pub fn received(&self, frame: &Frame) {
        add(&self.bytes_in, frame_bytes(frame));
        add(&self.frames_in, 1);
    }

    /// Counts a sent frame.
    pub fn sent(&self, frame: &Frame) {
        add(&self.bytes_out, frame_bytes(frame));
        add(&self.frames_out, 1);
    }

    /// Bytes received.
    #[must_use]
    pub fn bytes_in(&self) -> u64 {
        self.bytes_in.load(Ordering::Relaxed)
    }

    /// Bytes sent.
    #[must_use]
    pub fn bytes_out(&self) -> u64 {
        self.bytes_out.load(Ordering::Relaxed)
    }

    /// Frames received.
    #[must_use]
    pub fn frames_in(&self) -> u64 {
        self.frames_in.load(Ordering::Relaxed)
    }

    /// Frames sent.
    #[must_use]
    pub fn frames_out(&self) -> u64 {
        self.frames_out.load(Ordering::Relaxed)
    }
}

fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

fn frame_bytes(frame: &Frame) -> u64 {
    let bytes = frame.encoded_len() + PREFIX_BYTES;
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
