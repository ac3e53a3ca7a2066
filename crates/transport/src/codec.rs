//! Length-prefixed encoding of protocol messages.

use std::marker::PhantomData;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use millford_bounded_io::{BudgetError, BufferReservation, Reader, Source};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::frame_limits::FrameLimits;

/// Largest frame that any process accepts, in bytes; well above the largest expected snapshot.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Error that ends a connection.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The socket failed, or a frame is larger than the limit.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The memory for incomplete frames is used up, and this one had to give way.
    #[error("frame cannot be held: {0}")]
    Budget(#[from] BudgetError),
    /// The bytes are not a message of the expected type.
    #[error("frame cannot be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Codec for one message type. A frame is a four-byte big-endian length, followed by the message.
pub struct MessageCodec<M> {
    frames: LengthDelimitedCodec,
    /// Bytes of the incomplete frame.
    held: BufferReservation,
    message: PhantomData<fn() -> M>,
}

impl<M> Default for MessageCodec<M> {
    fn default() -> Self {
        Self::new(&FrameLimits::default())
    }
}

impl<M> MessageCodec<M> {
    /// Creates a codec with these limits on received frames.
    #[must_use]
    pub fn new(limits: &FrameLimits) -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(limits.max_frame_bytes)
            .new_codec();
        Self {
            frames,
            held: BufferReservation::new(&limits.budget, Reader::Frame, Source::Connection),
            message: PhantomData,
        }
    }

    /// Completes once the incomplete frame has had to give way to others.
    pub(crate) fn poll_revoked(&self, context: &mut Context<'_>) -> Poll<()> {
        self.held.poll_revoked(context)
    }
}

impl<M: Message + Default> Decoder for MessageCodec<M> {
    type Item = M;
    type Error = TransportError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<M>, TransportError> {
        let Some(frame) = self.frames.decode(source)? else {
            self.held.resize(source.len())?;
            return Ok(None);
        };
        let message = M::decode(frame)?;
        self.held.resize(source.len())?;
        Ok(Some(message))
    }
}

impl<M: Message> Encoder<M> for MessageCodec<M> {
    type Error = TransportError;

    fn encode(&mut self, message: M, target: &mut BytesMut) -> Result<(), TransportError> {
        let frame = Bytes::from(message.encode_to_vec());
        self.frames.encode(frame, target)?;
        Ok(())
    }
}
