//! Counts the bytes and frames exchanged with the control plane.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use millford_api::internal::{Frame, feed_message, frame};
use prost::Message;

/// Length prefix of a frame, in bytes.
const PREFIX_BYTES: usize = 4;

/// Traffic of one agent's connections to control nodes since the start of the process. Bytes
/// include the frames' length prefixes but no TCP or IP overhead.
#[derive(Debug, Default)]
pub struct TrafficMeter {
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    frames_in: AtomicU64,
    frames_out: AtomicU64,
    bytes_by_kind: Mutex<BTreeMap<&'static str, u64>>,
}

impl TrafficMeter {
    /// Counts a received frame.
    pub fn record_received(&self, frame: &Frame) {
        self.count_kind(frame);
        add(&self.bytes_in, frame_bytes(frame));
        add(&self.frames_in, 1);
    }

    /// Counts a sent frame.
    pub fn record_sent(&self, frame: &Frame) {
        self.count_kind(frame);
        add(&self.bytes_out, frame_bytes(frame));
        add(&self.frames_out, 1);
    }

    /// Returns the bytes of each kind of frame, sent and received together, keyed by the kind's
    /// name in the scale rig's report.
    #[must_use]
    pub fn bytes_by_kind(&self) -> BTreeMap<&'static str, u64> {
        let kinds = self.bytes_by_kind.lock();
        kinds.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn count_kind(&self, frame: &Frame) {
        let kinds = self.bytes_by_kind.lock();
        let mut kinds = kinds.unwrap_or_else(PoisonError::into_inner);
        *kinds.entry(kind_of(frame)).or_default() += frame_bytes(frame);
    }

    /// Returns the number of bytes received.
    #[must_use]
    pub fn bytes_in(&self) -> u64 {
        self.bytes_in.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent.
    #[must_use]
    pub fn bytes_out(&self) -> u64 {
        self.bytes_out.load(Ordering::Relaxed)
    }

    /// Returns the number of frames received.
    #[must_use]
    pub fn frames_in(&self) -> u64 {
        self.frames_in.load(Ordering::Relaxed)
    }

    /// Returns the number of frames sent.
    #[must_use]
    pub fn frames_out(&self) -> u64 {
        self.frames_out.load(Ordering::Relaxed)
    }
}

fn kind_of(frame: &Frame) -> &'static str {
    match &frame.body {
        Some(frame::Body::Feed(message)) => match &message.kind {
            Some(feed_message::Kind::Snapshot(_) | feed_message::Kind::PackedSnapshot(_)) => {
                "feed snapshot"
            }
            Some(feed_message::Kind::Change(_)) => "feed change",
            _ => "feed progress",
        },
        Some(frame::Body::Heartbeat(_)) => "heartbeat",
        Some(frame::Body::HeartbeatReply(_)) => "heartbeat reply",
        Some(frame::Body::ShardRequest(_)) => "claim and settle",
        Some(frame::Body::ShardReply(_)) => "claim and settle reply",
        Some(frame::Body::QuotaRequest(_)) => "quota request",
        Some(frame::Body::QuotaReply(_)) => "quota reply",
        Some(frame::Body::QuotaRecall(_)) => "quota recall",
        Some(frame::Body::LoadReport(_)) => "load report",
        Some(frame::Body::LoadSnapshot(_)) => "load picture",
        Some(frame::Body::Subscribe(_)) => "subscribe",
        _ => "other",
    }
}

fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

fn frame_bytes(frame: &Frame) -> u64 {
    let bytes = frame.encoded_len() + PREFIX_BYTES;
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
