//! A connection that can be made to send bytes which belong to no response.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What a faulty connection sends after a response.
const STRAY_BYTES: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";

/// Asks a connection to send stray bytes after the bytes that are buffered now.
#[derive(Clone, Debug, Default)]
pub struct StraySwitch(Arc<AtomicBool>);

impl StraySwitch {
    /// Sends the stray bytes at the next flush.
    pub fn arm(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn take(&self) -> bool {
        self.0.swap(false, Ordering::AcqRel)
    }
}

/// A TCP connection with a [`StraySwitch`].
#[derive(Debug)]
pub struct SharedStream {
    stream: TcpStream,
    stray: StraySwitch,
}

impl SharedStream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream, stray: StraySwitch) -> Self {
        Self { stream, stray }
    }

    /// The server flushes only after it wrote its whole buffer, so these bytes follow the response.
    fn send_stray(&self) {
        if self.stray.take() {
            let _ = self.stream.try_write(STRAY_BYTES);
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.send_stray();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.send_stray();
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
