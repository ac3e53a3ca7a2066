//! Length-prefixed encoding of protocol messages.

use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest accepted frame, in bytes; well above the largest expected snapshot.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Error that ends a connection.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The socket failed, or a frame is larger than [`MAX_FRAME_BYTES`].
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The bytes are not a message of the expected type.
    #[error("frame cannot be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Codec for one message type. A frame is a four-byte big-endian length, followed by the message.
pub struct MessageCodec<M> {
    frames: LengthDelimitedCodec,
    message: PhantomData<fn() -> M>,
}

impl<M> Default for MessageCodec<M> {
    fn default() -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            frames,
            message: PhantomData,
        }
    }
}

impl<M: Message + Default> Decoder for MessageCodec<M> {
    type Item = M;
    type Error = TransportError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<M>, TransportError> {
        let Some(frame) = self.frames.decode(source)? else {
            return Ok(None);
        };
        Ok(Some(M::decode(frame)?))
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
