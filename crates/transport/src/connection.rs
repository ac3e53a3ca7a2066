//! Connections that carry one message type.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::codec::{MessageCodec, TransportError};

/// Receiving half of a connection.
pub type FramedReader<M> = FramedRead<OwnedReadHalf, MessageCodec<M>>;

/// Sending half of a connection.
pub type FramedWriter<M> = FramedWrite<OwnedWriteHalf, MessageCodec<M>>;

/// Opens a connection within `timeout`.
///
/// # Errors
/// [`TransportError::Io`] when the connection fails or `timeout` passes.
pub async fn connect<M: prost::Message + Default>(
    address: SocketAddr,
    timeout: Duration,
) -> Result<(FramedReader<M>, FramedWriter<M>), TransportError> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    accept(stream)
}

/// Wraps a connected socket in framed halves. Disables Nagle's algorithm, because messages are
/// small and latency matters.
///
/// # Errors
/// [`TransportError::Io`] when the socket is already closed.
pub fn accept<M: prost::Message + Default>(
    stream: TcpStream,
) -> Result<(FramedReader<M>, FramedWriter<M>), TransportError> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    Ok((
        FramedRead::new(reader, MessageCodec::default()),
        FramedWrite::new(writer, MessageCodec::default()),
    ))
}
