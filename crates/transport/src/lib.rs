//! Framed protocol messages over TCP.
//!
//! A frame is a four-byte big-endian length and a protocol message. Each side treats a frame
//! that is too long or cannot be decoded as the end of the connection.

mod codec;
mod connection;
mod frame_limits;

pub use codec::{MAX_FRAME_BYTES, MessageCodec, TransportError};
pub use connection::{FramedReader, FramedWriter, accept, connect};
pub use frame_limits::FrameLimits;
