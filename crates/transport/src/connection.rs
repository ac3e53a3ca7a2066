//! Connections that carry one message type.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use futures::Stream;
use millford_bounded_io::BudgetError;
use prost::Message;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::codec::{MessageCodec, TransportError};
use crate::frame_limits::FrameLimits;

/// Receiving half of a connection. It ends with an error when its incomplete frame has to give way to those of other
/// connections.
pub struct FramedReader<M>(FramedRead<OwnedReadHalf, MessageCodec<M>>);

/// Sending half of a connection.
pub type FramedWriter<M> = FramedWrite<OwnedWriteHalf, MessageCodec<M>>;

impl<M: Message + Default> FramedReader<M> {
    /// Returns how many bytes of an incomplete frame were received.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.0.read_buffer().len()
    }
}

impl<M: Message + Default> Stream for FramedReader<M> {
    type Item = Result<M, TransportError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.0.decoder().poll_revoked(context).is_ready() {
            return Poll::Ready(Some(Err(BudgetError::Revoked.into())));
        }
        Pin::new(&mut self.0).poll_next(context)
    }
}

/// Opens a connection within `timeout`, with these limits on received frames.
///
/// # Errors
/// [`TransportError::Io`] when the connection fails or `timeout` passes.
pub async fn connect<M: Message + Default>(
    address: SocketAddr,
    timeout: Duration,
    limits: &FrameLimits,
) -> Result<(FramedReader<M>, FramedWriter<M>), TransportError> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    accept(stream, limits)
}

/// Wraps a connected socket in framed halves, with these limits on received frames. Disables Nagle's algorithm, because
/// messages are small and latency matters.
///
/// # Errors
/// [`TransportError::Io`] when the socket is already closed.
pub fn accept<M: Message + Default>(
    stream: TcpStream,
    limits: &FrameLimits,
) -> Result<(FramedReader<M>, FramedWriter<M>), TransportError> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    Ok((
        FramedReader(FramedRead::new(reader, MessageCodec::new(limits))),
        FramedWrite::new(writer, MessageCodec::new(limits)),
    ))
}
